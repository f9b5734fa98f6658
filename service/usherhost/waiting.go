package usherhost

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
	"github.com/rcrowley/go-metrics"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/ushercluster"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
	"github.com/samphireusher/samphireusher/pkg/usherqueue"
	"github.com/samphireusher/samphireusher/pkg/usherroute"
)

const (
	// grantInterval is the time between two passes over the waiting requests.
	grantInterval = 20 * time.Millisecond
	// maxAskInterval bounds what a placer asks for.
	maxAskInterval = time.Second
	// maxAttemptBytes bounds the ids of requests in the list.
	maxAttemptBytes = 256
	// maxGrantOnAsk is the length of the queue up to which a new request starts a pass of its own.
	maxGrantOnAsk = 64
	// maxWaitTries bounds the grants that a host may decline for one request.
	maxWaitTries = 4
	// pendingReplies is how many replies to asks for one request may be unread.
	pendingReplies = 4
)

// errNoRoom is the type of errors for requests that cannot begin in their time.
var errNoRoom = errNamespace.NewType("no_room")

const (
	verdictWait   = 1
	verdictRefuse = 2
)

type (
	// waitingRoom is the placer's list of the requests that wait for room.
	waitingRoom struct {
		placement *placement

		mu      sync.Mutex
		queue   usherqueue.Queue[usherpool.Choice]
		waiting map[usherqueue.Key]waiter
		// kept has, by service, the target whose room is kept free for a request that is due.
		kept map[string]keptRoom
		wake chan struct{}

		registry metrics.Registry
		queued   metrics.Gauge
		granted  metrics.Counter
		refused  metrics.Counter
	}

	// waiter is a request in the list, with the way to its host.
	waiter struct {
		request usherpool.Request
		own     bool
		deliver func(placementReplyWire)
	}

	keptRoom struct {
		key    usherqueue.Key
		target string
	}

	// waitWire is present in requests that can wait.
	waitWire struct {
		Attempt string `cbor:"1,keyasint"`
		Try     int    `cbor:"2,keyasint,omitempty"`
		// Patience is the time left until the caller gives up, Waited how long the request has waited.
		Patience time.Duration `cbor:"3,keyasint"`
		Waited   time.Duration `cbor:"4,keyasint,omitempty"`
		// Content identifies the request if its caller sends it again.
		Content uint64 `cbor:"5,keyasint,omitempty"`
		// Withdrawn reports that the request does not wait any more.
		Withdrawn bool `cbor:"6,keyasint,omitempty"`
	}
)

func newWaitingRoom(p *placement, registry metrics.Registry) *waitingRoom {
	return &waitingRoom{
		placement: p, waiting: map[usherqueue.Key]waiter{}, kept: map[string]keptRoom{}, wake: make(chan struct{}, 1), registry: registry,
		queued: metrics.NewRegisteredGauge("waiting.queued", registry), granted: metrics.NewRegisteredCounter("waiting.granted", registry),
		refused: metrics.NewRegisteredCounter("waiting.refused", registry),
	}
}

// run grants room to waiting requests until ctx ends.
func (w *waitingRoom) run(ctx context.Context) {
	for ctx.Err() == nil {
		if w.grantAll() {
			sleep(ctx, grantInterval)
			continue
		}
		select {
		case <-ctx.Done():
		case <-w.wake:
		}
	}
}

// grantAll makes one pass over the waiting requests and reports whether any is left.
func (w *waitingRoom) grantAll() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	left := 0
	for _, service := range w.queue.Services(now) {
		w.grant(now, service)
		left += w.queue.Waiting(now, service)
	}
	for key := range w.waiting {
		if _, known := w.queue.Answer(key); !known {
			delete(w.waiting, key)
		}
	}
	w.queued.Update(int64(left))
	return len(w.waiting) > 0
}

