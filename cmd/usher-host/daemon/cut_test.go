package daemon_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/platform/usherstandin"
	"github.com/samphireusher/samphireusher/service/usherhost"
)

const (
	interimResponse = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	// callerPatience is how long callers wait for the next event of a stream.
	callerPatience  = 2 * time.Second
	foreignResponse = "HTTP/1.1 200 OK\r\nAttempt-Id: another\r\nServer-Seal: s\r\nContent-Length: 4\r\n\r\nelse"
)

type (
	// cutSequence breaks off the responses to the next requests, at whichever target, one after the other.
	cutSequence struct {
		mu   sync.Mutex
		cuts []usherstandin.Cut
		// gone has the targets that have left, or crashed if true, since it was taken. restarts counts those that came in their
		// place.
		gone     map[string]bool
		restarts int
	}

	// cutEnding is a framing, with its name, and what the target does as it breaks off its response: one of cutEnds.
	cutEnding struct {
		name    string
		framing usherstandin.Framing
		end     string
	}

	// resettingNetwork is a network on which targets reset the connections that they close.
	resettingNetwork struct{ usherhost.Network }

	resetConn struct{ net.Conn }

	// cutNetwork ends connections to peers after limit-1 bytes have been read, if limit is not zero.
	cutNetwork struct {
		limit atomic.Int64
		cuts  atomic.Int64
	}

	// cutHostNetwork is a cutNetwork from the point of view of one host.
	cutHostNetwork struct {
		usherhost.Network
		cut *cutNetwork
	}

	cutConn struct {
		net.Conn
		cut *cutNetwork
		// limit is one more than the number of bytes still to be read, or zero for no limit.
		limit atomic.Int64
	}
)

var (
	// cutsInLines break off a response before it, in the status line, between lines, and in the name of a field.
	cutsInLines = []int{0, 1, len("HTTP/1.1 50"), len("HTTP/1.1 200 OK\r\n"), len("HTTP/1.1 200 OK\r\nAttempt")}
	// cutEndings are the ways in which responses are broken off. Of targets that go away the framing matters only where the end of the
	// connection is that of the body.
	cutEndings = []cutEnding{
		{"length", usherstandin.WithLength, "stays"}, {"length", usherstandin.WithLength, "resets"}, {"length", usherstandin.WithLength, "crashes"},
		{"chunks", usherstandin.WithChunks, "stays"}, {"chunks", usherstandin.WithChunks, "resets"},
		{"connection", usherstandin.WithConnection, "stays"}, {"connection", usherstandin.WithConnection, "resets"},
		{"connection", usherstandin.WithConnection, "leaves"}, {"connection", usherstandin.WithConnection, "crashes"},
	}
	// cutEnds are what targets do as they break off a response.
	cutEnds = map[string]func(b *testbed, cuts *cutSequence, id string){
		"stays":  nil,
		"resets": nil,
		"leaves": func(b *testbed, cuts *cutSequence, id string) {
			cuts.addGone(id, false)
			b.publish(id, "draining")
		},
		"crashes": func(b *testbed, cuts *cutSequence, id string) {
			cuts.addGone(id, true)
			b.kill(id)
		},
	}
)

func (s *cutSequence) set(cuts ...usherstandin.Cut) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts = cuts
}

// next returns the cut for a request. Calls to the control interface are whole.
func (s *cutSequence) next(r *http.Request) (usherstandin.Cut, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.cuts) == 0 || r.Header.Get("Attempt-Id") == "" {
		return usherstandin.Cut{}, false
	}
	cut := s.cuts[0]
	s.cuts = s.cuts[1:]
	return cut, true
}

func (s *cutSequence) addGone(id string, crashed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone[id] = crashed
}

func (s *cutSequence) takeGone() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	gone := s.gone
	s.gone = map[string]bool{}
	return gone
}

func (n resettingNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := n.Network.Dial(ctx, network, address)
	if err != nil || netip.MustParseAddrPort(address).Port() != targetPort {
		return conn, err
	}
	return resetConn{conn}, nil
}

func (c resetConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if errors.Is(err, io.EOF) {
		err = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	}
	return n, err
}

func (n *cutNetwork) of(network usherhost.Network) usherhost.Network {
	return cutHostNetwork{network, n}
}

