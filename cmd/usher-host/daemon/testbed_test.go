package daemon_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphireusher/samphireusher/cmd/usher-host/daemon"
	"github.com/samphireusher/samphireusher/pkg/ushercluster"
	"github.com/samphireusher/samphireusher/platform/usherstandin"
	"github.com/samphireusher/samphireusher/service/usherhost"
	"github.com/samphireusher/samphireusher/standin/ushernet"
)

const (
	storeIP     = "10.200.1.7"
	callerIP    = "10.99.0.1"
	callerPort  = 8740
	readyPort   = 8749
	adminPort   = 8748
	locatePort  = 8746
	peerPort    = 7200
	metricsPort = 9464
	targetPort  = 8080

	engineService = "appraiser"
	plainService  = "registry"
	hostName      = "fair.example"
	apiKey        = "key-1"
)

// elsewhere is a host of another data centre whose reports tests send.
var elsewhere = ushercluster.Member{Name: "peer", DataCentre: "elsewhere", Address: netip.MustParseAddrPort(callerIP + ":7200"), Incarnation: 1}

var dataCentres = []string{"kochi", "thrissur", "kozhikode"}

type (
	// testbed is a fleet of hosts with stand-ins for the platform, on an in-memory network and in virtual time.
	testbed struct {
		t *testing.T
		// mu guards targets and servers where targets come and go during a test.
		mu        sync.Mutex
		network   *ushernet.Network
		store     *usherstandin.Store
		copies    *usherstandin.CopyRegistry
		targets   map[string]*usherstandin.Target
		servers   map[string]*http.Server
		hosts     []*host
		client    *http.Client
		calls     atomic.Int64
		logBuffer logBuffer
		options   options
		// settings returns the content of the settings file for hosts that are started after it is set.
		settings func() ([]byte, error)
	}

	host struct {
		ip      string
		name    string
		signals chan os.Signal
		done    chan error
		cancel  context.CancelFunc
	}

	// hostNetwork is the network from the point of view of one host.
	hostNetwork struct {
		network *ushernet.Network
		ip      netip.Addr
	}

	// logBuffer collects the log lines of the hosts.
	logBuffer struct {
		mu   sync.Mutex
		text strings.Builder
	}

	// interceptingHandler calls intercept with each log record before it is written, in the goroutine that logs it.
	interceptingHandler struct {
		slog.Handler
		intercept func(r slog.Record)
	}

	options struct {
		hosts        int
		engines      int
		plainTargets int
		// eventInterval is the time between two events of a stream, the stand-in's default if zero.
		eventInterval time.Duration
		// serviceTime is the duration of a plain call, 15 ms if zero.
		serviceTime time.Duration
		// editDeclarations changes the declarations before they are published.
		editDeclarations func(d map[string]any)
		// noRetries sets a retry budget of zero.
		noRetries bool
		// manyRetries sets a retry budget that no test uses up.
		manyRetries bool
		// unframed lets the store and the targets respond with neither a length nor chunks.
		unframed bool
		// wrapTarget changes how a target serves requests.
		wrapTarget func(id string, target http.Handler) http.Handler
		// editPlatform changes the interfaces through which hosts use the platform.
		editPlatform func(p *usherhost.Platform)
		// editSettings changes the settings of a host before it starts.
		editSettings func(i int, s *usherhost.Settings)
		// intercept is called with each log record, in the goroutine that logs it.
		intercept func(r slog.Record)
		// wantPanics allows panics in the hosts, which fail the test otherwise.
		wantPanics bool
	}
)

func (m hostNetwork) Listen(address netip.AddrPort) (net.Listener, error) {
	return m.network.Listen(address)
}

func (m hostNetwork) ListenPacket(address netip.AddrPort) (net.PacketConn, error) {
	return m.network.ListenPacket(address)
}

func (m hostNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	return m.network.Dialer(m.ip)(ctx, network, address)
}

func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (h interceptingHandler) Handle(ctx context.Context, r slog.Record) error {
	h.intercept(r)
	return h.Handler.Handle(ctx, r)
}

func (h interceptingHandler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return interceptingHandler{h.Handler.WithAttrs(attributes), h.intercept}
}

func (l *logBuffer) count(part string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), part)
}

// withTestbed runs a test with a testbed in virtual time, in parallel with other tests.
func withTestbed(t *testing.T, o options, test func(t *testing.T, b *testbed)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, o)
		defer b.close()
		test(t, b)
	})
}

