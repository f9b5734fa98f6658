// Package ushergateway implements the gateway, the server that callers connect to.
//
// A gateway authenticates a caller by its workspace's key, resolves the request against the current configuration,
// acquires a grant from a scheduler, sends the request to the granted target and relays the answer. Every accepted
// request ends in one complete answer or in one refusal whose outcome follows from what is known of its attempts.
// The decision logic is in pkg/usherrequest, pkg/usherrelay, pkg/usherledger, pkg/ushersuspect and pkg/usherlocate;
// this package does the I/O.
//
// # Usage
//
//	gateway, err := ushergateway.New(options)
//	if err != nil {
//		return err
//	}
//	gateway.Register(mux)
//	server := &http.Server{Handler: gateway.Routes()}
//	gateway.Run(ctx)
package ushergateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rcrowley/go-metrics"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/pkg/usherledger"
	"github.com/samphireusher/samphireusher/pkg/usherlink"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
	"github.com/samphireusher/samphireusher/pkg/ushersuspect"
	"github.com/samphireusher/samphireusher/service/ushergrant"
	"github.com/samphireusher/samphireusher/service/ushertarget"
)

const (
	progressPeriod = time.Second
	finishTimeout  = 2 * time.Second
	// idLifetime is how long a request ID and a resume handle are valid, and how long an outcome is kept at most.
	idLifetime = 10 * time.Minute
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("usher_gateway")
	// ErrMissingOption is the type of errors of New for required options that are missing.
	ErrMissingOption = Errors.NewType("options")
)

type (
	// Configuration gives access to the current configuration; *usherfeed.Feed implements it.
	Configuration interface {
		Revision() uint64
		Workspace(name string) (usherconfig.Workspace, bool)
		Resolve(workspace, template string, arguments []usherconfig.Argument) (usherconfig.ResolvedRequest, error)
		Service(name string) (usherconfig.Service, bool)
		Target(name string) (usherconfig.Target, bool)
		// Eligible reports whether new work may go to the target.
		Eligible(now time.Time, target string) bool
		Hosts(role usherconfig.Role) []usherconfig.Host
		// Leaving reports whether a host takes no new work.
		Leaving(host string) bool
		DataCentreInService(name string) bool
		// WaitForRevision waits until this process has the revision, which the process at address already has.
		WaitForRevision(ctx context.Context, revision uint64, address string) error
	}

	// Grants sends the messages of the grant protocol to schedulers; *ushergrant.Client implements it.
	Grants interface {
		Acquire(ctx context.Context, address string, request ushergrant.Request) (ushergrant.Grant, error)
		Progress(ctx context.Context, address string, incarnation uint64, running []ushergrant.RunningAttempt) error
		Finish(ctx context.Context, address string, end ushergrant.AttemptResult) error
	}

	// Targets sends requests to targets; *ushertarget.Client implements it.
	Targets interface {
		Generate(ctx context.Context, target netip.AddrPort, g ushertarget.Generation, guard ushertarget.Guard) (*ushertarget.Stream, ushertarget.SendResult, error)
		Resume(ctx context.Context, target netip.AddrPort, generation string, index int) (*ushertarget.Stream, error)
		Cancel(ctx context.Context, target netip.AddrPort, generation string) error
		Report(ctx context.Context, target netip.AddrPort) (ushertarget.Report, error)
		Call(ctx context.Context, target netip.AddrPort, call ushertarget.Call, guard ushertarget.Guard) (json.RawMessage, ushertarget.SendResult, error)
	}

	// Options configures a gateway. Every field except Limits must be set.
	Options struct {
		Name        string
		DataCentre  string
		Address     netip.AddrPort
		Incarnation uint64
		Keyring     usherrequest.Keyring
		Config      Configuration
		Grants      Grants
		Targets     Targets
		Link        ushergrant.Link
		Log         *slog.Logger
		Metrics     metrics.Registry
		Limits      Limits
	}

	// Limits bounds the memory that a gateway uses.
	Limits struct {
		// Requests bounds the requests in progress.
		Requests int
		// BodyBytes bounds the body of a caller's request.
		BodyBytes int64
		// KeptOutcomes bounds the outcomes kept for status queries.
		KeptOutcomes int
	}

	// Gateway serves the requests of callers.
	Gateway struct {
		Options
		schedulers  schedulers
		active      activeRequests
		outcomes    outcomeCache
		takeovers   takeovers
		atMostOnce  atMostOnce
		suspicion   suspicion
		quota       quota
		meters      meters
		idMu        sync.Mutex
		idGenerator usherrequest.IDGenerator
		stopping    atomic.Bool
		// background is the context of work that outlives a caller's connection; it is cancelled when Run returns.
		background       context.Context
		cancelBackground context.CancelFunc
		requests         inProgress
		tasks            sync.WaitGroup
		// reported has the addresses of the schedulers that were sent running attempts in the last round. Only Run uses
		// it.
		reported map[string]bool
	}
)

