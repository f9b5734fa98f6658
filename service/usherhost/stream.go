package usherhost

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/ushercall"
	"github.com/samphireusher/samphireusher/pkg/ushercluster"
	"github.com/samphireusher/samphireusher/pkg/ushercopies"
	"github.com/samphireusher/samphireusher/pkg/usherevent"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
	"github.com/samphireusher/samphireusher/pkg/usherroute"
)

const (
	// callerWriteTimeout is how long a caller may take to read an event before it counts as gone.
	callerWriteTimeout = 10 * time.Second
	// silenceFactor times the route's longest pause is the silence after which a running stream counts as broken:
	// a preempted generation is back within about a second.
	silenceFactor = 6
	// defaultPause stands for the longest pause of routes that name none.
	defaultPause = 500 * time.Millisecond
	// firstEventShare is the part of the objective after which a stream that may be run again and has sent nothing is
	// tried elsewhere.
	firstEventShare = 1.2
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
		// NoRoom tells whether an error of Copy means that the destination cannot take the copy.
		NoRoom(err error) bool
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
		host: h, job: j, w: w, ctl: http.NewResponseController(w), release: map[string]func(){}, lastEvent: j.LastEvent,
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
		choice, err := g.host.core.choose(g.request(g.job.excluded()))
		if err != nil {
			if last != nil {
				return last, nil
			}
			return nil, refuse(reasonNoTarget, g.host.retryAfter(err), err)
		}
		result := g.send(ctx, choice, ushercall.Copy{})
		g.job.targets = append(g.job.targets, choice.Target.ID)
		g.host.core.observe(choice.Target.ID, result.result)
		if result.result == usherpool.Answered && result.err == nil {
			return nil, nil
		}
		cause = result.err
		g.job.ran = g.job.ran || result.ran
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

func (g *generation) mayStartAgain(result attemptResult) bool {
	service := g.job.service.Name
	switch {
	case result.result == usherpool.Unreachable || result.result == usherpool.Replaced:
		return g.host.core.mayRepeat(service)
	case g.job.sends >= g.job.route.MaxTargets || result.ran && g.job.route.AtMostOnce():
		return false
	default:
		return g.host.core.mayRepeat(service)
	}
}

func (g *generation) request(exclude []string) usherpool.Request {
	return usherpool.Request{
		Service: g.job.service.Name, PromptTokens: max(g.job.PromptTokens, 1), OutputTokens: g.job.OutputTokens(), Exclude: exclude,
	}
}

// engine returns what is declared of the engines if the generation is lost unless its memory is copied, or nil.
func (g *generation) engine() *usherroute.Engine {
	if !g.job.route.AtMostOnce() {
		return nil
	}
	return g.job.service.Engine
}

// send sends the request to a target, with a place for the copy of its memory, and reads up to the answer's header.
// From names the copy with which the run goes on.
func (g *generation) send(ctx context.Context, choice usherpool.Choice, from ushercall.Copy) attemptResult {
	id := choice.Target.ID
	g.closeExchange()
	g.dropAll()
	g.source, g.expected = choice, false
	// Copies that are still on their way belong to the run before.
	g.copies = make(chan copyResult, 1)
	x, err := open(ctx, g.host.platform.Network, choice.Target.Address)
	if err != nil {
		return attemptResult{choice: choice, result: usherpool.Unreachable, err: err}
	}
	g.x = x
	g.hold(id, usherpool.Load{Streams: 1, Tokens: g.job.Tokens(), Prefill: g.unread(from)})
	dispatch := g.job.dispatch(id)
	if from.Handle != "" {
		dispatch = dispatch.WithCopy(from, g.lastEvent)
	} else {
		dispatch.LastEvent = g.lastEvent
	}
	grown := g.placeCopy(&dispatch, id)
	g.run = ushercopies.NewRun(id, grown)
	g.job.sends++
	x.send(&g.job.Call, g.host.codec.EncodeDispatch(&g.job.Call, dispatch))
	if err := x.receive(g.host.codec, g.job.Attempt, g.headerBound()); err != nil {
		return attemptResult{choice: choice, result: failure(err), ran: true, err: err}
	}
	if x.answer.Cold > 0 {
		g.host.core.cold(id, x.answer.Cold)
	}
	status := x.response.StatusCode
	if status == http.StatusOK {
		return attemptResult{choice: choice, result: usherpool.Answered, ran: true}
	}
	return g.readReply(choice, status)
}

func (g *generation) readReply(choice usherpool.Choice, status int) attemptResult {
	x := g.x
	body, err := x.body()
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

// placeCopy chooses the target to which the memory is copied as it grows.
func (g *generation) placeCopy(d *ushercall.Dispatch, source string) ushercopies.Point {
	if e := g.engine(); e == nil || !e.Backups {
		return ushercopies.Point{}
	}
	r := g.request([]string{source})
	r.Copy, r.Spare, r.Source = true, true, g.source.Target.DataCentre
	holder, err := g.host.core.choose(r)
	if err != nil {
		g.host.log.Debug("no memory to spare for a copy", "attempt", g.job.Attempt, "source", source, "error", errorText(err))
		return ushercopies.Point{}
	}
	*d = d.WithBackup(holder.Target.Address)
	g.hold(holder.Target.ID, usherpool.Load{Copies: 1, CopyTokens: g.job.Tokens()})
	return ushercopies.Point{Target: holder.Target.ID, Copy: ushercall.Copy{Address: holder.Target.Address, Handle: g.job.Attempt}}
}

// relay passes events on until the stream ends, breaks or goes silent.
func (g *generation) relay(ctx context.Context) error {
	items := make(chan streamItem, eventRing)
	done := make(chan struct{})
	defer close(done)
	go readEvents(usherevent.NewReader(g.x.response.Body), items, done)
	silence := time.NewTimer(g.patience())
	defer silence.Stop()
	for {
		changes := g.host.core.watchChanges()
		g.protect(ctx)
		renewal, stop := g.renewalTimer()
		select {
		case item := <-items:
			stop()
			if err := g.take(item); err != nil || item.err != nil {
				return ended(err)
			}
			silence.Reset(g.patience())
		case <-silence.C:
			stop()
			if !g.mayGoOn() {
				// Nobody else can go on with the stream, and a preempted generation comes back.
				silence.Reset(g.patience())
				continue
			}
			return errSilence.New("target %s sent nothing for %s", g.source.Target.ID, g.patience())
		case c := <-g.copies:
			stop()
			g.copied(c)
		case <-changes:
			stop()
		case <-renewal:
		case <-ctx.Done():
			stop()
			return ctx.Err()
		}
	}
}

// ended returns nil for the regular end of a stream.
func ended(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// renewalTimer returns a channel that fires when a copy on demand is to be renewed.
func (g *generation) renewalTimer() (<-chan time.Time, func()) {
	if _, made := g.run.Made(); !made {
		return nil, func() {}
	}
	t := time.NewTimer(ushercopies.RenewInterval / 4)
	return t.C, func() { t.Stop() }
}

// patience returns how long the target may be silent.
func (g *generation) patience() time.Duration {
	pause := g.job.route.MaxPause
	if pause == 0 {
		pause = defaultPause
	}
	if !g.reading {
		if bound := g.headerBound(); bound > 0 {
			return bound
		}
		return time.Until(g.job.deadline) + time.Second
	}
	return silenceFactor * pause
}

// headerBound returns how long a target may take to begin a stream that may also be run elsewhere; zero for no bound.
func (g *generation) headerBound() time.Duration {
	if g.job.route.AtMostOnce() || g.job.sends >= g.job.route.MaxTargets {
		return 0
	}
	return time.Duration(firstEventShare * float64(g.job.route.Objective))
}

// failure tells what an error of reading an answer says of the target.
func failure(err error) usherpool.Result {
	if errorx.IsOfType(err, errSilence) {
		return usherpool.Silent
	}
	return usherpool.Broken
}

func readEvents(r *usherevent.Reader, items chan<- streamItem, done <-chan struct{}) {
	for {
		event, err := r.Next()
		select {
		case items <- streamItem{event: event, err: err}:
		case <-done:
			return
		}
		if err != nil {
			return
		}
	}
}

// take passes one event on to the caller.
func (g *generation) take(item streamItem) error {
	if item.err != nil {
		if errors.Is(item.err, io.EOF) && !g.begun {
			return g.begin()
		}
		return item.err
	}
	if !g.reading {
		g.reading = true
		g.hold(g.source.Target.ID, usherpool.Load{Streams: 1, Tokens: g.job.Tokens()})
	}
	if !after(item.event.ID, g.lastEvent) {
		return nil
	}
	if err := g.begin(); err != nil {
		return err
	}
	if err := g.ctl.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil {
		return errCallerGone.Wrap(err, "write deadline")
	}
	if _, err := g.w.Write(item.event.Raw); err != nil {
		return errCallerGone.Wrap(err, "event")
	}
	if err := g.ctl.Flush(); err != nil {
		return errCallerGone.Wrap(err, "event")
	}
	g.count()
	if item.event.ID != "" {
		g.lastEvent = item.event.ID
	}
	return nil
}

// count takes the times of an event that was relayed.
func (g *generation) count() {
	now := time.Now()
	if g.job.events == 0 {
		g.job.firstEvent = now.Sub(g.job.received)
		g.host.metrics.firstEvent.Update(g.job.firstEvent.Milliseconds())
	} else if pause := now.Sub(g.lastEventAt); pause > g.job.longestPause {
		g.job.longestPause = pause
	}
	g.lastEventAt = now
	g.job.events++
}

// begin gives the caller the header of the first target's answer.
func (g *generation) begin() error {
	if g.begun {
		return nil
	}
	g.begun = true
	for name, values := range g.host.codec.AnswerHeader(g.x.response.Header) {
		if name != "Content-Length" {
			g.w.Header()[name] = values
		}
	}
	g.w.WriteHeader(g.x.response.StatusCode)
	return nil
}

// after tells whether an event comes after the last one relayed.
func after(id, last string) bool {
	if id == "" || last == "" {
		return true
	}
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}

// protect makes and renews the copies that the run needs.
func (g *generation) protect(ctx context.Context) {
	if e := g.engine(); e == nil || !e.Moves || !g.reading {
		return
	}
	g.expect()
	action := g.run.Next(time.Now(), g.host.core.accepts)
	switch action.Kind {
	case ushercopies.Place:
		r := g.request(append(g.run.Holders(), append(g.run.Avoid, g.source.Target.ID)...))
		r.Copy, r.Source = true, g.source.Target.DataCentre
		holder, err := g.host.core.choose(r)
		if err != nil {
			g.run.Begin("")
			g.run.Failed(time.Now(), false)
			g.host.log.Info("no place for a copy", "attempt", g.job.Attempt, "source", g.source.Target.ID, "error", errorText(err))
			return
		}
		g.host.log.Info("copy begins", "attempt", g.job.Attempt, "source", g.source.Target.ID, "holder", holder.Target.ID, "load", holder.Load,
			"entry_age_ms", time.Since(holder.Learned).Milliseconds(), "tokens", g.job.Tokens())
		g.copyTo(ctx, holder.Target.ID, holder.Target.Address)
	case ushercopies.Renew:
		if t, known := g.host.core.target(action.Holder); known {
			g.copyTo(ctx, action.Holder, t.Address)
		}
	}
}

// expect makes it known that the run is about to go on at the holder of its copy.
func (g *generation) expect() {
	if g.expected || g.host.core.accepts(g.source.Target.ID) {
		return
	}
	if point, ok := g.run.Resume(g.host.core.accepts); ok {
		g.expected = true
		g.hold(point.Target, usherpool.Load{Copies: 1, CopyTokens: g.job.Tokens(), Awaited: 1})
		g.host.peers.tell()
	}
}

func (g *generation) copyTo(ctx context.Context, holder string, address netip.AddrPort) {
	g.run.Begin(holder)
	g.hold(holder, usherpool.Load{Copies: 1, CopyTokens: g.job.Tokens(), Incoming: g.job.Tokens()})
	// Other hosts choose holders at the same moment.
	g.host.peers.tell()
	source, attempt, begun, results := g.source.Target.Address, g.job.Attempt, time.Now(), g.copies
	go func() {
		c, err := g.host.engines.Copy(ctx, source, attempt, address)
		results <- copyResult{holder: holder, copy: c, err: err, took: time.Since(begun)}
	}()
}

func (g *generation) copied(c copyResult) {
	attributes := []any{"attempt", g.job.Attempt, "source", g.source.Target.ID, "holder", c.holder, "duration_ms", c.took.Milliseconds(), "events", g.job.events}
	if c.err != nil {
		g.run.Failed(time.Now(), g.host.engines.NoRoom(c.err))
		g.drop(c.holder)
		g.host.metrics.copiesFailed.Inc(1)
		g.host.log.Info("copy failed", append(attributes, "error", errorText(c.err))...)
		return
	}
	g.run.Copied(time.Now(), c.copy)
	g.hold(c.holder, usherpool.Load{Copies: 1, CopyTokens: g.job.Tokens(), Awaited: 1})
	g.host.metrics.copies.Inc(1)
	g.host.log.Info("copy made", attributes...)
}

// resume lets a broken stream go on at another target.
func (g *generation) resume(ctx context.Context, cause error) error {
	g.closeExchange()
	g.drop(g.source.Target.ID)
	begun, from := time.Now(), g.source.Target.ID
	for g.job.resumes < maxResumes && ctx.Err() == nil {
		choice, point, err := g.next()
		if err != nil {
			return errExhausted.Wrap(err, "after %s", errorText(cause))
		}
		g.job.resumes++
		run := g.run
		result := g.send(ctx, choice, point.Copy)
		g.job.targets = append(g.job.targets, choice.Target.ID)
		g.host.core.observe(choice.Target.ID, result.result)
		g.host.log.Info("stream resumed", "attempt", g.job.Attempt, "from", from, "to", choice.Target.ID, "events", g.job.events,
			"last_event", g.lastEvent, "copy", point.Copy.Handle != "", "cause", errorText(cause), "ok", result.err == nil,
			"error", errorTextOrEmpty(result.err), "duration_ms", time.Since(begun).Milliseconds())
		if result.err == nil {
			g.host.metrics.resumed.Inc(1)
			return nil
		}
		run.Drop(choice.Target.ID)
		g.run = run
	}
	return errExhausted.Wrap(cause, "resumed %d times", g.job.resumes)
}

// mayGoOn tells whether the stream could go on elsewhere if it were broken off here.
func (g *generation) mayGoOn() bool {
	if !g.job.route.AtMostOnce() {
		return g.job.sends < g.job.route.MaxTargets
	}
	_, err := g.resumePoint()
	return err == nil
}

// resumePoint returns the copy with which a generation that may run only once goes on.
func (g *generation) resumePoint() (ushercopies.Point, error) {
	point, ok := g.run.Resume(g.host.core.accepts)
	if !ok {
		return point, errNoCopy.New("no copy of the generation is left")
	}
	return point, nil
}

// next returns the target where a broken stream goes on.
func (g *generation) next() (usherpool.Choice, ushercopies.Point, error) {
	if g.job.route.AtMostOnce() {
		point, err := g.resumePoint()
		if err != nil {
			return usherpool.Choice{}, point, err
		}
		target, known := g.host.core.target(point.Target)
		if !known {
			return usherpool.Choice{}, point, errNoCopy.New("the holder %s is gone", point.Target)
		}
		// Counted, but never refused: what is saved is worth more than the retries it takes away.
		g.host.core.mayRepeat(g.job.service.Name)
		return usherpool.Choice{Target: target}, point, nil
	}
	if g.job.sends >= g.job.route.MaxTargets || !g.host.core.mayRepeat(g.job.service.Name) {
		return usherpool.Choice{}, ushercopies.Point{}, errExhausted.New("no more targets allowed")
	}
	choice, err := g.host.core.choose(g.request(g.job.excluded()))
	return choice, ushercopies.Point{}, err
}

// finish records the regular end of a stream.
func (g *generation) finish() {
	h := g.host
	h.core.observe(g.source.Target.ID, usherpool.Answered)
	h.metrics.answered(g.job, time.Since(g.job.received))
	h.logRequest(g.job, "answered", slog.Int("status", g.x.response.StatusCode), nil)
	if point, made := g.run.Made(); made {
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

// releaseTimeout bounds the call that frees a copy; the target frees it by itself later.
const releaseTimeout = time.Second

func (h *Host) releaseCopy(c ushercall.Copy) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := h.engines.Release(ctx, c.Address, c.Handle); err != nil {
		h.log.Debug("copy not released; it expires", "address", c.Address.String(), "error", errorText(err))
	}
}

func errorTextOrEmpty(err error) string {
	if err == nil {
		return ""
	}
	return errorText(err)
}
