package usherrequest

import "encoding"

const (
	// Unknown says that the request may have run, in part or whole. It is the zero value: it claims nothing.
	Unknown Outcome = iota
	// NotRun says that no target has run any part of the request.
	NotRun
	// RanInPart says that a target began the request and its answer is not whole.
	RanInPart
	// Completed says that the whole answer was seen.
	Completed
)

const (
	// Stream releases each token as it comes.
	Stream Delivery = iota
	// Whole releases nothing before the answer is complete.
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

	// Delivery is how an answer is released to its caller.
	Delivery uint8

	// Evidence is what a gateway knows about one attempt. The zero value says that nothing was written.
	Evidence struct {
		written, refused, part, whole bool
	}
)

// String returns the name that callers see.
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
	return MalformedError.New("%q is no outcome", text)
}

// And returns the outcome of a request with one attempt that ended in o and another that ended in other. A whole
// answer counts most, and NotRun holds only if it holds for both.
func (o Outcome) And(other Outcome) Outcome {
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

// String returns the name that templates use.
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
	return MalformedError.New("%q is no delivery", text)
}

// WithWrite returns the evidence after at least one byte of the request may have reached the target.
func (e Evidence) WithWrite() Evidence {
	e.written = true
	return e
}

// WithTargetRefusal returns the evidence after the target said, by its protocol, that it did not begin the request.
func (e Evidence) WithTargetRefusal() Evidence {
	e.refused = true
	return e
}

// WithPart returns the evidence after a part of the answer was seen.
func (e Evidence) WithPart() Evidence {
	e.part = true
	return e
}

// WithWhole returns the evidence after the whole answer was seen.
func (e Evidence) WithWhole() Evidence {
	e.whole = true
	return e
}

// Outcome returns the strongest outcome that the evidence supports.
func (e Evidence) Outcome() Outcome {
	switch {
	case e.whole:
		return Completed
	case e.part:
		return RanInPart
	case e.refused, !e.written:
		return NotRun
	default:
		return Unknown
	}
}
