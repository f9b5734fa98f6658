package usherscheduler

import (
	"context"
	"slices"
	"strings"
	"time"
)

type (
	dumpWire struct {
		Cell      string       `json:"cell"`
		Revision  uint64       `json:"revision"`
		Confirmed bool         `json:"confirmed"`
		Stopping  bool         `json:"stopping"`
		Waiting   int          `json:"waiting"`
		Running   int          `json:"running"`
		Members   []memberDump `json:"members"`
		Targets   []targetDump `json:"targets"`
	}

	memberDump struct {
		Name        string `json:"name"`
		State       string `json:"state"`
		Incarnation uint64 `json:"incarnation"`
		SilentMS    int64  `json:"silent_ms"`
	}

	targetDump struct {
		Name         string `json:"name"`
		Service      string `json:"service"`
		State        string `json:"state"`
		Eligible     bool   `json:"eligible"`
		Votes        int    `json:"votes"`
		Total        int    `json:"total"`
		Capacity     int    `json:"bearable"`
		Used         int    `json:"used"`
		FreeCapacity int    `json:"room"`
	}

	dumpEvent struct {
		reply chan dumpWire
	}
)

// Dump returns the scheduler's state for the dump endpoint. It is empty if the core does not answer before ctx is done.
func (s *Scheduler) Dump(ctx context.Context) any {
	e := dumpEvent{reply: make(chan dumpWire, 1)}
	s.inbox.Offer(e)
	select {
	case d := <-e.reply:
		return d
	case <-ctx.Done():
		return dumpWire{}
	case <-s.done:
		return dumpWire{}
	}
}

func (e dumpEvent) apply(c *core, now time.Time) {
	view := c.membership.View(now)
	d := dumpWire{
		Cell: c.options.cell(), Revision: c.revision, Confirmed: view.Confirmed, Stopping: c.stopping,
		Waiting: len(c.waiting), Running: len(c.running),
	}
	for _, m := range view.Members {
		d.Members = append(d.Members, memberDump{
			Name: m.Member.ID, State: string(m.State), Incarnation: m.Incarnation, SilentMS: now.Sub(m.HeardAt).Milliseconds(),
		})
	}
	for name, t := range c.targets {
		b := c.leases.Budget(now, name)
		d.Targets = append(d.Targets, targetDump{
			Name: name, Service: t.Service, State: string(b.State), Eligible: c.options.Config.Eligible(now, name),
			Votes: b.Votes, Total: b.Total, Capacity: b.Capacity, Used: b.Used, FreeCapacity: b.FreeCapacity,
		})
	}
	slices.SortFunc(d.Targets, func(a, b targetDump) int { return strings.Compare(a.Name, b.Name) })
	e.reply <- d
}
