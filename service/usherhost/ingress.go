package usherhost

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/ushercall"
	"github.com/samphireusher/samphireusher/pkg/ushercluster"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
	"github.com/samphireusher/samphireusher/pkg/usherroute"
	"github.com/samphireusher/samphireusher/pkg/ushersuspect"
)

const (
	// defaultTimeout bounds requests for which neither the caller nor the route sets a timeout.
	defaultTimeout = time.Minute
	// defaultBodyBytes bounds request bodies if the configuration sets no limit.
	defaultBodyBytes = 1 << 20
	// streamPriority is the priority that engines assume if none is given.
	streamPriority = 5
	// latePriority is the priority of streams that cannot start within their objective: they queue behind those that
	// can.
	latePriority = 7
	// maxErrorBytes bounds the text of an error in a log line.
	maxErrorBytes = 1 << 10
	// initialBodyBuffer is the initial buffer size for a body of unknown length.
	initialBodyBuffer = 4 << 10
)

type (
	// Codec translates between the product's types and the headers of callers and targets.
	Codec interface {
		DecodeCall(r *http.Request) (ushercall.Call, error)
		EncodeDispatch(call *ushercall.Call, d ushercall.Dispatch) http.Header
		DecodeResponse(status int, h http.Header) ushercall.ResponseInfo
		ResponseHeader(h http.Header) http.Header
		DecodeLocate(r *http.Request) (dataCentre string)
		EncodeLocate(addresses []string, lifetime time.Duration) ([]byte, error)
	}

	// requestState is a caller's request while this host handles it.
	requestState struct {
		ushercall.Call
		route     usherroute.Route
		service   usherroute.Service
		workspace usherroute.Workspace
		version   int64
		received  time.Time
		deadline  time.Time
		// targets are those that the request was sent to, in order.
		targets []string
		// choice is the last choice of a target, with the inputs that decided it.
		choice usherpool.Choice
		// fingerprints is set by suspect.
		fingerprints ushersuspect.Request
		// probes reports whether the request is tried although it is blamed for crashes.
		probes bool
		// sends counts the sends to targets; ran reports whether one of them may have run the request.
		sends int
		ran   bool
		// resumes counts how often the stream was resumed at another target.
		resumes int
		events  int
		// firstEvent is the time from the receipt of the request to the first event, longestPause the longest time
		// between two events.
		firstEvent   time.Duration
		longestPause time.Duration
		halfClose    halfClose
	}

	// reply is a target's response, ready to be relayed.
	reply struct {
		status int
		header http.Header
		// body is the whole body, or its beginning if rest has the part that was not read yet.
		body []byte
		rest io.Reader
		// brokenOff reports, at the end of rest, whether the body is incomplete after the bytes relayed.
		brokenOff func(relayed int64) bool
		// length is the length of the whole body, or negative if the target did not send it.
		length int64
	}
)

// ServeHTTP handles a caller's request.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inProgress.Add(1)
	defer h.inProgress.Add(-1)
	end, open := h.conns.begin(r.Context())
	if !open {
		h.log.Info("request dropped: the host had closed its connection", "path", r.URL.Path)
		panic(http.ErrAbortHandler)
	}
	defer end()
	received := time.Now()
	if h.state.self().State == ushercluster.Stopping {
		w.Header().Set("Connection", "close")
	}
	// A stopping host does not wait for the rest of a body.
	stop := context.AfterFunc(h.requestsCtx, func() {
		if err := http.NewResponseController(w).SetReadDeadline(time.Now()); err != nil {
			h.log.Debug("failed to set read deadline", "error", errorText(err))
		}
	})
	defer stop()
	req, refusal := h.admit(r, received)
	if refusal == nil {
		stop()
		ctx, cancel := h.requestContext(r, req)
		defer cancel()
		h.peers.lending.await(ctx, req.service.Name)
		if req.route.Kind == usherroute.Stream {
			refusal = h.serveStream(ctx, w, req)
		} else {
			refusal = h.servePlain(ctx, w, req)
		}
	}
	if refusal != nil {
		h.writeRefusal(w, r, req, refusal)
	}
}

// admit decodes a request, resolves its route, workspace and service, and checks its limits.
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
	refusal := req.resolve(table)
	if refusal != nil {
		return req, refusal
	}
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

// resolve finds the route and the workspace of the request.
func (req *requestState) resolve(table *usherroute.Table) *refusal {
	var err error
	if req.route, err = table.Route(req.Host, req.Path); err != nil {
		return refuse(reasonNoRoute, noRetryAfter, err)
	}
	if req.workspace, err = table.Authenticate(req.route, req.APIKey); err != nil {
		return refuse(reasonUnknownKey, noRetryAfter, err)
	}
	return nil
}

// timeout returns how long the request may take.
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

// priority returns the priority of the request at its target. The workspace's priority overrides the route's. All
// streams have the same priority: engines preempt running generations for more urgent ones, and the cost of that, to
// callers that are already receiving events and in prompts that are processed twice, exceeds what the urgent ones gain.
func (req *requestState) priority() int {
	if req.route.Kind == usherroute.Stream {
		return streamPriority
	}
	return req.rank()
}

