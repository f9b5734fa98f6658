package usherhost

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/ushercall"
	"github.com/samphireusher/samphireusher/pkg/ushercluster"
	"github.com/samphireusher/samphireusher/pkg/ushercopies"
	"github.com/samphireusher/samphireusher/pkg/usherevent"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
)

const (
	// callerWriteTimeout is how long a caller may take to read an event before it counts as gone.
	callerWriteTimeout = 10 * time.Second
	// silenceFactor times the route's longest pause is the silence after which a running stream counts as broken:
	// a preempted generation is back within about a second. It doubles with each target that was left so, up to
	// maxPatience times: where every engine is slow, the next one is no better.
	silenceFactor = 6
	maxPatience   = 32
	// aloneFactor times the objective is the silence after which a generation that may run only once is left for its copy:
	// half of what callers bear. A sound engine that is slow or has preempted it comes back before, and the copy may turn
	// out not to be there.
	aloneFactor = 2
	// defaultPause stands for the longest pause of routes that name none.
	defaultPause = 500 * time.Millisecond
	// firstEventShare is the part of the objective, and firstEventFactor times the expected wait the time, after which
	// both a stream that may be run again and has sent nothing is tried elsewhere: late enough for a crowded engine,
	// which a second run would only crowd further, early enough for the second one to be in time where this one is mute.
	firstEventShare  = 0.5
	firstEventFactor = 2
	// maxResumes bounds how often one stream goes on elsewhere: each reclaim wave takes a target once.
	maxResumes = 8
	eventRing  = 8
)

var (
	errNoCopy     = errHost.NewType("no_copy")
	errSilence    = errHost.NewType("silence")
	errExhausted  = errHost.NewType("exhausted")
	errCallerGone = errHost.NewType("caller_gone")
)

type (
	// Engines calls the control interface of model engines.
	Engines interface {
		Copy(ctx context.Context, source netip.AddrPort, attempt string, to netip.AddrPort) (ushercall.Copy, error)
		Release(ctx context.Context, at netip.AddrPort, handle string) error
		// Leaving asks an engine whether it accepts no new work.
		Leaving(ctx context.Context, at netip.AddrPort) (bool, error)
		// IsDestinationUnavailable reports whether an error of Copy means that the destination has no memory for the copy or
		// cannot be reached.
		IsDestinationUnavailable(err error) bool
	}

	// generation is a stream while this host relays it. It is owned by the goroutine of the request.
	generation struct {
		host *Host
		job  *job
		w    http.ResponseWriter
		ctl  *http.ResponseController

		x       *exchange
		source  usherpool.Choice
		run     *ushercopies.Run
		copies  chan copyResult
		release map[string]func()
		// begun tells whether the caller has got the header.
		begun     bool
		lastEvent string
		// reading tells that events have begun to come.
		reading bool
		// paid tells that a repeated send was taken out of the budget and not made yet.
		paid bool
		// silences counts the targets that were left for being silent.
		silences int
		// expected tells that peers know where the run is about to go on.
		expected    bool
		lastEventAt time.Time
	}

	copyResult struct {
		holder string
		copy   ushercall.Copy
		err    error
		took   time.Duration
	}

	streamItem struct {
		event usherevent.Event
		err   error
	}
)

// stream handles a call whose answer is a series of events.
func (h *Host) stream(ctx context.Context, w http.ResponseWriter, j *job) *refusal {
	if h.core.self().State == ushercluster.Stopping && j.route.AtMostOnce() {
		// It would be cut off by the end of the process.
		return refuse(reasonStopping, 0, nil)
	}
	g := &generation{
		host: h, job: j, w: w, ctl: http.NewResponseController(w), release: map[string]func(){}, lastEvent: j.LastEventID,
	}
	defer g.close()
	if a, refusal := g.start(ctx); refusal != nil {
		return refusal
	} else if a != nil {
		h.relay(w, j, *a)
		return nil
	}
	for {
		err := g.relay(ctx)
		switch {
		case err == nil:
			g.finish()
			return nil
		case errorx.IsOfType(err, errCallerGone) || ctx.Err() != nil:
			return g.giveUp(ctx, err)
		}
		if errorx.IsOfType(err, errSilence) {
			g.silences++
		}
		h.core.observe(g.source.Target.ID, failure(err))
		if err := g.resume(ctx, err); err != nil {
			return g.giveUp(ctx, err)
		}
	}
}

