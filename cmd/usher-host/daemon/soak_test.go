package daemon_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/cmd/usher-host/daemon"
	"github.com/samphireusher/samphireusher/platform/usherstandin"
)

// The soak test runs the actual program as processes on the loopback interface, injects the faults of real platforms and
// checks the results that callers and targets see. The name of a failed subtest has its seed. The seed determines the
// sequence of faults, but not how processes interleave.
//
//	USHER_SOAK=50 go test -race -timeout 30m -run TestSoak ./daemon     50 new seeds
//	USHER_SOAK=1 USHER_SEED=7 go test -race -run TestSoak ./daemon      a single seed
//	USHER_SOAK_HOSTS=100 ...                                            more processes
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
		directory string
		subnet    string
		store     *usherstandin.Store
		copies    *usherstandin.CopyRegistry
		version   int
		proxies   []*faultProxy
		hosts     []*soakHost

		mu       sync.Mutex
		targets  map[string]*soakTarget
		nextID   int
		servers  []*http.Server
		attempts int
		notRun   []string
		statuses map[int]int
		failures []string
		notices  soakNotices
		// crashes waits for the engines that replace crashed ones.
		crashes sync.WaitGroup
	}

	soakHost struct {
		ip      string
		command *exec.Cmd
		exited  chan struct{}
	}

	soakTarget struct {
		*usherstandin.Target
		engine    bool
		server    *http.Server
		proxy     *faultProxy
		reclaimed bool
	}
)

// fixedSeeds are the seeds that run without USHER_SOAK: a default one, and each seed that has failed before.
var fixedSeeds = []uint64{
	1,
	// The stand-in's response under the fault SendsForeignFirst was not the one that the check expects. The host had
	// relayed it unchanged.
	1011,
}

// soakStreams are the paths of the callers' streams.
var soakStreams = []string{"/appraisal/60", "/eligibility/4"}

// targetFaults are the faults that targets have for a while.
var targetFaults = []usherstandin.Fault{
	usherstandin.Refuses, usherstandin.Fails, usherstandin.DropsConnection, usherstandin.NeverResponds, usherstandin.TruncatesResponse, usherstandin.SendsForeignFirst,
	usherstandin.StallsAfterFirstEvent, usherstandin.StallsBeforeFirstEvent,
}

// TestMain runs the daemon in place of the tests if the soak test started this binary as a host process.
func TestMain(m *testing.M) {
	if settings := os.Getenv(soakSettings); settings != "" {
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
	hosts := int(envNumber(t, "USHER_SOAK_HOSTS", 5))
	seeds := fixedSeeds
	if runs := envNumber(t, "USHER_SOAK", 0); runs > 0 {
		seeds = nil
		first := envNumber(t, "USHER_SEED", uint64(time.Now().UnixNano()))
		for i := range runs {
			seeds = append(seeds, first+i)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSoak(t, seed, hosts) })
	}
}

func runSoak(t *testing.T, seed uint64, hosts int) {
	s := &soak{
		t: t, directory: t.TempDir(), subnet: fmt.Sprintf("127.%d.%d.", 64+os.Getpid()>>8&63, os.Getpid()&255),
		store: usherstandin.NewStore(), copies: usherstandin.NewCopyRegistry(), targets: map[string]*soakTarget{}, version: 1, statuses: map[int]int{},
		notices: newSoakNotices(),
	}
	defer s.shutdown()
	s.publish()
	s.addProxy(s.subnet+"250:"+fmt.Sprint(soakPort), s.serve(s.subnet+"251:"+fmt.Sprint(soakPort), s.store))
	for i := range 6 {
		s.addTarget(i < 4)
	}
	for i := range hosts {
		h := &soakHost{ip: s.subnet + strconv.Itoa(i+1)}
		s.hosts = append(s.hosts, h)
		s.start(h)
	}
	s.awaitServing("before the faults")
	ctx, cancel := context.WithTimeout(t.Context(), soakDuration)
	defer cancel()
	var callers sync.WaitGroup
	for i := range soakCallers {
		random := rand.New(rand.NewPCG(seed, uint64(i)+2))
		callers.Go(func() { s.sendRequests(ctx, random) })
	}
	// The series run concurrently, so that faults of hosts and of the platform overlap.
	for i, inject := range []func(context.Context, *rand.Rand){s.injectHostFault, s.injectPlatformFault, s.injectNotice} {
		random := rand.New(rand.NewPCG(seed, uint64(i)+100))
		callers.Go(func() {
			for ctx.Err() == nil {
				inject(ctx, random)
			}
		})
	}
	callers.Wait()
	s.crashes.Wait()
	s.clearFaults()
	s.awaitServing("after the faults")
	s.checkRuns()
	s.checkNotices()
}

