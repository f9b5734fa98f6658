package daemon_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/platform/usherstandin"
	"github.com/samphireusher/samphireusher/service/usherhost"
)

const (
	// contactTime is how long a host has to act on what other hosts know. The users specify it.
	contactTime = 3 * time.Second
	// crashesUntilKnown and maxLateSends are the users' bound: later than contactTime after the fifth crash, no more than
	// three requests with the part reach targets.
	crashesUntilKnown = 5
	maxLateSends      = 3
	// restartTime is how long a crashed target is down.
	restartTime = 3 * time.Second
)

type (
	// crashLog records the crashes of targets.
	crashLog struct {
		mu         sync.Mutex
		crashes    []time.Time
		restarting sync.WaitGroup
	}

	// prompt is a caller's request with its parts and its result.
	prompt struct {
		parts  []string
		sentAt time.Time
		result result
	}

	// load sends prompts to the hosts of a testbed in turn and waits for their results.
	load struct {
		b       *testbed
		random  *rand.Rand
		mu      sync.Mutex
		prompts []prompt
		sending sync.WaitGroup
	}
)

func (l *crashLog) add() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes = append(l.crashes, time.Now())
}

func (l *crashLog) times() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.crashes)
}

// makeDeadly makes engines crash on the given parts, each of which has its own log. They come back under new ids, and crash
// again.
func (b *testbed) makeDeadly(crashes []crashLog, parts []string) {
	for i := range b.options.engines {
		id := fmt.Sprint("engine-", i)
		b.crashOn(crashes, id, id, i, parts)
	}
}

