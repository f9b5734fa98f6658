// Package usherrelay decides, for one request, which events of a generation are delivered to the caller.
//
// A Relay accepts tokens from a single source: one generation, under one attempt, at one incarnation of a target. It
// accepts only the next token in sequence and drops duplicates, late and out-of-order tokens, and events that belong to
// another request. After a gap or a broken connection the same generation is resumed from the first missing token. A
// lost generation is retried only if none of it has been delivered to the caller.
//
// # Usage
//
//	relay := usherrelay.New(usherrequest.Stream, usherrelay.Limits{})
//	err := relay.Start(source)
//	switch relay.Accept(event) {
//	case usherrelay.Accepted:
//		for token, ok := relay.Next(); ok; token, ok = relay.Next() {
//			write(token)
//		}
//	case usherrelay.Gap:
//		resume(relay.Source(), relay.NextIndex())
//	}
//	step := relay.TargetLost() // the target crashed: retry, or end the request
package usherrelay

import (
	"github.com/joomcode/errorx"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
)

const (
	// Accepted is the verdict on the next token in sequence.
	Accepted Verdict = iota
	// Duplicate is the verdict on a token that was already accepted.
	Duplicate
	// WrongSource is the verdict on an event of another generation, attempt or incarnation.
	WrongSource
	// Gap is the verdict on the first token after a missing one: the generation must be resumed from NextIndex.
	Gap
	// OutOfOrder is the verdict on further tokens after a gap, until the missing one arrives.
	OutOfOrder
	// BufferFull is the verdict on a token for which the buffer of a streamed response has no room until Next takes one.
	// The reader may wait and pass it again.
	BufferFull
	// TooLong is the verdict on a token that does not fit a response delivered whole. The request must be refused.
	TooLong
	// Ended is the verdict on any event after the end of the response.
	Ended
)

const (
	// None means that there is nothing to do.
	None Action = iota
	// Resume means that the same generation must be resumed from token Step.From.
	Resume
	// Retry means that the request must be retried with a new attempt and a new generation.
	Retry
	// End means that the request ends with Step.Outcome.
	End
)

const (
	// DefaultTokens limits the number of tokens buffered for a slow caller.
	DefaultTokens = 1024
	// DefaultBytes limits the size of these tokens, and that of a response delivered whole.
	DefaultBytes = 1 << 20
)

var (
	errNamespace = errorx.NewNamespace("usherrelay").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	// ErrSourceRejected is the type of errors of Start for a source that the relay cannot accept.
	ErrSourceRejected = errNamespace.NewType("start")
)

type (
	// Verdict is the result of Accept for an event.
	Verdict uint8

	// Action is the kind of a Step.
	Action uint8

	// Step tells the caller of the relay what to do after a connection broke or a generation was lost.
	Step struct {
		Action  Action
		From    int
		Outcome usherrequest.Outcome
	}

	// Source identifies the generation from which a relay accepts tokens.
	Source struct {
		Generation        string
		Attempt           usherrequest.AttemptID
		TargetIncarnation uint64
	}

	// Event is one token as sent by a target. The relay copies Bytes.
	Event struct {
		Source Source
		Index  int
		Bytes  []byte
		// Last marks the last token of the generation, which may be empty.
		Last bool
	}

	// Token is one token for the caller. Bytes is valid until the next call of Accept.
	Token struct {
		Index int
		Bytes []byte
		Last  bool
	}

	// Limits limits the tokens that a relay buffers. Zero values select the defaults. A response delivered whole is
	// limited by Bytes only.
	Limits struct {
		Tokens int
		Bytes  int
	}

	// Relay relays the response to one request. It is not safe for concurrent use. The zero value streams within the
	// default limits.
	Relay struct {
		delivery  usherrequest.Delivery
		limits    Limits
		source    Source
		started   bool
		resumed   bool
		gap       bool
		complete  bool
		ended     bool
		next      int
		delivered int
		queue     tokenQueue
	}
)

// New returns a relay. Start sets its source.
func New(delivery usherrequest.Delivery, limits Limits) *Relay {
	return &Relay{delivery: delivery, limits: limits}
}

