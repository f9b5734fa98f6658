package usherhost

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/ushercluster"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
)

const (
	// placementTimeout is how long a host waits for the choice of another one: a round trip within a region, and the
	// throttling of a process that uses up its CPU quota halfway through a scheduling period of 100 ms.
	placementTimeout = 50 * time.Millisecond
	// placerRetryInterval is how long a host that did not answer is not asked again.
	placerRetryInterval = 2 * time.Second
)

type (
	// placement lets one host of the fleet, the placer, choose the targets of streams. The placer knows of every choice
	// at once, while what hosts know of each other's work is some hundred milliseconds old. If it does not answer, this
	// host chooses by itself, and asks the next placer from then on.
	placement struct {
		state *sharedState
		peers *peers

		mu                sync.Mutex
		lastID            uint64
		pending           map[uint64]chan placementReplyWire
		unresponsiveUntil map[string]time.Time
		// room is in use while this host is the placer.
		room *waitingRoom

		requests metrics.Counter
		replies  metrics.Counter
		timeouts metrics.Counter
		latency  metrics.Histogram
	}

	placementRequestWire struct {
		ID         uint64              `cbor:"1,keyasint"`
		Parameters placementParameters `cbor:"2,keyasint"`
	}

	placementParameters struct {
		Service          string   `cbor:"1,keyasint"`
		PromptTokens     int      `cbor:"2,keyasint"`
		OutputTokens     int      `cbor:"3,keyasint"`
		Copy             bool     `cbor:"4,keyasint,omitempty"`
		SourceDataCentre string   `cbor:"5,keyasint,omitempty"`
		Exclude          []string `cbor:"6,keyasint,omitempty"`
		// Objective is the time in which the first result is wanted.
		Objective time.Duration `cbor:"7,keyasint,omitempty"`
		// Backup requests memory that no other work needs.
		Backup bool `cbor:"8,keyasint,omitempty"`
		// Route, Workspace, Rank, MaxPause, Events and Parts are those of usherpool.Request.
		Route     string           `cbor:"9,keyasint,omitempty"`
		Workspace string           `cbor:"10,keyasint,omitempty"`
		Rank      int              `cbor:"11,keyasint,omitempty"`
		MaxPause  time.Duration    `cbor:"12,keyasint,omitempty"`
		Events    int              `cbor:"13,keyasint,omitempty"`
		Parts     []usherpool.Part `cbor:"14,keyasint,omitempty"`
		// Wait is set if the request can wait for room.
		Wait *waitWire `cbor:"15,keyasint,omitempty"`
		// OutputHint and MaxOutputTokens are those of usherpool.Request.
		OutputHint      int `cbor:"20,keyasint,omitempty"`
		MaxOutputTokens int `cbor:"21,keyasint,omitempty"`
	}

	placementReplyWire struct {
		ID uint64 `cbor:"1,keyasint"`
		// Target is empty if no target accepts the request.
		Target      string         `cbor:"2,keyasint,omitempty"`
		Delay       time.Duration  `cbor:"3,keyasint,omitempty"`
		Load        usherpool.Load `cbor:"4,keyasint,omitempty"`
		PrefillTime time.Duration  `cbor:"5,keyasint,omitempty"`
		// Late reports that the first result is not expected within that time.
		Late bool           `cbor:"6,keyasint,omitempty"`
		Kept usherpool.Kept `cbor:"12,keyasint,omitempty"`
		// Forecast is what is expected of the request at the target.
		Forecast usherpool.Forecast `cbor:"10,keyasint,omitempty"`
		// Verdict is verdictWait if the request waits, with another reply to follow, or verdictRefuse if it cannot begin in its
		// time. ExpectedWait is the time until room is expected, RetryAfter the time until the host should ask again, or until a refused caller
		// should return.
		Verdict      int           `cbor:"7,keyasint,omitempty"`
		RetryAfter   time.Duration `cbor:"8,keyasint,omitempty"`
		ExpectedWait time.Duration `cbor:"9,keyasint,omitempty"`
		// OutputTokens is the expected length of the output.
		OutputTokens int `cbor:"11,keyasint,omitempty"`
	}
)

