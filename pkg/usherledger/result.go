package usherledger

import "github.com/samphireusher/samphireusher/pkg/usherrequest"

// Result is how a request ended. The zero value is a request whose outcome is unknown.
type Result struct {
	completed bool

	// Answer is the whole answer of a completed request, unless AnswerDropped says that there was no room to keep it.
	Answer        []byte
	AnswerDropped bool
	// Refusal is what the caller was told if the request did not complete.
	Refusal usherrequest.Refusal
}

// Completed returns the result of a request with its whole answer.
func Completed(answer []byte) Result {
	return Result{completed: true, Answer: answer}
}

// Refused returns the result of a request that ended in refusal.
func Refused(refusal usherrequest.Refusal) Result {
	return Result{Refusal: refusal}
}

// Outcome returns how the request ended.
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
