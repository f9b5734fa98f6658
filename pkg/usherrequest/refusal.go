package usherrequest

import (
	"time"

	"github.com/joomcode/errorx"
)

// Reasons why a request ends without a whole answer.
const (
	ReasonCancelled      Reason = "cancelled"
	ReasonConflict       Reason = "conflict"
	ReasonDeadlinePassed Reason = "deadline_passed"
	ReasonExpired        Reason = "expired"
	ReasonForged         Reason = "forged"
	ReasonGatewayGone    Reason = "gateway_gone"
	ReasonGivenUp        Reason = "id_given_up"
	ReasonLedgerFull     Reason = "ledger_full"
	ReasonMalformed      Reason = "malformed"
	ReasonNotHere        Reason = "not_here"
	ReasonOverloaded     Reason = "overloaded"
	ReasonStopping       Reason = "stopping"
	ReasonSuspect        Reason = "suspect"
	ReasonTargetLost     Reason = "target_lost"
	ReasonTargetRefused  Reason = "target_refused"
	ReasonTooLong        Reason = "too_long"
)

var (
	namespace = errorx.NewNamespace("usherrequest").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	// MalformedError is the type of errors about text that is no value of its kind.
	MalformedError = namespace.NewType("malformed")
	// ForgedError is the type of errors about an id or handle whose authentication code does not match.
	ForgedError = namespace.NewType("forged")
	// ExpiredError is the type of errors about a handle after its time.
	ExpiredError = namespace.NewType("expired")
	// WorkspaceMismatchError is the type of errors about an id or handle of another workspace.
	WorkspaceMismatchError = namespace.NewType("foreign")
	// SecretError is the type of errors about a keyring that cannot sign.
	SecretError = namespace.NewType("secret")
	// TransitionError is the type of errors about a step that a request cannot take in its state.
	TransitionError = namespace.NewType("transition")
)

type (
	// Reason names why a request ended without a whole answer.
	Reason string

	// Refusal ends a request without a whole answer. It is an error that callers see.
	//
	// Its outcome can only come from Evidence or from another process that had it; that of the zero value is Unknown.
	Refusal struct {
		outcome Outcome

		Reason       Reason
		RetryAfter   time.Duration
		OtherAddress string
	}
)

// Refuse returns the refusal of a request about whose only attempt evidence is known.
func Refuse(evidence Evidence, reason Reason) Refusal {
	return Refusal{outcome: evidence.Outcome(), Reason: reason}
}

// ReceivedRefusal returns a refusal that another gateway derived from its evidence and sent here.
func ReceivedRefusal(outcome Outcome, reason Reason) Refusal {
	return Refusal{outcome: outcome, Reason: reason}
}

// Outcome returns what is known about the refused request.
func (r Refusal) Outcome() Outcome {
	return r.outcome
}

// WithRetryAfter returns the refusal with advice on when to try again.
func (r Refusal) WithRetryAfter(wait time.Duration) Refusal {
	r.RetryAfter = wait
	return r
}

// WithOtherAddress returns the refusal with the address of a gateway to ask instead.
func (r Refusal) WithOtherAddress(address string) Refusal {
	r.OtherAddress = address
	return r
}

// Error implements error.
func (r Refusal) Error() string {
	return r.outcome.String() + ": " + string(r.Reason)
}
