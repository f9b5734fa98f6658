// Package usherscheduler is the edge of the scheduler daemon.
//
// One goroutine, the core, owns the aggregates: membership and leases of the cell, and the admission of each
// service. Everything reaches it as an event through a bounded ring: what gateways ask, heartbeats of other
// schedulers, load reports, and the clock. So decisions are made one at a time and need no locks, and a burst that the
// core cannot take is refused at the ring.
//
// # Usage
//
//	scheduler, err := usherscheduler.New(options)
//	if err != nil {
//		return err
//	}
//	scheduler.Register(mux)
//	go scheduler.Run(ctx)
//	...
//	err = scheduler.Stop(ctx)
package usherscheduler

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rcrowley/go-metrics"

	"github.com/samphireusher/samphireusher/pkg/usheradmit"
	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/pkg/usherlease"
	"github.com/samphireusher/samphireusher/pkg/usherlink"
	"github.com/samphireusher/samphireusher/pkg/ushermember"
	"github.com/samphireusher/samphireusher/pkg/usherorder"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
	"github.com/samphireusher/samphireusher/pkg/usherring"
	"github.com/samphireusher/samphireusher/service/ushergrant"
	"github.com/samphireusher/samphireusher/service/ushertarget"
)

const (
	inboxEvents     = 8192
	decisionPeriod  = 5 * time.Millisecond
	defaultInterval = time.Second
	advertisePeriod = time.Second
	sweepPeriod     = time.Second
	// reportPeriod is the time between load reports of a target that is not warm, and between looks for targets that
	// are due; reportsPerSecond bounds the reports of warm ones.
	reportPeriod     = 500 * time.Millisecond
	reportsPerSecond = 5
	catchUpTimeout   = 2 * time.Second
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("usher_scheduler")
	// ErrOptions says that a scheduler lacks something that it needs.
	ErrOptions = Errors.NewType("options")
	// ErrSenderMismatch says that a process spoke for another.
	ErrSenderMismatch = Errors.NewType("foreign")
)

type (
	// Configuration is the view in force; *usherfeed.Feed is one.
	Configuration interface {
		Revision() uint64
		Snapshot() usherconfig.Snapshot
		Workspace(name string) (usherconfig.Workspace, bool)
		Hosts(role usherconfig.Role) []usherconfig.Host
		Leaving(host string) bool
		Eligible(now time.Time, target string) bool
		WaitForRevision(ctx context.Context, revision uint64, address string) error
	}

	// Targets reads the load and the engine state of targets and sends them orders; *ushertarget.Client implements it.
	Targets interface {
		Report(ctx context.Context, target netip.AddrPort) (ushertarget.Report, error)
		Orders(ctx context.Context, target netip.AddrPort) (usherorder.Observed, error)
		Order(ctx context.Context, target netip.AddrPort, order usherorder.Order) error
	}

	// Options are what a scheduler is made of.
	Options struct {
		Name        string
		DataCentre  string
		Incarnation uint64
		// CellByDataCentre makes the schedulers of each data centre a cell; else all are one cell.
		CellByDataCentre bool
		// ReportLag is the longest time by which a load report that does not tell its age may be late.
		ReportLag time.Duration
		Config    Configuration
		Targets   Targets
		Link      ushergrant.Link
		Log       *slog.Logger
		Metrics   metrics.Registry
		Lease     usherlease.Options
		Member    ushermember.Options
		Admit     usheradmit.Options
	}

	// Scheduler grants requests of gateways to targets.
	Scheduler struct {
		options Options
		inbox   *usherring.Ring[event]
		core    *core
		done    chan struct{}
	}

	// event is something that the core learns.
	event interface {
		apply(c *core, now time.Time)
	}
)

