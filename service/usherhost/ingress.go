package usherhost

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/ushercall"
	"github.com/samphireusher/samphireusher/pkg/ushercluster"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
	"github.com/samphireusher/samphireusher/pkg/usherroute"
)

const (
	// defaultTimeout bounds requests whose caller and route name no time.
	defaultTimeout = time.Minute
	// defaultBodyBytes bounds bodies as long as no declarations say otherwise.
	defaultBodyBytes = 1 << 20
	// streamRank is the rank that engines assume where none is given.
	streamPriority = 5
	// lateRank is that of streams which cannot begin in time: they wait behind those that can.
	latePriority = 7
	// bodyBuffer is the initial room for a body of unknown length.
	initialBodyBuffer = 4 << 10
)

type (
	// Codec translates between the product and callers' and targets' headers.
	Codec interface {
		DecodeCall(r *http.Request) (ushercall.Call, error)
		EncodeDispatch(call *ushercall.Call, d ushercall.Dispatch) http.Header
		DecodeAnswer(status int, h http.Header) ushercall.Answer
		AnswerHeader(h http.Header) http.Header
		DecodeLocate(r *http.Request) (dataCentre string)
		EncodeLocate(addresses []string, lifetime time.Duration) ([]byte, error)
	}

	// job is a request while this host handles it.
	requestState struct {
		ushercall.Call
		route     usherroute.Route
		service   usherroute.Service
		workspace usherroute.Workspace
		version   int64
		received  time.Time
		deadline  time.Time
		// targets are those that the request was written to, in order.
		targets []string
		// choice is the last choice of a target, with what decided it.
		choice usherpool.Choice
		// sends counts writes to targets; ran tells whether one of them may have run the request.
		sends int
		ran   bool
		// resumes counts how often a stream went on at another target.
		resumes int
		events  int
		// firstEvent is how long the caller waited for it, longestPause the longest time between two events.
		firstEvent   time.Duration
		longestPause time.Duration
	}

	// reply is an answer that is ready to be relayed.
	reply struct {
		status int
		header http.Header
		// body is the whole answer, or its beginning if there is a rest that was not read yet.
		body []byte
		rest io.Reader
		// length is that of the whole body, or negative if the target did not tell.
		length int64
	}
)

// ServeHTTP handles a caller's request.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inProgress.Add(1)
	defer h.inProgress.Add(-1)
	received := time.Now()
	if h.state.self().State == ushercluster.Stopping {
		w.Header().Set("Connection", "close")
	}
	req, refusal := h.admit(r, received)
	if refusal == nil {
		ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
		defer cancel()
		if req.route.Kind == usherroute.Stream {
			refusal = h.stream(ctx, w, req)
		} else {
			refusal = h.plain(ctx, w, req)
		}
	}
	if refusal != nil {
		h.writeRefusal(w, r, req, refusal)
	}
}

// admit reads the request and finds out what it asks for and whether it may.
func (h *Host) admit(r *http.Request, received time.Time) (*requestState, *refusal) {
	req := &requestState{received: received}
	call, err := h.codec.DecodeCall(r)
	req.Call = call
	table := h.state.table()
	if table == nil {
		return req, refuse(reasonNoConfiguration, retryAfterStarting, nil)
	}
	req.version = table.Version()
	if err != nil {
		return req, refuse(reasonMalformed, noRetryAfter, err)
	}
	limits := table.Limits()
	if limits.HeaderBytes > 0 && headerBytes(r) > limits.HeaderBytes {
		return req, refuse(reasonHeaderTooLarge, noRetryAfter, nil)
	}
	if req.route, err = table.Route(call.Host, call.Path); err != nil {
		return req, refuse(reasonNoRoute, noRetryAfter, err)
	}
	if req.workspace, err = table.Authenticate(req.route, call.APIKey); err != nil {
		return req, refuse(reasonUnknownKey, noRetryAfter, err)
	}
	var refusal *refusal
	if req.Body, refusal = readRequestBody(r, limits.BodyBytes); refusal != nil {
		return req, refusal
	}
	name := req.route.Service(h.state.randomFraction())
	req.service, _ = table.Service(name)
	req.service.Name = name
	req.deadline = received.Add(req.timeout())
	h.state.countRequest(name)
	return req, nil
}

// time returns how long the request may take.
func (req *requestState) timeout() time.Duration {
	limit := req.Timeout
	if limit == 0 || req.route.Timeout > 0 && req.route.Timeout < limit {
		limit = req.route.Timeout
	}
	if limit == 0 {
		return defaultTimeout
	}
	return limit
}

// priority returns the rank of the request at its target: the workspace's goes before the route's. Streams share one
// rank: engines throw out running generations for more urgent ones, and what is lost so, for callers who read already
// and in prompts that are read twice, is more than the urgent ones gain.
func (req *requestState) priority() int {
	if req.route.Kind == usherroute.Stream {
		return streamPriority
	}
	if req.workspace.Priority != nil {
		return *req.workspace.Priority
	}
	return req.route.Priority
}

