package usherhost

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/justinas/alice"
	"github.com/looplab/fsm"
	"github.com/rcrowley/go-metrics"

	"github.com/samphireusher/samphireusher/pkg/ushercluster"
	"github.com/samphireusher/samphireusher/pkg/usherroute"
)

const (
	stateStarting = "starting"
	stateServing  = "serving"
	stateStopping = "stopping"
	stateStopped  = "stopped"

	eventConfigured = "configuration_known"
	eventStop       = "stop"
	eventDrained    = "drained"

	// leaveTime is how long a stopping host still serves callers that have not yet learned of it: the lifetime of the
	// answer that named it, and a report's way to its peers.
	minDrainTime = LocateLifetime + time.Second
	// killMargin is how long before SIGKILL a stopping host ends by itself.
	killMargin = 400 * time.Millisecond
	// acceptedTime is how long a stopping host still waits for the header of requests on connections that it has accepted.
	acceptedConnTimeout = time.Second
	// stopCheck is how often a stopping host looks whether it is done.
	drainPollInterval = 20 * time.Millisecond
	// serverHeaderBytes bounds headers before the declarations are consulted.
	maxServerHeaderBytes = 64 << 10
	// memoryShare is the part of the allowed memory at which the collector works harder.
	memoryLimitFraction = 0.7
)

type (
	// Platform is what a host needs of the platform it runs on.
	Platform struct {
		Store   Store
		Codec   Codec
		Engines Engines
		Network Network
		// Settings returns the settings file's present content; nil if it never changes.
		Settings func() ([]byte, error)
		// LocatePath and ReadyPath are where callers and the platform ask.
		LocatePath string
		ReadyPath  string
	}

	// Network gives a host what its machine gives it.
	Network interface {
		Listen(address netip.AddrPort) (net.Listener, error)
		ListenPacket(address netip.AddrPort) (net.PacketConn, error)
		Dial(ctx context.Context, network, address string) (net.Conn, error)
	}

	// Host is one host of the fleet.
	Host struct {
		settings     *Settings
		platform     Platform
		codec        Codec
		engines      Engines
		log          *slog.Logger
		state        *sharedState
		feed         *feed
		peers        *peers
		targetPoller *targetPoller
		conns        *conns
		buffers      *bufferBudget
		metrics      *hostMetrics
		lifecycle    *fsm.FSM
		servers      []*http.Server
		// accepting is the listener for callers' requests.
		callerListener net.Listener
		background     sync.WaitGroup
		inProgress     atomic.Int64
	}
)

// New returns a host that listens for its peers; Run serves.
func New(s *Settings, p Platform, log *slog.Logger) (*Host, error) {
	registry := metrics.NewRegistry()
	incarnation := time.Now().UnixMicro()
	self := ushercluster.Member{
		Name: s.Process.Name, DataCentre: s.Process.DataCentre, Address: s.Listen.Peers, CallerAddress: s.Listen.Callers, Incarnation: incarnation,
	}
	h := &Host{
		settings: s, platform: p, codec: p.Codec, engines: p.Engines, log: log, state: newSharedState(s, self, uint64(os.Getpid())),
		conns: newConns(), buffers: newBufferBudget(s.Limits.MemoryMegabytes), metrics: newHostMetrics(registry),
	}
	var err error
	if h.peers, err = newPeers(h.state, p.Network, s.Listen.Peers, log, registry); err != nil {
		return nil, err
	}
	h.targetPoller = newTargetPoller(h.state, h.peers, p.Engines, log, registry)
	h.feed = newFeed(h.state, p.Store, s.Process.FirstStart, h.peers, log, registry)
	h.lifecycle = fsm.NewFSM(stateStarting, fsm.Events{
		{Name: eventConfigured, Src: []string{stateStarting}, Dst: stateServing},
		{Name: eventStop, Src: []string{stateStarting, stateServing}, Dst: stateStopping},
		{Name: eventDrained, Src: []string{stateStopping}, Dst: stateStopped},
	}, fsm.Callbacks{"enter_state": h.onEnterState})
	return h, nil
}

// entered tells the other hosts of a new state.
func (h *Host) onEnterState(_ context.Context, e *fsm.Event) {
	states := map[string]ushercluster.State{stateServing: ushercluster.Serving, stateStopping: ushercluster.Stopping, stateStopped: ushercluster.Stopping}
	h.state.setState(states[e.Dst])
	h.peers.reportNow()
	h.log.Info("host state changed", "state", e.Dst, "revision", h.state.revision(), "in_progress", h.inProgress.Load())
}

