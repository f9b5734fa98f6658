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
	// bodyTimeout is how long a caller may take to send its request.
	bodyTimeout = 10 * time.Second
)

type (
	workspaceKey struct{}

	// refusalWire is how a caller sees a request that has no whole answer.
	refusalWire struct {
		Outcome      usherrequest.Outcome `json:"outcome"`
		Reason       string               `json:"reason"`
		Message      string               `json:"message,omitempty"`
		RetryAfterMS int64                `json:"retry_after_ms,omitempty"`
		OtherAddress string               `json:"other_address,omitempty"`
		RequestID    string               `json:"request_id,omitempty"`
	}

	// boundedBody is the body of a request that must be sent in time.
	boundedBody struct {
		io.ReadCloser
		control *http.ResponseController
	}

	handlerError func(w http.ResponseWriter, r *http.Request) error
)

var (
	errMalformed       = Errors.NewType("malformed")
	errUnauthenticated = Errors.NewType("unauthenticated")
	errNotFound        = Errors.NewType("not_found")
	errNeedsID         = Errors.NewType("needs_request_id")

	// statusOf maps the types of errors that callers see; what is not here is an internal error.
	statusOf = []struct {
		kind   *errorx.Type
		status int
	}{
		{errMalformed, http.StatusBadRequest},
		{errNeedsID, http.StatusBadRequest},
		{errUnauthenticated, http.StatusUnauthorized},
		{errNotFound, http.StatusNotFound},
		{usherconfig.ErrNoTemplate, http.StatusNotFound},
		{usherconfig.ErrNoWorkspace, http.StatusUnauthorized},
		{usherconfig.ErrUnknownParameter, http.StatusBadRequest},
		{usherconfig.ErrRepeatedParameter, http.StatusBadRequest},
		{usherconfig.ErrMissingParameter, http.StatusBadRequest},
		{usherconfig.ErrMalformedParameter, http.StatusBadRequest},
		{usherconfig.ErrOutOfBounds, http.StatusBadRequest},
		{usherrequest.MalformedError, http.StatusBadRequest},
		{usherrequest.ForgedError, http.StatusForbidden},
		{usherrequest.WorkspaceMismatchError, http.StatusForbidden},
		{usherrequest.ExpiredError, http.StatusGone},
	}
)

// Routes returns the callers' interface.
func (g *Gateway) Routes() http.Handler {
	mux := http.NewServeMux()
	chain := alice.New(g.bound, g.authenticate)
	handle := func(pattern string, handler handlerError) {
		mux.Handle(pattern, chain.Then(g.answering(handler)))
	}
	handle("GET /v1/locate", g.serveLocate)
	handle("POST /v1/ids", g.serveMint)
	handle("POST /v1/requests", g.serveSubmit)
	handle("GET /v1/requests/{id}", g.serveStatus)
	handle("DELETE /v1/requests/{id}", g.serveCancel)
	handle("GET /v1/resume", g.serveResume)
	return mux
}

// bound keeps a caller's body within its limit and its time.
func (g *Gateway) bound(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.stopping.Load() {
			w.Header().Set("Connection", "close") // so that no caller sends on a connection that is about to end
		}
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
		r.Body = &boundedBody{ReadCloser: http.MaxBytesReader(w, r.Body, g.Limits.BodyBytes), control: control}
		next.ServeHTTP(w, r)
	})
}

// Read lifts the deadline once the body is read, for the answer may take long.
func (b *boundedBody) Read(data []byte) (int, error) {
	count, err := b.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return count, err
}

// authenticate lets a caller in that knows its workspace's key.
func (g *Gateway) authenticate(next http.Handler) http.Handler {
	return g.answering(func(w http.ResponseWriter, r *http.Request) error {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		if !ok {
			return errUnauthenticated.New("the Authorization header must be %q and the workspace's key", bearerPrefix)
		}
		workspace, known := g.Config.Workspace(r.Header.Get(workspaceHeader))
		if !known || !workspace.VerifyKey(key) {
			return errUnauthenticated.New("the workspace in the %s header does not have this key", workspaceHeader)
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), workspaceKey{}, workspace.Name)))
		return nil
	})
}

// answering writes the error of handler as a refusal.
func (g *Gateway) answering(handler handlerError) http.HandlerFunc {
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
		seconds := roundedUp(time.Duration(wire.RetryAfterMS)*time.Millisecond, time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(w, status, wire)
}

// refusalOf returns what a caller is told. Errors that are no refusals arise before a request is accepted.
func refusalOf(cause error) (refusalWire, int) {
	var refusal usherrequest.Refusal
	if errors.As(cause, &refusal) {
		wire := refusalWire{
			Outcome: refusal.Outcome(), Reason: string(refusal.Reason),
			RetryAfterMS: roundedUp(refusal.RetryAfter, time.Millisecond), OtherAddress: refusal.OtherAddress,
		}
		if refusal.Outcome() == usherrequest.NotRun {
			return wire, http.StatusServiceUnavailable
		}
		return wire, http.StatusBadGateway
	}
	for _, entry := range statusOf {
		if errorx.IsOfType(cause, entry.kind) {
			name := entry.kind.FullName()
			reason := name[strings.LastIndex(name, ".")+1:]
			return refusalWire{Outcome: usherrequest.NotRun, Reason: reason, Message: cause.Error()}, entry.status
		}
	}
	return refusalWire{Outcome: usherrequest.Unknown, Reason: "internal", Message: cause.Error()}, http.StatusInternalServerError
}

// roundedUp returns d in units, rounded up, so that a caller never comes back too early.
func roundedUp(d, unit time.Duration) int64 {
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

func callerOf(r *http.Request) string {
	workspace, _ := r.Context().Value(workspaceKey{}).(string)
	return workspace
}
