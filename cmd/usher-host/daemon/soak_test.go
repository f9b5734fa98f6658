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

// The soak runs the real program as processes on loopback, does to them what platforms do, and checks what callers and
// targets see. A failure prints its seed; the seed fixes the faults, not how processes interleave.
//
//	USHER_SOAK=50 go test -race -timeout 30m -run TestSoak ./daemon     fifty fresh seeds
//	USHER_SOAK=1 USHER_SEED=7 go test -race -run TestSoak ./daemon      one seed again
//	USHER_SOAK_HOSTS=100 ...                                            more processes
const (
	soakSettings = "USHER_SOAK_SETTINGS"
	soakPort     = 21700
	soakTime     = 8 * time.Second
	// soakRecovery is how long after the last fault all hosts must serve: the pages' bound on recovery.
	soakRecovery = 12 * time.Second
	soakCallers  = 16
	soakPatience = 4 * time.Second
	soakGrace    = 6 * time.Second
)

type (
	// soak is one run of processes, faults and callers.
	soak struct {
		t         *testing.T
		directory string
		net       string
		store     *usherstandin.Store
		memory    *usherstandin.CopyRegistry
		version   int
		links     []*link
		hosts     []*soakHost

		mu       sync.Mutex
		targets  map[string]*soakTarget
		next     int
		servers  []*http.Server
		attempts int
		notRun   []string
		statuses map[int]int
		failures []string
	}

	soakHost struct {
		ip      string
		command *exec.Cmd
		ended   chan struct{}
	}

	soakTarget struct {
		*usherstandin.Target
		engine bool
		server *http.Server
		link   *link
		gone   bool
	}
)

// fixedSeeds are run without USHER_SOAK: a first one, and each that ever failed.
var fixedSeeds = []uint64{
	1,
	// The stand-in's answer under the fault AnswersTwice was not the one that the check expects; the host passed it on as
	// it was.
	1011,
}

// targetFaults are what targets do to requests for a while.
var targetFaults = []usherstandin.Fault{
	usherstandin.Refuses, usherstandin.Fails, usherstandin.DropsConnection, usherstandin.NeverResponds, usherstandin.TruncatesResponse, usherstandin.SendsForeignFirst,
	usherstandin.StallsAfterFirstEvent, usherstandin.StallsBeforeFirstEvent,
}

// TestMain runs the program itself where the soak starts this binary as a process.
func TestMain(m *testing.M) {
	if settings := os.Getenv(soakSettings); settings != "" {
		os.Args = []string{"usher-host", settings}
		os.Exit(daemon.Main())
	}
	os.Exit(m.Run())
}

