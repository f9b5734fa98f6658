package ushergateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/justinas/alice"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
)

const (
	workspaceHeader = "Usher-Workspace"
	bearerPrefix    = "Bearer "
	// bodyTimeout is how long a caller may take to send its request body.
	bodyTimeout = 10 * time.Second
)

type (
	workspaceKey struct{}

	// refusalWire is the JSON body of a request that was refused or not completed.
	refusalWire struct {
		Outcome      usherrequest.Outcome `json:"outcome"`
		Reason       string               `json:"reason"`
		Message      string               `json:"message,omitempty"`
		RetryAfterMS int64                `json:"retry_after_ms,omitempty"`
		OtherAddress string               `json:"other_address,omitempty"`
		RequestID    string               `json:"request_id,omitempty"`
	}

	// limitedBody is a request body with a size limit and a read deadline.
	limitedBody struct {
		io.ReadCloser
		control *http.ResponseController
	}

	handlerFunc func(w http.ResponseWriter, r *http.Request) error
)

var (
	// errMalformed is the type of errors for invalid request parameters and request bodies, and for tokens that cannot be
	// decoded.
	errMalformed = Errors.NewType("malformed")
	// errUnauthenticated is the type of errors for API requests without the key of a known workspace.
	errUnauthenticated = Errors.NewType("unauthenticated")
	// errNotFound is the type of errors for requests that this gateway does not know or that are not in progress.
	errNotFound = Errors.NewType("not_found")
	// errIDRequired is the type of errors for requests that need an id, as their template is not idempotent, and have
	// none.
	errIDRequired = Errors.NewType("needs_request_id")

	// errorStatuses maps the error types that callers may see to HTTP status codes; any other error is internal.
	errorStatuses = []struct {
		kind   *errorx.Type
		status int
	}{
		{errMalformed, http.StatusBadRequest},
		{errIDRequired, http.StatusBadRequest},
		{errUnauthenticated, http.StatusUnauthorized},
		{errNotFound, http.StatusNotFound},
		{usherconfig.ErrNoTemplate, http.StatusNotFound},
		{usherconfig.ErrNoWorkspace, http.StatusUnauthorized},
		{usherconfig.ErrUnknownParameter, http.StatusBadRequest},
		{usherconfig.ErrRepeatedParameter, http.StatusBadRequest},
		{usherconfig.ErrMissingParameter, http.StatusBadRequest},
		{usherconfig.ErrMalformedParameter, http.StatusBadRequest},
		{usherconfig.ErrOutOfBounds, http.StatusBadRequest},
		{usherrequest.ErrMalformed, http.StatusBadRequest},
		{usherrequest.ErrForged, http.StatusForbidden},
		{usherrequest.ErrWorkspaceMismatch, http.StatusForbidden},
		{usherrequest.ErrExpired, http.StatusGone},
	}
)

// Routes returns the handler of the HTTP API for callers.
func (g *Gateway) Routes() http.Handler {
	mux := http.NewServeMux()
	chain := alice.New(g.limitBody, g.authenticate)
	handle := func(pattern string, handler handlerFunc) {
		mux.Handle(pattern, chain.Then(g.writeErrors(handler)))
	}
	handle("GET /v1/locate", g.serveLocate)
	handle("POST /v1/ids", g.serveNewID)
	handle("POST /v1/requests", g.serveSubmit)
	handle("GET /v1/requests/{id}", g.serveStatus)
	handle("DELETE /v1/requests/{id}", g.serveCancel)
	handle("GET /v1/resume", g.serveResume)
	return mux
}

// limitBody bounds the size of a request body and the time to read it.
func (g *Gateway) limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.stopping.Load() {
			w.Header().Set("Connection", "close") // so that callers do not reuse a connection that is about to close
		}
		control := http.NewResponseController(w)
		// Without a body no read clears the deadline, which would end the request's context.
		if r.ContentLength != 0 {
			_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
		}
		r.Body = &limitedBody{ReadCloser: http.MaxBytesReader(w, r.Body, g.Limits.BodyBytes), control: control}
		next.ServeHTTP(w, r)
	})
}

// Read clears the read deadline at the end of the body, because the response may take longer than the deadline.
func (b *limitedBody) Read(data []byte) (int, error) {
	count, err := b.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return count, err
}

// authenticate requires a valid workspace key and stores the workspace's name in the request context.
func (g *Gateway) authenticate(next http.Handler) http.Handler {
	return g.writeErrors(func(w http.ResponseWriter, r *http.Request) error {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		if !ok {
			return errUnauthenticated.New("the Authorization header must be %q followed by the workspace's key", bearerPrefix)
		}
		workspace, known := g.Config.Workspace(r.Header.Get(workspaceHeader))
		if !known || !workspace.VerifyKey(key) {
			return errUnauthenticated.New("unknown workspace in the %s header, or wrong key", workspaceHeader)
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), workspaceKey{}, workspace.Name)))
		return nil
	})
}

// writeErrors adapts handler to http.HandlerFunc and writes its error as a refusal.
func (g *Gateway) writeErrors(handler handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := handler(w, r); err != nil {
			writeRefusal(w, "", err)
		}
	}
}

func writeRefusal(w http.ResponseWriter, requestID string, cause error) {
	wire, status := refusalOf(cause)
	wire.RequestID = requestID
	if wire.RetryAfterMS > 0 {
		seconds := roundUp(time.Duration(wire.RetryAfterMS)*time.Millisecond, time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(w, status, wire)
}

// refusalOf converts cause to a response body and status code. Errors of the types in errorStatuses arise only before a
// request is accepted, so their outcome is not_run.
func refusalOf(cause error) (refusalWire, int) {
	var refusal usherrequest.Refusal
	if errors.As(cause, &refusal) {
		wire := refusalWire{
			Outcome: refusal.Outcome(), Reason: string(refusal.Reason),
			RetryAfterMS: roundUp(refusal.RetryAfter, time.Millisecond), OtherAddress: refusal.OtherAddress,
		}
		if refusal.Outcome() == usherrequest.NotRun {
			return wire, http.StatusServiceUnavailable
		}
		return wire, http.StatusBadGateway
	}
	for _, entry := range errorStatuses {
		if errorx.IsOfType(cause, entry.kind) {
			name := entry.kind.FullName()
			reason := name[strings.LastIndex(name, ".")+1:]
			return refusalWire{Outcome: usherrequest.NotRun, Reason: reason, Message: cause.Error()}, entry.status
		}
	}
	return refusalWire{Outcome: usherrequest.Unknown, Reason: "internal", Message: cause.Error()}, http.StatusInternalServerError
}

// roundUp converts d to units, rounding up so that no caller retries too early.
func roundUp(d, unit time.Duration) int64 {
	return int64((d + unit - 1) / unit)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

func workspaceOf(r *http.Request) string {
	workspace, _ := r.Context().Value(workspaceKey{}).(string)
	return workspace
}