// grant makes a pass over the waiting requests of one service and sends what has changed.
func (w *waitingRoom) grant(now time.Time, service string) {
	contention, _ := w.placement.state.contention(service)
	kept := w.kept[service]
	delete(w.kept, service)
	for _, key := range w.queue.Grant(now, service, func(r usherqueue.Request, due bool) (usherpool.Choice, bool) {
		waiter := w.waiting[r.Key]
		room := usherpool.Room{Contention: contention, Whole: due, Kept: w.kept[service].target}
		choice, err := w.placement.state.placeInRoom(waiter.request, room, waiter.own)
		if err != nil && due && r.Objective > 0 {
			if kept.key != r.Key {
				kept = keptRoom{key: r.Key, target: w.placement.state.mostRoom(waiter.request)}
			}
			w.kept[service] = kept
		}
		return choice, err == nil
	}) {
		answer, _ := w.queue.Answer(key)
		w.record(key, answer)
		w.waiting[key].deliver(replyTo(answer))
	}
}

func (w *waitingRoom) record(key usherqueue.Key, answer usherqueue.Answer[usherpool.Choice]) {
	waiter := w.waiting[key]
	switch answer.Verdict {
	case usherqueue.Go:
		w.granted.Inc(1)
	case usherqueue.Refuse:
		w.refused.Inc(1)
	}
	w.placement.peers.log.Debug("request left the waiting room", "attempt", key.Attempt, "peer", key.Host, "rank", waiter.request.Rank, "granted", answer.Verdict == usherqueue.Go,
		"target", answer.Grant.Target.ID, "load", answer.Grant.Load, "forecast_ms", answer.Forecast.Milliseconds(), "retry_after", answer.RetryAfter.String())
}

func replyTo(answer usherqueue.Answer[usherpool.Choice]) placementReplyWire {
	switch answer.Verdict {
	case usherqueue.Go:
		c := answer.Grant
		return placementReplyWire{Target: c.Target.ID, Delay: c.Delay, Load: c.Load, PrefillTime: c.PrefillTime, Late: c.Late}
	case usherqueue.Refuse:
		return placementReplyWire{Verdict: verdictRefuse, RetryAfter: answer.RetryAfter, Forecast: answer.Forecast}
	default:
		return placementReplyWire{Verdict: verdictWait, Forecast: answer.Forecast, RetryAfter: answer.AskAgain}
	}
}

// ask decides about a request that can wait, and returns the reply for now. deliver is called with a later one.
func (w *waitingRoom) ask(host string, r usherpool.Request, ask waitWire, own bool, deliver func(placementReplyWire)) placementReplyWire {
	key := usherqueue.Key{Host: host, Attempt: ask.Attempt, Try: ask.Try}
	w.mu.Lock()
	defer w.mu.Unlock()
	now, state := time.Now(), w.placement.state
	_, known := w.queue.Answer(key)
	contention, competes := state.contention(r.Service)
	if ask.Withdrawn || len(ask.Attempt) > maxAttemptBytes || !known && !state.hasCandidate(r) {
		// Without a target there is nothing to wait for; the host finds the reason for its refusal.
		w.queue.Withdraw(key)
		delete(w.waiting, key)
		return placementReplyWire{}
	}
	if !competes || !known && w.queue.Waiting(now, r.Service) == 0 {
		choice, err := state.placeAtOnce(r, contention, competes, own)
		if err == nil {
			return replyTo(usherqueue.Answer[usherpool.Choice]{Verdict: usherqueue.Go, Grant: choice})
		}
		if !errorx.IsOfType(err, usherpool.ErrNoRoom) {
			return placementReplyWire{}
		}
	}
	w.waiting[key] = waiter{request: r, own: own, deliver: deliver}
	answer := w.queue.Ask(now, usherqueue.Request{
		Key: key, Service: r.Service, Workspace: r.Workspace, Rank: r.Rank, Tokens: r.PromptTokens + r.OutputTokens, Content: ask.Content,
		Objective: r.Objective, Patience: ask.Patience, Needed: usherpool.PrefillTime(r.PromptTokens), Waited: ask.Waited,
	})
	if answer.Verdict == usherqueue.Wait && !known && w.queue.Waiting(now, r.Service) <= maxGrantOnAsk {
		// What is decided here is the reply to this ask.
		w.waiting[key] = waiter{request: r, own: own, deliver: func(placementReplyWire) {}}
		w.grant(now, r.Service)
		w.waiting[key] = waiter{request: r, own: own, deliver: deliver}
		answer, _ = w.queue.Answer(key)
	}
	if answer.Verdict == usherqueue.Refuse && !known {
		w.record(key, answer)
	}
	notify(w.wake)
	return replyTo(answer)
}

