package daemon_test

import (
	"context"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/cmd/usher-host/daemon"
	"github.com/samphireusher/samphireusher/platform/usherstandin"
)

// The soak tests run the actual program as processes on the loopback interface and check the results that callers and
// targets see. TestSoak injects the faults of real platforms. TestSoakPlannedWork has planned work only, in series that
// overlap, so that no fault excuses a lost request. A failure prints the command that runs its seed again. The seed
// determines the sequence of faults, but not how processes interleave.
//
//	USHER_SOAK=50 go test -race -timeout 60m -run TestSoak ./daemon                  50 new seeds of both
//	USHER_SOAK=1 USHER_SEED=7 go test -race -run 'TestSoakPlannedWork$' ./daemon     a single seed of one
//	USHER_SOAK_HOSTS=100 ...                                                         more processes
const (
	soakSettings = "USHER_SOAK_SETTINGS"
	soakPort     = 21700
	soakDuration = 8 * time.Second
	// soakRecovery is the time after the last fault within which all hosts must serve: the specified limit on recovery.
	soakRecovery = 12 * time.Second
	soakCallers  = 16
	soakTimeout  = 4 * time.Second
	soakGrace    = 6 * time.Second
	// One in soakDeadlyShare of the callers' streams has the part of a prompt that crashes engines.
	soakDeadlyShare = 20
	soakDeadlyPart  = "dead"
)

type (
	// soak is one run of the soak test.
	soak struct {
		t         *testing.T
		seed      uint64
		directory string
		subnet    string
		store     *usherstandin.Store
		copies    *usherstandin.CopyRegistry
		hosts     []*soakHost
		// plannedOnly is set if nothing happens but planned work.
		plannedOnly bool

		mu       sync.Mutex
		proxies  []*faultProxy
		targets  map[string]*soakTarget
		nextID   int
		servers  []*http.Server
		attempts int
		notRun   []string
		statuses map[int]int
		failures []string
		notices  soakNotices
		planned  plannedWork
		limits   soakLimits
		cuts     []keptRequest
		// crashes waits for the engines that replace crashed ones.
		crashes sync.WaitGroup
	}

	// hostProcess is a process of the program.
	hostProcess struct {
		command *exec.Cmd
		exited  chan struct{}
	}

	soakHost struct {
		hostProcess
		ip string
		// busy is set while an operator stops or restarts the host.
		busy bool
		// allowance is the retry allowance of the settings.
		allowance int
	}

	soakTarget struct {
		*usherstandin.Target
		engine    bool
		server    *http.Server
		proxy     *faultProxy
		reclaimed bool
		// gone is when the target ended, or zero.
		gone time.Time
	}
)

// fixedSeeds are the seeds that run without USHER_SOAK: a default one, and each seed that has failed before.
var fixedSeeds = []uint64{
	1,
	// The stand-in's response under the fault SendsForeignFirst was not the one that the check expects. The host had
	// relayed it unchanged.
	1011,
}

// fixedPlannedSeeds are the seeds of TestSoakPlannedWork that run without USHER_SOAK.
var fixedPlannedSeeds = []uint64{1, 2}

// soakStreams are the paths of the callers' streams.
var soakStreams = []string{"/appraisal/60", "/eligibility/4"}

// TestMain runs the daemon in place of the tests if the soak test started this binary as a host process.
func TestMain(m *testing.M) {
	switch settings, links, dayLinks := os.Getenv(soakSettings), os.Getenv(brokenLinksFile), os.Getenv(dayLinksFile); {
	case settings != "" && dayLinks != "":
		if err := runOnDayNetwork(settings, dayLinks); err != nil {
			log.Fatal(err)
		}
		os.Exit(0)
	case settings != "" && links != "":
		if err := runWithBrokenLinks(settings, links); err != nil {
			log.Fatal(err)
		}
		os.Exit(0)
	case settings != "":
		os.Args = []string{"usher-host", settings}
		os.Exit(daemon.Main())
	}
	os.Exit(m.Run())
}

func envNumber(t *testing.T, name string, fallback uint64) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

func TestSoak(t *testing.T) {
	runSeeds(t, fixedSeeds, false)
}

// Requests on kept connections were taken by hosts that were stopping, and cut when they exited (issue 38).
func TestSoakPlannedWork(t *testing.T) {
	runSeeds(t, fixedPlannedSeeds, true)
}

func runSeeds(t *testing.T, seeds []uint64, plannedOnly bool) {
	hosts := int(envNumber(t, "USHER_SOAK_HOSTS", 5))
	if runs := envNumber(t, "USHER_SOAK", 0); runs > 0 {
		seeds = nil
		first := envNumber(t, "USHER_SEED", uint64(time.Now().UnixNano()))
		for i := range runs {
			seeds = append(seeds, first+i)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newSoak(t, seed, plannedOnly)
			defer s.shutdown()
			s.begin(hosts)
			if plannedOnly {
				s.runPlannedWork()
			} else {
				s.runFaults()
			}
			s.clearFaults()
			s.awaitServing("after the faults")
			s.checkRuns()
			s.checkNotices()
			s.checkLimits()
			s.checkLost()
		})
	}
}