// NewResumed returns a relay that continues the stream of handle, which another gateway began. It never retries: this
// gateway has only the handle, not the request.
func NewResumed(handle usherrequest.Handle, limits Limits) *Relay {
	return &Relay{
		delivery:  usherrequest.Stream,
		limits:    limits,
		source:    Source{handle.Generation, handle.Attempt, handle.TargetIncarnation},
		started:   true,
		resumed:   true,
		next:      handle.NextIndex,
		delivered: handle.NextIndex,
	}
}

// Start sets the source of the response. The source can be replaced only while nothing has been delivered to the caller.
func (r *Relay) Start(source Source) error {
	if r.ended || r.complete {
		return ErrSourceRejected.New("the response has ended")
	}
	if r.delivered > 0 || r.resumed {
		return ErrSourceRejected.New("%d tokens of generation %s have been delivered", r.delivered, r.source.Generation)
	}
	if source == r.source {
		return ErrSourceRejected.New("generation %q was already started", source.Generation)
	}
	r.source = source
	r.started = true
	r.gap = false
	r.next = 0
	r.queue.reset()
	return nil
}

// Source returns the source from which the relay accepts tokens.
func (r *Relay) Source() Source {
	return r.source
}

// NextIndex returns the index of the next token to accept.
func (r *Relay) NextIndex() int {
	return r.next
}

// Delivered returns the number of tokens delivered to the caller, including those from earlier gateways.
func (r *Relay) Delivered() int {
	return r.delivered
}

// Complete reports whether the last token of the generation has been accepted.
func (r *Relay) Complete() bool {
	return r.complete
}

// Accept buffers event if it is the next token of the generation.
func (r *Relay) Accept(event Event) Verdict {
	switch {
	case !r.started || event.Source != r.source:
		return WrongSource
	case r.ended || r.complete:
		return Ended
	case event.Index < r.next:
		return Duplicate
	case event.Index > r.next:
		return r.gapVerdict()
	case !r.fits(event.Bytes):
		return r.fullVerdict()
	}
	r.gap = false
	r.next++
	r.complete = event.Last
	r.queue.push(event.Bytes)
	return Accepted
}

// Next returns the next token to deliver to the caller, if any. A response delivered whole has none until it is complete.
func (r *Relay) Next() (Token, bool) {
	if r.ended || r.delivery == usherrequest.Whole && !r.complete {
		return Token{}, false
	}
	bytes, ok := r.queue.pop()
	if !ok {
		return Token{}, false
	}
	token := Token{Index: r.delivered, Bytes: bytes}
	r.delivered++
	token.Last = r.complete && r.delivered == r.next
	return token, true
}

// Disconnected returns the step after the connection to the target broke: the same generation is resumed from the next
// token.
func (r *Relay) Disconnected() Step {
	if !r.started || r.ended || r.complete {
		return Step{}
	}
	r.gap = true
	return Step{Action: Resume, From: r.next}
}

// TargetLost returns the step after the generation was lost together with its target. Tokens that were accepted but not
// delivered are dropped.
func (r *Relay) TargetLost() Step {
	if !r.started || r.ended || r.complete {
		return Step{}
	}
	if r.delivered == 0 && !r.resumed {
		r.started = false
		r.queue.reset()
		return Step{Action: Retry}
	}
	r.ended = true
	return Step{Action: End, Outcome: usherrequest.RanInPart}
}

// Close ends the response: no more tokens are accepted or delivered.
func (r *Relay) Close() {
	r.ended = true
}

func (r *Relay) gapVerdict() Verdict {
	if r.gap {
		return OutOfOrder
	}
	r.gap = true
	return Gap
}

func (r *Relay) fullVerdict() Verdict {
	if r.delivery == usherrequest.Whole {
		return TooLong
	}
	return BufferFull
}

func (r *Relay) fits(bytes []byte) bool {
	if r.queue.bytes()+len(bytes) > orDefault(r.limits.Bytes, DefaultBytes) {
		// An empty buffer of a stream accepts a token of any size; otherwise an oversize token would block the stream forever.
		return r.delivery == usherrequest.Stream && r.queue.tokens() == 0
	}
	return r.delivery == usherrequest.Whole || r.queue.tokens() < orDefault(r.limits.Tokens, DefaultTokens)
}

func orDefault(value, fallback int) int {
	if value <= 0 {
		return fallback
	}
	return value
}