func (b *testbed) withLock(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

func (b *testbed) crashOn(crashes []crashLog, first, id string, number int, parts []string) {
	b.targets[id].SetDeadlyParts(func(part string) {
		log := &crashes[slices.Index(parts, part)]
		log.add()
		log.restarting.Go(func() {
			b.withLock(func() { _ = b.servers[id].Close() })
			time.Sleep(restartTime)
			b.withLock(func() {
				b.store.Delete("servers/" + id)
				next := fmt.Sprint(first, "-", time.Now().UnixMilli())
				b.addTarget(next, engineService, number)
				b.crashOn(crashes, first, next, number, parts)
			})
		})
	}, parts...)
}

// crashSome lets n engines crash in the same moment.
func (b *testbed) crashSome(n int) {
	b.withLock(func() {
		for _, id := range slices.Sorted(maps.Keys(b.targets)) {
			if n > 0 && b.targets[id].Crash("dead") {
				n--
			}
		}
	})
}

// send sends a prompt with the given parts to a random host.
func (l *load) send(path string, parts ...string) {
	var h *host
	l.b.withLock(func() { h = l.b.hosts[l.random.IntN(len(l.b.hosts))] })
	last := fmt.Sprintf("%08x", l.random.Uint32())
	r := l.b.request(l.b.t.Context(), h, http.MethodPost, path, last)
	r.Header.Set("Prompt-Prefix", strings.Join(append(slices.Clone(parts), last), ":50,")+":900")
	p := prompt{parts: parts, sentAt: time.Now()}
	l.sending.Go(func() {
		p.result = l.b.do(r)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.prompts = append(l.prompts, p)
	})
}

// runsWith returns the runs of prompts that have a part.
func (b *testbed) runsWith(part string) []usherstandin.Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	var runs []usherstandin.Run
	for _, target := range b.targets {
		for _, run := range target.Runs() {
			if strings.Contains(run.Header.Get("Prompt-Prefix"), part+":") {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

// lateRuns returns the number of runs with a part that began later than contactTime after the crash from which on the part
// has to be known.
func (b *testbed) lateRuns(crashes *crashLog, part string) int {
	times := crashes.times()
	if len(times) < crashesUntilKnown {
		return 0
	}
	late := 0
	for _, run := range b.runsWith(part) {
		if run.StartedAt.After(times[crashesUntilKnown-1].Add(contactTime)) {
			late++
		}
	}
	return late
}

// answered returns how many of the prompts without any of the given parts, sent later than a time, were answered, and how
// many there were.
func (l *load) answered(after time.Time, deadly ...string) (answered, sent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.prompts {
		if p.sentAt.Before(after) || slices.ContainsFunc(deadly, func(part string) bool { return slices.Contains(p.parts, part) }) {
			continue
		}
		sent++
		if p.result.err == nil && p.result.status == http.StatusOK {
			answered++
		}
	}
	return answered, sent
}

// deadlyDay is a time in which requests with deadly parts come beside sound ones.
type deadlyDay struct {
	path string
	// deadly are the deadly parts, and position is theirs among the shared ones.
	deadly   []string
	position int
	// interval is the time between two requests with a deadly part; a sound one comes every 100 ms.
	interval time.Duration
	// duration is how long they come, 22 s if zero.
	duration time.Duration
	// trouble is called once, in a goroutine of its own.
	trouble func(b *testbed)
}

// play plays a day and checks the users' bounds: how many requests with a deadly part reach engines, and that sound ones
// are answered.
func (d deadlyDay) play(t *testing.T, b *testbed) *load {
	t.Helper()
	var crashes [2]crashLog
	b.makeDeadly(crashes[:len(d.deadly)], d.deadly)
	l := &load{b: b, random: rand.New(rand.NewPCG(1, 1))}
	start := time.Now()
	var trouble sync.WaitGroup
	if d.trouble != nil {
		trouble.Go(func() { d.trouble(b) })
	}
	for tick := 0; time.Since(start) < max(d.duration, 22*time.Second); tick++ {
		first, second := fmt.Sprint("a", tick%4), fmt.Sprint("b", tick%7)
		l.send(d.path, first, second)
		if time.Duration(tick)*100*time.Millisecond%d.interval == 0 {
			for _, part := range d.deadly {
				l.send(d.path, slices.Insert([]string{first, second}, d.position, part)...)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	l.sending.Wait()
	trouble.Wait()
	for i, part := range d.deadly {
		crashes[i].restarting.Wait()
		if late := b.lateRuns(&crashes[i], part); late > maxLateSends {
			t.Errorf("%d requests with part %s reached engines later than %s after the fifth crash, want at most %d; %d crashes", late, part, contactTime, maxLateSends, len(crashes[i].times()))
		}
	}
	if answered, sent := l.answered(start.Add(2*contactTime), d.deadly...); 2*answered < sent {
		t.Errorf("%d of %d requests without a deadly part were answered", answered, sent)
	}
	return l
}

// One part of a prompt crashes each engine that begins to answer a request with it. No two of these requests are alike, and
// each host sees few of them: the hosts used to send them to one engine after the other for as long as they came.
func TestDeadlyPartStopsReachingEngines(t *testing.T) {
	for _, c := range []struct {
		name string
		day  deadlyDay
	}{
		{"streams that run once, part in front", deadlyDay{path: "/appraisal/20", deadly: []string{"dead"}, position: 0, interval: 300 * time.Millisecond}},
		{"streams that run once, part in the middle", deadlyDay{path: "/appraisal/20", deadly: []string{"dead"}, position: 1, interval: 300 * time.Millisecond}},
		{"streams that may be resumed, last shared part", deadlyDay{path: "/eligibility/5", deadly: []string{"dead"}, position: 2, interval: 300 * time.Millisecond}},
		{"few requests", deadlyDay{path: "/appraisal/20", deadly: []string{"dead"}, position: 1, interval: 2 * time.Second}},
		{"many requests", deadlyDay{path: "/appraisal/20", deadly: []string{"dead"}, position: 1, interval: 100 * time.Millisecond}},
		{"two parts", deadlyDay{path: "/appraisal/20", deadly: []string{"dead", "bad"}, position: 1, interval: 500 * time.Millisecond}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTestbed(t, options{hosts: 9, engines: 12}, func(t *testing.T, b *testbed) { c.day.play(t, b) })
		})
	}
}

// Hosts that start late, are cut off or do without the store see none or few of the crashes themselves. They used to send
// requests with the part as if nothing were known.
func TestDeadlyPartIsKnownToHostsThatMissedTheCrashes(t *testing.T) {
	for _, c := range []struct {
		name    string
		trouble func(b *testbed)
	}{
		{"hosts start", func(b *testbed) {
			for i := range 3 {
				time.Sleep(4 * time.Second)
				killed := b.hosts[3*i]
				killed.cancel()
				<-killed.done
				time.Sleep(time.Second)
				b.withLock(func() {
					b.hosts[3*i] = b.startHost(3 * i)
					b.hosts = b.hosts[:len(b.hosts)-1]
				})
			}
		}},
		{"hosts are cut off from the others", func(b *testbed) {
			var others []netip.Addr
			for i := range 7 {
				others = append(others, mustAddr(hostIP(i)))
			}
			// They are back when the users begin to count.
			b.network.Partition([]netip.Addr{mustAddr(hostIP(7)), mustAddr(hostIP(8))}, others)
			time.Sleep(4 * time.Second)
			b.network.Heal()
		}},
		{"the store is away", func(b *testbed) {
			b.store.SetMode("", usherstandin.Unresponsive)
			time.Sleep(15 * time.Second)
			b.store.SetMode("", usherstandin.Serving)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			// Engines take so long to answer that more than five crash before anything is blamed.
			withTestbed(t, options{hosts: 9, engines: 12, eventInterval: 500 * time.Millisecond}, func(t *testing.T, b *testbed) {
				deadlyDay{path: "/appraisal/3", deadly: []string{"dead"}, position: 1, interval: 200 * time.Millisecond, trouble: c.trouble}.play(t, b)
			})
		})
	}
}

// A refusal must come at once, be true, and end when the crashes do.
func TestRefusalOfASuspectRequest(t *testing.T) {
	withTestbed(t, options{hosts: 3, engines: 6}, func(t *testing.T, b *testbed) {
		day := deadlyDay{path: "/appraisal/20", deadly: []string{"dead"}, position: 1, interval: 300 * time.Millisecond, duration: 6 * time.Second}
		l := day.play(t, b)
		refused := 0
		for _, p := range l.prompts {
			if !slices.Contains(p.parts, "dead") || p.result.status != http.StatusServiceUnavailable {
				continue
			}
			refused++
			if !strings.Contains(p.result.body, `"suspect"`) || p.result.header.Get("Retry-After") == "" || p.result.elapsed > 50*time.Millisecond {
				t.Errorf("refusal %s after %s with Retry-After %q", p.result.body, p.result.elapsed, p.result.header.Get("Retry-After"))
			}
			if runs := b.runsOf(p.result.attempt); len(runs) > 0 {
				t.Errorf("a request that was refused as not run has runs %v", runs)
			}
		}
		if refused == 0 {
			t.Fatal("no request was refused")
		}
		if dump := b.getAt(b.hosts[0], adminPort, usherhost.DumpPath).body; strings.Contains(dump, `"blamed": null`) {
			t.Errorf("the dump names nothing that is blamed: %s", dump)
		}
		// The part crashes nothing any more.
		for id := range b.targets {
			b.targets[id].SetDeadlyParts(nil)
		}
		time.Sleep(time.Minute)
		start := time.Now()
		for range 20 {
			l.send(day.path, "a", "dead")
			time.Sleep(200 * time.Millisecond)
		}
		l.sending.Wait()
		if answered, sent := l.answered(start); answered < sent-1 {
			t.Errorf("%d of %d requests were answered a minute after the last crash, want all but one that came beside the first", answered, sent)
		}
	})
}

// Many engines crash at once, again and again, under requests that share their first part. Had that been blamed, sound
// requests would have been refused for ten seconds each time.
func TestCrashesOfManyEnginesBlameNothing(t *testing.T) {
	// Engines take so long to answer that each has several requests that it has not answered.
	withTestbed(t, options{hosts: 9, engines: 12, eventInterval: 500 * time.Millisecond}, func(t *testing.T, b *testbed) {
		var crashes [1]crashLog
		b.makeDeadly(crashes[:], []string{"dead"})
		l := &load{b: b, random: rand.New(rand.NewPCG(1, 1))}
		for tick := range 200 {
			if tick%50 == 20 {
				b.crashSome(5)
			}
			for i := range 5 {
				l.send("/eligibility/3", "a", fmt.Sprint("b", (tick+i)%7))
			}
			time.Sleep(100 * time.Millisecond)
		}
		l.sending.Wait()
		crashes[0].restarting.Wait()
		for _, p := range l.prompts {
			if strings.Contains(p.result.body, `"suspect"`) {
				t.Errorf("a request with parts %q, sent at %s, was refused as suspect", p.parts, p.sentAt)
			}
		}
	})
}

// A stream began before its part became deadly. When its engine crashes, going on from its copy would crash the next one.
func TestBlamedStreamIsNotResumed(t *testing.T) {
	withTestbed(t, options{hosts: 3, engines: 12}, func(t *testing.T, b *testbed) {
		l := &load{b: b, random: rand.New(rand.NewPCG(1, 1))}
		r := b.request(t.Context(), b.hosts[0], http.MethodPost, "/appraisal/900", "")
		r.Header.Set("Prompt-Prefix", "a:50,entry:50,own:900")
		attempt, done := r.Header.Get("Attempt-Id"), make(chan result, 1)
		go func() { done <- b.do(r) }()
		time.Sleep(time.Second)
		var crashes [1]crashLog
		b.makeDeadly(crashes[:], []string{"entry"})
		for i := range 4 {
			l.send("/appraisal/20", fmt.Sprint("b", i), "entry")
			time.Sleep(500 * time.Millisecond)
		}
		crashed := time.Now()
		b.withLock(func() { b.targets[b.currentEngine(attempt)].Crash("entry") })
		if got := <-done; got.err == nil {
			t.Errorf("the stream was complete with %d events", len(events(got.body)))
		}
		l.sending.Wait()
		crashes[0].restarting.Wait()
		for engine, runs := range b.runsOf(attempt) {
			for _, run := range runs {
				if run.StartedAt.After(crashed) {
					t.Errorf("the stream went on at %s", engine)
				}
			}
		}
	})
}

// An engine breaks a stream off before it begins, and the host has no descriptor left to try a connection. That counted as a crash of the engine,
// and requests that share parts with the stream were refused after some more.
func TestFailureOfTheHostIsNoCrashOfATarget(t *testing.T) {
	network := &scarceNetwork{}
	withTestbed(t, options{hosts: 1, engines: 4, editPlatform: func(p *usherhost.Platform) {
		network.Network, p.Network = p.Network, network
	}, wrapTarget: func(_ string, target http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/appraisal/") {
				time.Sleep(300 * time.Millisecond)
				panic(http.ErrAbortHandler)
			}
			target.ServeHTTP(w, r)
		})
	}}, func(t *testing.T, b *testbed) {
		_, done := b.startStream(b.hosts[0], "/appraisal/10")
		time.Sleep(100 * time.Millisecond)
		network.exhausted.Store(true)
		<-done
		network.exhausted.Store(false)
		metrics := b.getAt(b.hosts[0], adminPort, usherhost.MetricsPath).body
		if !strings.Contains(metrics, "targets.early_ends 1\n") || !strings.Contains(metrics, "targets.crashes 0\n") {
			t.Errorf("want an early end and no crash")
		}
	})
}
