package usherhost

import (
	"context"
	"errors"
	"log/slog"
	"mime"
	"net/http"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/ushercall"
	"github.com/samphireusher/samphireusher/pkg/ushercopies"
	"github.com/samphireusher/samphireusher/pkg/usherevent"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
)

const (
	// callerWriteTimeout is how long the write of one event to a caller may take before the caller is considered gone.
	callerWriteTimeout = 10 * time.Second
	// stallFactor times the route's longest pause is the time without events after which a running stream counts as
	// stalled: a preempted generation continues within about a second. The time doubles with each target that was left
	// because of a stall, up to maxStallBackoff times: if every engine is slow, the next one is no better.
	stallFactor     = 6
	maxStallBackoff = 32
	// atMostOnceStallFactor times the objective is the time without events after which a generation that may run only
	// once is resumed from its copy: half of what callers tolerate. A healthy engine that is slow or has preempted the
	// generation continues before that, and the copy may turn out to be missing.
	atMostOnceStallFactor = 2
	// defaultMaxPause is the longest pause between events for routes that configure none.
	defaultMaxPause = 500 * time.Millisecond
	// A stream that may be run again and has sent nothing is tried at another target once both firstEventFraction of
	// the objective and prefillTimeFactor times the expected prefill time have passed: late enough for a busy engine,
	// which a second run would only load further, and early enough for the second run to be in time if the first target
	// does not respond.
	firstEventFraction = 0.5
	prefillTimeFactor  = 2
	// maxResumes bounds how often one stream is resumed at another target: each wave of reclaims can take its target
	// once.
	maxResumes = 8
	// eventsOfAnswer is the number of events after which a crash of the target is not attributed to the request: the first
	// one may still leave a target that crashes when it begins to answer.
	eventsOfAnswer = 2
	eventBuffer    = 8
	// eventStreamType is the media type of server-sent events.
	eventStreamType = "text/event-stream"
)

var (
	// errNoCopy is the type of errors for generations without a copy to resume from.
	errNoCopy = errNamespace.NewType("no_copy")
	// errStalled is the type of errors for targets that sent nothing within the time allowed.
	errStalled = errNamespace.NewType("silence")
	// errNotResumed is the type of errors for broken streams that could not be resumed at another target.
	errNotResumed = errNamespace.NewType("exhausted")
	// errCallerDisconnected is the type of errors for events that could not be written to the caller.
	errCallerDisconnected = errNamespace.NewType("caller_gone")
)

type (
	// Engines calls the control interface of model engines. Each call also returns what the engine says of itself.
	Engines interface {
		Copy(ctx context.Context, source netip.AddrPort, attempt string, to netip.AddrPort) (ushercall.Copy, ushercall.Notice, error)
		Release(ctx context.Context, at netip.AddrPort, handle string) (ushercall.Notice, error)
		// Leaving reports whether an engine accepts no new work.
		Leaving(ctx context.Context, at netip.AddrPort) (bool, ushercall.Notice, error)
		// Runs returns the attempts that an engine works on, as it reports them: some hundred milliseconds late. It returns an error
		// if the report does not list them.
		Runs(ctx context.Context, at netip.AddrPort) ([]string, ushercall.Notice, error)
		// Stop ends a run and then copies its KV cache to another engine. Without an error the run has ended.
		Stop(ctx context.Context, source netip.AddrPort, attempt string, to netip.AddrPort) (ushercall.StoppedRun, ushercall.Notice, error)
		// IsUnreachable reports whether an error of Stop means that the engine cannot be reached or does not respond.
		IsUnreachable(err error) bool
		// MayBeCopying reports whether an engine may make a copy although Copy has failed.
		MayBeCopying(err error) bool
		// IsDestinationUnavailable reports whether an error of Copy means that the destination has no memory for the
		// copy or cannot be reached.
		IsDestinationUnavailable(err error) bool
	}

	// generation is a stream while this host relays it, over all its runs at different targets. It is owned by the
	// goroutine of the request.
	generation struct {
		host *Host
		req  *requestState
		w    http.ResponseWriter
		ctl  *http.ResponseController

		exchange *exchange
		// source is the target that runs the generation.
		source usherpool.Choice
		// copies tracks the KV cache copies of the current run.
		copies      *ushercopies.Tracker
		copyResults chan copyResult
		// stopping reports whether the target has been ordered to end the current run, runEnded whether that run goes on
		// nowhere that this host can reach, and stopped what has shown so.
		stopping    bool
		runEnded    bool
		stopped     stopResult
		stopper     *runStopper
		stopResults chan stopResult
		// mayBeStopped reports whether the target may have ended the current run because of an order, so that the end of a
		// response without framing is not that of the stream.
		mayBeStopped bool
		// releases has the functions that subtract the loads tracked for this request, by target.
		releases map[string]func()
		// headerSent reports whether the response header was sent to the caller.
		headerSent bool
		lastEvent  string
		// receiving reports whether events have started to arrive.
		receiving bool
		// contentType is that of the first run's response.
		contentType string
		// runEvents counts the events of the current run; runAdvanced reports whether one of them was relayed.
		runEvents   int
		runAdvanced bool
		// retryReserved reports whether a retry was taken from the budget and not used yet.
		retryReserved bool
		// stalledTargets counts the targets that were left because they sent nothing.
		stalledTargets int
		// resumeAnnounced reports whether the load that peers see includes the pending resume at the holder of the copy.
		resumeAnnounced bool
		lastEventAt     time.Time
		times           runTimes
	}

	copyResult struct {
		holder   string
		copy     ushercall.Copy
		notice   ushercall.Notice
		err      error
		duration time.Duration
	}

	streamItem struct {
		event usherevent.Event
		// at is when the event arrived.
		at  time.Time
		err error
	}
)