func newTestbed(t *testing.T, o options) *testbed {
	t.Helper()
	b := &testbed{
		t: t, options: o, network: ushernet.New(ushernet.Options{Seed: 1}), store: usherstandin.NewStore(), copies: usherstandin.NewCopyRegistry(),
		targets: map[string]*usherstandin.Target{}, servers: map[string]*http.Server{},
	}
	b.client = &http.Client{Transport: &http.Transport{DialContext: b.network.Dialer(netip.MustParseAddr(callerIP)), DisableKeepAlives: true}}
	b.serve(netip.MustParseAddrPort(storeIP+":8742"), "store", b.store)
	document := declarations()
	if o.editDeclarations != nil {
		o.editDeclarations(document)
	}
	b.store.PutJSON("op/config", document)
	for i := range o.engines {
		b.addTarget(fmt.Sprint("engine-", i), engineService, i)
	}
	for i := range o.plainTargets {
		b.addTarget(fmt.Sprint("plain-", i), plainService, i)
	}
	for i := range max(o.hosts, 1) {
		b.startHost(i)
	}
	time.Sleep(2 * time.Second)
	return b
}

// declarations returns the operators' configuration document for a small fleet.
func declarations() map[string]any {
	route := func(name, kind, service string, overrides map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": hostName, "prefix": "/" + name + "/", "routeKind": kind, "service": service, "timeoutMs": 5000,
			"goalMs": 100, "priority": 1, "maxAttempts": 1, "public": false,
		}
		for key, value := range overrides {
			r[key] = value
		}
		return r
	}
	return map[string]any{
		"version": 1,
		"routes": []any{
			route("appraisal", "streaming", engineService, map[string]any{"timeoutMs": 39000, "goalMs": 1800, "gapTargetMs": 180, "sticky": true}),
			route("eligibility", "streaming", engineService, map[string]any{"goalMs": 1500, "gapTargetMs": 180, "maxAttempts": 2, "resumable": true, "sticky": true}),
			route("allotment", "unsafe", plainService, nil),
			route("status", "safe", plainService, map[string]any{"maxAttempts": 2}),
		},
		"services": []any{
			map[string]any{"name": engineService, "healthPath": "/healthz", "maxConns": 252, "coldS": 1.0, "coldPerS": 37.0, "engine": map[string]any{
				"slots": 24, "kvCapacity": 34312, "kvTokenBytes": 262144, "linkMbps": 38000.0, "moves": true, "backups": true, "stride": 4, "handleS": 5.0}},
			map[string]any{"name": plainService, "healthPath": "/healthz", "maxConns": 110},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "weavers", "apiKeys": []string{apiKey}}},
	}
}

// declare publishes changed declarations.
func (b *testbed) declare(version int, change func(d map[string]any)) {
	d := declarations()
	d["version"] = version
	change(d)
	b.store.PutJSON("op/config", d)
}

func (b *testbed) serve(address netip.AddrPort, name string, handler http.Handler) {
	b.t.Helper()
	listener, err := b.network.Listen(address)
	if err != nil {
		b.t.Fatal(err)
	}
	if b.options.unframed {
		handler = usherstandin.Unframed(handler)
	}
	server := &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	b.servers[name] = server
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			b.t.Error(err)
		}
	}()
}

// addSlowEngine starts an engine with the given interval between events, and publishes it.
func (b *testbed) addSlowEngine(id string, number int, eventInterval time.Duration) {
	b.addTargetWith(id, engineService, number, eventInterval)
}

// addTarget starts a target and publishes it.
func (b *testbed) addTarget(id, service string, number int) *usherstandin.Target {
	return b.addTargetWith(id, service, number, b.options.eventInterval)
}

func (b *testbed) addTargetWith(id, service string, number int, eventInterval time.Duration) *usherstandin.Target {
	kind := 1
	if service == plainService {
		kind = 2
	}
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 128, byte(kind), byte(number + 1)}), targetPort)
	serviceTime := b.options.serviceTime
	if serviceTime == 0 {
		serviceTime = 15 * time.Millisecond
	}
	t := usherstandin.NewTarget(usherstandin.TargetOptions{
		ID: id, Service: service, Address: address.String(), DataCentre: dataCentres[number%len(dataCentres)], Engine: service == engineService, ServiceTime: serviceTime,
		EventInterval: eventInterval,
	}, b.copies)
	b.targets[id] = t
	var handler http.Handler = t
	if b.options.wrapTarget != nil {
		handler = b.options.wrapTarget(id, t)
	}
	b.serve(address, id, handler)
	b.publish(id, "ready")
	return t
}

func (b *testbed) publish(id, state string) {
	key, value := b.targets[id].Entry(state)
	b.store.PutJSON(key, value)
}