func (req *requestState) dispatch(target string) ushercall.Dispatch {
	return ushercall.Dispatch{
		Target: target, Remaining: time.Until(req.deadline), Workspace: req.workspace.Name, Priority: req.priority(), LastEventID: req.LastEventID,
	}
}

func readRequestBody(r *http.Request, limit int64) ([]byte, *refusal) {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > limit {
		return nil, refuse(reasonBodyTooLarge, noRetryAfter, nil)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	body := make([]byte, 0, max(r.ContentLength, initialBodyBuffer))
	reader := io.LimitReader(r.Body, limit+1)
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, refuse(reasonBodyIncomplete, noRetryAfter, err)
		}
	}
	if int64(len(body)) > limit {
		return nil, refuse(reasonBodyTooLarge, noRetryAfter, nil)
	}
	return body, nil
}

// headerBytes returns the size of a request's line and headers as they were sent, up to spaces.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n\r\n") + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// turnAway answers a request with a refusal.
func (h *Host) writeRefusal(w http.ResponseWriter, r *http.Request, req *requestState, refusal *refusal) {
	h.metrics.recordRefusal(refusal.reason)
	if r.Context().Err() != nil {
		h.metrics.callersGone.Inc(1)
		h.logRequest(req, "caller_gone", slog.String("reason", string(refusal.reason)), refusal.cause)
		return
	}
	h.logRequest(req, "refused", slog.Group("refusal", "reason", string(refusal.reason), "status", refusal.status(), "retry_after", refusal.retryAfter.String()), refusal.cause)
	if err := refusal.write(w); err != nil {
		h.log.Debug("refusal not delivered", "attempt", req.Attempt, "error", err.Error())
	}
}

// relay answers a request with the answer of a target.
func (h *Host) relayReply(w http.ResponseWriter, req *requestState, a reply) {
	for name, values := range a.header {
		if !strings.EqualFold(name, "Content-Length") {
			w.Header()[name] = values
		}
	}
	if closing := h.state.self().State == ushercluster.Stopping; closing {
		w.Header().Set("Connection", "close")
	}
	if a.rest != nil && a.length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	w.WriteHeader(a.status)
	_, err := w.Write(a.body)
	if err == nil && a.rest != nil {
		err = h.relayRest(w, req, a)
	}
	if err != nil {
		h.metrics.callersGone.Inc(1)
		h.logRequest(req, "caller_gone", slog.Int("status", a.status), err)
		return
	}
	h.metrics.recordAnswer(req, time.Since(req.received))
	h.logRequest(req, "answered", slog.Int("status", a.status), nil)
}

// relayRest passes on what was not read yet of an answer. Where the target does not end it, the caller sees the connection
// break. The error is that of a caller who left.
func (h *Host) relayRest(w http.ResponseWriter, req *requestState, a reply) error {
	control := http.NewResponseController(w)
	if err := control.SetWriteDeadline(req.deadline); err != nil {
		return err
	}
	buffer := make([]byte, bufferStep)
	relayed := int64(len(a.body))
	for {
		n, err := a.rest.Read(buffer)
		if _, err := w.Write(buffer[:n]); err != nil {
			return err
		}
		relayed += int64(n)
		if errors.Is(err, io.EOF) && relayed < int64(h.settings.Answers.BodyBytes) {
			return control.SetWriteDeadline(time.Time{})
		}
		if err != nil {
			h.state.recordResult(req.targets[len(req.targets)-1], usherpool.Broken)
			h.metrics.cut.Inc(1)
			h.logRequest(req, "cut", slog.Int64("passed_bytes", relayed), err)
			panic(http.ErrAbortHandler)
		}
	}
}

// logRequest writes the one line that every request gets at its end.
func (h *Host) logRequest(req *requestState, outcome string, detail slog.Attr, cause error) {
	attributes := []slog.Attr{
		slog.String("attempt", req.Attempt), slog.String("outcome", outcome), detail, slog.String("route", req.route.Name),
		slog.String("service", req.service.Name), slog.Int64("version", req.version), slog.String("workspace", req.workspace.Name),
		slog.Any("targets", req.targets), slog.Int("sends", req.sends), slog.Bool("ran", req.ran),
		slog.Int64("duration_ms", time.Since(req.received).Milliseconds()),
	}
	if req.route.Kind == usherroute.Stream {
		attributes = append(attributes, slog.Int("events", req.events), slog.Int("resumes", req.resumes),
			slog.Group("choice", "by", req.choice.Placer, "expected_ms", req.choice.PrefillTime.Milliseconds(), "late", req.choice.Late, "load", req.choice.Load), slog.Int64("first_event_ms", req.firstEvent.Milliseconds()), slog.Int64("longest_pause_ms", req.longestPause.Milliseconds()))
	}
	if cause != nil {
		attributes = append(attributes, slog.String("error", errorText(cause)))
	}
	h.log.LogAttrs(context.Background(), slog.LevelInfo, "request", attributes...)
}

// errorText returns the message of an error without its stack.
func errorText(err error) string {
	if e := errorx.Cast(err); e != nil {
		return e.Error()
	}
	return err.Error()
}