func newSoak(t *testing.T, seed uint64, plannedOnly bool) *soak {
	return &soak{
		t: t, seed: seed, plannedOnly: plannedOnly, directory: t.TempDir(), subnet: loopbackSubnet(),
		store: usherstandin.NewStore(), copies: usherstandin.NewCopyRegistry(), targets: map[string]*soakTarget{}, statuses: map[int]int{},
		notices: newSoakNotices(), planned: plannedWork{stops: map[string][]time.Time{}, reloads: map[string][]time.Time{}},
		limits: soakLimits{passedOn: map[[2]string][]time.Time{}},
	}
}

// loopbackSubnet returns the beginning of addresses that no other test process uses.
func loopbackSubnet() string {
	return fmt.Sprintf("127.%d.%d.", 64+os.Getpid()>>8&63, os.Getpid()&255)
}

// begin starts the platform, the targets and the hosts.
func (s *soak) begin(hosts int) {
	s.publish(1, nil)
	s.addProxy(s.subnet+"250:"+fmt.Sprint(soakPort), s.serve(s.subnet+"251:"+fmt.Sprint(soakPort), s.store))
	for i := range 6 {
		s.addTarget(i < 4)
	}
	for i := range hosts {
		h := &soakHost{ip: s.subnet + strconv.Itoa(i+1), allowance: 58}
		s.hosts = append(s.hosts, h)
		s.start(h)
	}
	s.awaitServing("before the faults")
}

// random returns the source of one of the concurrent series of a run.
func (s *soak) random(series int) *rand.Rand {
	return rand.New(rand.NewPCG(s.seed, uint64(series)))
}

// runFaults injects faults for soakDuration while callers send requests.
func (s *soak) runFaults() {
	ctx, cancel := context.WithTimeout(s.t.Context(), soakDuration)
	defer cancel()
	var callers sync.WaitGroup
	for i := range soakCallers {
		callers.Go(func() { s.sendRequests(ctx, s.random(i+2)) })
	}
	for i := range soakKeptCallers {
		callers.Go(func() { s.useKeptConnections(ctx, s.random(i+1000)) })
	}
	// The series run concurrently, so that faults of hosts and of the platform overlap.
	for i, inject := range []func(context.Context, *rand.Rand){s.injectHostFault, s.injectPlatformFault, s.injectNotice, s.injectLimits} {
		random := s.random(i + 100)
		callers.Go(func() {
			for ctx.Err() == nil {
				inject(ctx, random)
			}
		})
	}
	callers.Wait()
	s.crashes.Wait()
}

func (s *soak) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

// publish publishes declarations whose version is higher by step, after edit has changed them.
func (s *soak) publish(step int, edit func(d map[string]any)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.planned.version += step
	d := declarations()
	d["version"] = s.planned.version
	d["routes"] = append(d["routes"].([]any), map[string]any{
		"name": "latest", "host": hostName, "prefix": fmt.Sprintf("/v%d/", s.planned.version), "routeKind": "safe", "service": plainService,
		"timeoutMs": 5000, "goalMs": 100, "priority": 1, "maxAttempts": 2, "public": true,
	})
	if edit != nil {
		edit(d)
	}
	s.planned.noteDeclarations(d)
	s.store.PutJSON("op/config", d)
}

func (s *soak) serve(at string, handler http.Handler) string {
	listener, err := net.Listen("tcp4", at)
	if err != nil {
		s.t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	s.servers = append(s.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.fail("stand-in: %v", err)
		}
	}()
	return at
}

func (s *soak) addProxy(at, to string) *faultProxy {
	p, err := newFaultProxy(at, to)
	if err != nil {
		s.t.Fatal(err)
	}
	s.proxies = append(s.proxies, p)
	return p
}

func (s *soak) addTarget(engine bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, service := fmt.Sprint("i-", s.nextID), plainService
	if engine {
		service = engineService
	}
	port := soakPort + 1 + s.nextID
	s.nextID++
	address := fmt.Sprintf("%s250:%d", s.subnet, port)
	target := usherstandin.NewTarget(usherstandin.TargetOptions{
		ID: id, Service: service, Address: address, DataCentre: dataCentres[s.nextID%len(dataCentres)], Engine: engine, ServiceTime: 15 * time.Millisecond,
	}, s.copies)
	upstream := s.serve(fmt.Sprintf("%s251:%d", s.subnet, port), target)
	target.SetDeadlyParts(func(string) { s.crashes.Go(func() { s.replaceCrashed(id) }) }, soakDeadlyPart)
	s.targets[id] = &soakTarget{Target: target, engine: engine, server: s.servers[len(s.servers)-1], proxy: s.addProxy(address, upstream)}
	s.store.PutJSON(target.Entry("ready"))
}

func sleepFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// shutdown stops the processes and servers that the soak test started, reports the failures and keeps the hosts' logs if
// there are any.
func (s *soak) shutdown() {
	for _, h := range s.hosts {
		h.signal(syscall.SIGKILL)
		<-h.exited
	}
	for _, p := range s.proxies {
		_ = p.listener.Close()
		p.setMode(proxyResets)
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, failure := range s.failures {
		s.t.Error(failure)
	}
	if len(s.failures) == 0 {
		return
	}
	s.t.Logf("to run it again: USHER_SOAK=1 USHER_SEED=%d USHER_SOAK_HOSTS=%d go test -race -v -run '%s$' ./daemon", s.seed, len(s.hosts), strings.Split(s.t.Name(), "/")[0])
	if kept, err := os.MkdirTemp("", "soak-*"); err == nil {
		if err := os.CopyFS(kept, os.DirFS(s.directory)); err == nil {
			s.t.Logf("the hosts' logs are kept in %s", kept)
		}
	}
}
