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
	nonTerminal = []string{
		string(StateAccepted), string(StateQueued), string(StateGranted), string(StateDispatched), string(StateStreaming),
	}

	lifecycleEvents = fsm.Events{
		{Name: eventQueue, Src: []string{string(StateAccepted)}, Dst: string(StateQueued)},
		{Name: eventGrant, Src: []string{string(StateQueued)}, Dst: string(StateGranted)},
		{Name: eventDispatch, Src: []string{string(StateGranted)}, Dst: string(StateDispatched)},
		{Name: eventStream, Src: []string{string(StateDispatched)}, Dst: string(StateStreaming)},
		{Name: eventRetry, Src: []string{string(StateGranted), string(StateDispatched), string(StateStreaming)}, Dst: string(StateQueued)},
		{Name: eventComplete, Src: []string{string(StateDispatched), string(StateStreaming)}, Dst: string(StateCompleted)},
		{Name: eventRefuse, Src: nonTerminal, Dst: string(StateRefused)},
		{Name: eventCancel, Src: nonTerminal, Dst: string(StateCancelled)},
	}
)

type (
	// State is the state of a request.
	State string

	// Rules are the properties that a template declares for its requests that determine whether a request may be
	// retried.
	Rules struct {
		Idempotent bool
		Delivery   Delivery
	}

	// Lifecycle tracks one request at one gateway. It ends exactly once, and its final outcome is derived from the
	// evidence of all attempts. It must be used by one goroutine only. The zero value is an accepted request under the
	// strictest rules: not idempotent, streamed.
	Lifecycle struct {
		stateMachine    *fsm.FSM
		rules           Rules
		attempt         AttemptID
		evidence        Evidence
		earlierAttempts []Evidence
		delivered       bool
	}
)

// NewLifecycle returns the lifecycle of a request in state StateAccepted.
func NewLifecycle(rules Rules) *Lifecycle {
	return &Lifecycle{rules: rules}
}

// State returns the current state of the request.
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

// Attempt returns the attempt in progress or, in a terminal state, the last one. Replies to any other attempt are
// dropped.
func (l *Lifecycle) Attempt() AttemptID {
	return l.attempt
}

// Outcome returns the outcome that the evidence of all attempts supports so far.
func (l *Lifecycle) Outcome() Outcome {
	outcome := l.evidence.Outcome()
	for _, evidence := range l.earlierAttempts {
		outcome = outcome.Combine(evidence.Outcome())
	}
	return outcome
}

// Queue records that the request is waiting for a grant.
func (l *Lifecycle) Queue() error {
	return l.trigger(eventQueue)
}

// Grant records that a scheduler granted the request to a target.
func (l *Lifecycle) Grant() error {
	return l.trigger(eventGrant)
}

// Dispatch starts an attempt. It must be called before the first byte is written, and counts as a write unless
// MarkUnsent is called.
func (l *Lifecycle) Dispatch(attempt AttemptID) error {
	if attempt == (AttemptID{}) || attempt == l.attempt {
		return TransitionError.New("attempt %s is not new", attempt)
	}
	if err := l.trigger(eventDispatch); err != nil {
		return err
	}
	l.attempt = attempt
	l.evidence = Evidence{}.WithWrite()
	return nil
}

// MarkUnsent records that writing the request failed before its first byte left this process.
func (l *Lifecycle) MarkUnsent() error {
	if l.State() != StateDispatched || l.evidence != (Evidence{}).WithWrite() {
		return TransitionError.New("cannot mark a request in state %s as unsent", l.State())
	}
	l.evidence = Evidence{}
	return nil
}

// TargetRefused records that the target reported, at the protocol level, that it did not start the request.
func (l *Lifecycle) TargetRefused() error {
	if l.State() != StateDispatched {
		return TransitionError.New("a target cannot refuse a request in state %s", l.State())
	}
	l.evidence = l.evidence.WithTargetRefusal()
	return nil
}

// Stream records that the first part of the answer was received.
func (l *Lifecycle) Stream() error {
	if err := l.trigger(eventStream); err != nil {
		return err
	}
	l.evidence = l.evidence.WithPartialAnswer()
	return nil
}

// BeginDelivery records that a part of the answer is about to be sent to the caller; after that the request is not
// retried. With Delivery Whole it is allowed only once the answer is complete.
func (l *Lifecycle) BeginDelivery() error {
	switch state := l.State(); {
	case state == StateCompleted, state == StateStreaming && l.rules.Delivery == Stream:
		l.delivered = true
		return nil
	default:
		return TransitionError.New("cannot deliver a %s answer in state %s", l.rules.Delivery, state)
	}
}

// CanRetry reports whether another attempt is safe: either no attempt has run, or the request is idempotent and nothing
// has been delivered to the caller.
func (l *Lifecycle) CanRetry() bool {
	if l.Outcome() == NotRun {
		return true
	}
	return l.rules.Idempotent && !l.delivered
}

// Retry abandons the current attempt and queues the request for another one.
func (l *Lifecycle) Retry() error {
	if !l.CanRetry() {
		return TransitionError.New("cannot retry a request with outcome %s", l.Outcome())
	}
	if err := l.trigger(eventRetry); err != nil {
		return err
	}
	if l.evidence.Outcome() != NotRun {
		l.earlierAttempts = append(l.earlierAttempts, l.evidence)
	}
	l.evidence = Evidence{}
	return nil
}

// Complete ends the request with a complete answer.
func (l *Lifecycle) Complete() error {
	if err := l.trigger(eventComplete); err != nil {
		return err
	}
	l.evidence = l.evidence.WithCompleteAnswer()
	return nil
}

// Refuse ends the request without a complete answer and returns the refusal for its caller.
func (l *Lifecycle) Refuse(reason Reason) (Refusal, error) {
	if err := l.trigger(eventRefuse); err != nil {
		return Refusal{}, err
	}
	return Refusal{outcome: l.Outcome(), Reason: reason}, nil
}

// Cancel ends the request because its caller cancelled it.
func (l *Lifecycle) Cancel() (Refusal, error) {
	if err := l.trigger(eventCancel); err != nil {
		return Refusal{}, err
	}
	return Refusal{outcome: l.Outcome(), Reason: ReasonCancelled}, nil
}

func (l *Lifecycle) trigger(event string) error {
	if err := l.fsm().Event(context.Background(), event); err != nil {
		return TransitionError.Wrap(err, "request cannot %s", event)
	}
	return nil
}

func (l *Lifecycle) fsm() *fsm.FSM {
	if l.stateMachine == nil {
		l.stateMachine = fsm.NewFSM(string(StateAccepted), lifecycleEvents, nil)
	}
	return l.stateMachine
}