// rank returns the operators' rank of the request; zero is the most urgent. The workspace's overrides the route's.
func (req *requestState) rank() int {
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
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, refuse(reasonStopping, 0, err)
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

// headerBytes returns the size of the request line and headers as sent, apart from optional whitespace.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n\r\n") + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// writeRefusal responds to a request with a refusal.
func (h *Host) writeRefusal(w http.ResponseWriter, r *http.Request, req *requestState, refusal *refusal) {
	h.metrics.recordRefusal(refusal.reason)
	outcome := "refused"
	if r.Context().Err() != nil && h.requestsCtx.Err() == nil {
		h.metrics.callersGone.Inc(1)
		outcome = "caller_gone"
	}
	h.logRequest(req, outcome, slog.Group("refusal", "reason", string(refusal.reason), "status", refusal.status(), "retry_after", refusal.retryAfter.String()), refusal.cause)
	// A caller that has closed only its sending side reads the refusal.
	if err := refusal.write(w); err != nil {
		h.log.Debug("failed to send refusal", "attempt", req.Attempt, "error", errorText(err))
	}
}

// refuseFalsePromise returns a refusal in place of a reply whose status promises that the request has not run, although it
// may have and may run only once.
func (req *requestState) refuseFalsePromise(r reply) *refusal {
	if !req.ran || !req.route.AtMostOnce() || !promisesNotRun(r.status) {
		return nil
	}
	return refuse(reasonBroken, noRetryAfter, errStatus.New("a target that may have run the request responded with status %d", r.status))
}

// relayReply relays a target's response to the caller.
func (h *Host) relayReply(w http.ResponseWriter, req *requestState, r reply) {
	for name, values := range r.header {
		if !strings.EqualFold(name, "Content-Length") {
			w.Header()[name] = values
		}
	}
	if closing := h.state.self().State == ushercluster.Stopping; closing {
		w.Header().Set("Connection", "close")
	}
	if r.rest != nil && r.length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(r.length, 10))
	}
	w.WriteHeader(r.status)
	var err error
	if r.rest == nil {
		_, err = w.Write(r.body)
	} else {
		err = h.relayLongBody(w, req, r)
	}
	if err != nil {
		h.metrics.callersGone.Inc(1)
		h.logRequest(req, "caller_gone", slog.Int("status", r.status), err)
		return
	}
	h.metrics.recordResponse(req, time.Since(req.received))
	h.logRequest(req, "answered", slog.Int("status", r.status), nil)
}

// relayLongBody relays a response body of which only the beginning was read. If the target does not complete it, the caller's
// connection is aborted. The returned error means that the caller has disconnected.
func (h *Host) relayLongBody(w http.ResponseWriter, req *requestState, r reply) error {
	control := http.NewResponseController(w)
	if err := control.SetWriteDeadline(req.deadline); err != nil {
		return err
	}
	if err := req.halfClose.write(w, r.body); err != nil {
		return err
	}
	buffer := make([]byte, bufferStep)
	relayed := int64(len(r.body))
	for {
		n, err := r.rest.Read(buffer)
		if err := req.halfClose.write(w, buffer[:n]); err != nil {
			return err
		}
		relayed += int64(n)
		if errors.Is(err, io.EOF) && relayed < int64(h.settings.Answers.BodyBytes) && !r.brokenOff(relayed) {
			return control.SetWriteDeadline(time.Time{})
		}
		if err != nil {
			h.state.recordResult(req.targets[len(req.targets)-1], usherpool.Broken)
			h.metrics.streamsCut.Inc(1)
			h.logRequest(req, "cut", slog.Int64("passed_bytes", relayed), err)
			panic(http.ErrAbortHandler)
		}
	}
}

// logRequest writes the one log line that every request gets when it ends.
func (h *Host) logRequest(req *requestState, outcome string, detail slog.Attr, cause error) {
	attributes := []slog.Attr{
		slog.String("attempt", req.Attempt), slog.String("outcome", outcome), detail, slog.String("route", req.route.Name),
		slog.String("service", req.service.Name), slog.Int64("version", req.version), slog.String("workspace", req.workspace.Name),
		slog.Any("targets", req.targets), slog.Int("sends", req.sends), slog.Bool("ran", req.ran),
		slog.Int64("duration_ms", time.Since(req.received).Milliseconds()),
	}
	if req.route.Kind == usherroute.Stream {
		attributes = append(attributes, slog.Any("parts", req.SharedParts), slog.Int("events", req.events), slog.Int("resumes", req.resumes),
			slog.Group("choice", "by", req.choice.Placer, "expected_ms", req.choice.PrefillTime.Milliseconds(), "late", req.choice.Late, "kept_tokens", req.choice.Kept.Tokens, "saving_ms", req.choice.Kept.Saving.Milliseconds(), "otherwise", req.choice.Kept.Otherwise, "load", req.choice.Load, "forecast", describeForecast(req.choice.Forecast)), slog.Int64("first_event_ms", req.firstEvent.Milliseconds()), slog.Int64("longest_pause_ms", req.longestPause.Milliseconds()))
	}
	if cause != nil {
		attributes = append(attributes, slog.String("error", errorText(cause)))
	}
	h.log.LogAttrs(context.Background(), slog.LevelInfo, "request", attributes...)
}

// errorText returns the message of an error without its stack trace. Messages that quote what others sent are cut off.
func errorText(err error) string {
	text := err.Error()
	if e := errorx.Cast(err); e != nil {
		text = e.Error()
	}
	if len(text) > maxErrorBytes {
		return strings.ToValidUTF8(text[:maxErrorBytes], "") + "..."
	}
	return text
}
