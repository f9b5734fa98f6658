package usherrequest

import (
	"time"

	"github.com/joomcode/errorx"
)

// Reasons why a request ends without a complete answer.
const (
	ReasonCancelled          Reason = "cancelled"
	ReasonConflict           Reason = "conflict"
	ReasonDeadlinePassed     Reason = "deadline_passed"
	ReasonExpired            Reason = "expired"
	ReasonForged             Reason = "forged"
	ReasonGatewayUnreachable Reason = "gateway_gone"
	ReasonIDRefused          Reason = "id_given_up"
	ReasonLedgerFull         Reason = "ledger_full"
	ReasonMalformed          Reason = "malformed"
	ReasonNotHere            Reason = "not_here"
	ReasonOverloaded         Reason = "overloaded"
	ReasonStopping           Reason = "stopping"
	ReasonSuspect            Reason = "suspect"
	ReasonTargetLost         Reason = "target_lost"
	ReasonTargetRefused      Reason = "target_refused"
	ReasonTooLong            Reason = "too_long"
)

var (
	namespace = errorx.NewNamespace("usherrequest").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	// MalformedError is the type of errors for values that cannot be encoded or decoded.
	MalformedError = namespace.NewType("malformed")
	// ForgedError is the type of errors for IDs and handles whose authentication code does not match.
	ForgedError = namespace.NewType("forged")
	// ExpiredError is the type of errors for expired handles.
	ExpiredError = namespace.NewType("expired")
	// WorkspaceMismatchError is the type of errors for IDs and handles of another workspace.
	WorkspaceMismatchError = namespace.NewType("foreign")
	// SecretError is the type of errors for missing or too short fleet secrets.
	SecretError = namespace.NewType("secret")
	// TransitionError is the type of errors for events that are not valid in the state of a request.
	TransitionError = namespace.NewType("transition")
)

type (
	// Reason is the reason why a request ended without a complete answer.
	Reason string

	// Refusal is the error returned to a caller whose request ends without a complete answer.
	//
	// Its outcome can only be derived from Evidence or received from another process that derived it. The outcome of
	// the zero value is Unknown.
	Refusal struct {
		outcome Outcome

		Reason       Reason
		RetryAfter   time.Duration
		OtherAddress string
	}
)

// Refuse returns the refusal of a request with at most one attempt, given the evidence about it.
func Refuse(evidence Evidence, reason Reason) Refusal {
	return Refusal{outcome: evidence.Outcome(), Reason: reason}
}

// ReceivedRefusal returns a refusal that another gateway derived from its evidence and sent to this process.
func ReceivedRefusal(outcome Outcome, reason Reason) Refusal {
	return Refusal{outcome: outcome, Reason: reason}
}

// Outcome returns the outcome of the refused request.
func (r Refusal) Outcome() Outcome {
	return r.outcome
}

// WithRetryAfter returns the refusal with the time after which the caller may retry.
func (r Refusal) WithRetryAfter(wait time.Duration) Refusal {
	r.RetryAfter = wait
	return r
}

// WithOtherAddress returns the refusal with the address of another gateway to use.
func (r Refusal) WithOtherAddress(address string) Refusal {
	r.OtherAddress = address
	return r
}

// Error implements error.
func (r Refusal) Error() string {
	return r.outcome.String() + ": " + string(r.Reason)
}