func (s *soak) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

func (s *soak) publish() {
	d := declarations()
	d["version"] = s.version
	d["routes"] = append(d["routes"].([]any), map[string]any{
		"name": "latest", "host": hostName, "prefix": fmt.Sprintf("/v%d/", s.version), "routeKind": "safe", "service": plainService,
		"timeoutMs": 5000, "goalMs": 100, "priority": 1, "maxAttempts": 2, "public": true,
	})
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

// start starts a host's process. The kernel kills it if the test process dies.
func (s *soak) start(h *soakHost) {
	settings := filepath.Join(s.directory, h.ip+".ini")
	at := func(offset int) string { return fmt.Sprintf("%s:%d", h.ip, soakPort+offset) }
	text := fmt.Sprintf("[process]\nname = host-%s\ndata_centre = %s\n[listen]\ncallers = %s\nready = %s\nlocate = %s\nadmin = %s\npeers = %s\n"+
		"[cluster]\nseeds = %s1:1, %s2:1, %s3:1\n[store]\naddress = %s250:%d\n[retries]\nallowance = 58\n[stop]\ngrace = %s\n",
		h.ip, dataCentres[len(h.ip)%len(dataCentres)], at(0), at(1), at(2), at(3), at(4), s.subnet, s.subnet, s.subnet, s.subnet, soakPort, soakGrace)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	log, err := os.OpenFile(filepath.Join(s.directory, h.ip+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), soakSettings+"="+settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		s.t.Fatal(err)
	}
	exited := make(chan struct{})
	h.command, h.exited = command, exited
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
}

func (h *soakHost) signal(signal syscall.Signal) { _ = h.command.Process.Signal(signal) }

// injectHostFault kills, pauses or stops a host, and then starts or resumes it.
func (s *soak) injectHostFault(ctx context.Context, random *rand.Rand) {
	h := s.hosts[random.IntN(len(s.hosts))]
	pause := time.Duration(200+random.IntN(800)) * time.Millisecond
	fault := random.IntN(3)
	s.disturb(h.ip, func() { s.disturbHost(ctx, h, fault, pause) })
	sleepFor(ctx, pause/2)
}

func (s *soak) disturbHost(ctx context.Context, h *soakHost, fault int, pause time.Duration) {
	switch fault {
	case 0:
		h.signal(syscall.SIGKILL)
		<-h.exited
		sleepFor(ctx, pause)
		s.start(h)
	case 1:
		h.signal(syscall.SIGSTOP)
		sleepFor(ctx, 2*pause)
		h.signal(syscall.SIGCONT)
	case 2:
		h.signal(syscall.SIGTERM)
		select {
		case <-h.exited:
		case <-time.After(soakGrace + time.Second):
			s.fail("host %s did not exit within its grace period", h.ip)
			h.signal(syscall.SIGKILL)
			<-h.exited
		}
		s.start(h)
	}
}

// injectPlatformFault injects a fault into a link, the store or a target, publishes new declarations, or replaces an
// engine.
func (s *soak) injectPlatformFault(ctx context.Context, random *rand.Rand) {
	pause := time.Duration(200+random.IntN(800)) * time.Millisecond
	switch random.IntN(7) {
	case 0, 1:
		s.mu.Lock()
		p := s.proxies[random.IntN(len(s.proxies))]
		disturbed := ""
		for id, target := range s.targets {
			if target.proxy == p {
				disturbed = id
			}
		}
		s.mu.Unlock()
		s.disturb(disturbed, func() {
			p.setMode(proxyMode(1 + random.IntN(int(proxyModes)-1)))
			sleepFor(ctx, pause)
			p.setMode(proxyPasses)
		})
	case 2:
		s.store.SetMode("", []usherstandin.Mode{usherstandin.Unavailable, usherstandin.TooManyRequests, usherstandin.Reset, usherstandin.Unresponsive}[random.IntN(4)])
		sleepFor(ctx, 2*pause)
		s.store.SetMode("", usherstandin.Serving)
		s.store.CompactHistory()
	case 3:
		s.version += 1 + random.IntN(3)
		s.publish()
	case 4:
		s.replaceEngine(ctx)
	case 5, 6:
		s.mu.Lock()
		target := s.targets[fmt.Sprint("i-", random.IntN(s.nextID))]
		s.mu.Unlock()
		target.SetFault(targetFaults[random.IntN(len(targetFaults))])
		sleepFor(ctx, pause)
		target.SetFault(usherstandin.NoFault)
	}
	sleepFor(ctx, pause/4)
}

// replaceCrashed replaces an engine that has crashed.
func (s *soak) replaceCrashed(id string) {
	s.mu.Lock()
	crashed := s.targets[id]
	known := crashed.reclaimed
	crashed.reclaimed = true
	s.mu.Unlock()
	_ = crashed.server.Close()
	if known {
		// replaceEngine starts another one.
		return
	}
	time.Sleep(time.Second)
	s.store.Delete("servers/" + id)
	s.addTarget(true)
}

// replaceEngine reclaims an engine after a notice period, and starts another one.
func (s *soak) replaceEngine(ctx context.Context) {
	s.mu.Lock()
	var draining *soakTarget
	for i := range s.nextID {
		if target := s.targets[fmt.Sprint("i-", i)]; target.engine && !target.reclaimed {
			draining = target
			break
		}
	}
	if draining == nil {
		// All have crashed and are about to be replaced.
		s.mu.Unlock()
		return
	}
	draining.reclaimed = true
	s.mu.Unlock()
	draining.Drain()
	key, value := draining.Entry("draining")
	s.store.PutJSON(key, value)
	s.addTarget(true)
	sleepFor(ctx, 1500*time.Millisecond)
	draining.Kill()
	_ = draining.server.Close()
	s.store.Delete(key)
}

func sleepFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// clearFaults ends all faults, restarts the hosts that have exited and publishes new declarations.
func (s *soak) clearFaults() {
	for _, p := range s.proxies {
		p.setMode(proxyPasses)
	}
	s.store.SetMode("", usherstandin.Serving)
	for _, h := range s.hosts {
		h.signal(syscall.SIGCONT)
		select {
		case <-h.exited:
			s.start(h)
		default:
		}
	}
	s.version++
	s.publish()
}

// awaitServing waits until every host serves the latest declarations and both kinds of targets. It records a failure if
// that takes longer than soakRecovery.
func (s *soak) awaitServing(when string) {
	s.t.Helper()
	deadline := time.Now().Add(soakRecovery)
	for _, h := range s.hosts {
		for _, path := range []string{fmt.Sprintf("/v%d/x", s.version), "/status/x", "/appraisal/2"} {
			for {
				status, err := s.send(s.t.Context(), http.DefaultClient, h.ip, path)
				if status == http.StatusOK && err == nil {
					break
				}
				if time.Now().After(deadline) {
					s.fail("%s: host %s does not serve %s: status %d, error %v", when, h.ip, path, status, err)
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
}

// sendRequests sends requests to random hosts over keep-alive connections until ctx ends.
func (s *soak) sendRequests(ctx context.Context, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	paths := append([]string{"/allotment/x", "/status/x"}, soakStreams...)
	for ctx.Err() == nil {
		h := s.hosts[random.IntN(len(s.hosts))]
		if _, err := s.send(context.WithoutCancel(ctx), client, h.ip, paths[random.IntN(len(paths))]); err != nil {
			sleepFor(ctx, 20*time.Millisecond)
		}
	}
}

// send sends one request and checks the response.
func (s *soak) send(ctx context.Context, client *http.Client, ip, path string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, soakTimeout)
	defer cancel()
	method := http.MethodPost
	if strings.HasPrefix(path, "/status/") || strings.HasPrefix(path, "/v") {
		method = http.MethodGet
	}
	s.mu.Lock()
	s.attempts++
	attempt := fmt.Sprintf("%016x", s.attempts)
	parts := "a:50,b:50,own:900"
	if s.attempts%soakDeadlyShare == 0 && (path == soakStreams[0] || path == soakStreams[1]) {
		parts = "a:50," + soakDeadlyPart + ":50,own:900"
	}
	s.mu.Unlock()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", ip, soakPort, path), nil)
	if err != nil {
		return 0, err
	}
	r.Host = hostName
	for name, value := range map[string]string{
		"Attempt-Id": attempt, "Deadline-Ms": strconv.FormatInt(soakTimeout.Milliseconds(), 10), "Api-Key": apiKey, "Model": "m", "Token-Counts": "3000,900", "Prompt-Prefix": parts,
	} {
		r.Header.Set(name, value)
	}
	s.noteSent(attempt, ip)
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	s.notePassedOn(attempt, ip, response.Header)
	body, err := io.ReadAll(response.Body)
	s.mu.Lock()
	s.statuses[response.StatusCode]++
	s.mu.Unlock()
	switch status := response.StatusCode; {
	case status == http.StatusOK:
		s.checkResponse(path, attempt, response.Header, string(body), err)
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		s.mu.Lock()
		s.notRun = append(s.notRun, attempt)
		s.mu.Unlock()
	case status < http.StatusInternalServerError && !strings.HasPrefix(path, "/v"):
		s.fail("%s: unexpected status of %s: %d: %s", attempt, path, status, body)
	}
	return response.StatusCode, err
}

// checkResponse checks that a response comes from the target and belongs to the attempt, and that it is complete unless
// reading it failed.
func (s *soak) checkResponse(path, attempt string, header http.Header, body string, err error) {
	if !strings.HasSuffix(header.Get("Server-Seal"), "."+attempt) {
		s.fail("%s: %s: success without the target's proof of origin: Server-Seal %q", attempt, path, header.Get("Server-Seal"))
	}
	last := path[strings.LastIndexByte(path, '/')+1:]
	n, parseErr := strconv.Atoi(last)
	if parseErr != nil {
		if want := " by " + strings.TrimSuffix(header.Get("Server-Seal"), "."+attempt); err == nil && !strings.HasSuffix(body, want) {
			s.fail("%s: %s: incomplete body %q", attempt, path, body)
		}
		return
	}
	if err == nil && !isComplete(body, attempt, n) {
		s.fail("%s: %s: incomplete stream ended without an error: events %v", attempt, path, events(body))
	}
	for i, id := range events(body) {
		if id != strconv.Itoa(i+1) {
			s.fail("%s: %s: got event %s, want %d", attempt, path, id, i+1)
			break
		}
	}
}

// checkRuns compares the runs of the targets with the results that callers got.
func (s *soak) checkRuns() {
	runs := map[string]int{}
	unsafe := map[string]bool{}
	for _, target := range s.targets {
		for _, r := range target.Runs() {
			if r.KVFrom == "" {
				runs[r.Attempt]++
			}
			if strings.HasPrefix(r.URI, "/allotment/") || strings.HasPrefix(r.URI, "/appraisal/") {
				unsafe[r.Attempt] = true
			}
		}
	}
	for attempt, n := range runs {
		if unsafe[attempt] && n > 1 {
			s.fail("%s may run at most once, but ran %d times", attempt, n)
		}
	}
	for _, attempt := range s.notRun {
		if unsafe[attempt] && runs[attempt] > 0 {
			s.fail("%s was reported as not run, but ran", attempt)
		}
	}
	s.t.Logf("%d requests, responses by status %v, version %d, %d targets", s.attempts, s.statuses, s.version, len(s.targets))
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
	if kept, err := os.MkdirTemp("", "soak-*"); err == nil {
		if err := os.CopyFS(kept, os.DirFS(s.directory)); err == nil {
			s.t.Logf("the hosts' logs are kept in %s", kept)
		}
	}
}