func (n cutHostNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := n.Network.Dial(ctx, network, address)
	if err != nil || netip.MustParseAddrPort(address).Port() != peerPort {
		return conn, err
	}
	return &cutConn{Conn: conn, cut: n.cut}, nil
}

// Write begins a request.
func (c *cutConn) Write(data []byte) (int, error) {
	c.limit.Store(c.cut.limit.Load())
	return c.Conn.Write(data)
}

func (c *cutConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	limit := c.limit.Load()
	if limit == 0 || int64(n) < limit {
		c.limit.Add(-min(int64(n), limit))
		return n, err
	}
	c.cut.cuts.Add(1)
	return int(limit - 1), io.EOF
}

// withCuts runs a test with a testbed whose targets break off responses. end is one of cutEnds.
func withCuts(t *testing.T, o options, end string, test func(t *testing.T, b *testbed, cuts *cutSequence)) {
	t.Helper()
	cuts := &cutSequence{gone: map[string]bool{}}
	var b *testbed
	o.manyRetries = true
	o.wrapTarget = func(id string, target http.Handler) http.Handler {
		return usherstandin.CutOff(target, func(r *http.Request) (usherstandin.Cut, bool) {
			cut, ok := cuts.next(r)
			if closing := cutEnds[end]; closing != nil {
				cut.Closing = func() { closing(b, cuts, id) }
			}
			return cut, ok
		})
	}
	if end == "resets" {
		o.editPlatform = func(p *usherhost.Platform) { p.Network = resettingNetwork{p.Network} }
	}
	withTestbed(t, o, func(t *testing.T, started *testbed) {
		b = started
		test(t, b, cuts)
	})
}

// A target stops in the middle of its response's head, or after it, and closes the connection. Reported by operators of similar
// systems: callers got a 200 with an empty or short body that was framed as whole.
func TestResponseCutInItsHeadIsNoSuccess(t *testing.T) {
	for _, c := range []struct {
		name, method, path string
		fault              usherstandin.Fault
		// want is the status, and runs the number of runs, after a cut in the head.
		want, runs int
		before     string
	}{
		{name: "call that may run once", method: http.MethodPost, path: "/allotment/", want: http.StatusBadGateway, runs: 1},
		{name: "idempotent call", method: http.MethodGet, path: "/status/", want: http.StatusOK, runs: 2},
		{name: "stream that runs once", method: http.MethodPost, path: "/appraisal/2", want: http.StatusBadGateway, runs: 1},
		{name: "stream that may be resumed", method: http.MethodPost, path: "/eligibility/2", want: http.StatusOK, runs: 2},
		{name: "failure", method: http.MethodPost, path: "/allotment/", fault: usherstandin.RejectsAfterRun, want: http.StatusBadGateway, runs: 1},
		{name: "refusal", method: http.MethodPost, path: "/allotment/", fault: usherstandin.Refuses, want: http.StatusBadGateway},
		{name: "interim response first", method: http.MethodPost, path: "/allotment/", want: http.StatusBadGateway, runs: 1, before: interimResponse},
		{name: "response to another attempt first", method: http.MethodPost, path: "/allotment/", want: http.StatusBadGateway, runs: 1, before: foreignResponse},
	} {
		for _, e := range cutEndings {
			if e.end != "stays" && (c.fault != usherstandin.NoFault || c.before != "") {
				continue
			}
			t.Run(c.name+", "+e.name+", "+e.end, func(t *testing.T) {
				withCuts(t, options{hosts: 1, engines: 3, plainTargets: 3}, e.end, func(t *testing.T, b *testbed, cuts *cutSequence) {
					b.eachCut(cuts, usherstandin.Cut{Framing: e.framing, Before: c.before}, func(cut usherstandin.Cut) result {
						for _, target := range b.targets {
							target.SetFault(c.fault)
						}
						cuts.set(cut)
						return b.do(b.request(t.Context(), b.hosts[0], c.method, fmt.Sprint(c.path, "?", cut.After), ""))
					}, func(got result, cut usherstandin.Cut, inHead bool) {
						if got.err == nil && got.status == http.StatusOK && !b.isWhole(got, c.path) {
							t.Errorf("cut after %d bytes: status 200 with body %q", cut.After, got.body)
						}
						if n := b.countRuns(got.attempt); inHead && (got.err != nil || got.status != c.want || n != c.runs) {
							t.Errorf("cut after %d bytes: status %d, error %v, %d runs; want %d, %d runs", cut.After, got.status, got.err, n, c.want, c.runs)
						}
					})
				})
			})
		}
	}
}

