package daemon_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/cmd/usher-host/daemon"
	"github.com/samphireusher/samphireusher/platform/usherday"
	"github.com/samphireusher/samphireusher/platform/usherstandin"
	"github.com/samphireusher/samphireusher/service/usherhost"
)

// mixedDay in place of a day's path stands for one that the seed mixes.
const mixedDay = "mix"

// TestDay plays days of the users' files with real processes on the loopback interface, with the site's traffic and targets, and judges what
// callers, targets and the store saw by the rules. The seed determines whom the faults affect and when callers send, but not how
// processes interleave. In CI a short day is played on a small site.
//
//	USHER_SITE=site.toml USHER_DAY=../../review/5/day.toml go test -v -timeout 60m -run 'TestDay$' ./daemon     a whole day
//	USHER_SITE=site.toml USHER_DAY=mix ...                                     changes, planned work and faults at any moment
//	USHER_ROUNDS=5 USHER_SEED=7 ...                                                                           five seeds
//	USHER_SHARE=40 ...                                                                  each process runs for 40% of the time
//	USHER_CHANGES=all ...        changes of the declarations also move and drop routes, add and drop keys and change timeouts
//	USHER_WATCH_DELAY_MS=800 ...                                                     the store's watches are late
//	USHER_LOAD=500 ...                                                               five times the site's traffic
//	USHER_REFUSE=1 ...                                  the addresses of a data centre without power refuse connections
//	USHER_CUT_CALLERS=1 ...                                               broken links are those of the data centre's callers too
func TestDay(t *testing.T) {
	sitePath, dayPath := os.Getenv("USHER_SITE"), os.Getenv("USHER_DAY")
	if sitePath == "" || dayPath == "" {
		sitePath, dayPath = filepath.Join("testdata", "site.toml"), filepath.Join("testdata", "day.toml")
	}
	site, err := usherday.LoadSite(fromModule(sitePath))
	if err != nil {
		t.Fatal(err)
	}
	seed := envNumber(t, "USHER_SEED", 1)
	for n := range envNumber(t, "USHER_ROUNDS", 1) {
		t.Run(fmt.Sprint("seed ", seed+n), func(t *testing.T) {
			p := newPlay(t, site, loadDay(t, site, dayPath, seed+n), seed+n)
			defer p.shutdown()
			p.run()
		})
	}
}

// loadDay returns the day of a file, or one that a seed mixes.
func loadDay(t *testing.T, site usherday.Site, path string, seed uint64) usherday.Day {
	t.Helper()
	if path == mixedDay {
		return usherday.Mix(site, rand.New(rand.NewPCG(seed, 1)))
	}
	day, err := usherday.LoadDay(fromModule(path))
	if err != nil {
		t.Fatal(err)
	}
	if variant := os.Getenv("USHER_CHANGES"); variant != "" {
		for i := range day.Steps {
			day.Steps[i].Variant = variant
		}
	}
	return day
}

// fromModule returns a path that may be given from the module's directory.
func fromModule(path string) string {
	if _, err := os.Stat(path); err != nil {
		return filepath.Join("..", path)
	}
	return path
}

func newPlay(t *testing.T, site usherday.Site, day usherday.Day, seed uint64) *play {
	p := &play{
		t: t, site: site, day: day, record: usherday.NewRecord(site.Bounds), directory: t.TempDir(), base: [2]int{64 + os.Getpid()%128, 16 * (os.Getpid() >> 7 & 15)},
		links: &dayLinks{}, store: usherstandin.NewStore(), copies: usherstandin.NewCopyRegistry(), random: rand.New(rand.NewPCG(seed, 0)),
		services: map[string]string{}, statuses: map[string]int{}, load: float64(envNumber(t, "USHER_LOAD", 100)) / 100, cutsCallers: os.Getenv("USHER_CUT_CALLERS") != "",
		refuses: os.Getenv("USHER_REFUSE") != "",
	}
	p.linksFile = filepath.Join(p.directory, "links")
	return p
}

// run plays the day and judges it.
func (p *play) run() {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	// The hosts have been up for longer than the contact time when the day begins.
	p.start = time.Now().Add(p.site.Bounds.Contact + 2*time.Second)
	p.writeLinks()
	p.store.SetWatchDelay(time.Duration(envNumber(p.t, "USHER_WATCH_DELAY_MS", 0)) * time.Millisecond)
	p.store.SetReadLimit(p.site.Store.ReadsPerSecond)
	server, err := p.serveStore()
	if err != nil {
		p.t.Fatal(err)
	}
	p.server = server
	p.addTargets(ctx)
	p.declareFirst()
	for _, dataCentre := range p.site.DataCentres {
		for i := range p.site.Hosts[dataCentre] {
			p.startHost(p.addHost(dataCentre, i+1), true)
		}
	}
	sleepFor(ctx, -p.now())
	for z, traffic := range p.site.Traffic {
		for i := range callersPerZone {
			c := p.newCaller(traffic.DataCentre, z*callersPerZone+i)
			p.background.Go(func() { c.call(ctx, traffic) })
		}
	}
	p.background.Go(func() { p.callSlow(ctx) })
	p.background.Go(func() { p.attend(ctx) })
	if share := envNumber(p.t, "USHER_SHARE", 100); share < 100 {
		p.background.Go(func() { p.throttle(ctx, throttlePeriod*time.Duration(share)/100) })
	}
	p.steps(ctx)
	sleepFor(ctx, p.day.Length-p.now())
	cancel()
	p.background.Wait()
	p.judge()
}