// kill stops a target: its connections break and its address refuses new ones.
func (b *testbed) kill(id string) {
	b.targets[id].Kill()
	_ = b.servers[id].Close()
}

func hostIP(i int) string { return fmt.Sprintf("10.1.0.%d", i+1) }

func (b *testbed) startHost(i int) *host {
	b.t.Helper()
	ip := hostIP(i)
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr(ip), port) }
	var s usherhost.Settings
	s.Process.Name, s.Process.DataCentre = fmt.Sprint("host-", i), dataCentres[i%len(dataCentres)]
	s.Listen.Callers, s.Listen.Ready, s.Listen.Admin, s.Listen.Locate, s.Listen.Peers = at(callerPort), at(readyPort), at(adminPort), at(locatePort), at(peerPort)
	s.Listen.Metrics = at(metricsPort)
	for seed := range 3 {
		s.Cluster.Seeds = append(s.Cluster.Seeds, netip.AddrPortFrom(netip.MustParseAddr(hostIP(seed)), adminPort))
	}
	s.Store.Address = netip.MustParseAddrPort(storeIP + ":8742")
	s.Retries.Ratio, s.Retries.Allowance, s.Retries.Window, s.Stop.Grace = 0.2, 58, 10*time.Second, 8*time.Second
	if b.options.noRetries {
		s.Retries.Ratio, s.Retries.Allowance = 0, 0
	}
	if b.options.manyRetries {
		s.Retries.Allowance = 1e6
	}
	s.Log.Level, s.Prefixes.Weigh = "info", true
	s.Answers.HeaderBytes, s.Answers.HeaderTime, s.Answers.StrayBytes, s.Answers.HeldBytes, s.Answers.BodyBytes = 64<<10, 2*time.Second, 256<<10, 256<<10, 1<<30
	if b.options.editSettings != nil {
		b.options.editSettings(i, &s)
	}
	var handler slog.Handler = slog.NewJSONHandler(&b.logBuffer, nil)
	if os.Getenv("USHER_LOG") != "" {
		handler = slog.NewTextHandler(os.Stderr, nil)
	}
	if b.options.intercept != nil {
		handler = interceptingHandler{handler, b.options.intercept}
	}
	log := slog.New(handler).With("host", s.Process.Name)
	platform := daemon.Platform(&s, hostNetwork{network: b.network, ip: netip.MustParseAddr(ip)})
	platform.Settings = b.settings
	if b.options.editPlatform != nil {
		b.options.editPlatform(&platform)
	}
	created, err := usherhost.New(&s, platform, log)
	if err != nil {
		b.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &host{ip: ip, name: s.Process.Name, signals: make(chan os.Signal, 1), done: make(chan error, 1), cancel: cancel}
	go func() { h.done <- created.Run(ctx, h.signals) }()
	b.hosts = append(b.hosts, h)
	return h
}

// stop starts a planned stop of a host. It does not wait for its end.
func (b *testbed) stop(h *host) {
	h.signals <- syscall.SIGTERM
}

func (b *testbed) close() {
	b.network.Heal()
	b.store.SetMode("", usherstandin.Serving)
	for _, h := range b.hosts {
		h.cancel()
		select {
		case h.signals <- syscall.SIGTERM:
		default:
		}
		<-h.done
	}
	for _, s := range b.servers {
		_ = s.Close()
	}
	if panics := b.logBuffer.count(`"panic contained"`); panics > 0 && !b.options.wantPanics {
		b.t.Errorf("%d panics in the hosts", panics)
	}
	b.client.CloseIdleConnections()
	// Wait for the calls that stand-ins hold open. They end with the connections.
	time.Sleep(time.Minute)
	synctest.Wait()
}

// runsOf returns the runs of an attempt by target.
func (b *testbed) runsOf(attempt string) map[string][]usherstandin.Run {
	runs := map[string][]usherstandin.Run{}
	for id, t := range b.targets {
		for _, r := range t.Runs() {
			if r.Attempt == attempt {
				runs[id] = append(runs[id], r)
			}
		}
	}
	return runs
}

// onlyRun returns the only run of an attempt, with its target. It fails the test if there is not exactly one.
func (b *testbed) onlyRun(attempt string) (string, usherstandin.Run) {
	b.t.Helper()
	runs := b.runsOf(attempt)
	for id, rs := range runs {
		if len(runs) == 1 && len(rs) == 1 {
			return id, rs[0]
		}
	}
	b.t.Fatalf("attempt %s has runs %v, want exactly one", attempt, runs)
	return "", usherstandin.Run{}
}
