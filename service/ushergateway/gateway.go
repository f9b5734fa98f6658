// Package ushergateway is the edge that callers connect to.
//
// A gateway authenticates a caller by its workspace's key, resolves the request against the configuration in force,
// acquires a grant from a scheduler, sends the request to the granted target and relays the answer. Every accepted
// request ends in one whole answer or in one refusal whose outcome follows from what is known of its attempts.
// The decisions are those of pkg/usherrequest, pkg/usherrelay, pkg/usherledger, pkg/ushersuspect and pkg/usherlocate;
// this package does their I/O.
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
	// idLifetime is how long a request's id, its outcome and its handle are valid.
	idLifetime = 10 * time.Minute
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("usher_gateway")
	// ErrOptions says that a gateway lacks something that it needs.
	ErrOptions = Errors.NewType("options")
)

type (
	// Configuration is the view in force; *usherfeed.Feed is one.
	Configuration interface {
		Revision() uint64
		Workspace(name string) (usherconfig.Workspace, bool)
		Resolve(workspace, template string, arguments []usherconfig.Argument) (usherconfig.Call, error)
		Service(name string) (usherconfig.Service, bool)
		Target(name string) (usherconfig.Target, bool)
		// Eligible reports whether new work may go to the target.
		Eligible(now time.Time, target string) bool
		Hosts(role usherconfig.Role) []usherconfig.Host
		// Leaving reports whether a host takes no new work.
		Leaving(host string) bool
		DataCentreInService(name string) bool
		// WaitForRevision waits until the revision is in force here, which the process at address has.
		WaitForRevision(ctx context.Context, revision uint64, address string) error
	}

	// Grants asks schedulers; *ushergrant.Client is one.
	Grants interface {
		Acquire(ctx context.Context, address string, request ushergrant.Request) (ushergrant.Grant, error)
		Progress(ctx context.Context, address string, incarnation uint64, running []ushergrant.Running) error
		Finish(ctx context.Context, address string, end ushergrant.AttemptResult) error
	}

	// Targets sends requests to targets; *ushertarget.Client is one.
	Targets interface {
		Generate(ctx context.Context, target netip.AddrPort, g ushertarget.Generation, guard ushertarget.Guard) (*ushertarget.Stream, ushertarget.SendResult, error)
		Resume(ctx context.Context, target netip.AddrPort, generation string, index int) (*ushertarget.Stream, error)
		Cancel(ctx context.Context, target netip.AddrPort, generation string) error
		Report(ctx context.Context, target netip.AddrPort) (ushertarget.Report, error)
		Call(ctx context.Context, target netip.AddrPort, call ushertarget.Call, guard ushertarget.Guard) (json.RawMessage, ushertarget.SendResult, error)
	}

	// Options are what a gateway is made of. Every field must be set but Limits.
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

	// Limits bound what a gateway holds.
	Limits struct {
		// Requests bounds the requests in progress.
		Requests int
		// BodyBytes bounds the body of a caller's request.
		BodyBytes int64
		// KeptOutcomes bounds the outcomes that callers may still ask for.
		KeptOutcomes int
	}

	// Gateway serves callers.
	Gateway struct {
		Options
		schedulers schedulers
		active     active
		outcomes   outcomes
		takeovers  takeovers
		once       once
		suspicion  suspicion
		quota      quota
		meters     meters
		minting    sync.Mutex
		minter     usherrequest.IDGenerator
		stopping   atomic.Bool
		// life ends with Run, and with it all that a gateway does behind its callers' backs.
		life     context.Context
		endLife  context.CancelFunc
		requests sync.WaitGroup
		duties   sync.WaitGroup
		// reported names the schedulers that were told of running attempts in the last round. Run owns it.
		reported map[string]bool
	}
)

// New returns a gateway that serves nobody yet.
func New(options Options) (*Gateway, error) {
	if options.Name == "" || options.Incarnation == 0 || options.Config == nil || options.Grants == nil || options.Targets == nil {
		return nil, ErrOptions.New("a gateway needs a name, an incarnation, a configuration, grants and targets")
	}
	options.Limits = options.Limits.withDefaults()
	g := &Gateway{
		Options:  options,
		outcomes: outcomes{capacity: options.Limits.KeptOutcomes},
		meters:   newMeters(options.Metrics),
		minter:   usherrequest.IDGenerator{Gateway: options.Name, Incarnation: options.Incarnation},
	}
	g.life, g.endLife = context.WithCancel(context.Background())
	g.suspicion = suspicion{watch: ushersuspect.New(options.Name, ushersuspect.Limits{}), cursors: map[string]uint64{}}
	g.once.ledger = usherledger.New(options.Name, options.Incarnation, usherledger.Limits{})
	g.schedulers.prefer(options.DataCentre)
	return g, nil
}

// Register adds what other processes ask a gateway to mux.
func (g *Gateway) Register(mux *usherlink.Mux) {
	ushergrant.RegisterListener(mux, &g.schedulers)
	g.registerTakeover(mux)
	mux.Handle(kindForward, g.serveForward)
	mux.Handle(kindSightings, g.serveSightings)
	mux.Handle(kindClaims, g.serveClaims)
}

// Run reports progress to the schedulers, and suspicion and demand to the gateways, until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	defer g.requests.Wait()
	defer g.duties.Wait()
	defer g.endLife()
	ticker := time.NewTicker(progressPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.reportProgress(ctx, now)
			g.duties.Go(g.spreadSuspicion(ctx).Wait)
			g.claimShares(ctx)
		}
	}
}

// Stop turns new requests away and waits until those in progress have ended, or ctx does. The answers to other gateways,
// whose callers wait there, then have a time to arrive: the link that carries them closes after Stop.
func (g *Gateway) Stop(ctx context.Context) error {
	g.stopping.Store(true)
	g.once.stop()
	done := make(chan struct{})
	go func() {
		g.requests.Wait()
		close(done)
	}()
	select {
	case <-done:
		pause(ctx, answerTime)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *Gateway) mintID(workspace, key string) (usherrequest.ID, error) {
	g.minting.Lock()
	defer g.minting.Unlock()
	return g.minter.NewID(time.Now().Add(idLifetime), workspace, key)
}

func (g *Gateway) mintAttempt() usherrequest.AttemptID {
	g.minting.Lock()
	defer g.minting.Unlock()
	return g.minter.NewAttemptID()
}

// reportProgress tells each scheduler all that runs at the targets that it holds, also when that is nothing any more.
func (g *Gateway) reportProgress(ctx context.Context, now time.Time) {
	hosts := g.Config.Hosts(usherconfig.SchedulerRole)
	messages := g.active.byHolder(func(target string) (string, bool) { return g.schedulers.holder(now, target, hosts) })
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
		g.duties.Go(func() { g.sendProgress(ctx, address, running) })
	}
}

func (g *Gateway) sendProgress(ctx context.Context, address string, running []ushergrant.Running) {
	ctx, cancel := context.WithTimeout(ctx, progressPeriod)
	defer cancel()
	if err := g.Grants.Progress(ctx, address, g.Incarnation, running); err != nil {
		g.Log.Debug("progress not sent", "scheduler", address, "error", err)
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
