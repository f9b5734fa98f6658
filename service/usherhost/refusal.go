package usherhost

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

type (
	// refusal is a response of the host itself. Its status tells callers whether the request may have run.
	refusal struct {
		reason reason
		// retryAfter is how long callers should wait before they retry; negative for no advice.
		retryAfter time.Duration
		cause      error
	}

	// reason is why a request was refused, as logs and metrics name it.
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
	// reasonLimited means that the remaining targets take few requests and that another host has the turn.
	reasonLimited reason = "limited"
	// reasonSuspect means that requests with the same parts of a prompt, or the same content, crashed targets.
	reasonSuspect reason = "suspect"
	// reasonNoRoom means that no target will have room for the request in its time.
	reasonNoRoom reason = "no_room"
	// reasonNotRun means that every target the request was sent to reported that it did not run it.
	reasonNotRun reason = "not_run"
	// reasonExpired means that the deadline passed before the request was sent.
	reasonExpired reason = "expired"
	// reasonTimeout means that the deadline passed while a target had the request.
	reasonTimeout reason = "timeout"
	// reasonBroken means that the connection to the target broke while it had the request.
	reasonBroken reason = "broken"

	noRetryAfter = -1
	// retryAfterShort is for requests that another host or target can take at once.
	retryAfterShort = 50 * time.Millisecond
	// retryAfterStarting is for requests to a host that does not know the configuration yet.
	retryAfterStarting = 500 * time.Millisecond
	// retryAfterNoTarget is for services where no target accepts work: reclaimed targets are replaced within seconds,
	// and some come back sooner.
	retryAfterNoTarget = time.Second
)

// statusByReason decides which responses guarantee that the request has not run: 429 and 503 do, 502 and 504 do not.
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
	reasonLimited:         http.StatusServiceUnavailable,
	reasonOverloaded:      http.StatusServiceUnavailable,
	reasonNoRoom:          http.StatusServiceUnavailable,
	reasonSuspect:         http.StatusServiceUnavailable,
	reasonNotRun:          http.StatusServiceUnavailable,
	reasonExpired:         http.StatusServiceUnavailable,
	reasonTimeout:         http.StatusGatewayTimeout,
	reasonBroken:          http.StatusBadGateway,
}

// promisesNotRun reports whether callers take a status for the promise that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

func refuse(r reason, retryAfter time.Duration, cause error) *refusal {
	return &refusal{reason: r, retryAfter: retryAfter, cause: cause}
}

func (r *refusal) status() int { return statusByReason[r.reason] }

// write sends the refusal to the caller. It may wait for the rest of the request's body, which the HTTP server reads first.
func (r *refusal) write(w http.ResponseWriter) error {
	body := `{"error":"` + string(r.reason) + `"}` + "\n"
	if r.retryAfter >= 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.status())
	if _, err := io.WriteString(w, body); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}
