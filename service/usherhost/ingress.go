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
	streamRank = 5
	// lateRank is that of streams which cannot begin in time: they wait behind those that can.
	lateRank = 7
	// bodyBuffer is the initial room for a body of unknown length.
	bodyBuffer = 4 << 10
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
	job struct {
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
	if h.core.self().State == ushercluster.Stopping {
		w.Header().Set("Connection", "close")
	}
	j, refusal := h.admit(r, received)
	if refusal == nil {
		ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
		defer cancel()
		if j.route.Kind == usherroute.Stream {
			refusal = h.stream(ctx, w, j)
		} else {
			refusal = h.plain(ctx, w, j)
		}
	}
	if refusal != nil {
		h.turnAway(w, r, j, refusal)
	}
}

// admit reads the request and finds out what it asks for and whether it may.
func (h *Host) admit(r *http.Request, received time.Time) (*job, *refusal) {
	j := &job{received: received}
	call, err := h.codec.DecodeCall(r)
	j.Call = call
	table := h.core.table()
	if table == nil {
		return j, refuse(reasonNoConfiguration, startPause, nil)
	}
	j.version = table.Version()
	if err != nil {
		return j, refuse(reasonMalformed, noAdvice, err)
	}
	limits := table.Limits()
	if limits.HeaderBytes > 0 && headerBytes(r) > limits.HeaderBytes {
		return j, refuse(reasonHeaderTooLarge, noAdvice, nil)
	}
	if j.route, err = table.Route(call.Host, call.Path); err != nil {
		return j, refuse(reasonNoRoute, noAdvice, err)
	}
	if j.workspace, err = table.Authenticate(j.route, call.APIKey); err != nil {
		return j, refuse(reasonUnknownKey, noAdvice, err)
	}
	var refusal *refusal
	if j.Body, refusal = readBody(r, limits.BodyBytes); refusal != nil {
		return j, refusal
	}
	name := j.route.Service(h.core.point())
	j.service, _ = table.Service(name)
	j.service.Name = name
	j.deadline = received.Add(j.time())
	h.core.countRequest(name)
	return j, nil
}

// time returns how long the request may take.
func (j *job) time() time.Duration {
	limit := j.Timeout
	if limit == 0 || j.route.Timeout > 0 && j.route.Timeout < limit {
		limit = j.route.Timeout
	}
	if limit == 0 {
		return defaultTimeout
	}
	return limit
}

// priority returns the rank of the request at its target: the workspace's goes before the route's. Streams share one
// rank: engines throw out running generations for more urgent ones, and what is lost so, for callers who read already
// and in prompts that are read twice, is more than the urgent ones gain.
func (j *job) priority() int {
	if j.route.Kind == usherroute.Stream {
		return streamRank
	}
	if j.workspace.Priority != nil {
		return *j.workspace.Priority
	}
	return j.route.Priority
}

func (j *job) dispatch(target string) ushercall.Dispatch {
	return ushercall.Dispatch{
		Target: target, Remaining: time.Until(j.deadline), Workspace: j.workspace.Name, Priority: j.priority(), LastEventID: j.LastEventID,
	}
}

func readBody(r *http.Request, limit int64) ([]byte, *refusal) {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > limit {
		return nil, refuse(reasonBodyTooLarge, noAdvice, nil)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	body := make([]byte, 0, max(r.ContentLength, bodyBuffer))
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
			return nil, refuse(reasonBodyIncomplete, noAdvice, err)
		}
	}
	if int64(len(body)) > limit {
		return nil, refuse(reasonBodyTooLarge, noAdvice, nil)
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
func (h *Host) turnAway(w http.ResponseWriter, r *http.Request, j *job, f *refusal) {
	h.metrics.refused(f.reason)
	if r.Context().Err() != nil {
		h.metrics.callersGone.Inc(1)
		h.logRequest(j, "caller_gone", slog.String("reason", string(f.reason)), f.cause)
		return
	}
	h.logRequest(j, "refused", slog.Group("refusal", "reason", string(f.reason), "status", f.status(), "retry_after", f.retryAfter.String()), f.cause)
	if err := f.write(w); err != nil {
		h.log.Debug("refusal not delivered", "attempt", j.Attempt, "error", err.Error())
	}
}

// relay answers a request with the answer of a target.
func (h *Host) relay(w http.ResponseWriter, j *job, a reply) {
	for name, values := range a.header {
		if !strings.EqualFold(name, "Content-Length") {
			w.Header()[name] = values
		}
	}
	if closing := h.core.self().State == ushercluster.Stopping; closing {
		w.Header().Set("Connection", "close")
	}
	if a.rest != nil && a.length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	w.WriteHeader(a.status)
	_, err := w.Write(a.body)
	if err == nil && a.rest != nil {
		err = h.relayRest(w, j, a)
	}
	if err != nil {
		h.metrics.callersGone.Inc(1)
		h.logRequest(j, "caller_gone", slog.Int("status", a.status), err)
		return
	}
	h.metrics.answered(j, time.Since(j.received))
	h.logRequest(j, "answered", slog.Int("status", a.status), nil)
}

// relayRest passes on what was not read yet of an answer. Where the target does not end it, the caller sees the connection
// break. The error is that of a caller who left.
func (h *Host) relayRest(w http.ResponseWriter, j *job, a reply) error {
	control := http.NewResponseController(w)
	if err := control.SetWriteDeadline(j.deadline); err != nil {
		return err
	}
	piece := make([]byte, heldStep)
	passed := int64(len(a.body))
	for {
		n, err := a.rest.Read(piece)
		if _, err := w.Write(piece[:n]); err != nil {
			return err
		}
		passed += int64(n)
		if errors.Is(err, io.EOF) && passed < int64(h.settings.Answers.BodyBytes) {
			return control.SetWriteDeadline(time.Time{})
		}
		if err != nil {
			h.core.observe(j.targets[len(j.targets)-1], usherpool.Broken)
			h.metrics.cut.Inc(1)
			h.logRequest(j, "cut", slog.Int64("passed_bytes", passed), err)
			panic(http.ErrAbortHandler)
		}
	}
}

// logRequest writes the one line that every request gets at its end.
func (h *Host) logRequest(j *job, outcome string, detail slog.Attr, cause error) {
	attributes := []slog.Attr{
		slog.String("attempt", j.Attempt), slog.String("outcome", outcome), detail, slog.String("route", j.route.Name),
		slog.String("service", j.service.Name), slog.Int64("version", j.version), slog.String("workspace", j.workspace.Name),
		slog.Any("targets", j.targets), slog.Int("sends", j.sends), slog.Bool("ran", j.ran),
		slog.Int64("duration_ms", time.Since(j.received).Milliseconds()),
	}
	if j.route.Kind == usherroute.Stream {
		attributes = append(attributes, slog.Int("events", j.events), slog.Int("resumes", j.resumes),
			slog.Group("choice", "by", j.choice.Placer, "expected_ms", j.choice.PrefillTime.Milliseconds(), "late", j.choice.Late, "load", j.choice.Load), slog.Int64("first_event_ms", j.firstEvent.Milliseconds()), slog.Int64("longest_pause_ms", j.longestPause.Milliseconds()))
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