// New returns a gateway that is not serving yet: its handlers must be attached by Register and Routes, and Run called.
func New(options Options) (*Gateway, error) {
	if options.Name == "" || options.Incarnation == 0 || options.Config == nil || options.Grants == nil || options.Targets == nil {
		return nil, ErrMissingOption.New("name, incarnation, configuration, grants and targets are required")
	}
	options.Limits = options.Limits.withDefaults()
	g := &Gateway{
		Options:     options,
		outcomes:    outcomeCache{capacity: options.Limits.KeptOutcomes},
		meters:      newMeters(options.Metrics),
		idGenerator: usherrequest.IDGenerator{Gateway: options.Name, Incarnation: options.Incarnation},
	}
	g.background, g.cancelBackground = context.WithCancel(context.Background())
	g.suspicion = suspicion{tracker: ushersuspect.New(options.Name, ushersuspect.Limits{}), cursors: map[string]uint64{}}
	g.atMostOnce.ledger = usherledger.New(options.Name, options.Incarnation, usherledger.Limits{})
	g.schedulers.setDataCentre(options.DataCentre)
	return g, nil
}

// Register adds the handlers for messages from other processes to mux.
func (g *Gateway) Register(mux *usherlink.Mux) {
	ushergrant.RegisterListener(mux, &g.schedulers)
	g.registerTakeover(mux)
	mux.Handle(kindForward, g.serveForward)
	mux.Handle(kindCrashReports, g.serveCrashReports)
	mux.Handle(kindDemand, g.serveDemand)
}

// Run reports progress to the schedulers, and crash reports and rate demand to the other gateways, until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	defer func() { _ = g.requests.finish(context.WithoutCancel(ctx)) }()
	defer g.tasks.Wait()
	defer g.cancelBackground()
	ticker := time.NewTicker(progressPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.reportProgress(ctx, now)
			g.tasks.Go(g.shareCrashReports(ctx).Wait)
			g.updateShares(ctx)
		}
	}
}

// Stop refuses new requests and waits until those in progress have ended or ctx is done. It then waits for
// forwardReplyGrace, so that answers to requests forwarded by other gateways arrive before the link closes, which
// happens after Stop.
func (g *Gateway) Stop(ctx context.Context) error {
	g.stopping.Store(true)
	g.atMostOnce.stop()
	if err := g.requests.finish(ctx); err != nil {
		return err
	}
	sleep(ctx, forwardReplyGrace)
	return nil
}

func (g *Gateway) newID(workspace, key string) (usherrequest.ID, error) {
	g.idMu.Lock()
	defer g.idMu.Unlock()
	return g.idGenerator.NewID(time.Now().Add(idLifetime), workspace, key)
}

func (g *Gateway) newAttemptID() usherrequest.AttemptID {
	g.idMu.Lock()
	defer g.idMu.Unlock()
	return g.idGenerator.NewAttemptID()
}

// reportProgress sends each scheduler all attempts in flight at the targets that it holds. A scheduler that was sent
// some in the last round and has none now gets an empty list.
func (g *Gateway) reportProgress(ctx context.Context, now time.Time) {
	hosts := g.Config.Hosts(usherconfig.SchedulerRole)
	messages := g.active.runningByHolder(func(target string) (string, bool) { return g.schedulers.holder(now, target, hosts) })
	for address := range g.reported {
		if _, ok := messages[address]; !ok {
			messages[address] = nil
		}
	}
	g.reported = map[string]bool{}
	for address, running := range messages {
		if len(running) > 0 {
			g.reported[address] = true
		}
		g.tasks.Go(func() { g.sendProgress(ctx, address, running) })
	}
}

func (g *Gateway) sendProgress(ctx context.Context, address string, running []ushergrant.RunningAttempt) {
	ctx, cancel := context.WithTimeout(ctx, progressPeriod)
	defer cancel()
	if err := g.Grants.Progress(ctx, address, g.Incarnation, running); err != nil {
		g.Log.Debug("sending progress failed", "scheduler", address, "error", err)
	}
}

func (l Limits) withDefaults() Limits {
	const (
		requests     = 20_000
		bodyBytes    = 1 << 20
		keptOutcomes = 50_000
	)
	if l.Requests <= 0 {
		l.Requests = requests
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = bodyBytes
	}
	if l.KeptOutcomes <= 0 {
		l.KeptOutcomes = keptOutcomes
	}
	return l
}
