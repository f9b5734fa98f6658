package usherhost

import (
	"context"
	"log/slog"
	"net/netip"
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
)

type (
	// inquiry asks the targets that run this host's streams whether they are leaving, for as long as the store does not
	// tell.
	inquiry struct {
		core    *core
		engines Engines
		log     *slog.Logger
		asked   metrics.Counter
		active  bool
	}

	// runningTarget is a target that runs streams of this host.
	runningTarget struct {
		id      string
		address netip.AddrPort
	}
)

func newInquiry(c *core, engines Engines, log *slog.Logger, registry metrics.Registry) *inquiry {
	return &inquiry{core: c, engines: engines, log: log, asked: metrics.NewRegisteredCounter("targets.asked", registry)}
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
			if leaving && q.core.markLeaving(t.id) {
				q.log.Info("target learned", "source", t.address.String(), "target", t.id, "leaving", true)
			}
		})
	}
	asking.Wait()
}

// storeStale tells whether no host has heard of the store lately, as far as this one knows.
func (c *core) storeStale() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.catalog.Table() != nil && c.stale(time.Now())
}

// stale tells the same, whether or not this host knows any declarations.
func (c *core) stale(now time.Time) bool {
	return c.best.at.IsZero() || now.Sub(c.best.at) >= staleAfter
}

// running returns the targets that run streams of this host.
func (c *core) running() []runningTarget {
	c.mu.Lock()
	defer c.mu.Unlock()
	var targets []runningTarget
	for id, load := range c.pool.Own() {
		if t, known := c.pool.Target(id); known && load.Streams > 0 {
			targets = append(targets, runningTarget{id: id, address: t.Address})
		}
	}
	return targets
}

// markLeaving records that a target says of itself that it leaves; it tells whether that is news.
func (c *core) markLeaving(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.pool.MarkLeaving(id) {
		return false
	}
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}
