package usherhost

import (
	"net/http"
	"strconv"
	"time"
)

type (
	// refusal is an answer of the host's own. Its status tells callers whether the request may have run.
	refusal struct {
		reason reason
		// retryAfter is when the caller may come back; negative for no advice.
		retryAfter time.Duration
		cause      error
	}

	// reason is why a request was turned away, as logs and metrics name it.
	reason string
)

const (
	reasonMalformed       reason = "malformed"
	reasonHeaderTooLarge  reason = "header_too_large"
	reasonBodyTooLarge    reason = "body_too_large"
	reasonBodyIncomplete  reason = "body_incomplete"
	reasonNoRoute         reason = "no_route"
	reasonUnknownKey      reason = "unknown_key"
	reasonNoConfiguration reason = "no_configuration"
	reasonStopping        reason = "stopping"
	reasonNoTarget        reason = "no_target"
	reasonOverloaded      reason = "overloaded"
	// reasonNotRun is that every target the request was sent to said that it did not run it.
	reasonNotRun reason = "not_run"
	// reasonExpired is that the time ran out before the request was sent.
	reasonExpired reason = "expired"
	// reasonTimeout is that the time ran out while a target had the request.
	reasonTimeout reason = "timeout"
	// reasonBroken is that the connection to the target broke while it had the request.
	reasonBroken reason = "broken"

	noRetryAfter = -1
	// shortPause is the advice where another host or target takes the request at once.
	retryAfterShort = 50 * time.Millisecond
	// startPause is the advice of a host that does not know the declarations yet.
	retryAfterStarting = 500 * time.Millisecond
	// targetPause is the advice where no target accepts work: reclaimed targets are replaced within seconds, and some
	// come back sooner.
	retryAfterNoTarget = time.Second
)

// statuses says which answers promise that the request has not run: 429 and 503 do, 502 and 504 do not.
var statusByReason = map[reason]int{
	reasonMalformed:       http.StatusBadRequest,
	reasonHeaderTooLarge:  http.StatusRequestHeaderFieldsTooLarge,
	reasonBodyTooLarge:    http.StatusRequestEntityTooLarge,
	reasonBodyIncomplete:  http.StatusBadRequest,
	reasonNoRoute:         http.StatusNotFound,
	reasonUnknownKey:      http.StatusUnauthorized,
	reasonNoConfiguration: http.StatusServiceUnavailable,
	reasonStopping:        http.StatusServiceUnavailable,
	reasonNoTarget:        http.StatusServiceUnavailable,
	reasonOverloaded:      http.StatusServiceUnavailable,
	reasonNotRun:          http.StatusServiceUnavailable,
	reasonExpired:         http.StatusServiceUnavailable,
	reasonTimeout:         http.StatusGatewayTimeout,
	reasonBroken:          http.StatusBadGateway,
}

func refuse(r reason, retryAfter time.Duration, cause error) *refusal {
	return &refusal{reason: r, retryAfter: retryAfter, cause: cause}
}

func (r *refusal) status() int { return statusByReason[r.reason] }

// write answers the caller.
func (r *refusal) write(w http.ResponseWriter) error {
	if r.retryAfter >= 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(r.status())
	_, err := w.Write([]byte(`{"error":"` + string(r.reason) + `"}` + "\n"))
	return err
}