// Run serves until a signal other than SIGHUP and the end of what is in progress, or until ctx ends.
func (h *Host) Run(ctx context.Context, signals <-chan os.Signal) error {
	if limit := int64(h.settings.Limits.MemoryMegabytes) * megabyte; limit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(limit)))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := h.listen(); err != nil {
		return errors.Join(err, h.close())
	}
	h.log.Info("host starting", "callers", h.settings.Listen.Callers.String(), "peers", h.settings.Listen.Peers.String(),
		"seeds", len(h.settings.Cluster.Seeds), "store", h.settings.Store.Address.String())
	h.background.Go(func() { h.peers.runReports(ctx) })
	h.background.Go(h.peers.receive)
	h.background.Go(func() { h.feed.run(ctx) })
	h.background.Go(func() { h.feed.followPeers(ctx) })
	h.background.Go(func() { h.targetPoller.run(ctx) })
	h.background.Go(func() { h.conns.run(ctx, h.limits) })
	h.background.Go(func() { h.serveWhenConfigured(ctx) })
	changed := make(chan struct{}, 1)
	h.background.Go(func() { h.watchSettings(ctx, changed) })
	h.awaitStop(ctx, signals, changed)
	h.drain(ctx)
	cancel()
	err := h.close()
	h.background.Wait()
	return err
}

// limits returns the declared bounds on what callers send.
func (h *Host) limits() usherroute.Limits {
	if t := h.state.table(); t != nil {
		return t.Limits()
	}
	return usherroute.Limits{}
}

// serveOnceKnown makes the host ready as soon as it knows the declarations and the targets.
func (h *Host) serveWhenConfigured(ctx context.Context) {
	for h.state.table() == nil {
		changes := h.state.watchChanges()
		if h.state.table() != nil {
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-changes:
		}
	}
	h.fireEvent(ctx, eventConfigured)
}

func (h *Host) fireEvent(ctx context.Context, name string) {
	if err := h.lifecycle.Event(ctx, name); err != nil {
		h.log.Debug("state unchanged", "event", name, "state", h.lifecycle.Current(), "error", err.Error())
	}
}

// awaitStop returns at the signal of a planned stop. SIGHUP says that the settings have changed.
func (h *Host) awaitStop(ctx context.Context, signals <-chan os.Signal, changed chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			h.log.Info("signal received", "signal", s.String())
			if s != syscall.SIGHUP {
				return
			}
			notify(changed)
		}
	}
}

// drain serves what is in progress, and callers that do not know yet that this host stops.
func (h *Host) drain(ctx context.Context) {
	start := time.Now()
	h.fireEvent(ctx, eventStop)
	deadline := start.Add(h.state.stopGracePeriod() - killMargin)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if h.inProgress.Load() == 0 && time.Since(start) > minDrainTime {
			break
		}
		sleep(ctx, drainPollInterval)
	}
	// Requests whose header is on its way are read and answered; the listener is closed first.
	h.drainConnections(ctx, deadline)
	h.log.Info("host drained", "duration_ms", time.Since(start).Milliseconds(), "in_progress", h.inProgress.Load())
	h.fireEvent(ctx, eventDrained)
}

// finishAccepted accepts no more connections of callers, closes idle ones and waits for requests on the others. The
// server's own Shutdown would drop requests whose header it has just read.
func (h *Host) drainConnections(ctx context.Context, deadline time.Time) {
	if err := h.callerListener.Close(); err != nil {
		h.log.Debug("listener not closed", "error", err.Error())
	}
	if bound := time.Now().Add(acceptedConnTimeout); bound.Before(deadline) {
		deadline = bound
	}
	for ctx.Err() == nil && h.conns.closeIdle() > 0 && time.Now().Before(deadline) {
		sleep(ctx, drainPollInterval)
	}
}

func (h *Host) close() error {
	failures := []error{h.peers.conn.Close()}
	for _, s := range h.servers {
		failures = append(failures, s.Close())
	}
	return errors.Join(failures...)
}

// listen opens every address of the host.
func (h *Host) listen() error {
	locate, ready, peer, metrics := http.NewServeMux(), http.NewServeMux(), http.NewServeMux(), http.NewServeMux()
	locate.HandleFunc("GET "+h.platform.LocatePath, h.locate)
	ready.HandleFunc("GET "+h.platform.ReadyPath, h.ready)
	peer.HandleFunc("GET "+catalogPath, h.peers.serveCatalog)
	metrics.HandleFunc("GET "+MetricsPath, h.metrics.serve)
	l := h.settings.Listen
	for _, s := range []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{l.Callers, alice.New().Then(h)}, {l.Ready, alice.New(noStore).Then(ready)}, {l.Locate, alice.New(noStore).Then(locate)},
		{l.Admin, h.adminRoutes()}, {l.Peers, alice.New().Then(peer)},
	} {
		if err := h.serve(s.address, s.handler); err != nil {
			return err
		}
	}
	if !l.Metrics.IsValid() {
		return nil
	}
	if err := h.serve(l.Metrics, alice.New(noStore).Then(metrics)); err != nil {
		// Requests are served without it, and the same text is at the admin address.
		h.log.Warn("no address for metrics", "address", l.Metrics.String(), "error", err.Error())
	}
	return nil
}

func (h *Host) serve(address netip.AddrPort, handler http.Handler) error {
	listener, err := h.platform.Network.Listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: handler, MaxHeaderBytes: maxServerHeaderBytes, ErrorLog: slog.NewLogLogger(h.log.Handler(), slog.LevelDebug),
	}
	if address == h.settings.Listen.Callers {
		server.ConnState = h.conns.track
		h.callerListener = listener
	}
	h.servers = append(h.servers, server)
	h.background.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			h.log.Error("server ended", "address", address.String(), "error", err.Error())
		}
	})
	return nil
}
