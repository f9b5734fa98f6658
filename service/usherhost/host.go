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

	// minDrainTime is how long a stopping host keeps serving callers that have not yet learned of the stop: the
	// lifetime of a locate response that names it, and the time for its report to reach its peers.
	minDrainTime = LocateLifetime + time.Second
	// killMargin is how long before SIGKILL a stopping host exits by itself.
	killMargin = 250 * time.Millisecond
	// acceptedConnTimeout is how long a stopping host waits for request headers on connections that it has already
	// accepted.
	acceptedConnTimeout = time.Second
	// answerMargin is how long before its exit a stopping host ends the requests that are still in progress, so that their
	// callers get an answer in place of a closed connection, and slow callers get it to its end.
	answerMargin = 350 * time.Millisecond
	// drainPollInterval is how often a stopping host checks whether it has drained.
	drainPollInterval = 20 * time.Millisecond
	// maxServerHeaderBytes bounds request headers before the configured limit is checked.
	maxServerHeaderBytes = 64 << 10
	// memoryLimitFraction is the fraction of the allowed memory that is set as the runtime's soft limit, above which
	// garbage collection runs more often.
	memoryLimitFraction = 0.7
)

type (
	// Platform has the interfaces through which a host uses the platform that it runs on.
	Platform struct {
		Store   Store
		Codec   Codec
		Engines Engines
		Network Network
		// Settings returns the current content of the settings file. It is nil if the settings never change.
		Settings func() ([]byte, error)
		// Uptime returns the time of a clock that also counts the time in which the machine is suspended. It is nil if there is
		// none.
		Uptime func() time.Duration
		// LocatePath is the HTTP path where callers ask for hosts, ReadyPath the one where the platform checks
		// readiness.
		LocatePath string
		ReadyPath  string
	}

	// Network opens listeners, sockets and connections.
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
		pressure     *pressure
		conns        *conns
		buffers      *bufferBudget
		metrics      *hostMetrics
		lifecycle    *fsm.FSM
		servers      []*http.Server
		// callerListener accepts the connections of callers.
		callerListener net.Listener
		background     sync.WaitGroup
		containment    *containment
		// abandonedRuns has an element for each run that is ended although nobody waits for it.
		abandonedRuns chan struct{}
		inProgress    atomic.Int64
		contacts      contacts
		// stop is nil before a planned stop. At its endsAt, endRequests cancels requestsCtx.
		stop        atomic.Pointer[stopTimes]
		requestsCtx context.Context
		endRequests context.CancelFunc
	}

	// stopTimes are the times of a planned stop.
	stopTimes struct {
		// callersKnowAt is when no caller that keeps to the lifetime of its locate response sends requests any more, endsAt
		// when the requests in progress are ended.
		callersKnowAt, endsAt time.Time
	}
)

// New returns a host whose socket for peers is open; Run serves.
func New(s *Settings, p Platform, log *slog.Logger) (*Host, error) {
	registry := metrics.NewRegistry()
	incarnation := time.Now().UnixMicro()
	self := ushercluster.Member{
		Name: s.Process.Name, DataCentre: s.Process.DataCentre, Address: s.Listen.Peers, CallerAddress: s.Listen.Callers, Incarnation: incarnation,
		Capacity: s.capacity(),
	}
	h := &Host{
		settings: s, platform: p, codec: p.Codec, engines: p.Engines, log: log, state: newSharedState(s, self, uint64(os.Getpid()), newBootClock(p.Uptime)),
		conns: newConns(registry), buffers: newBufferBudget(s.Limits.MemoryMegabytes), metrics: newHostMetrics(registry),
	}
	h.containment, h.abandonedRuns = newContainment(log, registry), make(chan struct{}, maxAbandonedRuns)
	h.requestsCtx, h.endRequests = context.WithCancel(context.Background())
	var err error
	if h.peers, err = newPeers(h.state, p, s.Listen.Peers, log, registry); err != nil {
		return nil, err
	}
	h.targetPoller = newTargetPoller(h.state, h.peers, p.Engines, h.containment, log, registry)
	h.targetPoller.note = h.noteTarget
	h.pressure = newPressure(h.state, s.Limits.MemoryMegabytes, h.inProgress.Load, log, registry)
	h.feed = newFeed(h.state, p.Store, s.Process.FirstStart, h.peers, h.containment, log, registry)
	h.lifecycle = fsm.NewFSM(stateStarting, fsm.Events{
		{Name: eventConfigured, Src: []string{stateStarting}, Dst: stateServing},
		{Name: eventStop, Src: []string{stateStarting, stateServing}, Dst: stateStopping},
		{Name: eventDrained, Src: []string{stateStopping}, Dst: stateStopped},
	}, fsm.Callbacks{"enter_state": h.onEnterState})
	return h, nil
}

// onEnterState reports a new state to the other hosts.
func (h *Host) onEnterState(_ context.Context, e *fsm.Event) {
	states := map[string]ushercluster.State{stateServing: ushercluster.Serving, stateStopping: ushercluster.Stopping, stateStopped: ushercluster.Stopping}
	h.state.setState(states[e.Dst])
	h.peers.reportNow()
	h.log.Info("host state changed", "state", e.Dst, "revision", h.state.revision(), "in_progress", h.inProgress.Load())
}