// serveStream handles a call whose response is a stream of events.
func (h *Host) serveStream(ctx context.Context, w http.ResponseWriter, req *requestState) *refusal {
	if !h.mayFinish(time.Until(req.deadline)) {
		// The stream might be cut off when the process exits.
		return refuse(reasonStopping, 0, nil)
	}
	g := &generation{
		host: h, req: req, w: w, ctl: http.NewResponseController(w), releases: map[string]func(){}, lastEvent: req.LastEventID,
	}
	defer g.close()
	if reply, refusal := g.start(ctx); refusal != nil {
		return refusal
	} else if reply != nil {
		if refusal := req.refuseFalsePromise(*reply); refusal != nil {
			return refusal
		}
		h.relayReply(w, req, *reply)
		return nil
	}
	for {
		err := g.relay(ctx)
		g.reportRunEnd(err == nil)
		switch {
		case err == nil:
			g.finish()
			return nil
		case errorx.IsOfType(err, errCallerDisconnected) || ctx.Err() != nil:
			return g.abort(ctx, err)
		}
		if errorx.IsOfType(err, errStalled) {
			g.stalledTargets++
		}
		h.state.recordResult(g.source.Target.ID, resultOf(err))
		if g.runEvents < eventsOfAnswer {
			h.detectCrash(ctx, req, g.source, err)
		}
		if err := g.resume(ctx, err); err != nil {
			return g.abort(ctx, err)
		}
	}
}

// start sends the request to a first target. It returns a reply if the target's response is not a stream.
func (g *generation) start(ctx context.Context) (*reply, *refusal) {
	var last *reply
	var cause error
	for range maxTries {
		if refusal := g.host.refuseSuspect(g.req); refusal != nil {
			if g.req.ran {
				cause = refusal.cause
				break
			}
			return nil, refusal
		}
		choice, refusal := g.placeOrWait(ctx)
		if refusal != nil && cause == nil {
			return nil, refusal
		}
		if refusal != nil {
			break
		}
		result := g.send(ctx, choice, ushercall.Copy{})
		g.req.targets = append(g.req.targets, choice.Target.ID)
		g.host.state.recordResult(choice.Target.ID, result.result)
		g.req.ran = g.req.ran || result.ran
		if result.result == usherpool.Answered && result.err == nil {
			return nil, nil
		}
		cause = result.err
		if result.ran {
			// The replies of earlier targets say nothing about this run.
			last = nil
			if result.reply.status != 0 {
				last = &result.reply
			}
		}
		if result.result == usherpool.Replaced {
			g.req.sends--
		}
		if ctx.Err() != nil || !g.takeRetryFor(result) {
			break
		}
		if result.ran && result.reply.status == 0 {
			if err := g.leaveRun(ctx, result.err); err != nil {
				cause = err
				break
			}
		}
		g.host.metrics.retries.Inc(1)
	}
	return g.startFailure(ctx, last, cause)
}

