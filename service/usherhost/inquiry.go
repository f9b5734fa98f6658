package usherhost

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// inquiryInterval is the time between two questions to a target: a few within the notice that reclaimed targets
	// give.
	inquiryInterval = 300 * time.Millisecond
	inquiryTimeout  = 250 * time.Millisecond
	// staleAfter is how long no host may have heard of the store before targets are asked: a waiting call, the pause
	// after it and a report's way.
	staleAfter = watchWait + watchPause + 300*time.Millisecond
	// leavingLife is how long peers are told that a target leaves: longer than the notice that reclaimed ones give, and
	// than a report takes to reach every host.
	leavingLife = 5 * time.Second
	// maxLeaving bounds the targets in one message.
	maxLeaving = 12
)

type (
	// inquiry asks the targets that run this host's streams whether they are leaving, for as long as the store does not
	// tell.
	inquiry struct {
		core    *core
		peers   *peers
		engines Engines
		log     *slog.Logger
		asked   metrics.Counter
		active  bool
	}

	// leavingMark says that a start of a target told a host that it leaves.
	leavingMark struct {
		target      string
		incarnation int64
		since       time.Time
	}

	leavingWire struct {
		Target      string        `cbor:"1,keyasint"`
		Incarnation int64         `cbor:"2,keyasint,omitempty"`
		Age         time.Duration `cbor:"3,keyasint"`
	}

	// runningTarget is a target that runs streams of this host.
	runningTarget struct {
		id      string
		address netip.AddrPort
	}
)

func newInquiry(c *core, p *peers, engines Engines, log *slog.Logger, registry metrics.Registry) *inquiry {
	return &inquiry{core: c, peers: p, engines: engines, log: log, asked: metrics.NewRegisteredCounter("targets.asked", registry)}
}

// run asks until ctx ends.
func (q *inquiry) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, inquiryInterval)
		stale := q.core.storeStale()
		if stale != q.active {
			q.active = stale
			q.log.Info("targets are asked whether they leave", "asking", stale, "revision", q.core.revision())
		}
		if stale {
			q.ask(ctx)
		}
	}
}

func (q *inquiry) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	var asking sync.WaitGroup
	for _, t := range q.core.running() {
		q.asked.Inc(1)
		asking.Go(func() {
			leaving, err := q.engines.Leaving(ctx, t.address)
			if err != nil {
				q.log.Debug("target does not tell its state", "target", t.id, "error", errorText(err))
				return
			}
			if leaving && q.core.toldLeaving(t.id) {
				q.log.Info("target learned", "source", t.address.String(), "target", t.id, "leaving", true)
				q.peers.tell()
			}
		})
	}
	asking.Wait()
}

// storeStale tells whether no host has heard of the store lately, as far as this one knows.
func (c *core) storeStale() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.catalog.Table() != nil && (c.best.at.IsZero() || time.Since(c.best.at) >= staleAfter)
}

// running returns the targets that run streams of this host.
func (c *core) running() []runningTarget {
	c.mu.Lock()
	defer c.mu.Unlock()
	var targets []runningTarget
	for id, load := range c.pool.OwnLoads() {
		if t, known := c.pool.Target(id); known && load.Streams > 0 {
			targets = append(targets, runningTarget{id: id, address: t.Address})
		}
	}
	return targets
}

// toldLeaving records that a target told this host that it leaves; it tells whether that is news.
func (c *core) toldLeaving(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	t, known := c.pool.Target(id)
	return known && c.markLeaving(leavingMark{target: id, incarnation: t.Incarnation, since: now})
}

// markLeaving records that a target said of itself that it leaves; it tells whether that is news.
func (c *core) markLeaving(m leavingMark) bool {
	if !c.pool.MarkLeaving(m.target, m.incarnation, m.since) {
		return false
	}
	c.leaving = append(c.leaving, m)
	c.announceChange()
	return true
}

// leavingNow returns the marks that are told to peers, the newest first, and forgets those that are too old for it.
func (c *core) leavingNow(now time.Time) []leavingWire {
	c.leaving = slices.DeleteFunc(c.leaving, func(m leavingMark) bool { return now.Sub(m.since) > leavingLife })
	slices.SortFunc(c.leaving, func(a, b leavingMark) int { return b.since.Compare(a.since) })
	var out []leavingWire
	for _, m := range c.leaving[:min(len(c.leaving), maxLeaving)] {
		out = append(out, leavingWire{Target: m.target, Incarnation: m.incarnation, Age: now.Sub(m.since)})
	}
	return out
}

// learnLeaving takes in what peers were told by targets, and returns which targets are news.
func (c *core) learnLeaving(now time.Time, marks []leavingWire) []string {
	var news []string
	for _, w := range marks[:min(len(marks), maxLeaving)] {
		if w.Age < 0 || w.Age > leavingLife {
			continue
		}
		if c.markLeaving(leavingMark{target: w.Target, incarnation: w.Incarnation, since: now.Add(-w.Age)}) {
			news = append(news, w.Target)
		}
	}
	return news
}
