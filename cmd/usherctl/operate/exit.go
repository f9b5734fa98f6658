package usheroperation

import (
	"errors"

	"github.com/alecthomas/kong"
	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/usherrequest"
	"github.com/samphireusher/samphireusher/service/usherclient"
)

// Exit codes of usherctl. ExitNotRun, ExitRanInPart and ExitUnknown are outcomes of a request that did not complete.
const (
	ExitOK        = 0
	ExitFailure   = 1
	ExitUsage     = 2
	ExitNotRun    = 3
	ExitRanInPart = 4
	ExitUnknown   = 5
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("usher_operation").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrUsage is returned for an invalid argument or flag value.
	ErrUsage = Errors.NewType("usage")
	// ErrFile is returned if a file cannot be read or written, or would be overwritten without --force.
	ErrFile = Errors.NewType("file")
	// ErrProcess is returned if a process does not respond or its response is invalid.
	ErrProcess = Errors.NewType("process")
)

// requestError is the error of a request that did not complete, with the outcome that is known of it.
type requestError struct {
	outcome usherrequest.Outcome
	cause   error
}

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	var parse *kong.ParseError
	var request requestError
	var typed *errorx.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &request):
		return request.exitCode()
	case errors.As(err, &parse), errors.As(err, &typed) && typed.IsOfType(ErrUsage):
		return ExitUsage
	default:
		return ExitFailure
	}
}

// toRequestError converts an error of the client into a requestError. The outcome is that of the gateway's refusal,
// not_run if the gateway was unreachable, and unknown otherwise.
func toRequestError(err error) error {
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

func (e requestError) Error() string {
	var refusal usherclient.Refusal
	if errors.As(e.cause, &refusal) {
		return refusal.Error()
	}
	return e.outcome.String() + ": " + e.cause.Error()
}

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