// The same where the next target of a stream stops in the head of its response.
func TestStreamWhoseNextTargetStopsInItsHeadIsNotComplete(t *testing.T) {
	for _, path := range []string{"/appraisal/6", "/eligibility/6"} {
		for _, e := range cutEndings {
			t.Run(path+", "+e.name+", "+e.end, func(t *testing.T) {
				withCuts(t, options{hosts: 1, engines: 4}, e.end, func(t *testing.T, b *testbed, cuts *cutSequence) {
					next := usherstandin.Cut{Framing: e.framing}
					b.eachCut(cuts, next, func(cut usherstandin.Cut) result {
						first := usherstandin.Cut{Framing: usherstandin.WithLength, Inside: "data: piece 3"}
						cuts.set(first, cut)
						return b.do(b.request(t.Context(), b.hosts[0], http.MethodPost, fmt.Sprint(path, "?", cut.After), ""))
					}, func(got result, cut usherstandin.Cut, _ bool) {
						n := len(events(got.body))
						if got.err == nil && !isComplete(got.body, got.attempt, 6) || !isComplete(got.body, got.attempt, n) || n < 2 {
							t.Errorf("cut after %d bytes: status %d, error %v, body %q", cut.After, got.status, got.err, got.body)
						}
					})
				})
			})
		}
	}
}

// A request crashes each target that begins to answer it. Where the end of the connection cut a line of the head, the crash was not seen, and
// the request reached one target after the other.
func TestRequestThatCrashesTargetsInTheirHeadsIsBlamed(t *testing.T) {
	for _, after := range cutsInLines {
		t.Run(fmt.Sprint("after ", after), func(t *testing.T) {
			withCuts(t, options{hosts: 1, plainTargets: 12}, "crashes", func(t *testing.T, b *testbed, cuts *cutSequence) {
				runs := 0
				for range 20 {
					cuts.set(usherstandin.Cut{After: after})
					got := b.post(b.hosts[0], "/allotment/")
					runs += b.countRuns(got.attempt)
					b.restore(cuts)
				}
				if runs > crashesUntilKnown {
					t.Errorf("the request crashed %d targets", runs)
				}
			})
		})
	}
}

