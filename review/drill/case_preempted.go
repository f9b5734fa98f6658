package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	preemptedStreams = 8
	preemptedAllowed = 3
	// tokenInterval is the time between two events of a generation that is not preempted.
	tokenInterval = 50 * time.Millisecond
)

// preemptedKind is a kind of request whose generations are preempted, once each.
type preemptedKind struct {
	route  string
	events int
	// after is the event after which a generation is preempted.
	after int
	// preemption is how long an engine that is short of memory leaves a generation preempted: longer than the sheet's pause of
	// 180 ms, so that the answer is late, and well below the time after which a consumer of the route abandons a stream.
	preemption time.Duration
}

var preemptedKinds = []preemptedKind{
	// Consumers wait for 7.2 s.
	{route: "lesson-draft", events: 60, after: 20, preemption: 5 * time.Second},
	// Consumers wait for 6 s.
	{route: "condition-tag", events: 10, after: 4, preemption: 2 * time.Second},
}

// streamBudget has the time budgets of the sheet.
var streamBudget = map[string]time.Duration{"lesson-draft": 39 * time.Second, "condition-tag": 6 * time.Second}

// playPreempted lets sound engines that are short of memory preempt each generation once, in the middle of its stream, and reject
// new work meanwhile. They go on after that, unless the host has closed the connection.
func playPreempted(f *fleet, root string, trouble bool) (bool, error) {
	var crowded atomic.Bool
	f.declare(nil)
	handle := func(t *target, r *http.Request) behaviour {
		for _, k := range preemptedKinds {
			if strings.HasPrefix(r.URL.Path, "/"+k.route+"/") {
				if crowded.Load() || r.Header.Get("Kv-From") != "" {
					return behaviour{full: true}
				}
				return behaviour{serve: func(w http.ResponseWriter, r *http.Request, attempt string) { t.generate(w, r, attempt, k, trouble) }}
			}
		}
		return behaviour{work: 15 * time.Millisecond}
	}
	if err := f.addTargets(handle); err != nil {
		return false, err
	}
	if err := f.addHosts(root); err != nil {
		return false, err
	}
	broken := false
	for _, k := range preemptedKinds {
		if err := f.reload(f.hosts); err != nil {
			return false, err
		}
		crowded.Store(false)
		var sending sync.WaitGroup
		var cut, complete, other atomic.Int64
		for i := range preemptedStreams {
			sending.Go(func() {
				switch a, reused := f.sendKept(f.hosts[i%len(f.hosts)], k.route, i); {
				case a.complete(k.events):
					complete.Add(1)
				case reused && a.status == http.StatusOK:
					cut.Add(1)
				default:
					other.Add(1)
				}
			})
		}
		// All streams have begun, and none is preempted yet.
		time.Sleep(time.Duration(k.after) * tokenInterval * 3 / 4)
		crowded.Store(trouble)
		sending.Wait()
		f.record.add("%d of %s: %d complete, %d on kept connections that ended without a complete answer, %d others", preemptedStreams, k.route,
			complete.Load(), cut.Load(), other.Load())
		if other.Load() > 0 || !trouble && complete.Load() != preemptedStreams {
			return false, fmt.Errorf("%d requests of %s did not start, %d were completed", other.Load(), k.route, complete.Load())
		}
		broken = broken || cut.Load() > preemptedAllowed
	}
	return broken, nil
}

// generate streams a generation, with a preemption in its middle.
func (t *target) generate(w http.ResponseWriter, r *http.Request, attempt string, k preemptedKind, preempted bool) {
	t.fleet.record.add("server %s  runs attempt %s", t.id, attempt)
	t.fleet.noteRun(attempt, t.id)
	w.Header().Set("Server-Seal", t.id+"."+attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for id := 1; id <= k.events; id++ {
		_, _ = fmt.Fprint(w, "id: ", strconv.Itoa(id), "\ndata: piece of ", attempt, "\n\n")
		if control.Flush() != nil {
			return
		}
		pause := tokenInterval
		if preempted && id == k.after {
			t.fleet.record.add("server %s  attempt %s: short of memory, preempted after event %d", t.id, attempt, id)
			pause = k.preemption
		}
		start := time.Now()
		if !t.wait(r, pause) {
			t.fleet.record.add("server %s  attempt %s: the host closed the connection %d ms after event %d of %d; the run is dropped", t.id, attempt,
				time.Since(start).Milliseconds(), id, k.events)
			return
		}
		if pause == k.preemption {
			t.fleet.record.add("server %s  attempt %s: goes on", t.id, attempt)
		}
	}
	t.fleet.record.add("server %s  completed attempt %s", t.id, attempt)
}

// reload changes the settings files of hosts, as the platform does, and sends them SIGHUP.
func (f *fleet) reload(hosts []*host) error {
	for _, h := range hosts {
		path := filepath.Join(f.directory, h.name+".ini")
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		// The platform names other seeds.
		changed := strings.Replace(string(text), "seeds = ", "seeds = "+fmt.Sprintf("%s2:%d,", f.subnet, adminPort), 1)
		if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
			return err
		}
		if err := h.command.Process.Signal(syscall.SIGHUP); err != nil {
			return err
		}
		f.record.add("host %s  its settings file changes; SIGHUP", h.name)
	}
	return nil
}

// sendKept sends a stock lookup and then a request for a stream on the same connection, and reports whether it was the same.
func (f *fleet) sendKept(h *host, route string, number int) (a answer, reused bool) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	defer client.CloseIdleConnections()
	for _, path := range []string{"/stock-lookup/1", fmt.Sprintf("/%s/%d", route, number)} {
		a = answer{attempt: fmt.Sprintf("%016x", f.attempts.Add(1)), sentAt: time.Now()}
		method, budget := http.MethodGet, time.Second
		if isStream(path) {
			method, budget = http.MethodPost, streamBudget[route]
		}
		r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", h.ip, callerPort, path), nil)
		if err != nil {
			a.err = err
			return a, false
		}
		r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }}))
		r.Host = callerHost
		r.Header.Set("Attempt-Id", a.attempt)
		r.Header.Set("Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
		r.Header.Set("Api-Key", apiKey)
		if isStream(path) {
			r.Header.Set("Model", "m")
			r.Header.Set("Token-Counts", "3000,900")
			r.Header.Set("Prompt-Prefix", fmt.Sprintf("5c1e07a2:800,%08x:2200", number+1))
		}
		f.record.add("client  sends attempt %s to %s: %s %s", a.attempt, h.name, method, path)
		response, err := client.Do(r)
		if err != nil {
			a.err = err
			f.record.add("client  attempt %s: no answer: %v", a.attempt, err)
			return a, reused
		}
		data, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.header, a.body, a.err, a.took = response.StatusCode, response.Header, string(data), err, time.Since(a.sentAt)
		f.record.add("client  attempt %s: status %d, %d events after %d ms, kept connection: %t, error: %v", a.attempt, a.status,
			strings.Count(a.body, "id: "), a.took.Milliseconds(), reused, err)
	}
	return a, reused
}