// start sends the request to a first target. It returns a reply if the target's answer is no stream.
func (g *generation) start(ctx context.Context) (*reply, *refusal) {
	var last *reply
	var cause error
	for range maxTries {
		choice, err := g.host.peers.placement.place(ctx, g.request(g.job.excluded()))
		if err != nil && cause == nil {
			return nil, refuse(reasonNoTarget, g.host.retryAfter(err), err)
		}
		if err != nil {
			break
		}
		result := g.send(ctx, choice, ushercall.Copy{})
		g.job.targets = append(g.job.targets, choice.Target.ID)
		g.host.core.observe(choice.Target.ID, result.result)
		g.job.ran = g.job.ran || result.ran
		if result.result == usherpool.Answered && result.err == nil {
			return nil, nil
		}
		cause = result.err
		if result.reply.status != 0 {
			last = &result.reply
		}
		if result.result == usherpool.Unreachable || result.result == usherpool.Replaced {
			g.job.sends--
		}
		if ctx.Err() != nil || !g.mayStartAgain(result) {
			break
		}
		g.host.metrics.repeats.Inc(1)
	}
	return g.notStarted(ctx, last, cause)
}

// notStarted returns the answer to a request that no target answered with a stream.
func (g *generation) notStarted(ctx context.Context, last *reply, cause error) (*reply, *refusal) {
	switch {
	case ctx.Err() != nil && g.job.ran:
		return nil, refuse(reasonTimeout, noAdvice, cause)
	case ctx.Err() != nil:
		return nil, refuse(reasonExpired, noAdvice, cause)
	case last != nil && g.job.ran:
		return last, nil
	case g.job.ran:
		return nil, refuse(reasonBroken, noAdvice, cause)
	default:
		return nil, refuse(reasonNotRun, shortPause, cause)
	}
}

// payRepeat takes a repeated send out of the budget ahead of time.
func (g *generation) payRepeat() bool {
	g.paid = g.host.core.mayRepeat(g.job.service.Name)
	return g.paid
}

// takeRepeat tells whether a repeated send may be made, and uses up what was paid for it.
func (g *generation) takeRepeat() bool {
	if g.paid {
		g.paid = false
		return true
	}
	return g.host.core.mayRepeat(g.job.service.Name)
}

func (g *generation) mayStartAgain(result attemptResult) bool {
	unsent := result.result == usherpool.Unreachable || result.result == usherpool.Replaced
	if !unsent && (g.job.sends >= g.job.route.MaxTargets || result.ran && g.job.route.AtMostOnce()) {
		return false
	}
	return g.takeRepeat()
}

func (g *generation) request(exclude []string) usherpool.Request {
	r := usherpool.Request{
		Service: g.job.service.Name, PromptTokens: max(g.job.PromptTokens, 1), OutputTokens: g.job.OutputTokens(), Exclude: exclude,
	}
	if objective := g.job.route.Objective; objective > 0 {
		r.Objective = max(objective-time.Since(g.job.received), time.Millisecond)
	}
	return r
}