func newPlacement(s *sharedState, p *peers, registry metrics.Registry) *placement {
	placement := &placement{
		state: s, peers: p, pending: map[uint64]chan placementReplyWire{}, unresponsiveUntil: map[string]time.Time{},
		requests: metrics.NewRegisteredCounter("placement.asked", registry), replies: metrics.NewRegisteredCounter("placement.answered", registry),
		timeouts: metrics.NewRegisteredCounter("placement.silences", registry),
		latency:  metrics.NewRegisteredHistogram("placement.answer_ms", registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
	placement.room = newWaitingRoom(placement, registry)
	return placement
}

// place returns the target for a stream or for a copy of one.
func (p *placement) place(ctx context.Context, r usherpool.Request) (usherpool.Choice, error) {
	placer, own := p.selectPlacer()
	if own {
		if r.Backup && p.room.isBusy(r.Service) {
			return usherpool.Choice{}, usherpool.ErrFull.New("requests wait for room")
		}
		if choice, err := p.state.place(r, true); err == nil || r.Backup {
			choice.Placer = placer.Name
			return choice, err
		}
		// The excluded targets may be the only ones there are.
		return p.state.choose(r)
	}
	if placer.Name == "" {
		return p.state.choose(r)
	}
	reply, ok := p.request(ctx, placer, r)
	if ok && reply.Target != "" {
		choice := usherpool.Choice{
			Target: ushercatalog.Target{ID: reply.Target}, Delay: reply.Delay, PrefillTime: reply.PrefillTime, Late: reply.Late, Load: reply.Load, Kept: reply.Kept, Forecast: reply.Forecast, OutputTokens: reply.OutputTokens, Placer: placer.Name,
		}
		if choice, taken := p.state.adoptChoice(r, choice); taken {
			return choice, nil
		}
	}
	if ok && r.Backup {
		return usherpool.Choice{}, usherpool.ErrFull.New("placer %s knows of no spare memory", placer.Name)
	}
	return p.state.choose(r)
}

// selectPlacer returns the host to ask; own reports whether it is this one.
func (p *placement) selectPlacer() (placer ushercluster.Member, own bool) {
	placers, self := p.state.placers()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, m := range placers {
		if m.Name == self {
			return m, true
		}
		if now.After(p.unresponsiveUntil[m.Name]) {
			return m, false
		}
	}
	return ushercluster.Member{}, false
}

func (p *placement) request(ctx context.Context, placer ushercluster.Member, r usherpool.Request) (placementReplyWire, bool) {
	id, replies := p.register(1)
	defer p.unregister(id)
	return p.exchange(ctx, placer, id, replies, p.parameters(r))
}

func (p *placement) parameters(r usherpool.Request) placementParameters {
	return placementParameters{
		Service: r.Service, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens, Copy: r.Copy, SourceDataCentre: r.SourceDataCentre, Objective: r.Objective, Backup: r.Backup,
		Route: r.Route, Workspace: r.Workspace, Rank: r.Rank, MaxPause: r.MaxPause, Events: r.Events, Parts: r.Parts,
		OutputHint: r.OutputHint, MaxOutputTokens: r.MaxOutputTokens,
		Exclude: slices.Compact(slices.Sorted(slices.Values(slices.Concat(r.Exclude, p.state.excludedTargets(r))))),
	}
}

func (p placementParameters) withWait(w waitWire) placementParameters {
	p.Wait = &w
	return p
}

// exchange sends a request to a placer and returns its first reply.
func (p *placement) exchange(ctx context.Context, placer ushercluster.Member, id uint64, replies <-chan placementReplyWire, parameters placementParameters) (placementReplyWire, bool) {
	d := p.state.identityDatagram()
	d.PlacementRequest = &placementRequestWire{ID: id, Parameters: parameters}
	start := time.Now()
	p.requests.Inc(1)
	p.peers.send(d, placer.Address)
	timer := time.NewTimer(placementTimeout)
	defer timer.Stop()
	select {
	case reply := <-replies:
		p.replies.Inc(1)
		p.latency.Update(time.Since(start).Milliseconds())
		return reply, true
	case <-ctx.Done():
		return placementReplyWire{}, false
	case <-timer.C:
		p.timeouts.Inc(1)
		p.peers.log.Info("placer did not respond; choosing target locally", "peer", placer.Name, "duration_ms", time.Since(start).Milliseconds())
		p.mu.Lock()
		defer p.mu.Unlock()
		p.unresponsiveUntil[placer.Name] = time.Now().Add(placerRetryInterval)
		return placementReplyWire{}, false
	}
}

// register returns an id for a request and the channel of its replies, as many of which may be unread as given.
func (p *placement) register(unread int) (uint64, <-chan placementReplyWire) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	reply := make(chan placementReplyWire, unread)
	p.pending[p.lastID] = reply
	return p.lastID, reply
}

func (p *placement) unregister(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, id)
}

