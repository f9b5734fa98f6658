package daemon_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/platform/usherstandin"
	"github.com/samphireusher/samphireusher/service/usherhost"
)

// The tests of process fleets run the actual program as processes on the loopback interface and let one kind of fault happen again
// and again. The seed determines the times of the faults, but not how processes interleave. In CI they have a few rounds.
//
//	USHER_ROUNDS=24 USHER_SEED=7 USHER_SOAK_HOSTS=15 go test -v -run 'TestProcesses' ./daemon
//	USHER_SHARE=40 ...                                                each process runs for 40% of the time
const (
	fleetPort = 21900
	// pollInterval is how often each process is asked.
	pollInterval = 40 * time.Millisecond
	// throttlePeriod is the time in which a throttled process runs once.
	throttlePeriod = 100 * time.Millisecond
	// fleetStart and requestTimeout are for slow machines: neither how fast a fleet starts nor how fast it responds is under test.
	fleetStart     = time.Minute
	requestTimeout = 10 * time.Second
)

type (
	// processFleet is a fleet of processes with a stand-in for the store. Data centres have the same number of processes.
	processFleet struct {
		t         *testing.T
		random    *rand.Rand
		directory string
		subnet    string
		store     *usherstandin.Store
		server    *http.Server
		version   int
		hosts     []*fleetHost
	}

	fleetHost struct {
		// process is the latest one of the host.
		process atomic.Pointer[hostProcess]
		// standing is set while a test lets the process stand still.
		standing   atomic.Bool
		ip         string
		name       string
		dataCentre string
		client     *http.Client
	}
)

// runFleet starts a fleet of processes and calls round for each round of the test.
func runFleet(t *testing.T, defaultHosts, defaultRounds int, round func(f *processFleet)) {
	hosts, rounds := int(envNumber(t, "USHER_SOAK_HOSTS", uint64(defaultHosts))), envNumber(t, "USHER_ROUNDS", uint64(defaultRounds))
	seed := envNumber(t, "USHER_SEED", 1)
	f := &processFleet{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), directory: t.TempDir(), subnet: loopbackSubnet(), store: usherstandin.NewStore(),
	}
	defer f.shutdown()
	f.declare()
	f.serveStore()
	for i := range hosts {
		h := &fleetHost{
			ip: f.subnet + fmt.Sprint(i+1), dataCentre: dataCentres[i%len(dataCentres)], client: &http.Client{Transport: &http.Transport{}, Timeout: requestTimeout},
		}
		h.name = fmt.Sprintf("edge-%s-%d", h.dataCentre, i/len(dataCentres)+1)
		f.hosts = append(f.hosts, h)
		f.start(h)
	}
	f.awaitFleet()
	if share := envNumber(t, "USHER_SHARE", 100); share < 100 {
		defer f.throttle(throttlePeriod * time.Duration(share) / 100)()
	}
	for n := range rounds {
		t.Logf("round %d of %d", n+1, rounds)
		if round(f); t.Failed() {
			t.Logf("to run it again: USHER_ROUNDS=%d USHER_SEED=%d USHER_SOAK_HOSTS=%d go test -v -run '%s$' ./daemon", rounds, seed, hosts, t.Name())
			return
		}
	}
}

func (f *processFleet) serveStore() {
	listener, err := net.Listen("tcp4", f.storeAddress())
	if err != nil {
		f.t.Fatal(err)
	}
	f.server = &http.Server{Handler: f.store, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	go func() {
		if err := f.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			f.t.Error(err)
		}
	}()
}

func (f *processFleet) storeAddress() string { return fmt.Sprintf("%s250:%d", f.subnet, fleetPort) }

// declare publishes declarations that do not fit a datagram, with a route for their version.
func (f *processFleet) declare() {
	f.version++
	d := declarations()
	d["version"] = f.version
	d["routes"] = append(d["routes"].([]any), map[string]any{
		"name": "latest", "host": hostName, "prefix": versionPath(f.version), "routeKind": "safe", "service": plainService,
		"timeoutMs": 1000, "goalMs": 100, "priority": 1, "maxAttempts": 2, "public": true,
	})
	for i := range 50 {
		d["tenants"] = append(d["tenants"].([]any), map[string]any{"name": fmt.Sprint("workspace-", i), "apiKeys": []string{fmt.Sprintf("key-of-workspace-%020d", i)}})
	}
	f.store.PutJSON("op/config", d)
}

func versionPath(version int) string { return fmt.Sprintf("/v%d/", version) }