// send sends the request to a target, with a place for the copy of its memory, and reads up to the answer's header.
// From names the copy with which the run goes on.
func (g *generation) send(ctx context.Context, choice usherpool.Choice, from ushercall.Copy) attemptResult {
	id := choice.Target.ID
	g.job.choice = choice
	g.closeExchange()
	g.dropAll()
	g.source, g.expected = choice, false
	// Copies that are still on their way belong to the run before.
	g.copies = make(chan copyResult, 1)
	x, err := g.host.open(ctx, choice.Target)
	if err != nil {
		return attemptResult{choice: choice, result: usherpool.Unreachable, err: err}
	}
	g.x = x
	dispatch := g.job.dispatch(id)
	if choice.Late {
		// It waits for those that can still be in time, and takes no memory until then.
		dispatch.Priority = lateRank
		g.hold(id, usherpool.Load{Streams: 1})
	} else {
		g.hold(id, usherpool.Load{Streams: 1, Tokens: g.job.PeakTokens(), Prefill: g.unread(from)})
	}
	if from.Handle != "" {
		dispatch = dispatch.WithCopy(from, g.lastEvent)
	} else {
		dispatch.LastEventID = g.lastEvent
	}
	grown := g.placeCopy(ctx, &dispatch, id)
	g.run = ushercopies.NewRun(id, grown)
	g.job.sends++
	x.send(&g.job.Call, g.host.codec.EncodeDispatch(&g.job.Call, dispatch))
	stop := g.watchLeaving(ctx, x, choice)
	err = x.receive(g.host.codec, g.job.Attempt, g.headerBound(), g.payRepeat)
	stop()
	if err != nil {
		return attemptResult{choice: choice, result: failure(err), ran: true, err: err}
	}
	if x.answer.ColdRemaining > 0 {
		g.host.core.cold(id, x.answer.ColdRemaining)
	}
	status := x.response.StatusCode
	if status == http.StatusOK {
		return attemptResult{choice: choice, result: usherpool.Answered, ran: true}
	}
	return g.readReply(choice, status)
}

func (g *generation) readReply(choice usherpool.Choice, status int) attemptResult {
	x := g.x
	held := &holding{memory: g.host.memory}
	defer held.release()
	body, err := x.failureBody(held)
	if err != nil {
		return attemptResult{choice: choice, result: usherpool.Broken, ran: !x.answer.NotRun, err: err}
	}
	return attemptResult{
		choice: choice, result: classify(status, x.answer), ran: !x.answer.NotRun, err: errStatus.New("target %s answered %d", choice.Target.ID, status),
		reply: reply{status: status, header: g.host.codec.AnswerHeader(x.response.Header), body: body},
	}
}

// unread returns how much of the prompt a run has still to read.
func (g *generation) unread(from ushercall.Copy) int {
	if from.Handle != "" {
		return 0
	}
	return g.job.PromptTokens
}

// finish records the regular end of a stream.
func (g *generation) finish() {
	h := g.host
	h.core.observe(g.source.Target.ID, usherpool.Answered)
	h.metrics.answered(g.job, time.Since(g.job.received))
	h.logRequest(g.job, "answered", slog.Int("status", g.x.response.StatusCode), nil)
	if point, made := g.run.OnDemandCopy(); made {
		go h.releaseCopy(point.Copy)
	}
}

// giveUp ends a stream that cannot go on. A caller that has seen a part of it sees the connection break.
func (g *generation) giveUp(ctx context.Context, cause error) *refusal {
	if !g.begun {
		if ctx.Err() != nil {
			return refuse(reasonTimeout, noAdvice, cause)
		}
		return refuse(reasonBroken, noAdvice, cause)
	}
	outcome := "cut"
	if errorx.IsOfType(cause, errCallerGone) || errors.Is(ctx.Err(), context.Canceled) {
		outcome = "caller_gone"
		g.host.metrics.callersGone.Inc(1)
	} else {
		g.host.metrics.cut.Inc(1)
	}
	g.host.logRequest(g.job, outcome, slog.String("last_event", g.lastEvent), cause)
	panic(http.ErrAbortHandler)
}

// hold counts work of this request at a target, in place of what was counted there before.
func (g *generation) hold(id string, load usherpool.Load) {
	g.drop(id)
	g.host.core.add(id, load)
	g.release[id] = func() { g.host.core.add(id, load.Negated()) }
}

func (g *generation) drop(id string) {
	if release, held := g.release[id]; held {
		release()
		delete(g.release, id)
	}
}

func (g *generation) closeExchange() {
	if g.x != nil {
		g.x.close()
	}
}

func (g *generation) dropAll() {
	for id := range g.release {
		g.drop(id)
	}
}

func (g *generation) close() {
	g.closeExchange()
	g.dropAll()
}

func errorTextOrEmpty(err error) string {
	if err == nil {
		return ""
	}
	return errorText(err)
}