// isBusy reports whether requests wait for a service.
func (w *waitingRoom) isBusy(service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queue.Waiting(time.Now(), service) > 0
}

// placeOrWait returns the target for a new stream once one has room for it, or a refusal if none will have in its time.
func (g *generation) placeOrWait(ctx context.Context) (usherpool.Choice, *refusal) {
	h, p := g.host, g.host.peers.placement
	if _, competes := h.state.contention(g.req.service.Name); !competes || g.req.ran {
		return g.placed(p.place(ctx, g.placementRequest(g.req.excludedTargets())))
	}
	id, replies := p.register(pendingReplies)
	defer p.unregister(id)
	start, asks := time.Now(), 0
	ask := waitWire{Attempt: g.req.Attempt, Content: g.req.content()}
	for {
		r := g.placementRequest(g.req.excludedTargets())
		placer, own := p.selectPlacer()
		if placer.Name == "" || ask.Try == maxWaitTries {
			return g.placed(h.state.choose(r))
		}
		ask.Patience, ask.Waited = time.Until(g.req.deadline), time.Since(start)
		reply, answered := p.ask(ctx, placer, own, id, replies, r, ask)
		asks++
		if answered && reply.Verdict == verdictWait {
			reply = p.awaitVerdict(ctx, replies, reply)
		}
		if ctx.Err() != nil || !h.mayFinish(time.Until(g.req.deadline)) {
			ask.Withdrawn = true
			p.withdraw(placer, own, id, r, ask)
			g.logWait("withdrawn", placer, start, asks, reply)
			if ctx.Err() != nil {
				return usherpool.Choice{}, refuse(reasonExpired, noRetryAfter, ctx.Err())
			}
			return usherpool.Choice{}, refuse(reasonStopping, 0, nil)
		}
		switch {
		case !answered || reply.Verdict == verdictWait:
			continue
		case reply.Verdict == verdictRefuse:
			g.logWait("refused", placer, start, asks, reply)
			return usherpool.Choice{}, refuse(reasonNoRoom, reply.RetryAfter, errNoRoom.New("placer %s expects room in %s", placer.Name, reply.Forecast))
		case reply.Target == "":
			return g.placed(h.state.choose(r))
		}
		if choice, taken := p.adopt(placer, own, r, reply); taken {
			if asks > 1 || time.Since(start) > usherqueue.AskInterval/2 {
				g.logWait("granted", placer, start, asks, reply)
			}
			return choice, nil
		}
		ask.Try++
	}
}

// placed returns the refusal that goes with the error of a choice.
func (g *generation) placed(choice usherpool.Choice, err error) (usherpool.Choice, *refusal) {
	if err != nil {
		return choice, g.host.refuseUnplaced(g.req.service.Name, err)
	}
	return choice, nil
}

// logWait records the end of a request's wait.
func (g *generation) logWait(outcome string, placer ushercluster.Member, start time.Time, asks int, reply placementReplyWire) {
	waited, rank := time.Since(start), g.req.rank()
	metrics.GetOrRegisterHistogram(fmt.Sprintf("waiting.rank_%d_ms", min(max(rank, 0), 9)), g.host.metrics.registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha)).Update(waited.Milliseconds())
	g.host.log.Info("request waited for room", "attempt", g.req.Attempt, "outcome", outcome, "route", g.req.route.Name, "workspace", g.req.workspace.Name, "rank", rank,
		"by", placer.Name, "asks", asks, "waited_ms", waited.Milliseconds(), "forecast_ms", reply.Forecast.Milliseconds(), "retry_after", reply.RetryAfter.String(),
		"target", reply.Target, "load", reply.Load)
}

// content returns a hash of what the caller asked for, which is the same if it asks again.
func (req *requestState) content() uint64 {
	hash := xxhash.New()
	for _, part := range []string{req.workspace.Name, req.Method, req.Host, req.URI, req.OwnPart} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(req.Body)
	return hash.Sum64()
}