// New returns a scheduler that grants nothing before Run.
func New(options Options) (*Scheduler, error) {
	if options.Name == "" || options.Incarnation == 0 || options.Config == nil || options.Targets == nil || options.Link == nil {
		return nil, ErrOptions.New("a scheduler needs a name, an incarnation, a configuration, reports and a link")
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewRegistry()
	}
	if options.Member.Interval == 0 {
		options.Member.Interval = defaultInterval
	}
	s := &Scheduler{options: options, inbox: usherring.New[event](inboxEvents), done: make(chan struct{})}
	s.core = newCore(time.Now(), options, s.inbox)
	return s, nil
}

// Register adds what other processes ask a scheduler to mux.
func (s *Scheduler) Register(mux *usherlink.Mux) {
	ushergrant.Register(mux, s)
	registerHeartbeat(mux, s)
}

// Run decides until ctx ends. It sleeps until something is due or an event comes.
func (s *Scheduler) Run(ctx context.Context) {
	defer close(s.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.inbox.Items():
			e.apply(s.core, time.Now())
			s.drain()
		case <-timer.C:
		}
		now := time.Now()
		if !now.Before(s.core.next()) {
			s.core.tick(ctx, now) // also between events that leave no pause
		}
		s.core.decide(now)
		timer.Reset(s.core.pause(now))
	}
}

// drain applies what has queued up, so that one decision serves a burst.
func (s *Scheduler) drain() {
	const burst = 256
	for range burst {
		select {
		case e := <-s.inbox.Items():
			e.apply(s.core, time.Now())
		default:
			return
		}
	}
}

// Acquire implements ushergrant.Scheduler.
func (s *Scheduler) Acquire(ctx context.Context, request ushergrant.Request) (ushergrant.Grant, error) {
	if request.Revision > s.options.Config.Revision() {
		if err := s.catchUp(ctx, request); err != nil {
			s.options.Log.Warn("configuration behind a request", "revision", request.Revision, "error", err)
			return ushergrant.Grant{}, usherrequest.Refuse(usherrequest.Evidence{}, ReasonStale)
		}
	}
	ask := &asking{request: request, reply: make(chan reply, 1)}
	if !s.inbox.Offer(acquireEvent{ask}) {
		return ushergrant.Grant{}, overloaded()
	}
	slice := time.NewTimer(request.PollTimeout)
	defer slice.Stop()
	select {
	case r := <-ask.reply:
		return r.grant, r.err
	case <-slice.C:
		return ushergrant.Grant{}, ushergrant.ErrWaiting.New("attempt %s", request.Attempt.String())
	case <-ctx.Done():
		s.inbox.Offer(withdrawEvent{attempt: request.Attempt.String()})
		return ushergrant.Grant{}, ctx.Err()
	case <-s.done:
		return ushergrant.Grant{}, usherrequest.Refuse(usherrequest.Evidence{}, usherrequest.ReasonStopping)
	}
}

// Progress implements ushergrant.Scheduler.
func (s *Scheduler) Progress(gateway string, running []ushergrant.Running) {
	s.inbox.Offer(progressEvent{gateway: gateway, running: running})
}

// Finish implements ushergrant.Scheduler.
func (s *Scheduler) Finish(end ushergrant.AttemptResult) {
	s.inbox.Offer(finishEvent{end})
}

// Stop leaves the cell: votes go back at once, nothing more is granted, and what waits is refused as not run. It
// returns when the other schedulers have been told.
func (s *Scheduler) Stop(ctx context.Context) error {
	stopped := make(chan struct{})
	for !s.inbox.Offer(stopEvent{stopped}) {
		if err := ctx.Err(); err != nil {
			return err
		}
		time.Sleep(decisionPeriod)
	}
	select {
	case <-stopped:
		return nil
	case <-s.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Scheduler) catchUp(ctx context.Context, request ushergrant.Request) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	return s.options.Config.WaitForRevision(ctx, request.Revision, request.GatewayAddress)
}

func overloaded() error {
	const retryAfter = time.Second
	return usherrequest.Refuse(usherrequest.Evidence{}, usherrequest.ReasonOverloaded).WithRetryAfter(retryAfter)
}
