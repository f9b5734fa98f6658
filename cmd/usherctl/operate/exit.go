package usheroperation

import (
	"errors"

	"github.com/alecthomas/kong"
	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/usherrequest"
	"github.com/samphireusher/samphireusher/service/usherclient"
)

// Exit codes of usherctl.
const (
	ExitCompleted = 0
	ExitFailure   = 1
	ExitUsage     = 2
	ExitNotRun    = 3
	ExitRanInPart = 4
	ExitUnknown   = 5
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("usher_operation").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrUsage says that the command line asks for something that cannot be done.
	ErrUsage = Errors.NewType("usage")
	// ErrFile says that a file is missing, in the way or no such file.
	ErrFile = Errors.NewType("file")
	// ErrProcess says that a process did not answer as it should.
	ErrProcess = Errors.NewType("process")
)

// requestError is the end of a request without a whole answer.
type requestError struct {
	outcome usherrequest.Outcome
	cause   error
}

// ExitCode returns the exit code that tells scripts what err means.
func ExitCode(err error) int {
	var parse *kong.ParseError
	var request requestError
	var typed *errorx.Error
	switch {
	case err == nil:
		return ExitCompleted
	case errors.As(err, &request):
		return request.exitCode()
	case errors.As(err, &parse), errors.As(err, &typed) && typed.IsOfType(ErrUsage):
		return ExitUsage
	default:
		return ExitFailure
	}
}

// ended turns the error of a request into one that tells what became of the request.
func ended(err error) error {
	var refusal usherclient.Refusal
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refusal):
		var outcome usherrequest.Outcome
		if err := outcome.UnmarshalText([]byte(refusal.Outcome)); err != nil {
			outcome = usherrequest.Unknown
		}
		return requestError{outcome, err}
	case errorx.IsOfType(err, usherclient.ErrUnreachable):
		return requestError{usherrequest.NotRun, err}
	default:
		return requestError{usherrequest.Unknown, err}
	}
}

// Error implements error.
func (e requestError) Error() string {
	var refusal usherclient.Refusal
	if errors.As(e.cause, &refusal) {
		return refusal.Error()
	}
	return e.outcome.String() + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e requestError) Unwrap() error {
	return e.cause
}

func (e requestError) exitCode() int {
	switch e.outcome {
	case usherrequest.NotRun:
		return ExitNotRun
	case usherrequest.RanInPart:
		return ExitRanInPart
	default:
		return ExitUnknown
	}
}
