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
	// placeTimeout is how long a host waits for another one's choice: a round trip within a region, and the pause of a
	// processor whose allowance of a tenth of a second is half used.
	placeTimeout = 50 * time.Millisecond
	// placerPause is how long a host that did not answer is not asked.
	placerPause = 2 * time.Second
)

type (
	// placement has one host of the fleet choose the targets of streams. It hears of every choice at once, while what
	// hosts know of each other's work is some hundred milliseconds old. Where it does not answer, the next one is asked
	// from then on, and this host chooses by itself.
	placement struct {
		core  *core
		peers *peers

		mu      sync.Mutex
		last    uint64
		waiting map[uint64]chan placedWire
		silent  map[string]time.Time

		asked    metrics.Counter
		answered metrics.Counter
		silences metrics.Counter
		took     metrics.Histogram
	}

	askWire struct {
		ID      uint64       `cbor:"1,keyasint"`
		Request placeRequest `cbor:"2,keyasint"`
	}

	placeRequest struct {
		Service      string   `cbor:"1,keyasint"`
		PromptTokens int      `cbor:"2,keyasint"`
		OutputTokens int      `cbor:"3,keyasint"`
		Copy         bool     `cbor:"4,keyasint,omitempty"`
		Source       string   `cbor:"5,keyasint,omitempty"`
		Exclude      []string `cbor:"6,keyasint,omitempty"`
		// Within is the time in which the first result should come.
		Within time.Duration `cbor:"7,keyasint,omitempty"`
		// Spare asks for memory that nobody needs.
		Spare bool `cbor:"8,keyasint,omitempty"`
	}

	placedWire struct {
		ID uint64 `cbor:"1,keyasint"`
		// Target is empty if no target accepts the request.
		Target string         `cbor:"2,keyasint,omitempty"`
		Delay  time.Duration  `cbor:"3,keyasint,omitempty"`
		Load   usherpool.Load `cbor:"4,keyasint,omitempty"`
		Wait   time.Duration  `cbor:"5,keyasint,omitempty"`
		// Late says that the first result is not expected in that time.
		Late bool `cbor:"6,keyasint,omitempty"`
	}
)