// A stream goes on at the engine that has its copy, which breaks off its response. Engines take no orders here, and no other copy is left. Where
// the end cut a line, callers got neither the rest of the stream nor its end before their time was over.
func TestStreamWhoseEnginesAllBreakOffIsCutAtOnce(t *testing.T) {
	for _, after := range cutsInLines {
		t.Run(fmt.Sprint("after ", after), func(t *testing.T) {
			o := options{hosts: 1, engines: 4, editDeclarations: func(d map[string]any) {
				d["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)["moves"] = false
			}}
			withCuts(t, o, "stays", func(t *testing.T, b *testbed, cuts *cutSequence) {
				cuts.set(usherstandin.Cut{Inside: "data: piece 3"}, usherstandin.Cut{After: after})
				got := b.post(b.hosts[0], "/appraisal/6")
				if n := len(events(got.body)); got.err == nil || n < 2 || !isComplete(got.body, got.attempt, n) || got.elapsed > callerPatience {
					t.Errorf("error %v after %s, body %q", got.err, got.elapsed, got.body)
				}
			})
		})
	}
}

// An engine turns the order to end a run away, and breaks off that answer in its head. It was taken for unreachable, so the stream went on
// at a second engine while the first worked on.
func TestEngineWhoseAnswerToAnOrderBreaksOffStillRuns(t *testing.T) {
	for _, path := range []string{"/appraisal/250", "/eligibility/90"} {
		for _, after := range []int{0, 1, len("HTTP/1.1 50"), len("HTTP/1.1 503 Service Unavailable\r\n"), len("HTTP/1.1 503 Service Unavailable\r\nConten")} {
			t.Run(fmt.Sprint(path, ", after ", after), func(t *testing.T) {
				o := options{hosts: 1, engines: 4, wrapTarget: func(_ string, target http.Handler) http.Handler {
					return usherstandin.CutOff(target, func(r *http.Request) (usherstandin.Cut, bool) {
						return usherstandin.Cut{After: after}, r.URL.Path == "/kv-move"
					})
				}}
				withTestbed(t, o, func(t *testing.T, b *testbed) {
					refuseMoves(b)
					attempt, done := b.startStream(b.hosts[0], path)
					time.Sleep(time.Second)
					b.silence(b.hosts[0], 0)
					got := <-done
					b.checkOverlap(attempt)
					if n := len(events(got.body)); !isComplete(got.body, attempt, n) || n == 0 {
						t.Errorf("error %v, body %q", got.err, got.body)
					}
				})
			})
		}
	}
}

// eachCut calls request and check for each number of bytes after which a response can be broken off. inHead reports whether that is
// before the end of the header.
func (b *testbed) eachCut(cuts *cutSequence, cut usherstandin.Cut, request func(cut usherstandin.Cut) result, check func(got result, cut usherstandin.Cut, inHead bool)) {
	b.t.Helper()
	header, all := 0, 1
	cut.Sizes = func(h, a int) { header, all = h, a }
	for cut.After = 0; cut.After < all; cut.After++ {
		if cut.Framing == usherstandin.WithConnection && cut.After > header {
			// Nothing on the wire shows where the body should have ended.
			break
		}
		got := request(cut)
		cuts.set()
		check(got, cut, cut.After < header)
		b.restore(cuts)
	}
	if header == 0 {
		b.t.Error("no response was broken off")
	}
}

// restore replaces the targets that have crashed, publishes those again that have left, and waits until the host knows.
func (b *testbed) restore(cuts *cutSequence) {
	b.t.Helper()
	gone := cuts.takeGone()
	for id, crashed := range gone {
		if !crashed {
			b.publish(id, "ready")
			continue
		}
		b.store.Delete("servers/" + id)
		delete(b.targets, id)
		service := plainService
		if strings.HasPrefix(id, "engine-") {
			service = engineService
		}
		cuts.restarts++
		kind, _, _ := strings.Cut(id, "-")
		b.addTarget(fmt.Sprint(kind, "-r", cuts.restarts), service, 20+cuts.restarts%200)
	}
	if len(gone) > 0 {
		time.Sleep(time.Second)
	}
	time.Sleep(100 * time.Millisecond)
}

func (b *testbed) countRuns(attempt string) int {
	n := 0
	for _, runs := range b.runsOf(attempt) {
		n += len(runs)
	}
	return n
}

// isWhole reports whether a body is all that a target sends.
func (b *testbed) isWhole(got result, path string) bool {
	if strings.HasSuffix(path, "/2") {
		return isComplete(got.body, got.attempt, 2)
	}
	for id, runs := range b.runsOf(got.attempt) {
		if got.body == fmt.Sprintf("%s %s by %s", runs[0].Method, runs[0].URI, id) {
			return true
		}
	}
	return false
}

// Hosts get declarations that are too large for a datagram from their peers, and these break off their responses. What has come
// must not be taken for the whole.
func TestDeclarationsThatBreakOffAreNotTaken(t *testing.T) {
	for part := range 8 {
		t.Run(fmt.Sprint("part ", part), func(t *testing.T) {
			network := &cutNetwork{}
			o := options{hosts: 3, plainTargets: 1, editPlatform: func(p *usherhost.Platform) { p.Network = network.of(p.Network) }}
			withTestbed(t, o, func(t *testing.T, b *testbed) {
				version := 1
				for bytes := int64(part); bytes < 8000; bytes += 8 * 29 {
					version++
					network.limit.Store(bytes + 1)
					b.declareLarge(version)
					time.Sleep(500 * time.Millisecond)
					network.limit.Store(0)
					time.Sleep(2 * time.Second)
					for _, h := range b.hosts {
						r := b.request(t.Context(), h, http.MethodGet, "/status/", "")
						r.Header.Set("Api-Key", fmt.Sprintf("key-of-workspace-%020d", 49))
						if got, v := b.do(r), b.versionOf(h); v != version || got.status != http.StatusOK {
							t.Errorf("after %d bytes: version %d at %s, status %d; want %d, 200", bytes, v, h.name, got.status, version)
						}
					}
				}
				if network.cuts.Load() < 20 {
					t.Errorf("only %d responses were broken off", network.cuts.Load())
				}
			})
		})
	}
}
