package usherclient

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// resumeFor is how long a broken stream is asked for again without a token.
	resumeFor   = 20 * time.Second
	resumePause = 200 * time.Millisecond
	// stallAfter is how long a stream that has begun may be silent before it counts as broken.
	stallAfter  = 8 * time.Second
	locateLimit = 2 * time.Second
)

// follower collects one streamed answer over several connections.
type follower struct {
	client    *Client
	watcher   StreamCallbacks
	addresses []string
	address   string
	handle    string
	resuming  bool
	next      int
	gap       bool
	heard     time.Time
	text      strings.Builder
	// stalled ends the connection when it has been silent for too long; nil before its stream has begun.
	stalled *time.Timer
	giveUp  context.CancelFunc
}

// SendWithFailover sends a request to the first address that can be reached. Where its stream breaks off or stalls, it goes on from the next
// token at another of the addresses, or at one that those name. The watcher sees each token once.
func (c *Client) SendWithFailover(ctx context.Context, addresses []string, request Request, watcher *StreamCallbacks) (Answer, error) {
	f := newFollower(c, addresses, watcher)
	var answer Answer
	var err error = ErrUnreachable.New("no address is known")
	for _, address := range addresses {
		f.address = address
		answer, err = f.connect(ctx, func(ctx context.Context, watcher *StreamCallbacks) (Answer, error) {
			return c.Send(ctx, address, request, watcher)
		})
		if !errorx.IsOfType(err, ErrUnreachable) {
			break
		}
	}
	return f.follow(ctx, answer, err)
}

// ResumeWithFailover resumes the stream of a handle as SendWithFailover does, from the token with index from.
func (c *Client) ResumeWithFailover(ctx context.Context, addresses []string, handle string, from int, watcher *StreamCallbacks) (Answer, error) {
	f := newFollower(c, addresses, watcher)
	if len(addresses) == 0 {
		return Answer{}, ErrUnreachable.New("no address is known")
	}
	f.address, f.handle, f.next, f.resuming = addresses[0], handle, from, true
	answer, err := f.resume(ctx)
	return f.follow(ctx, answer, err)
}

func newFollower(client *Client, addresses []string, watcher *StreamCallbacks) *follower {
	f := &follower{client: client, addresses: slices.Clone(addresses), heard: time.Now()}
	if watcher != nil {
		f.watcher = *watcher
	}
	return f
}

// follow resumes the stream for as long as it breaks off and a gateway may have it.
func (f *follower) follow(ctx context.Context, answer Answer, err error) (Answer, error) {
	for f.broken(err) && ctx.Err() == nil && time.Since(f.heard) < resumeFor {
		f.gap = false
		f.turn(ctx)
		if answer, err = f.resume(ctx); f.broken(err) {
			pause(ctx, resumePause)
		}
	}
	if err != nil || f.handle == "" {
		return answer, err
	}
	answer.Text = f.text.String()
	if answer.Tokens != f.next {
		return answer, ErrMalformed.New("the answer has %d tokens, but %d came", answer.Tokens, f.next)
	}
	return answer, nil
}

// broken reports whether the stream has to be resumed.
func (f *follower) broken(err error) bool {
	return f.handle != "" && (f.gap || errorx.IsOfType(err, ErrConnection))
}

// turn goes on to the next address, after asking the others which gateways there are.
func (f *follower) turn(ctx context.Context) {
	for _, address := range slices.Clone(f.addresses) {
		if address != f.address {
			f.learn(ctx, address)
		}
	}
	at := slices.Index(f.addresses, f.address)
	f.address = f.addresses[(at+1)%len(f.addresses)]
	f.resuming = true
}

func (f *follower) learn(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, locateLimit)
	defer cancel()
	location, err := f.client.Locate(ctx, address)
	if err != nil {
		return
	}
	for _, other := range location.Addresses {
		if !slices.Contains(f.addresses, other) {
			f.addresses = append(f.addresses, other)
		}
	}
}

func (f *follower) resume(ctx context.Context) (Answer, error) {
	return f.connect(ctx, func(ctx context.Context, watcher *StreamCallbacks) (Answer, error) {
		return f.client.Resume(ctx, f.address, f.handle, f.next, watcher)
	})
}

// connect runs one connection, and ends it if its stream stalls.
func (f *follower) connect(ctx context.Context, run func(context.Context, *StreamCallbacks) (Answer, error)) (Answer, error) {
	ctx, f.giveUp = context.WithCancel(ctx)
	defer f.giveUp()
	if f.handle != "" {
		f.stalled = time.AfterFunc(stallAfter, f.giveUp)
	}
	answer, err := run(ctx, &StreamCallbacks{Started: f.started, Token: f.token})
	if f.stalled != nil {
		f.stalled.Stop()
		f.stalled = nil
	}
	return answer, err
}

// alive notes that the gateway has sent something.
func (f *follower) alive() {
	f.heard = time.Now()
	if f.stalled == nil {
		f.stalled = time.AfterFunc(stallAfter, f.giveUp)
		return
	}
	f.stalled.Reset(stallAfter)
}

func (f *follower) started(requestID, handle string) {
	f.handle = handle
	f.alive()
	if f.resuming && f.watcher.Resumed != nil {
		f.watcher.Resumed(f.address, f.next)
	}
	if !f.resuming && f.watcher.Started != nil {
		f.watcher.Started(requestID, handle)
	}
}

// token lets the next token through. What is behind a gap comes again with the next connection.
func (f *follower) token(index int, text string) {
	if index > f.next {
		f.gap = true
	}
	if index != f.next {
		return
	}
	f.next++
	f.alive()
	f.text.WriteString(text)
	if f.watcher.Token != nil {
		f.watcher.Token(index, text)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