func newPlacement(c *core, p *peers, registry metrics.Registry) *placement {
	return &placement{
		core: c, peers: p, waiting: map[uint64]chan placedWire{}, silent: map[string]time.Time{},
		asked: metrics.NewRegisteredCounter("placement.asked", registry), answered: metrics.NewRegisteredCounter("placement.answered", registry),
		silences: metrics.NewRegisteredCounter("placement.silences", registry),
		took:     metrics.NewRegisteredHistogram("placement.answer_ms", registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
}

// place returns the target for a stream or a copy of one.
func (p *placement) place(ctx context.Context, r usherpool.Request) (usherpool.Choice, error) {
	placer, own := p.placer()
	if own {
		if choice, err := p.core.place(r, true); err == nil || r.Backup {
			choice.Placer = placer.Name
			return choice, err
		}
		// What is withheld may be all there is.
		return p.core.choose(r)
	}
	if placer.Name == "" {
		return p.core.choose(r)
	}
	placed, ok := p.ask(ctx, placer, r)
	if ok && placed.Target != "" {
		choice := usherpool.Choice{
			Target: ushercatalog.Target{ID: placed.Target}, Delay: placed.Delay, PrefillTime: placed.Wait, Late: placed.Late, Load: placed.Load, Placer: placer.Name,
		}
		if choice, taken := p.core.take(r, choice); taken {
			return choice, nil
		}
	}
	if ok && r.Backup {
		return usherpool.Choice{}, usherpool.ErrFull.New("%s knows of no memory to spare", placer.Name)
	}
	return p.core.choose(r)
}

// placer returns the host to ask; own tells that it is this one.
func (p *placement) placer() (placer ushercluster.Member, own bool) {
	placers, self := p.core.placers()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, m := range placers {
		if m.Name == self {
			return m, true
		}
		if now.After(p.silent[m.Name]) {
			return m, false
		}
	}
	return ushercluster.Member{}, false
}

func (p *placement) ask(ctx context.Context, placer ushercluster.Member, r usherpool.Request) (placedWire, bool) {
	id, placed := p.begin()
	defer p.end(id)
	d := p.core.identity()
	d.Ask = &askWire{ID: id, Request: placeRequest{
		Service: r.Service, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens, Copy: r.Copy, Source: r.Source, Within: r.Objective, Spare: r.Backup,
		Exclude: slices.Compact(slices.Sorted(slices.Values(slices.Concat(r.Exclude, p.core.withheld(r))))),
	}}
	begun := time.Now()
	p.asked.Inc(1)
	p.peers.send(d, placer.Address)
	timer := time.NewTimer(placeTimeout)
	defer timer.Stop()
	select {
	case w := <-placed:
		p.answered.Inc(1)
		p.took.Update(time.Since(begun).Milliseconds())
		return w, true
	case <-ctx.Done():
		return placedWire{}, false
	case <-timer.C:
		p.silences.Inc(1)
		p.peers.log.Info("placer does not answer", "peer", placer.Name, "duration_ms", time.Since(begun).Milliseconds())
		p.mu.Lock()
		defer p.mu.Unlock()
		p.silent[placer.Name] = time.Now().Add(placerPause)
		return placedWire{}, false
	}
}

func (p *placement) begin() (uint64, <-chan placedWire) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last++
	placed := make(chan placedWire, 1)
	p.waiting[p.last] = placed
	return p.last, placed
}

func (p *placement) end(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
}

// answer chooses a target for another host.
func (p *placement) answer(from ushercluster.Member, a askWire) {
	r := usherpool.Request{
		Service: a.Request.Service, PromptTokens: a.Request.PromptTokens, OutputTokens: a.Request.OutputTokens, Copy: a.Request.Copy,
		Source: a.Request.Source, Exclude: a.Request.Exclude, Objective: a.Request.Within, Backup: a.Request.Spare, DataCentre: from.DataCentre,
	}
	d := p.core.identity()
	d.Placed = &placedWire{ID: a.ID}
	choice, err := p.core.place(r, false)
	if err != nil {
		p.peers.log.Debug("no target for a peer's request", "peer", from.Name, "error", errorText(err))
	} else {
		d.Placed.Target, d.Placed.Delay, d.Placed.Load = choice.Target.ID, choice.Delay, choice.Load
		d.Placed.Wait, d.Placed.Late = choice.PrefillTime, choice.Late
	}
	p.peers.send(d, from.Address)
}

// accept takes in another host's choice.
func (p *placement) accept(from ushercluster.Member, w placedWire) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if placed, waits := p.waiting[w.ID]; waits {
		delete(p.waiting, w.ID)
		placed <- w
		return
	}
	// An answer that came too late still shows that the host is there.
	delete(p.silent, from.Name)
}

// placers returns the hosts that choose for the fleet, and this host's name.
func (c *core) placers() ([]ushercluster.Member, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cluster.Placers(time.Now()), c.cluster.Self().Name
}

// identity returns a message that only names its sender.
func (c *core) identity() datagramWire {
	c.mu.Lock()
	defer c.mu.Unlock()
	return datagramWire{Version: messageVersion, Report: ushercluster.Report{From: c.cluster.Self()}}
}

func (c *core) place(r usherpool.Request, own bool) (usherpool.Choice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if own {
		r.Exclude = slices.Concat(r.Exclude, c.pool.ExcludedTargets(now, r))
	}
	return c.pool.Place(now, r, own)
}

func (c *core) take(r usherpool.Request, choice usherpool.Choice) (usherpool.Choice, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pool.AdoptChoice(time.Now(), r, choice)
}

// withheld returns the targets that are left out of a request for this host.
func (c *core) withheld(r usherpool.Request) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pool.ExcludedTargets(time.Now(), r)
}
