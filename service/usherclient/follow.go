package usherclient

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// resumeTimeout is how long resuming a broken stream is retried after the last event received.
	resumeTimeout  = 20 * time.Second
	resumeInterval = 200 * time.Millisecond
	// stallTimeout is how long a started stream may be idle before its connection is treated as broken.
	stallTimeout  = 8 * time.Second
	locateTimeout = 2 * time.Second
)

// resumableStream collects one streamed answer over several connections.
type resumableStream struct {
	client    *Client
	callbacks StreamCallbacks
	addresses []string
	address   string
	handle    string
	resuming  bool
	next      int
	gap       bool
	lastEvent time.Time
	text      strings.Builder
	// stallTimer closes a connection that has been idle for too long; nil until its stream has started.
	stallTimer *time.Timer
	cancel     context.CancelFunc
}

// SendWithFailover sends a request to the first reachable address. If its stream breaks or stalls, it is resumed from the
// next token at another of the addresses, or at a gateway that these list. The callbacks receive each token once.
func (c *Client) SendWithFailover(ctx context.Context, addresses []string, request Request, callbacks *StreamCallbacks) (Answer, error) {
	s := newResumableStream(c, addresses, callbacks)
	var answer Answer
	var err error = ErrUnreachable.New("no gateway addresses given")
	for _, address := range addresses {
		s.address = address
		answer, err = s.connect(ctx, func(ctx context.Context, callbacks *StreamCallbacks) (Answer, error) {
			return c.Send(ctx, address, request, callbacks)
		})
		if !errorx.IsOfType(err, ErrUnreachable) {
			break
		}
	}
	return s.run(ctx, answer, err)
}

// ResumeWithFailover resumes the stream of a handle from the token with index from, with the same failover as
// SendWithFailover.
func (c *Client) ResumeWithFailover(ctx context.Context, addresses []string, handle string, from int, callbacks *StreamCallbacks) (Answer, error) {
	s := newResumableStream(c, addresses, callbacks)
	if len(addresses) == 0 {
		return Answer{}, ErrUnreachable.New("no gateway addresses given")
	}
	s.address, s.handle, s.next, s.resuming = addresses[0], handle, from, true
	answer, err := s.resume(ctx)
	return s.run(ctx, answer, err)
}

func newResumableStream(client *Client, addresses []string, callbacks *StreamCallbacks) *resumableStream {
	s := &resumableStream{client: client, addresses: slices.Clone(addresses), lastEvent: time.Now()}
	if callbacks != nil {
		s.callbacks = *callbacks
	}
	return s
}

// run resumes the stream whenever it breaks, until it ends or resumeTimeout has passed since the last event.
func (s *resumableStream) run(ctx context.Context, answer Answer, err error) (Answer, error) {
	for s.needsResume(err) && ctx.Err() == nil && time.Since(s.lastEvent) < resumeTimeout {
		s.gap = false
		s.nextGateway(ctx)
		if answer, err = s.resume(ctx); s.needsResume(err) {
			sleep(ctx, resumeInterval)
		}
	}
	if err != nil || s.handle == "" {
		return answer, err
	}
	answer.Text = s.text.String()
	if answer.Tokens != s.next {
		return answer, ErrMalformed.New("gateway reported %d tokens, but %d were received", answer.Tokens, s.next)
	}
	return answer, nil
}

// needsResume reports whether the stream has to be resumed.
func (s *resumableStream) needsResume(err error) bool {
	return s.handle != "" && (s.gap || errorx.IsOfType(err, ErrConnection))
}

// nextGateway switches to the next address, after asking the other gateways for further addresses.
func (s *resumableStream) nextGateway(ctx context.Context) {
	for _, address := range slices.Clone(s.addresses) {
		if address != s.address {
			s.addAddresses(ctx, address)
		}
	}
	at := slices.Index(s.addresses, s.address)
	s.address = s.addresses[(at+1)%len(s.addresses)]
	s.resuming = true
}

func (s *resumableStream) addAddresses(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	location, err := s.client.Locate(ctx, address)
	if err != nil {
		return
	}
	for _, other := range location.Addresses {
		if !slices.Contains(s.addresses, other) {
			s.addresses = append(s.addresses, other)
		}
	}
}

func (s *resumableStream) resume(ctx context.Context) (Answer, error) {
	return s.connect(ctx, func(ctx context.Context, callbacks *StreamCallbacks) (Answer, error) {
		return s.client.Resume(ctx, s.address, s.handle, s.next, callbacks)
	})
}

// connect calls request for one connection and cancels it if the stream stalls.
func (s *resumableStream) connect(ctx context.Context, request func(context.Context, *StreamCallbacks) (Answer, error)) (Answer, error) {
	ctx, s.cancel = context.WithCancel(ctx)
	defer s.cancel()
	if s.handle != "" {
		s.stallTimer = time.AfterFunc(stallTimeout, s.cancel)
	}
	answer, err := request(ctx, &StreamCallbacks{Started: s.started, Token: s.token})
	if s.stallTimer != nil {
		s.stallTimer.Stop()
		s.stallTimer = nil
	}
	return answer, err
}

// recordEvent records that the gateway has sent an event, and restarts the stall timer.
func (s *resumableStream) recordEvent() {
	s.lastEvent = time.Now()
	if s.stallTimer == nil {
		s.stallTimer = time.AfterFunc(stallTimeout, s.cancel)
		return
	}
	s.stallTimer.Reset(stallTimeout)
}

func (s *resumableStream) started(requestID, handle string) {
	s.handle = handle
	s.recordEvent()
	if s.resuming && s.callbacks.Resumed != nil {
		s.callbacks.Resumed(s.address, s.next)
	}
	if !s.resuming && s.callbacks.Started != nil {
		s.callbacks.Started(requestID, handle)
	}
}

// token passes on the next token in sequence. Tokens after a gap are dropped; they are received again when the stream is
// resumed.
func (s *resumableStream) token(index int, text string) {
	if index > s.next {
		s.gap = true
	}
	if index != s.next {
		return
	}
	s.next++
	s.recordEvent()
	s.text.WriteString(text)
	if s.callbacks.Token != nil {
		s.callbacks.Token(index, text)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
