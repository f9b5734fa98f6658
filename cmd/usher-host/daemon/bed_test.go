package daemon_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
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

	"github.com/fxamacker/cbor/v2"

	"github.com/samphireusher/samphireusher/cmd/usher-host/daemon"
	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
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

var places = []string{"kochi", "thrissur", "kozhikode"}

type (
	// bed is a fleet of hosts with stand-ins of the platform, on a network in memory and in virtual time.
	bed struct {
		t       *testing.T
		network *ushernet.Network
		store   *usherstandin.Store
		memory  *usherstandin.CopyRegistry
		targets map[string]*usherstandin.Target
		servers map[string]*http.Server
		hosts   []*host
		client  *http.Client
		calls   atomic.Int64
		lines   lines
		options options
		// settings is what hosts that start from now on find in their settings file.
		settings func() ([]byte, error)
	}

	host struct {
		ip      string
		name    string
		signals chan os.Signal
		done    chan error
		cancel  context.CancelFunc
	}

	// machine is the network as one host sees it.
	machine struct {
		network *ushernet.Network
		ip      netip.Addr
	}

	// lines keeps what the hosts log.
	lines struct {
		mu   sync.Mutex
		text strings.Builder
	}

	options struct {
		hosts   int
		engines int
		plain   int
		// document changes the declarations before they are published.
		document func(d map[string]any)
		// noRepeats leaves no budget for repeated sends.
		noRepeats bool
	}
)

func (m machine) Listen(address netip.AddrPort) (net.Listener, error) {
	return m.network.Listen(address)
}

func (m machine) ListenPacket(address netip.AddrPort) (net.PacketConn, error) {
	return m.network.ListenPacket(address)
}

func (m machine) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	return m.network.Dialer(m.ip)(ctx, network, address)
}

func (l *lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *lines) count(part string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), part)
}

// inBed runs a test with a fleet in virtual time.
func inBed(t *testing.T, o options, test func(t *testing.T, b *bed)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, o)
		defer b.close()
		test(t, b)
	})
}

func newBed(t *testing.T, o options) *bed {
	t.Helper()
	b := &bed{
		t: t, options: o, network: ushernet.New(ushernet.Options{Seed: 1}), store: usherstandin.NewStore(), memory: usherstandin.NewCopyRegistry(),
		targets: map[string]*usherstandin.Target{}, servers: map[string]*http.Server{},
	}
	b.client = &http.Client{Transport: &http.Transport{DialContext: b.network.Dialer(netip.MustParseAddr(callerIP)), DisableKeepAlives: true}}
	b.serve(netip.MustParseAddrPort(storeIP+":8742"), "store", b.store)
	document := declarations()
	if o.document != nil {
		o.document(document)
	}
	b.store.PutJSON("op/config", document)
	for i := range o.engines {
		b.addTarget(fmt.Sprint("engine-", i), engineService, i)
	}
	for i := range o.plain {
		b.addTarget(fmt.Sprint("plain-", i), plainService, i)
	}
	for i := range max(o.hosts, 1) {
		b.startHost(i)
	}
	time.Sleep(2 * time.Second)
	return b
}

// declarations returns the operators' document of a small site.
func declarations() map[string]any {
	route := func(name, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": hostName, "prefix": "/" + name + "/", "routeKind": kind, "service": service, "timeoutMs": 5000,
			"goalMs": 100, "priority": 1, "maxAttempts": 1, "public": false,
		}
		for key, value := range more {
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
func (b *bed) declare(version int, change func(d map[string]any)) {
	d := declarations()
	d["version"] = version
	change(d)
	b.store.PutJSON("op/config", d)
}

func (b *bed) serve(address netip.AddrPort, name string, handler http.Handler) {
	b.t.Helper()
	listener, err := b.network.Listen(address)
	if err != nil {
		b.t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	b.servers[name] = server
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			b.t.Error(err)
		}
	}()
}

// addSlowEngine starts an engine whose events are step apart.
func (b *bed) addSlowEngine(id string, number int, step time.Duration) {
	b.addTargetOf(id, engineService, number, step)
}

// addTarget starts a target and publishes it.
func (b *bed) addTarget(id, service string, number int) *usherstandin.Target {
	return b.addTargetOf(id, service, number, 0)
}

func (b *bed) addTargetOf(id, service string, number int, step time.Duration) *usherstandin.Target {
	kind := 1
	if service == plainService {
		kind = 2
	}
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 128, byte(kind), byte(number + 1)}), targetPort)
	t := usherstandin.NewTarget(usherstandin.TargetOptions{
		ID: id, Service: service, Address: address.String(), DataCentre: places[number%len(places)], Engine: service == engineService, ServiceTime: 15 * time.Millisecond,
		EventInterval: step,
	}, b.memory)
	b.targets[id] = t
	b.serve(address, id, t)
	b.publish(id, "ready")
	return t
}