// request returns the request of a host in the given data centre.
func (p placementParameters) request(dataCentre string) usherpool.Request {
	return usherpool.Request{
		Service: p.Service, PromptTokens: p.PromptTokens, OutputTokens: p.OutputTokens, Copy: p.Copy, SourceDataCentre: p.SourceDataCentre, Exclude: p.Exclude,
		Objective: p.Objective, Backup: p.Backup, DataCentre: dataCentre,
		Route: p.Route, Workspace: p.Workspace, Rank: p.Rank, MaxPause: p.MaxPause, Events: p.Events, Parts: p.Parts,
		OutputHint: p.OutputHint, MaxOutputTokens: p.MaxOutputTokens,
	}
}

// handleRequest chooses a target for another host.
func (p *placement) handleRequest(from ushercluster.Member, request placementRequestWire) {
	r := request.Parameters.request(from.DataCentre)
	if ask := request.Parameters.Wait; ask != nil {
		reply := func(reply placementReplyWire) {
			reply.ID = request.ID
			d := p.state.identityDatagram()
			d.PlacementReply = &reply
			p.peers.send(d, from.Address)
		}
		first := p.room.ask(from.Name, r, *ask, false, reply)
		if !ask.Withdrawn {
			reply(first)
		}
		return
	}
	d := p.state.identityDatagram()
	d.PlacementReply = &placementReplyWire{ID: request.ID}
	if r.Backup && p.room.isBusy(r.Service) {
		p.peers.send(d, from.Address)
		return
	}
	choice, err := p.state.place(r, false)
	if err != nil {
		p.peers.log.Debug("no target for a peer's request", "peer", from.Name, "error", errorText(err))
	} else {
		d.PlacementReply.Target, d.PlacementReply.Delay, d.PlacementReply.Load = choice.Target.ID, choice.Delay, choice.Load
		d.PlacementReply.OutputTokens = choice.OutputTokens
		d.PlacementReply.PrefillTime, d.PlacementReply.Late, d.PlacementReply.Forecast = choice.PrefillTime, choice.Late, choice.Forecast
		d.PlacementReply.Kept = choice.Kept
	}
	p.peers.send(d, from.Address)
}

// handleReply delivers another host's choice to the request that waits for it.
func (p *placement) handleReply(from ushercluster.Member, reply placementReplyWire) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if replies, pending := p.pending[reply.ID]; pending {
		select {
		case replies <- reply:
		default:
			// A verdict is repeated at the next ask.
		}
		return
	}
	// A reply that came too late still shows that the host is alive.
	delete(p.unresponsiveUntil, from.Name)
}

// placers returns the hosts that choose targets for the fleet, and this host's name.
func (s *sharedState) placers() ([]ushercluster.Member, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cluster.Placers(s.clock.now()), s.cluster.Self().Name
}

// identityDatagram returns a datagram that only names its sender.
func (s *sharedState) identityDatagram() datagramWire {
	s.mu.Lock()
	defer s.mu.Unlock()
	return datagramWire{Version: protocolVersion, Report: s.cluster.Status(s.clock.now())}
}

func (s *sharedState) place(r usherpool.Request, own bool) (usherpool.Choice, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if own {
		r.Exclude = slices.Concat(r.Exclude, s.pool.ExcludedTargets(now, r))
	}
	return s.pool.Place(now, r, own)
}

func (s *sharedState) adoptChoice(r usherpool.Request, choice usherpool.Choice) (usherpool.Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.AdoptChoice(time.Now(), r, choice)
}

// excludedTargets returns the targets that this host excludes from a request.
func (s *sharedState) excludedTargets(r usherpool.Request) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.ExcludedTargets(time.Now(), r)
}
