// Package usherrelay decides, for one request, which events of a generation reach the caller.
//
// A Relay takes tokens from one source only: one generation, under one attempt, at one incarnation of a target. It
// accepts the token after the last one and nothing else, so that whatever arrives twice, late, out of order or
// meant for another request is dropped. A gap or a broken link asks the same generation again from the first
// missing token; only a generation that is lost, and of which the caller has seen nothing, is run afresh.
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
//	step := relay.Lost() // the target died: run afresh, or end
package usherrelay

import (
	"github.com/joomcode/errorx"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
)

const (
	// Accepted is the verdict on the next token of the generation.
	Accepted Verdict = iota
	// Duplicate is the verdict on a token that was accepted before.
	Duplicate
	// Foreign is the verdict on an event of another generation, attempt or incarnation.
	Foreign
	// Gap is the verdict on the first token after a missing one: the generation must be resumed from NextIndex.
	Gap
	// Ahead is the verdict on further tokens after a gap, until the missing one arrives.
	Ahead
	// Full is the verdict on a token that a streamed answer has no room for until Next takes one. The link may wait
	// and offer it again.
	Full
	// TooLong is the verdict on a token that a whole answer has no room for. The request must be refused.
	TooLong
	// Ended is the verdict on any event after the end.
	Ended
)

const (
	// None is the step of a relay that has nothing to do.
	None Action = iota
	// Resume asks the same generation for the tokens from Step.From on.
	Resume
	// RunAfresh asks for another attempt with a generation of its own.
	RunAfresh
	// End ends the request with Step.Outcome.
	End
)

const (
	// DefaultTokens bounds the tokens that wait for a slow caller.
	DefaultTokens = 1024
	// DefaultBytes bounds the bytes of those tokens, and of an answer that is delivered whole.
	DefaultBytes = 1 << 20
)

var (
	namespace = errorx.NewNamespace("usherrelay").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	// StartError is the type of errors about a source that a relay may not take.
	StartError = namespace.NewType("start")
)

type (
	// Verdict says what became of an event.
	Verdict uint8

	// Action is a kind of step.
	Action uint8

	// Step is what to do after a link broke or a generation was lost.
	Step struct {
		Action  Action
		From    int
		Outcome usherrequest.Outcome
	}

	// Source names the one generation that a relay takes tokens from.
	Source struct {
		Generation        string
		Attempt           usherrequest.AttemptID
		TargetIncarnation uint64
	}

	// Event is one token as a target sends it. Its bytes belong to the sender.
	Event struct {
		Source Source
		Index  int
		Bytes  []byte
		// Last says that the generation ends with this token, whose bytes may be empty.
		Last bool
	}

	// Token is one token for the caller. Its bytes are valid until the next call of Accept.
	Token struct {
		Index int
		Bytes []byte
		Last  bool
	}

	// Limits bound what a relay holds. Zero values stand for the defaults. An answer delivered whole is bounded by
	// Bytes alone.
	Limits struct {
		Tokens int
		Bytes  int
	}

	// Relay relays the answer to one request. It belongs to one goroutine. The zero value streams within the
	// default limits.
	Relay struct {
		delivery usherrequest.Delivery
		limits   Limits
		source   Source
		started  bool
		resumed  bool
		gap      bool
		complete bool
		ended    bool
		next     int
		released int
		buffer   buffer
	}
)

// New returns a relay that waits for its source.
func New(delivery usherrequest.Delivery, limits Limits) *Relay {
	return &Relay{delivery: delivery, limits: limits}
}

// NewResumed returns a relay that takes over the stream of handle from another gateway. It never runs afresh: this
// gateway has the handle, not the request.
func NewResumed(handle usherrequest.Handle, limits Limits) *Relay {
	return &Relay{
		delivery: usherrequest.Stream,
		limits:   limits,
		source:   Source{handle.Generation, handle.Attempt, handle.TargetIncarnation},
		started:  true,
		resumed:  true,
		next:     handle.NextIndex,
		released: handle.NextIndex,
	}
}

// Start takes source as the generation of the answer. A second one is taken only while the caller has seen nothing.
func (r *Relay) Start(source Source) error {
	if r.ended || r.complete {
		return StartError.New("the answer has ended")
	}
	if r.released > 0 || r.resumed {
		return StartError.New("the caller has seen %d tokens of generation %s", r.released, r.source.Generation)
	}
	if source == r.source {
		return StartError.New("generation %q was started before", source.Generation)
	}
	r.source = source
	r.started = true
	r.gap = false
	r.next = 0
	r.buffer.reset()
	return nil
}

// Source returns the generation that the relay takes tokens from.
func (r *Relay) Source() Source {
	return r.source
}

// NextIndex returns the index of the next token that the relay accepts.
func (r *Relay) NextIndex() int {
	return r.next
}

// Delivered returns how many tokens the caller has, those of earlier gateways included.
func (r *Relay) Delivered() int {
	return r.released
}

// Complete reports whether the last token was accepted.
func (r *Relay) Complete() bool {
	return r.complete
}

// Accept takes event if it is the next token of the generation.
func (r *Relay) Accept(event Event) Verdict {
	switch {
	case !r.started || event.Source != r.source:
		return Foreign
	case r.ended || r.complete:
		return Ended
	case event.Index < r.next:
		return Duplicate
	case event.Index > r.next:
		return r.missing()
	case !r.fits(event.Bytes):
		return r.full()
	}
	r.gap = false
	r.next++
	r.complete = event.Last
	r.buffer.push(event.Bytes)
	return Accepted
}

// Next returns the next token for the caller, if one may be released.
func (r *Relay) Next() (Token, bool) {
	if r.ended || r.delivery == usherrequest.Whole && !r.complete {
		return Token{}, false
	}
	bytes, ok := r.buffer.pop()
	if !ok {
		return Token{}, false
	}
	token := Token{Index: r.released, Bytes: bytes}
	r.released++
	token.Last = r.complete && r.released == r.next
	return token, true
}

// Disconnected returns the step after the link to the target broke: the same generation goes on where it stopped.
func (r *Relay) Disconnected() Step {
	if !r.started || r.ended || r.complete {
		return Step{}
	}
	r.gap = true
	return Step{Action: Resume, From: r.next}
}

// TargetLost returns the step after the generation itself was lost with its target. Tokens that were accepted and not
// released are dropped.
func (r *Relay) TargetLost() Step {
	if !r.started || r.ended || r.complete {
		return Step{}
	}
	if r.released == 0 && !r.resumed {
		r.started = false
		r.buffer.reset()
		return Step{Action: RunAfresh}
	}
	r.ended = true
	return Step{Action: End, Outcome: usherrequest.RanInPart}
}

// Close ends the answer: nothing is accepted or released any more.
func (r *Relay) Close() {
	r.ended = true
}

func (r *Relay) missing() Verdict {
	if r.gap {
		return Ahead
	}
	r.gap = true
	return Gap
}

func (r *Relay) full() Verdict {
	if r.delivery == usherrequest.Whole {
		return TooLong
	}
	return Full
}

func (r *Relay) fits(bytes []byte) bool {
	if r.buffer.bytes()+len(bytes) > orDefault(r.limits.Bytes, DefaultBytes) {
		// An empty buffer takes a token of any size, or a stream could never go on.
		return r.delivery == usherrequest.Stream && r.buffer.tokens() == 0
	}
	return r.delivery == usherrequest.Whole || r.buffer.tokens() < orDefault(r.limits.Tokens, DefaultTokens)
}

func orDefault(value, byDefault int) int {
	if value <= 0 {
		return byDefault
	}
	return value
}