// startFailure returns the response to a request for which no target started a stream. last is the reply of the target that
// ran the request last, or nil if that one sent none.
func (g *generation) startFailure(ctx context.Context, last *reply, cause error) (*reply, *refusal) {
	switch {
	case ctx.Err() != nil && g.req.ran:
		return nil, refuse(reasonTimeout, noRetryAfter, cause)
	case ctx.Err() != nil:
		return nil, refuse(reasonExpired, noRetryAfter, cause)
	case last != nil:
		return last, nil
	case g.req.ran:
		return nil, refuse(reasonBroken, noRetryAfter, cause)
	default:
		return nil, refuse(reasonNotRun, g.host.retryAfterRejection(g.req.service.Name), cause)
	}
}

// reserveRetry takes a retry from the budget ahead of its use.
func (g *generation) reserveRetry() bool {
	g.retryReserved = g.retryReserved || g.host.state.allowRetry(g.req.service.Name)
	return g.retryReserved
}

// takeRetry reports whether a retry may be made, and uses the reserved one first.
func (g *generation) takeRetry() bool {
	if g.retryReserved {
		g.retryReserved = false
		return true
	}
	return g.host.state.allowRetry(g.req.service.Name)
}

func (g *generation) takeRetryFor(result sendResult) bool {
	if result.result == usherpool.Withdrawn {
		// Nothing has reached a target.
		return true
	}
	unsent := result.result == usherpool.Unreachable || result.result == usherpool.Replaced
	if !unsent && (g.req.sends >= g.req.route.MaxTargets || result.ran && g.req.route.AtMostOnce()) {
		return false
	}
	return g.takeRetry()
}

func (g *generation) placementRequest(exclude []string) usherpool.Request {
	r := usherpool.Request{
		Service: g.req.service.Name, PromptTokens: max(g.req.PromptTokens, 1), OutputTokens: g.req.OutputTokens(), Exclude: exclude,
		OutputHint: g.req.OutputHint, MaxOutputTokens: g.req.MaxOutputTokens,
		Route: g.req.route.Name, Workspace: g.req.workspace.Name, Rank: g.req.route.Priority, MaxPause: g.req.route.MaxPause,
		Parts: g.req.promptParts(),
	}
	if e := g.req.service.Engine; e != nil && e.EventTokens > 0 {
		r.Events = r.OutputTokens / e.EventTokens
	}
	if objective := g.req.route.Objective; objective > 0 {
		r.Objective = max(objective-time.Since(g.req.received), time.Millisecond)
	}
	return r
}

// send sends the request to a target, with the address for a backup copy of its KV cache, and reads up to the end of the
// response header. The copy from, if set, is the one from which the run continues.
func (g *generation) send(ctx context.Context, choice usherpool.Choice, from ushercall.Copy) sendResult {
	id := choice.Target.ID
	g.req.choice = choice
	g.host.metrics.prefixes.recordChoice(choice)
	g.closeExchange()
	g.releaseLoads()
	g.source, g.resumeAnnounced, g.runEvents, g.runAdvanced, g.times = choice, false, 0, false, runTimes{}
	// Results of copies that are still in progress belong to the previous run and must not be received.
	g.copyResults = make(chan copyResult, 1)
	g.stopping, g.runEnded, g.stopped, g.mayBeStopped, g.stopResults = false, false, stopResult{}, false, make(chan stopResult, 1)
	g.stopper = newRunStopper(g.host, choice.Target, g.req.Attempt)
	x, err := g.host.connect(ctx, choice.Target)
	if err != nil {
		return sendResult{choice: choice, result: usherpool.Unreachable, err: err}
	}
	g.exchange = x
	if result, withdrawn := g.host.withdrawn(g.req, choice); withdrawn {
		return result
	}
	dispatch := g.req.dispatch(id)
	if choice.Late {
		// It queues behind streams that can still start in time, and uses no KV cache until then.
		dispatch.Priority = latePriority
		g.trackLoad(id, usherpool.Load{Streams: 1})
	} else {
		g.trackLoad(id, usherpool.Load{Streams: 1, Tokens: g.req.PeakTokens(), Prefill: g.remainingPrefill(from)})
	}
	if from.Handle != "" {
		dispatch = dispatch.WithCopy(from, g.lastEvent)
	} else {
		dispatch.LastEventID = g.lastEvent
	}
	backup := g.placeBackup(ctx, &dispatch, id)
	g.copies = ushercopies.NewTracker(id, backup)
	g.req.sends++
	x.send(&g.req.Call, g.host.codec.EncodeDispatch(&g.req.Call, dispatch))
	stop := g.interruptOnLeaving(ctx, x, choice)
	err = x.receive(g.host.codec, g.req.Attempt, g.startTimeout(), g.reserveRetry)
	stop()
	if err != nil {
		g.host.recordBroken(ctx, g.req, choice, err)
		return sendResult{choice: choice, result: resultOf(err), ran: true, err: err}
	}
	if x.info.ColdRemaining > 0 {
		g.host.state.markCold(id, x.info.ColdRemaining)
	}
	status := x.response.StatusCode
	if status == http.StatusOK {
		return g.acceptStream(choice)
	}
	return g.readReply(choice, status)
}