func (b *bed) publish(id, state string) {
	key, value := b.targets[id].Entry(state)
	b.store.PutJSON(key, value)
}

// kill ends a target: its connections break and nobody listens at its address.
func (b *bed) kill(id string) {
	b.targets[id].Kill()
	_ = b.servers[id].Close()
}

func hostIP(i int) string { return fmt.Sprintf("10.1.0.%d", i+1) }

func (b *bed) startHost(i int) *host {
	b.t.Helper()
	ip := hostIP(i)
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr(ip), port) }
	var s usherhost.Settings
	s.Process.Name, s.Process.DataCentre = fmt.Sprint("host-", i), places[i%len(places)]
	s.Listen.Callers, s.Listen.Ready, s.Listen.Admin, s.Listen.Locate, s.Listen.Peers = at(callerPort), at(readyPort), at(adminPort), at(locatePort), at(peerPort)
	s.Listen.Metrics = at(metricsPort)
	for seed := range 3 {
		s.Cluster.Seeds = append(s.Cluster.Seeds, netip.AddrPortFrom(netip.MustParseAddr(hostIP(seed)), adminPort))
	}
	s.Store.Address = netip.MustParseAddrPort(storeIP + ":8742")
	s.Retries.Ratio, s.Retries.Allowance, s.Retries.Window, s.Stop.Grace = 0.2, 58, 10*time.Second, 8*time.Second
	if b.options.noRepeats {
		s.Retries.Ratio, s.Retries.Allowance = 0, 0
	}
	s.Log.Level = "info"
	s.Answers.HeaderBytes, s.Answers.HeaderTime, s.Answers.StrayBytes, s.Answers.HeldBytes, s.Answers.BodyBytes = 64<<10, 2*time.Second, 256<<10, 256<<10, 1<<30
	log := slog.New(slog.NewJSONHandler(&b.lines, nil)).With("host", s.Process.Name)
	if os.Getenv("USHER_LOG") != "" {
		log = slog.New(slog.NewTextHandler(os.Stderr, nil)).With("host", s.Process.Name)
	}
	platform := daemon.Platform(&s, machine{network: b.network, ip: netip.MustParseAddr(ip)})
	platform.Settings = b.settings
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

// stop is a planned stop; it returns when the host has ended.
func (b *bed) stop(h *host) {
	h.signals <- syscall.SIGTERM
}

func (b *bed) close() {
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
	b.client.CloseIdleConnections()
	// Calls that a stand-in keeps open end with its connections.
	time.Sleep(time.Minute)
	synctest.Wait()
}

// request returns a caller's request to a host, with an attempt id of its own.
func (b *bed) request(ctx context.Context, h *host, method, path, body string) *http.Request {
	b.t.Helper()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.ip+fmt.Sprint(":", callerPort)+path, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	r.Host = hostName
	r.Header.Set("Attempt-Id", fmt.Sprintf("%016x", b.calls.Add(1)))
	r.Header.Set("Deadline-Ms", "5000")
	r.Header.Set("Api-Key", apiKey)
	if strings.HasPrefix(path, "/appraisal/") || strings.HasPrefix(path, "/eligibility/") {
		r.Header.Set("Deadline-Ms", "39000")
		r.Header.Set("Model", "m")
		r.Header.Set("Token-Counts", "3000,900")
	}
	return r
}

