package usherrequest

import (
	"context"

	"github.com/looplab/fsm"
)

// States of a request. The last three are terminal.
const (
	StateAccepted   State = "accepted"
	StateQueued     State = "queued"
	StateGranted    State = "granted"
	StateDispatched State = "dispatched"
	StateStreaming  State = "streaming"
	StateCompleted  State = "completed"
	StateRefused    State = "refused"
	StateCancelled  State = "cancelled"
)

const (
	eventQueue    = "queue"
	eventGrant    = "grant"
	eventDispatch = "dispatch"
	eventStream   = "stream"
	eventRetry    = "retry"
	eventComplete = "complete"
	eventRefuse   = "refuse"
	eventCancel   = "cancel"
)

var (
	open = []string{
		string(StateAccepted), string(StateQueued), string(StateGranted), string(StateDispatched), string(StateStreaming),
	}

	lifeEvents = fsm.Events{
		{Name: eventQueue, Src: []string{string(StateAccepted)}, Dst: string(StateQueued)},
		{Name: eventGrant, Src: []string{string(StateQueued)}, Dst: string(StateGranted)},
		{Name: eventDispatch, Src: []string{string(StateGranted)}, Dst: string(StateDispatched)},
		{Name: eventStream, Src: []string{string(StateDispatched)}, Dst: string(StateStreaming)},
		{Name: eventRetry, Src: []string{string(StateGranted), string(StateDispatched), string(StateStreaming)}, Dst: string(StateQueued)},
		{Name: eventComplete, Src: []string{string(StateDispatched), string(StateStreaming)}, Dst: string(StateCompleted)},
		{Name: eventRefuse, Src: open, Dst: string(StateRefused)},
		{Name: eventCancel, Src: open, Dst: string(StateCancelled)},
	}
)

type (
	// State is a step in the life of a request.
	State string

	// Rules are what a template declares about its requests that bears on running one again.
	Rules struct {
		Idempotent bool
		Delivery   Delivery
	}

	// Lifecycle is the life cycle of one request at one gateway. It ends exactly once, and the outcome at its end
	// follows from the evidence of all attempts. It belongs to one goroutine. The zero value is an accepted request
	// under the strictest rules: not idempotent, streamed.
	Lifecycle struct {
		machine  *fsm.FSM
		rules    Rules
		attempt  AttemptID
		evidence Evidence
		earlier  []Evidence
		released bool
	}
)

// NewLifecycle returns an accepted request under rules.
func NewLifecycle(rules Rules) *Lifecycle {
	return &Lifecycle{rules: rules}
}

// State returns where the request is in its life.
func (l *Lifecycle) State() State {
	return State(l.fsm().Current())
}

// Ended reports whether the request is in a terminal state.
func (l *Lifecycle) Ended() bool {
	switch l.State() {
	case StateCompleted, StateRefused, StateCancelled:
		return true
	default:
		return false
	}
}

// Attempt returns the attempt in progress or, after the end, the last one. Replies to any other are dropped.
func (l *Lifecycle) Attempt() AttemptID {
	return l.attempt
}

// Outcome returns what is known about the request up to now.
func (l *Lifecycle) Outcome() Outcome {
	outcome := l.evidence.Outcome()
	for _, evidence := range l.earlier {
		outcome = outcome.And(evidence.Outcome())
	}
	return outcome
}

// Queue records that the request waits for a grant.
func (l *Lifecycle) Queue() error {
	return l.step(eventQueue)
}

// Grant records that a scheduler granted the request to a target.
func (l *Lifecycle) Grant() error {
	return l.step(eventGrant)
}

// Dispatch begins attempt. It comes before the first byte is written, and counts as a write unless MarkUnsent says otherwise.
func (l *Lifecycle) Dispatch(attempt AttemptID) error {
	if attempt == (AttemptID{}) || attempt == l.attempt {
		return TransitionError.New("attempt %s is not a new one", attempt)
	}
	if err := l.step(eventDispatch); err != nil {
		return err
	}
	l.attempt = attempt
	l.evidence = Evidence{}.WithWrite()
	return nil
}

// MarkUnsent records that writing the request failed before its first byte left this process.
func (l *Lifecycle) MarkUnsent() error {
	if l.State() != StateDispatched || l.evidence != (Evidence{}).WithWrite() {
		return TransitionError.New("a request in state %s cannot be unsent", l.State())
	}
	l.evidence = Evidence{}
	return nil
}

// TargetRefused records that the target said by its protocol that it did not begin the request.
func (l *Lifecycle) TargetRefused() error {
	if l.State() != StateDispatched {
		return TransitionError.New("a target cannot refuse a request in state %s", l.State())
	}
	l.evidence = l.evidence.WithTargetRefusal()
	return nil
}

// Stream records the first part of the answer.
func (l *Lifecycle) Stream() error {
	if err := l.step(eventStream); err != nil {
		return err
	}
	l.evidence = l.evidence.WithPart()
	return nil
}

// BeginDelivery records that a part of the answer is about to go to the caller, after which there is no second generation.
// An answer that is delivered whole is released only once it is complete.
func (l *Lifecycle) BeginDelivery() error {
	switch state := l.State(); {
	case state == StateCompleted, state == StateStreaming && l.rules.Delivery == Stream:
		l.released = true
		return nil
	default:
		return TransitionError.New("a %s answer cannot be released in state %s", l.rules.Delivery, state)
	}
}

// CanRetry reports whether another attempt is safe: none has run, or the request is idempotent and its caller has
// seen nothing yet.
func (l *Lifecycle) CanRetry() bool {
	if l.Outcome() == NotRun {
		return true
	}
	return l.rules.Idempotent && !l.released
}

// Retry gives the attempt up and queues the request for another one.
func (l *Lifecycle) Retry() error {
	if !l.CanRetry() {
		return TransitionError.New("a request with outcome %s cannot be run again", l.Outcome())
	}
	if err := l.step(eventRetry); err != nil {
		return err
	}
	if l.evidence.Outcome() != NotRun {
		l.earlier = append(l.earlier, l.evidence)
	}
	l.evidence = Evidence{}
	return nil
}

// Complete ends the request with its whole answer.
func (l *Lifecycle) Complete() error {
	if err := l.step(eventComplete); err != nil {
		return err
	}
	l.evidence = l.evidence.WithWhole()
	return nil
}

// Refuse ends the request without a whole answer and returns what its caller is told.
func (l *Lifecycle) Refuse(reason Reason) (Refusal, error) {
	if err := l.step(eventRefuse); err != nil {
		return Refusal{}, err
	}
	return Refusal{outcome: l.Outcome(), Reason: reason}, nil
}

// Cancel ends the request because its caller no longer wants it.
func (l *Lifecycle) Cancel() (Refusal, error) {
	if err := l.step(eventCancel); err != nil {
		return Refusal{}, err
	}
	return Refusal{outcome: l.Outcome(), Reason: ReasonCancelled}, nil
}

func (l *Lifecycle) step(event string) error {
	if err := l.fsm().Event(context.Background(), event); err != nil {
		return TransitionError.Wrap(err, "request cannot %s", event)
	}
	return nil
}

func (l *Lifecycle) fsm() *fsm.FSM {
	if l.machine == nil {
		l.machine = fsm.NewFSM(string(StateAccepted), lifeEvents, nil)
	}
	return l.machine
}
