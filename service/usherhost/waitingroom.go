package usherhost

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rcrowley/go-metrics"

	"github.com/samphireusher/samphireusher/pkg/usherpool"
	"github.com/samphireusher/samphireusher/pkg/usherqueue"
	"github.com/samphireusher/samphireusher/pkg/usherroute"
)

const (
	// grantInterval is the time between two passes over the waiting requests.
	grantInterval = 20 * time.Millisecond
	// maxAttemptBytes bounds the ids of requests in the list.
	maxAttemptBytes = 256
)

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
		// Precedence is the workspace's priority, or the route's if the workspace has none.
		Precedence int `cbor:"7,keyasint,omitempty"`
		// Withdrawn reports that the request does not wait any more.
		Withdrawn bool `cbor:"6,keyasint,omitempty"`
	}

	// waitingRequestWire is a waiting request in the dump, with the times left until its objective and its caller's patience end.
	waitingRequestWire struct {
		Host        string `json:"host"`
		Attempt     string `json:"attempt"`
		Service     string `json:"service"`
		Workspace   string `json:"workspace"`
		Rank        int    `json:"rank"`
		Tokens      int    `json:"tokens"`
		WaitedMs    int64  `json:"waited_ms"`
		ObjectiveMs int64  `json:"objective_ms"`
		PatienceMs  int64  `json:"patience_ms"`
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
		choice, err := w.placement.state.placeInRoom(now, waiter.request, room, waiter.own)
		if err != nil && due && r.Objective > 0 {
			if kept.key != r.Key {
				target, _ := w.placement.state.mostRoom(waiter.request)
				kept = keptRoom{key: r.Key, target: target}
			}
			w.kept[service] = kept
		}
		return choice, err == nil
	}) {
		answer, _ := w.queue.Answer(key)
		w.record(key, answer)
		w.waiting[key].deliver(w.replyTo(key, answer))
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

// replyTo returns the reply that tells a request's host of an answer.
func (w *waitingRoom) replyTo(key usherqueue.Key, answer usherqueue.Answer[usherpool.Choice]) placementReplyWire {
	switch answer.Verdict {
	case usherqueue.Go:
		return replyWithChoice(answer.Grant)
	case usherqueue.Refuse:
		_, load := w.placement.state.mostRoom(w.waiting[key].request)
		return placementReplyWire{Verdict: verdictRefuse, RetryAfter: answer.RetryAfter, ExpectedWait: answer.Forecast, Load: load}
	default:
		return placementReplyWire{Verdict: verdictWait, ExpectedWait: answer.Forecast, RetryAfter: answer.AskAgain}
	}
}

func replyWithChoice(c usherpool.Choice) placementReplyWire {
	return placementReplyWire{Target: c.Target.ID, Delay: c.Delay, Load: c.Load, PrefillTime: c.PrefillTime, Late: c.Late, Kept: c.Kept, Forecast: c.Forecast, OutputTokens: c.OutputTokens}
}

// ask decides about a request that can wait, and returns the reply for now. deliver is called with a later one: if others wait, the next
// pass decides.
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
		choice, err := state.placeAtOnce(now, r, contention, competes, own)
		if err == nil {
			return replyWithChoice(choice)
		}
		if !errorx.IsOfType(err, usherpool.ErrNoRoom) {
			return placementReplyWire{}
		}
	}
	w.waiting[key] = waiter{request: r, own: own, deliver: deliver}
	answer := w.queue.Ask(now, usherqueue.Request{
		Key: key, Service: r.Service, Workspace: r.Workspace, Rank: r.Rank, Precedence: ask.Precedence, Tokens: r.PromptTokens + r.OutputTokens, Content: ask.Content,
		Objective: r.Objective, Patience: ask.Patience, Needed: usherpool.PrefillTime(r.PromptTokens), Waited: ask.Waited,
	})
	if answer.Verdict == usherqueue.Refuse && !known {
		w.record(key, answer)
	}
	notify(w.wake)
	return w.replyTo(key, answer)
}

// list returns the requests that wait, each service's in the order in which they are granted room.
func (w *waitingRoom) list() []waitingRequestWire {
	w.mu.Lock()
	defer w.mu.Unlock()
	requests := []waitingRequestWire{}
	for _, r := range w.queue.Requests(time.Now()) {
		requests = append(requests, waitingRequestWire{
			Host: r.Host, Attempt: r.Attempt, Service: r.Service, Workspace: r.Workspace, Rank: r.Rank, Tokens: r.Tokens,
			WaitedMs: r.Waited.Milliseconds(), ObjectiveMs: r.Objective.Milliseconds(), PatienceMs: r.Patience.Milliseconds(),
		})
	}
	return requests
}

// isBusy reports whether requests wait for a service.
func (w *waitingRoom) isBusy(service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queue.Waiting(time.Now(), service) > 0
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

func (s *sharedState) placeInRoom(now time.Time, r usherpool.Request, room usherpool.Room, own bool) (usherpool.Choice, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if own {
		r.Exclude = slices.Concat(r.Exclude, s.pool.ExcludedTargets(now, r))
	}
	return s.pool.PlaceInRoom(now, r, room, own)
}

func (s *sharedState) mostRoom(r usherpool.Request) (string, usherpool.Load) {
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
func (s *sharedState) placeAtOnce(now time.Time, r usherpool.Request, contention usherroute.Contention, competes, own bool) (usherpool.Choice, error) {
	if !competes {
		return s.place(r, own)
	}
	room := usherpool.Room{Contention: contention}
	choice, err := s.placeInRoom(now, r, room, own)
	if err != nil && s.isHalfFree(r.Service) {
		room.Beyond = true
		return s.placeInRoom(now, r, room, own)
	}
	return choice, err
}

func (s *sharedState) isHalfFree(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.IsHalfFree(time.Now(), service)
}