type result struct {
	status  int
	header  http.Header
	body    string
	attempt string
	err     error
	took    time.Duration
	// closes tells whether the host announced that it closes the connection.
	closes bool
}

func (b *bed) do(r *http.Request) result {
	begun := time.Now()
	response, err := b.client.Do(r)
	if err != nil {
		return result{err: err, attempt: r.Header.Get("Attempt-Id"), took: time.Since(begun)}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: string(body), attempt: r.Header.Get("Attempt-Id"), err: err, took: time.Since(begun), closes: response.Close}
}

func (b *bed) get(h *host, path string) result {
	b.t.Helper()
	return b.do(b.request(b.t.Context(), h, http.MethodGet, path, ""))
}

func (b *bed) post(h *host, path string) result {
	b.t.Helper()
	return b.do(b.request(b.t.Context(), h, http.MethodPost, path, "a body"))
}

// located returns the addresses that a host names to callers.
func (b *bed) located(h *host) string {
	return b.plain(h, locatePort, "/resolve?name="+hostName+"&zone=kochi").body
}

// plain asks a host at one of its other addresses.
func (b *bed) plain(h *host, port int, path string) result {
	b.t.Helper()
	r, err := http.NewRequestWithContext(b.t.Context(), http.MethodGet, fmt.Sprintf("http://%s:%d%s", h.ip, port, path), nil)
	if err != nil {
		b.t.Fatal(err)
	}
	return b.do(r)
}

// events returns the ids of a stream's events.
func events(body string) []string {
	var ids []string
	scanner := bufio.NewScanner(strings.NewReader(body))
	for scanner.Scan() {
		if id, found := strings.CutPrefix(scanner.Text(), "id: "); found {
			ids = append(ids, id)
		}
	}
	return ids
}

// whole tells whether a body has the events 1 to n of one attempt, each once and in order.
func whole(body, attempt string, n int) bool {
	var want strings.Builder
	for id := 1; id <= n; id++ {
		fmt.Fprintf(&want, "id: %d\ndata: piece %d of %s\n\n", id, id, attempt)
	}
	return body == want.String()
}

// tell sends a host a change as a peer would.
func (b *bed) tell(ip string, revision uint64, change ushercatalog.Entry) {
	b.t.Helper()
	peer := netip.AddrPortFrom(netip.MustParseAddr(callerIP), peerPort)
	datagram := struct {
		Version  int                  `cbor:"1,keyasint"`
		Report   ushercluster.Report  `cbor:"2,keyasint"`
		Revision uint64               `cbor:"3,keyasint"`
		StoreAge time.Duration        `cbor:"4,keyasint"`
		Before   uint64               `cbor:"11,keyasint"`
		Changes  []ushercatalog.Entry `cbor:"12,keyasint"`
	}{
		Version: 1, Revision: revision, StoreAge: time.Hour, Before: revision - 1, Changes: []ushercatalog.Entry{change},
		Report: ushercluster.Report{From: ushercluster.Member{Name: "peer", DataCentre: "elsewhere", Address: peer, Incarnation: 1}},
	}
	data, err := cbor.Marshal(datagram)
	if err != nil {
		b.t.Fatal(err)
	}
	conn, err := b.network.ListenPacket(peer)
	if err != nil {
		b.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.WriteTo(data, net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(ip), peerPort))); err != nil {
		b.t.Fatal(err)
	}
	time.Sleep(5 * time.Millisecond)
}

// runsOf returns the runs of an attempt at all targets, by target.
func (b *bed) runsOf(attempt string) map[string][]usherstandin.Run {
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

// only returns the one run of an attempt.
func (b *bed) only(attempt string) (string, usherstandin.Run) {
	b.t.Helper()
	runs := b.runsOf(attempt)
	for id, rs := range runs {
		if len(runs) == 1 && len(rs) == 1 {
			return id, rs[0]
		}
	}
	b.t.Fatalf("attempt %s has runs %v, want one", attempt, runs)
	return "", usherstandin.Run{}
}