// acceptStream returns the result of a response that begins a stream. One that continues a stream consists of events as well;
// an error does not.
func (g *generation) acceptStream(choice usherpool.Choice) sendResult {
	contentType := g.exchange.response.Header.Get("Content-Type")
	if g.req.resumes == 0 {
		g.contentType = contentType
	}
	if mediaType, _, _ := mime.ParseMediaType(contentType); contentType != g.contentType && mediaType != eventStreamType {
		err := errUnexpectedResponse.New("target %s continues a stream with content of type %q", choice.Target.ID, contentType)
		return sendResult{choice: choice, result: usherpool.Broken, ran: true, err: err}
	}
	g.host.noteTarget(choice.Target, g.req.Attempt, g.exchange.sentAt, g.exchange.info.Notice)
	return sendResult{choice: choice, result: usherpool.Answered, ran: true}
}

func (g *generation) readReply(choice usherpool.Choice, status int) sendResult {
	x := g.exchange
	reservation := &bufferReservation{budget: g.host.buffers}
	defer reservation.release()
	body, err := x.readFailureBody(reservation)
	if err != nil {
		return sendResult{choice: choice, result: usherpool.Broken, ran: !x.info.NotRun, err: err}
	}
	g.host.noteTarget(choice.Target, g.req.Attempt, x.sentAt, x.info.Notice)
	return sendResult{
		choice: choice, result: classify(status, x.info), ran: !x.info.NotRun, err: errStatus.New("target %s responded with status %d", choice.Target.ID, status),
		reply: reply{status: status, header: g.host.codec.ResponseHeader(x.response.Header), body: body},
	}
}

// remainingPrefill returns how many tokens of the prompt a run still has to process.
func (g *generation) remainingPrefill(from ushercall.Copy) int {
	if from.Handle != "" {
		return 0
	}
	return max(g.req.PromptTokens-g.source.Kept.Tokens, 0)
}

// finish records the regular end of a stream.
func (g *generation) finish() {
	h := g.host
	h.state.recordResult(g.source.Target.ID, usherpool.Answered)
	h.state.recordAnswer(g.req)
	h.metrics.recordResponse(g.req, time.Since(g.req.received))
	h.logRequest(g.req, "answered", slog.Int("status", g.exchange.response.StatusCode), nil)
	if point, made := g.copies.OnDemandCopy(); made {
		go h.releaseCopy(g.source.Target.ID, point.Copy)
	}
}

// abort ends a stream that cannot be resumed. If the caller has received a part of it, its connection is aborted.
func (g *generation) abort(ctx context.Context, cause error) *refusal {
	if !g.headerSent {
		if ctx.Err() != nil {
			return refuse(reasonTimeout, noRetryAfter, cause)
		}
		return refuse(reasonBroken, noRetryAfter, cause)
	}
	outcome := "cut"
	endedHere := g.host.requestsCtx.Err() != nil
	if errorx.IsOfType(cause, errCallerDisconnected) || errors.Is(ctx.Err(), context.Canceled) && !endedHere {
		outcome = "caller_gone"
		g.host.metrics.callersGone.Inc(1)
	} else {
		g.host.metrics.streamsCut.Inc(1)
	}
	g.host.logRequest(g.req, outcome, slog.String("last_event", g.lastEvent), cause)
	panic(http.ErrAbortHandler)
}

func (g *generation) closeExchange() {
	if g.exchange != nil {
		g.exchange.close()
	}
}

func (g *generation) close() {
	g.closeExchange()
	g.releaseLoads()
}

func errorTextOrEmpty(err error) string {
	if err == nil {
		return ""
	}
	return errorText(err)
}