// ask asks a placer once for a request that can wait. It returns the first reply.
func (p *placement) ask(ctx context.Context, placer ushercluster.Member, own bool, id uint64, replies <-chan placementReplyWire, r usherpool.Request, ask waitWire) (placementReplyWire, bool) {
	if own {
		return p.room.ask(placer.Name, r, ask, true, func(reply placementReplyWire) {
			reply.ID = id
			p.handleReply(placer, reply)
		}), true
	}
	return p.exchange(ctx, placer, id, replies, p.parameters(r).withWait(ask))
}

// awaitVerdict returns the verdict about a request that waits, or the given reply if it is time to ask again.
func (p *placement) awaitVerdict(ctx context.Context, replies <-chan placementReplyWire, wait placementReplyWire) placementReplyWire {
	timer := time.NewTimer(min(max(wait.RetryAfter, usherqueue.AskInterval), maxAskInterval))
	defer timer.Stop()
	for {
		select {
		case reply := <-replies:
			if reply.Verdict != verdictWait {
				return reply
			}
		case <-ctx.Done():
			return wait
		case <-timer.C:
			return wait
		}
	}
}

// withdraw tells a placer that a request does not wait any more.
func (p *placement) withdraw(placer ushercluster.Member, own bool, id uint64, r usherpool.Request, ask waitWire) {
	if own {
		p.room.ask(placer.Name, r, ask, true, nil)
		return
	}
	d := p.state.identityDatagram()
	d.PlacementRequest = &placementRequestWire{ID: id, Parameters: placementParameters{Service: r.Service, Wait: &ask}}
	p.peers.send(d, placer.Address)
}

// adopt returns the choice that a placer made for this host, if this host too considers the target available.
func (p *placement) adopt(placer ushercluster.Member, own bool, r usherpool.Request, reply placementReplyWire) (usherpool.Choice, bool) {
	choice := usherpool.Choice{
		Target: ushercatalog.Target{ID: reply.Target}, Delay: reply.Delay, PrefillTime: reply.PrefillTime, Late: reply.Late, Load: reply.Load, Placer: placer.Name,
	}
	if own {
		// The turn and the part of a cold target's rate were taken with the grant.
		return p.state.fillChoice(choice)
	}
	return p.state.adoptChoice(r, choice)
}

// contention returns how streams compete for a service's engines, if they do.
func (s *sharedState) contention(service string) (usherroute.Contention, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	table := s.catalog.Table()
	if table == nil {
		return usherroute.Contention{}, false
	}
	return table.Contention(service)
}

// fillChoice completes a choice that this host made as the placer.
func (s *sharedState) fillChoice(choice usherpool.Choice) (usherpool.Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	target, known := s.pool.Target(choice.Target.ID)
	choice.Target = target
	return choice, known && s.pool.Accepts(target.ID)
}

func (s *sharedState) placeInRoom(r usherpool.Request, room usherpool.Room, own bool) (usherpool.Choice, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if own {
		r.Exclude = slices.Concat(r.Exclude, s.pool.ExcludedTargets(now, r))
	}
	return s.pool.PlaceInRoom(now, r, room, own)
}

func (s *sharedState) mostRoom(r usherpool.Request) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.MostRoom(time.Now(), r)
}

func (s *sharedState) hasCandidate(r usherpool.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.HasCandidate(time.Now(), r)
}

// placeAtOnce chooses a target for r while nothing else waits for room.
func (s *sharedState) placeAtOnce(r usherpool.Request, contention usherroute.Contention, competes, own bool) (usherpool.Choice, error) {
	if !competes {
		return s.place(r, own)
	}
	room := usherpool.Room{Contention: contention}
	choice, err := s.placeInRoom(r, room, own)
	if err != nil && s.isHalfFree(r.Service) {
		room.Beyond = true
		return s.placeInRoom(r, room, own)
	}
	return choice, err
}

func (s *sharedState) isHalfFree(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.IsHalfFree(time.Now(), service)
}