// Run serves until a signal other than SIGHUP has arrived and the requests in progress have ended, or until ctx ends.
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
	reloadRequested := make(chan struct{}, 1)
	for duty, run := range map[string]func(){
		"reports to peers":         func() { h.peers.runReports(ctx) },
		"datagrams of peers":       h.peers.receive,
		"waiting room":             func() { h.peers.placement.room.run(ctx) },
		"standstills":              func() { h.peers.runPulse(ctx, h.pressure.recordDelay) },
		"reading the store":        func() { h.feed.run(ctx) },
		"following peers":          func() { h.feed.followPeers(ctx) },
		"polling targets":          func() { h.targetPoller.run(ctx) },
		"limits of connections":    func() { h.conns.run(ctx, h.limits) },
		"waiting for declarations": func() { h.serveWhenConfigured(ctx) },
		"settings":                 func() { h.watchSettings(ctx, reloadRequested) },
	} {
		h.background.Go(func() { h.containment.keep(ctx, duty, run) })
	}
	h.awaitStop(ctx, signals, reloadRequested)
	h.drain(ctx)
	cancel()
	err := h.close()
	h.background.Wait()
	return err
}

// limits returns the configured limits on callers' requests.
func (h *Host) limits() usherroute.Limits {
	if t := h.state.table(); t != nil {
		return t.Limits()
	}
	return usherroute.Limits{}
}

// serveWhenConfigured makes the host ready as soon as it knows the configuration and the targets.
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
		h.log.Debug("state transition not applied", "event", name, "state", h.lifecycle.Current(), "error", errorText(err))
	}
}

// awaitStop returns when a signal requests a planned stop. SIGHUP makes the host check its settings for changes.
func (h *Host) awaitStop(ctx context.Context, signals <-chan os.Signal, reloadRequested chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			h.log.Info("signal received", "signal", s.String())
			if s != syscall.SIGHUP {
				return
			}
			notify(reloadRequested)
		}
	}
}

// drain finishes the requests in progress and keeps serving callers that do not know yet that this host is stopping.
func (h *Host) drain(ctx context.Context) {
	start := time.Now()
	exitsAt := start.Add(h.state.stopGracePeriod() - killMargin)
	endsAt := exitsAt.Add(-answerMargin)
	h.stop.Store(&stopTimes{callersKnowAt: start.Add(minDrainTime + acceptedConnTimeout), endsAt: endsAt})
	defer h.endRequests()
	h.fireEvent(ctx, eventStop)
	for ctx.Err() == nil && time.Now().Before(endsAt) {
		if h.inProgress.Load() == 0 && time.Since(start) > minDrainTime {
			break
		}
		sleep(ctx, drainPollInterval)
	}
	// The listener is closed first; then requests whose headers are still arriving are read and answered.
	h.drainConnections(ctx, endsAt, exitsAt)
	h.log.Info("host drained", "duration_ms", time.Since(start).Milliseconds(), "in_progress", h.inProgress.Load(),
		"connections", h.conns.counts())
	h.fireEvent(ctx, eventDrained)
}

// drainConnections closes the listener for callers and their idle connections, and returns when every response is sent to its end.
// On connections that were accepted before, it waits for requests. http.Server.Shutdown would drop requests whose header it has just
// read.
func (h *Host) drainConnections(ctx context.Context, endsAt, exitsAt time.Time) {
	if err := h.callerListener.Close(); err != nil {
		h.log.Debug("failed to close listener", "error", errorText(err))
	}
	lastBusy := time.Now()
	for ctx.Err() == nil && time.Now().Before(exitsAt) {
		switch open, now := h.conns.closeIdle(), time.Now(); {
		case open.Handling+open.Flushing > 0:
			lastBusy = now
		case open.New == 0 && !h.mayFinish(0):
			return
		case open.New == 0:
			// A request that arrives from here on is refused, so none is in progress once there is no connection left.
			h.stop.Store(&stopTimes{callersKnowAt: now, endsAt: now})
			continue
		case now.Sub(lastBusy) > acceptedConnTimeout:
			h.conns.closeNew()
			continue
		}
		if !time.Now().Before(endsAt) {
			h.endRequests()
		}
		sleep(ctx, drainPollInterval)
	}
}

// mayFinish reports whether a request that needs the given time can be answered before this host exits.
func (h *Host) mayFinish(needed time.Duration) bool {
	stop := h.stop.Load()
	return stop == nil || time.Now().Add(needed).Before(stop.endsAt)
}

// callersKnow reports whether this host is stopping and callers have had the time to learn of it.
func (h *Host) callersKnow() bool {
	stop := h.stop.Load()
	return stop != nil && time.Now().After(stop.callersKnowAt)
}

func (h *Host) close() error {
	failures := []error{h.peers.conn.Close()}
	for _, s := range h.servers {
		failures = append(failures, s.Close())
	}
	return errors.Join(failures...)
}

// listen opens every listener of the host.
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
		// Requests are served without it, and the admin address serves the same metrics.
		h.log.Warn("failed to listen on metrics address; metrics remain available at the admin address", "address", l.Metrics.String(), "error", errorText(err))
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
		server.ConnContext, server.ConnState = h.conns.add, h.conns.track
		h.callerListener = listener
	}
	h.servers = append(h.servers, server)
	h.background.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			h.log.Error("HTTP server stopped unexpectedly", "address", address.String(), "error", errorText(err))
		}
	})
	return nil
}
