package usherledger

import "github.com/samphireusher/samphireusher/pkg/usherrequest"

// Result is the result of a request. In the zero value the outcome is unknown.
type Result struct {
	completed bool

	// Answer is the complete answer of a completed request. If AnswerDropped is set, it was dropped to stay within
	// Limits.AnswerBytes.
	Answer        []byte
	AnswerDropped bool
	// Refusal is the refusal sent to the caller if the request did not complete.
	Refusal usherrequest.Refusal
}

// Completed returns the result of a completed request with its complete answer.
func Completed(answer []byte) Result {
	return Result{completed: true, Answer: answer}
}

// Refused returns the result of a refused request.
func Refused(refusal usherrequest.Refusal) Result {
	return Result{Refusal: refusal}
}

// Outcome returns the outcome of the request.
func (r Result) Outcome() usherrequest.Outcome {
	if r.completed {
		return usherrequest.Completed
	}
	return r.Refusal.Outcome()
}

func (r Result) withoutAnswer() Result {
	r.AnswerDropped = len(r.Answer) > 0
	r.Answer = nil
	return r
}