func number(t *testing.T, name string, fallback uint64) uint64 {
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
	hosts := int(number(t, "USHER_SOAK_HOSTS", 5))
	seeds := fixedSeeds
	if runs := number(t, "USHER_SOAK", 0); runs > 0 {
		seeds = nil
		first := number(t, "USHER_SEED", uint64(time.Now().UnixNano()))
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
		t: t, directory: t.TempDir(), net: fmt.Sprintf("127.%d.%d.", 64+os.Getpid()>>8&63, os.Getpid()&255),
		store: usherstandin.NewStore(), memory: usherstandin.NewCopyRegistry(), targets: map[string]*soakTarget{}, version: 1, statuses: map[int]int{},
	}
	defer s.end()
	s.publish()
	s.link(s.net+"250:"+fmt.Sprint(soakPort), s.serve(s.net+"251:"+fmt.Sprint(soakPort), s.store))
	for i := range 6 {
		s.addTarget(i < 4)
	}
	for i := range hosts {
		h := &soakHost{ip: s.net + strconv.Itoa(i+1)}
		s.hosts = append(s.hosts, h)
		s.start(h)
	}
	s.await("before the faults")
	ctx, cancel := context.WithTimeout(t.Context(), soakTime)
	defer cancel()
	var callers sync.WaitGroup
	for i := range soakCallers {
		random := rand.New(rand.NewPCG(seed, uint64(i)+2))
		callers.Go(func() { s.call(ctx, random) })
	}
	// Both series go on at the same time, so that faults of hosts and of their platform overlap.
	for i, series := range []func(context.Context, *rand.Rand){s.disturbHosts, s.disturbPlatform} {
		random := rand.New(rand.NewPCG(seed, uint64(i)+100))
		callers.Go(func() {
			for ctx.Err() == nil {
				series(ctx, random)
			}
		})
	}
	callers.Wait()
	s.heal()
	s.await("after the faults")
	s.check()
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

func (s *soak) link(at, to string) *link {
	l, err := newLink(at, to)
	if err != nil {
		s.t.Fatal(err)
	}
	s.links = append(s.links, l)
	return l
}

func (s *soak) addTarget(engine bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, service := fmt.Sprint("i-", s.next), plainService
	if engine {
		service = engineService
	}
	port := soakPort + 1 + s.next
	s.next++
	address := fmt.Sprintf("%s250:%d", s.net, port)
	target := usherstandin.NewTarget(usherstandin.TargetOptions{
		ID: id, Service: service, Address: address, DataCentre: places[s.next%len(places)], Engine: engine, ServiceTime: 15 * time.Millisecond,
	}, s.memory)
	behind := s.serve(fmt.Sprintf("%s251:%d", s.net, port), target)
	s.targets[id] = &soakTarget{Target: target, engine: engine, server: s.servers[len(s.servers)-1], link: s.link(address, behind)}
	s.store.PutJSON(target.Entry("ready"))
}

// start starts a host's process; it ends when the test does.
func (s *soak) start(h *soakHost) {
	settings := filepath.Join(s.directory, h.ip+".ini")
	at := func(offset int) string { return fmt.Sprintf("%s:%d", h.ip, soakPort+offset) }
	text := fmt.Sprintf("[process]\nname = host-%s\ndata_centre = %s\n[listen]\ncallers = %s\nready = %s\nlocate = %s\nadmin = %s\npeers = %s\n"+
		"[cluster]\nseeds = %s1:1, %s2:1, %s3:1\n[store]\naddress = %s250:%d\n[retries]\nallowance = 58\n[stop]\ngrace = %s\n",
		h.ip, places[len(h.ip)%len(places)], at(0), at(1), at(2), at(3), at(4), s.net, s.net, s.net, s.net, soakPort, soakGrace)
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
	ended := make(chan struct{})
	h.command, h.ended = command, ended
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
}

func (h *soakHost) signal(signal syscall.Signal) { _ = h.command.Process.Signal(signal) }

// disturbHosts kills, stops or freezes a host.
func (s *soak) disturbHosts(ctx context.Context, random *rand.Rand) {
	h := s.hosts[random.IntN(len(s.hosts))]
	pause := time.Duration(200+random.IntN(800)) * time.Millisecond
	switch random.IntN(3) {
	case 0:
		h.signal(syscall.SIGKILL)
		<-h.ended
		sleepFor(ctx, pause)
		s.start(h)
	case 1:
		h.signal(syscall.SIGSTOP)
		sleepFor(ctx, 2*pause)
		h.signal(syscall.SIGCONT)
	case 2:
		h.signal(syscall.SIGTERM)
		select {
		case <-h.ended:
		case <-time.After(soakGrace + time.Second):
			s.fail("%s did not end within its grace", h.ip)
			h.signal(syscall.SIGKILL)
			<-h.ended
		}
		s.start(h)
	}
	sleepFor(ctx, pause/2)
}

// disturbPlatform disturbs a link or the store, publishes declarations, or takes an engine away.
func (s *soak) disturbPlatform(ctx context.Context, random *rand.Rand) {
	pause := time.Duration(200+random.IntN(800)) * time.Millisecond
	switch random.IntN(7) {
	case 0, 1:
		s.mu.Lock()
		l := s.links[random.IntN(len(s.links))]
		s.mu.Unlock()
		l.set(linkMode(1 + random.IntN(int(linkModes)-1)))
		sleepFor(ctx, pause)
		l.set(linkPasses)
	case 2:
		s.store.SetMode("", []usherstandin.Mode{usherstandin.Unavailable, usherstandin.TooManyRequests, usherstandin.Reset, usherstandin.Unresponsive}[random.IntN(4)])
		sleepFor(ctx, 2*pause)
		s.store.SetMode("", usherstandin.Serving)
		s.store.CompactHistory()
	case 3:
		s.version += 1 + random.IntN(3)
		s.publish()
	case 4:
		s.replace(ctx)
	case 5, 6:
		s.mu.Lock()
		target := s.targets[fmt.Sprint("i-", random.IntN(s.next))]
		s.mu.Unlock()
		target.SetFault(targetFaults[random.IntN(len(targetFaults))])
		sleepFor(ctx, pause)
		target.SetFault(usherstandin.NoFault)
	}
	sleepFor(ctx, pause/4)
}

// replace takes an engine away with notice, and starts another.
func (s *soak) replace(ctx context.Context) {
	s.mu.Lock()
	var leaving *soakTarget
	for i := range s.next {
		if target := s.targets[fmt.Sprint("i-", i)]; target.engine && !target.gone {
			leaving = target
			break
		}
	}
	leaving.gone = true
	s.mu.Unlock()
	leaving.Drain()
	key, value := leaving.Entry("draining")
	s.store.PutJSON(key, value)
	s.addTarget(true)
	sleepFor(ctx, 1500*time.Millisecond)
	leaving.Kill()
	_ = leaving.server.Close()
	s.store.Delete(key)
}

func sleepFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// heal ends every fault.
func (s *soak) heal() {
	for _, l := range s.links {
		l.set(linkPasses)
	}
	s.store.SetMode("", usherstandin.Serving)
	for _, h := range s.hosts {
		h.signal(syscall.SIGCONT)
		select {
		case <-h.ended:
			s.start(h)
		default:
		}
	}
	s.version++
	s.publish()
}

// await returns when every host serves the latest declarations and both kinds of target.
func (s *soak) await(when string) {
	s.t.Helper()
	deadline := time.Now().Add(soakRecovery)
	for _, h := range s.hosts {
		for _, path := range []string{fmt.Sprintf("/v%d/x", s.version), "/status/x", "/appraisal/2"} {
			for {
				status, err := s.ask(s.t.Context(), http.DefaultClient, h.ip, path)
				if status == http.StatusOK && err == nil {
					break
				}
				if time.Now().After(deadline) {
					s.fail("%s: %s does not serve %s: status %d, error %v", when, h.ip, path, status, err)
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
}

// call asks hosts at random, on connections that are kept, until ctx ends.
func (s *soak) call(ctx context.Context, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	paths := []string{"/appraisal/60", "/eligibility/4", "/allotment/x", "/status/x"}
	for ctx.Err() == nil {
		h := s.hosts[random.IntN(len(s.hosts))]
		if _, err := s.ask(context.WithoutCancel(ctx), client, h.ip, paths[random.IntN(len(paths))]); err != nil {
			sleepFor(ctx, 20*time.Millisecond)
		}
	}
}

// ask sends one request and checks what comes.
func (s *soak) ask(ctx context.Context, client *http.Client, ip, path string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, soakPatience)
	defer cancel()
	method := http.MethodPost
	if strings.HasPrefix(path, "/status/") || strings.HasPrefix(path, "/v") {
		method = http.MethodGet
	}
	s.mu.Lock()
	s.attempts++
	attempt := fmt.Sprintf("%016x", s.attempts)
	s.mu.Unlock()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", ip, soakPort, path), nil)
	if err != nil {
		return 0, err
	}
	r.Host = hostName
	for name, value := range map[string]string{
		"Attempt-Id": attempt, "Deadline-Ms": strconv.FormatInt(soakPatience.Milliseconds(), 10), "Api-Key": apiKey, "Model": "m", "Token-Counts": "3000,900",
	} {
		r.Header.Set(name, value)
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	s.mu.Lock()
	s.statuses[response.StatusCode]++
	s.mu.Unlock()
	switch status := response.StatusCode; {
	case status == http.StatusOK:
		s.checkAnswer(path, attempt, response.Header, string(body), err)
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		s.mu.Lock()
		s.notRun = append(s.notRun, attempt)
		s.mu.Unlock()
	case status < http.StatusInternalServerError && !strings.HasPrefix(path, "/v"):
		s.fail("%s: %s was answered %d: %s", attempt, path, status, body)
	}
	return response.StatusCode, err
}

// checkAnswer holds that an answer is the target's, whole unless it broke off, and the attempt's own.
func (s *soak) checkAnswer(path, attempt string, header http.Header, body string, err error) {
	if !strings.HasSuffix(header.Get("Server-Seal"), "."+attempt) {
		s.fail("%s: %s: success without the target's proof: %q", attempt, path, header.Get("Server-Seal"))
	}
	last := path[strings.LastIndexByte(path, '/')+1:]
	n, parseErr := strconv.Atoi(last)
	if parseErr != nil {
		if want := " by " + strings.TrimSuffix(header.Get("Server-Seal"), "."+attempt); err == nil && !strings.HasSuffix(body, want) {
			s.fail("%s: %s: %q is not whole", attempt, path, body)
		}
		return
	}
	if err == nil && !whole(body, attempt, n) {
		s.fail("%s: %s ended as complete with events %v", attempt, path, events(body))
	}
	for i, id := range events(body) {
		if id != strconv.Itoa(i+1) {
			s.fail("%s: %s: event %s in place of %d", attempt, path, id, i+1)
			break
		}
	}
}

// check holds what targets saw against what callers were told.
func (s *soak) check() {
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
			s.fail("%s may run once and ran %d times", attempt, n)
		}
	}
	for _, attempt := range s.notRun {
		if unsafe[attempt] && runs[attempt] > 0 {
			s.fail("%s was called not run and ran", attempt)
		}
	}
	s.t.Logf("%d requests, answers by status %v, version %d, %d targets", s.attempts, s.statuses, s.version, len(s.targets))
}

// end stops what the soak started, by its ids, and prints the logs of a failure.
func (s *soak) end() {
	for _, h := range s.hosts {
		h.signal(syscall.SIGKILL)
		<-h.ended
	}
	for _, l := range s.links {
		_ = l.listener.Close()
		l.set(linkResets)
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
			s.t.Logf("logs are kept in %s", kept)
		}
	}
}
