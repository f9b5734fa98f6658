package usherrequest

import "encoding"

const (
	// Unknown means that the request may have run, partially or completely. It is the zero value because it asserts
	// nothing.
	Unknown Outcome = iota
	// NotRun means that no target has run any part of the request.
	NotRun
	// RanInPart means that a target started the request but the answer is incomplete.
	RanInPart
	// Completed means that the complete answer was received.
	Completed
)

const (
	// Stream delivers each token as it arrives.
	Stream Delivery = iota
	// Whole delivers nothing until the answer is complete.
	Whole
)

var (
	_ encoding.TextUnmarshaler = (*Outcome)(nil)
	_ encoding.TextUnmarshaler = (*Delivery)(nil)

	outcomeNames  = [...]string{Unknown: "unknown", NotRun: "not_run", RanInPart: "ran_in_part", Completed: "completed"}
	deliveryNames = [...]string{Stream: "stream", Whole: "whole"}
)

type (
	// Outcome is how a request ended.
	Outcome uint8

	// Delivery is how an answer is delivered to its caller.
	Delivery uint8

	// Evidence is what a gateway knows about one attempt. The zero value means that nothing was written.
	Evidence struct {
		written, refused, partial, complete bool
	}
)

// String returns the name used in responses to callers.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return outcomeNames[Unknown]
	}
	return outcomeNames[o]
}

// MarshalText implements encoding.TextMarshaler.
func (o Outcome) MarshalText() ([]byte, error) {
	return []byte(o.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (o *Outcome) UnmarshalText(text []byte) error {
	for i, name := range outcomeNames {
		if name == string(text) {
			*o = Outcome(i)
			return nil
		}
	}
	return ErrMalformed.New("unknown outcome %q", text)
}

// Combine returns the outcome of a request with two attempts that ended in o and other. Completed takes precedence over
// RanInPart, and that over Unknown; the result is NotRun only if both are.
func (o Outcome) Combine(other Outcome) Outcome {
	if o.rank() < other.rank() {
		return other
	}
	return o
}

func (o Outcome) rank() int {
	switch o {
	case Completed:
		return 3
	case RanInPart:
		return 2
	case NotRun:
		return 0
	default:
		return 1
	}
}

// String returns the name used in templates.
func (d Delivery) String() string {
	if int(d) >= len(deliveryNames) {
		return "invalid"
	}
	return deliveryNames[d]
}

// MarshalText implements encoding.TextMarshaler.
func (d Delivery) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Delivery) UnmarshalText(text []byte) error {
	for i, name := range deliveryNames {
		if name == string(text) {
			*d = Delivery(i)
			return nil
		}
	}
	return ErrMalformed.New("unknown delivery %q", text)
}

// WithWrite adds that at least one byte of the request may have reached the target.
func (e Evidence) WithWrite() Evidence {
	e.written = true
	return e
}

// WithTargetRefusal adds that the target reported, at the protocol level, that it did not start the request.
func (e Evidence) WithTargetRefusal() Evidence {
	e.refused = true
	return e
}

// WithPartialAnswer adds that a part of the answer was received.
func (e Evidence) WithPartialAnswer() Evidence {
	e.partial = true
	return e
}

// WithCompleteAnswer adds that the complete answer was received.
func (e Evidence) WithCompleteAnswer() Evidence {
	e.complete = true
	return e
}

// Outcome returns the strongest outcome that the evidence supports.
func (e Evidence) Outcome() Outcome {
	switch {
	case e.complete:
		return Completed
	case e.partial:
		return RanInPart
	case e.refused, !e.written:
		return NotRun
	default:
		return Unknown
	}
}