func (p *play) serveStore() (*http.Server, error) {
	listener, err := p.network(p.storeAddress().Addr().String()).Listen(p.storeAddress())
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: p.store, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}

// attend probes each host from its start, and notes what its process uses.
func (p *play) attend(ctx context.Context) {
	for attended := 0; ctx.Err() == nil; sleepFor(ctx, readyInterval) {
		p.mu.Lock()
		hosts := p.hosts
		p.mu.Unlock()
		for ; attended < len(hosts); attended++ {
			h, number := hosts[attended], attended
			p.background.Go(func() { p.probe(ctx, h, number) })
			p.background.Go(func() { p.askReady(ctx, h, number) })
		}
		for _, h := range hosts {
			p.noteUse(h)
		}
	}
}

// noteUse notes the memory in megabytes and the descriptors that a host's process uses, if they are the most.
func (p *play) noteUse(h *dayHost) {
	process := h.process.Load()
	if process == nil || !h.running.Load() {
		return
	}
	pid := process.command.Process.Pid
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kilobytes, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	memory, err := strconv.Atoi(kilobytes)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peak.memory, p.peak.descriptors = max(p.peak.memory, memory/1024), max(p.peak.descriptors, len(descriptors))
}

// throttle lets each process run for a part of each period only, but for those that stand still.
func (p *play) throttle(ctx context.Context, runs time.Duration) {
	for ctx.Err() == nil {
		hosts := p.running("")
		for _, h := range hosts {
			h.signal(syscall.SIGSTOP)
		}
		sleepFor(ctx, throttlePeriod-runs)
		for _, h := range hosts {
			if !h.standing.Load() {
				h.signal(syscall.SIGCONT)
			}
		}
		sleepFor(ctx, runs)
	}
}

// judge adds what the targets saw to the record, and reports the breaches.
func (p *play) judge() {
	runs := 0
	for _, t := range p.targets {
		for id, target := range t.all {
			for _, a := range target.Arrivals() {
				if a.Attempt != "" {
					p.record.Arrive(usherday.Arrival{Attempt: a.Attempt, Target: id, At: a.At.Sub(p.start)})
				}
			}
			for _, r := range target.Runs() {
				runs++
				last := r.LastWork
				if last.IsZero() {
					last = r.StartedAt
				}
				p.record.Run(usherday.Run{
					Attempt: r.Attempt, Target: id, Started: r.StartedAt.Sub(p.start), LastWork: last.Sub(p.start), Continues: r.KVFrom != "", Once: p.runsOnce(r.URI),
				})
			}
		}
	}
	breaches := p.record.Judge()
	p.t.Logf("%s on %s: %d hosts, %d requests %v, %d runs, version %d; last request handled by an old version sent %s after the new one, last lost host named %s after its loss; up to %d MB and %d descriptors a process",
		p.day.Name, p.site.Name, len(p.hosts), p.attempts.Load(), p.statuses, runs, p.version.Number, p.record.LatestRefusal().Round(time.Millisecond), p.record.LatestNaming().Round(time.Millisecond), p.peak.memory, p.peak.descriptors)
	const shown = 20
	for i, b := range breaches {
		if i == shown {
			p.t.Errorf("and %d more", len(breaches)-shown)
			break
		}
		p.t.Errorf("%s at %s: %s", b.Rule, b.At.Round(time.Millisecond), b.What)
	}
	if p.peak.memory > hostMemory {
		p.t.Errorf("a process used %d MB of %d", p.peak.memory, hostMemory)
	}
}

// runsOnce reports whether a request may run once only.
func (p *play) runsOnce(uri string) bool {
	for _, r := range p.site.Routes {
		if strings.HasPrefix(uri, "/"+r.Name+"/") {
			return r.Kind == "unsafe" || r.Kind == "streaming" && !r.Resumable
		}
	}
	return false
}

// shutdown ends the processes and the stand-ins. The logs are kept if the play has failed.
func (p *play) shutdown() {
	if p.cancel != nil {
		p.cancel()
	}
	p.background.Wait()
	for _, h := range p.hosts {
		if process := h.process.Load(); process != nil {
			process.signal(syscall.SIGKILL)
			<-process.exited
		}
	}
	for _, t := range p.targets {
		t.end()
	}
	if p.server != nil {
		_ = p.server.Close()
	}
	if !p.t.Failed() {
		return
	}
	if kept, err := os.MkdirTemp("", "day-*"); err == nil {
		if err := os.CopyFS(kept, os.DirFS(p.directory)); err == nil {
			p.t.Logf("the hosts' logs are kept in %s", kept)
		}
	}
}

// runOnDayNetwork runs the daemon on a network whose broken links a file lists, with the descriptors of the users' machines.
func runOnDayNetwork(settingsFile, linksFile string) error {
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: descriptorLimit, Max: descriptorLimit}); err != nil {
		return err
	}
	settings, err := usherhost.LoadSettings(settingsFile)
	if err != nil {
		return err
	}
	lines := usherhost.NewLogWriter(os.Stdout)
	defer lines.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	links := &dayLinks{}
	go links.follow(ctx, linksFile)
	platform := daemon.Platform(settings, dayNetwork{ip: settings.Listen.Callers.Addr().String(), links: links})
	platform.Uptime = usherhost.Uptime
	platform.Settings = func() ([]byte, error) { return os.ReadFile(settingsFile) }
	host, err := usherhost.New(settings, platform, settings.NewLogger(lines))
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP)
	return host.Run(ctx, signals)
}
