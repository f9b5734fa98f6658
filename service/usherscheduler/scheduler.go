// Package usherscheduler implements the scheduler, the server that grants requests of gateways to targets.
//
// All state, that is, the membership and leases of the cell and the admission of each service, belongs to one
// goroutine, the core. It receives the calls of gateways, heartbeats of other schedulers and load reports as events
// through a bounded ring buffer, and runs periodic tasks. So decisions are made one at a time and need no locks, and
// requests that exceed the core's throughput are refused at the ring buffer.
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
	inboxSize                = 8192
	decisionPeriod           = 5 * time.Millisecond
	defaultHeartbeatInterval = time.Second
	advertisePeriod          = time.Second
	sweepPeriod              = time.Second
	// reportPeriod is the time between load reports of a target that is not warm, and between checks for targets whose
	// report is due; reportsPerSecond bounds the total rate of reports from warm targets.
	reportPeriod     = 500 * time.Millisecond
	reportsPerSecond = 5
	revisionTimeout  = 2 * time.Second
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("usher_scheduler")
	// ErrOptions is returned by New if a required option is missing.
	ErrOptions = Errors.NewType("options")
	// ErrSenderMismatch is returned for a heartbeat that names a member other than its sender.
	ErrSenderMismatch = Errors.NewType("foreign")
)

type (
	// Configuration gives access to the current configuration; *usherfeed.Feed implements it.
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

	// Options configures a scheduler.
	Options struct {
		Name        string
		DataCentre  string
		Incarnation uint64
		// CellByDataCentre makes the schedulers of each data centre a cell; otherwise all schedulers form one cell.
		CellByDataCentre bool
		// ReportLag is the maximum age assumed for a load report that does not state its age.
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

	// event is an input to the core.
	event interface {
		apply(c *core, now time.Time)
	}
)

// New returns a scheduler. It grants nothing until Run is called.
func New(options Options) (*Scheduler, error) {
	if options.Name == "" || options.Incarnation == 0 || options.Config == nil || options.Targets == nil || options.Link == nil {
		return nil, ErrOptions.New("name, incarnation, configuration, targets and link are required")
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewRegistry()
	}
	if options.Member.Interval == 0 {
		options.Member.Interval = defaultHeartbeatInterval
	}
	s := &Scheduler{options: options, inbox: usherring.New[event](inboxSize), done: make(chan struct{})}
	s.core = newCore(time.Now(), options, s.inbox)
	return s, nil
}

// Register adds the handlers for messages from other processes to mux.
func (s *Scheduler) Register(mux *usherlink.Mux) {
	ushergrant.Register(mux, s)
	registerHeartbeat(mux, s)
}

// Run processes events and periodic tasks until ctx is done.
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
			s.applyQueued()
		case <-timer.C:
		}
		now := time.Now()
		if !now.Before(s.core.nextDue()) {
			s.core.tick(ctx, now) // also if events arrive without pause
		}
		s.core.decide(now)
		timer.Reset(s.core.idleTime(now))
	}
}

// applyQueued applies the events already in the inbox, up to a limit, so that one decision serves them all.
func (s *Scheduler) applyQueued() {
	const maxBatch = 256
	for range maxBatch {
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
		if err := s.waitForRevision(ctx, request); err != nil {
			s.options.Log.Warn("failed to obtain the configuration revision of a request; refusing it", "revision", request.Revision, "error", err)
			return ushergrant.Grant{}, usherrequest.Refuse(usherrequest.Evidence{}, ReasonStale)
		}
	}
	p := &poll{request: request, reply: make(chan reply, 1)}
	if !s.inbox.Offer(acquireEvent{p}) {
		return ushergrant.Grant{}, overloaded()
	}
	timer := time.NewTimer(request.PollTimeout)
	defer timer.Stop()
	select {
	case r := <-p.reply:
		return r.grant, r.err
	case <-timer.C:
		return ushergrant.Grant{}, ushergrant.ErrWaiting.New("attempt %s is still in the queue", request.Attempt.String())
	case <-ctx.Done():
		s.inbox.Offer(withdrawEvent{attempt: request.Attempt.String()})
		return ushergrant.Grant{}, ctx.Err()
	case <-s.done:
		return ushergrant.Grant{}, usherrequest.Refuse(usherrequest.Evidence{}, usherrequest.ReasonStopping)
	}
}

// Progress implements ushergrant.Scheduler.
func (s *Scheduler) Progress(gateway string, running []ushergrant.RunningAttempt) {
	s.inbox.Offer(progressEvent{gateway: gateway, running: running})
}

// Finish implements ushergrant.Scheduler.
func (s *Scheduler) Finish(end ushergrant.AttemptResult) {
	s.inbox.Offer(finishEvent{end})
}

// Stop leaves the cell: it returns the votes at once, stops granting and refuses waiting requests with the outcome
// not_run. It returns when the core has sent its last heartbeats and advertisements.
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

func (s *Scheduler) waitForRevision(ctx context.Context, request ushergrant.Request) error {
	ctx, cancel := context.WithTimeout(ctx, revisionTimeout)
	defer cancel()
	return s.options.Config.WaitForRevision(ctx, request.Revision, request.GatewayAddress)
}

func overloaded() error {
	const retryAfter = time.Second
	return usherrequest.Refuse(usherrequest.Evidence{}, usherrequest.ReasonOverloaded).WithRetryAfter(retryAfter)
}