// start starts a host's process with no broken links.
func (f *processFleet) start(h *fleetHost) {
	at := func(offset int) string { return fmt.Sprintf("%s:%d", h.ip, fleetPort+offset) }
	settings := fmt.Sprintf("[process]\nname = %s\ndata_centre = %s\n[listen]\ncallers = %s\nready = %s\nlocate = %s\nadmin = %s\npeers = %s\n"+
		"[cluster]\nseeds = %s1:1, %s2:1, %s3:1\n[store]\naddress = %s\n[capacity]\nprocessor_share = 0.4\n[log]\nlevel = debug\n",
		h.name, h.dataCentre, at(0), at(1), at(2), at(3), at(4), f.subnet, f.subnet, f.subnet, f.storeAddress())
	path := f.path(h, ".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.breakLinks(h)
	process, err := startProcess(path, f.path(h, ".log"), brokenLinksFile+"="+f.path(h, ".links"))
	if err != nil {
		f.t.Fatal(err)
	}
	h.process.Store(&process)
}

func (h *fleetHost) signal(signal syscall.Signal) { h.process.Load().signal(signal) }

// stand lets the process stand still, goOn lets it go on.
func (h *fleetHost) stand() {
	h.standing.Store(true)
	h.signal(syscall.SIGSTOP)
}

func (h *fleetHost) goOn() {
	h.standing.Store(false)
	h.signal(syscall.SIGCONT)
}

// restart starts the host's process again after it was killed.
func (f *processFleet) restart(h *fleetHost) {
	<-h.process.Load().exited
	f.start(h)
}

func (f *processFleet) path(h *fleetHost, suffix string) string {
	return filepath.Join(f.directory, h.name+suffix)
}

// breakLinks replaces the broken links of a host's process.
func (f *processFleet) breakLinks(h *fleetHost, lines ...string) {
	path := f.path(h, ".links")
	if err := os.WriteFile(path+".new", []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		f.t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		f.t.Fatal(err)
	}
}

// loseOneWay loses the packets from some data centres to another. Connections between them then get no response either way.
func (f *processFleet) loseOneWay(from []string, to string) {
	for _, h := range f.hosts {
		var lines []string
		for _, other := range f.hosts {
			switch {
			case slices.Contains(from, h.dataCentre) && other.dataCentre == to:
				lines = append(lines, other.ip)
			case h.dataCentre == to && slices.Contains(from, other.dataCentre):
				lines = append(lines, "connections "+other.ip)
			}
		}
		f.breakLinks(h, lines...)
	}
}

func (f *processFleet) mendLinks() {
	for _, h := range f.hosts {
		f.breakLinks(h)
	}
}

func (f *processFleet) in(dataCentre string) []*fleetHost {
	var hosts []*fleetHost
	for _, h := range f.hosts {
		if h.dataCentre == dataCentre {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// awaitFleet waits until every process has the latest declarations and knows all others.
func (f *processFleet) awaitFleet() {
	f.t.Helper()
	deadline := time.Now().Add(fleetStart)
	for _, h := range f.hosts {
		for {
			var dump struct {
				Version int   `json:"version"`
				Hosts   []any `json:"hosts"`
			}
			_, body, err := h.get(3, usherhost.DumpPath)
			if err == nil {
				err = json.Unmarshal(body, &dump)
			}
			if err == nil && dump.Version == f.version && len(dump.Hosts) == len(f.hosts)-1 {
				break
			}
			if time.Now().After(deadline) {
				f.t.Fatalf("%s: version %d, %d other hosts, error %v %s after the start; want version %d, %d hosts", h.name, dump.Version, len(dump.Hosts), err, fleetStart, f.version, len(f.hosts)-1)
			}
			time.Sleep(pollInterval)
		}
	}
}

// get sends a request to one of a process's ports and returns the status and the body.
func (h *fleetHost) get(portOffset int, path string) (int, []byte, error) {
	r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d%s", h.ip, fleetPort+portOffset, path), nil)
	if err != nil {
		return 0, nil, err
	}
	r.Host = hostName
	r.Header.Set("Attempt-Id", fmt.Sprintf("%016x", rand.Uint64()))
	r.Header.Set("Deadline-Ms", "1000")
	response, err := h.client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, errors.Join(err, response.Body.Close())
}

// throttle lets each process run for a part of each period only, as a quota of processor time does, until the function that it returns
// is called.
func (f *processFleet) throttle(runs time.Duration) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var throttling sync.WaitGroup
	for _, h := range f.hosts {
		delay := time.Duration(f.random.Int64N(int64(throttlePeriod)))
		throttling.Go(func() {
			sleepFor(ctx, delay)
			for ctx.Err() == nil {
				h.signal(syscall.SIGSTOP)
				sleepFor(ctx, throttlePeriod-runs)
				if !h.standing.Load() {
					h.signal(syscall.SIGCONT)
				}
				sleepFor(ctx, runs)
			}
		})
	}
	return func() {
		cancel()
		throttling.Wait()
	}
}

// poll calls ask for each of the hosts at each pollInterval until the given time.
func poll(until time.Time, hosts []*fleetHost, ask func(h *fleetHost)) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	var asking sync.WaitGroup
	for _, h := range hosts {
		asking.Go(func() {
			for ctx.Err() == nil {
				ask(h)
				sleepFor(ctx, pollInterval)
			}
		})
	}
	asking.Wait()
}

// shutdown ends the processes. The logs are kept if the test has failed.
func (f *processFleet) shutdown() {
	for _, h := range f.hosts {
		if process := h.process.Load(); process != nil {
			process.signal(syscall.SIGKILL)
			<-process.exited
		}
	}
	if f.server != nil {
		_ = f.server.Close()
	}
	if !f.t.Failed() {
		return
	}
	if kept, err := os.MkdirTemp("", "fleet-*"); err == nil {
		if err := os.CopyFS(kept, os.DirFS(f.directory)); err == nil {
			f.t.Logf("the hosts' logs are kept in %s", kept)
		}
	}
}
