package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/platform/usherstandin"
	"github.com/samphireusher/samphireusher/service/usherhost"
)

// failNextRun lets the next run at any engine fail.
func (b *testbed) failNextRun(f usherstandin.Fault) {
	faults := &faultSequence{faults: []usherstandin.Fault{f}}
	for _, target := range b.targets {
		target.SetFaultSource(faults.next)
	}
}

// extendTimeout gives streams that may be resumed time to wait for slow engines.
func extendTimeout(d map[string]any) {
	d["routes"].([]any)[1].(map[string]any)["timeoutMs"] = 20000
}

// A stream went on at a second engine, and the log did not say how its host knew that the first one had ended the run.
func TestLogSaysWhatShowedTheEndOfTheRunBefore(t *testing.T) {
	loses := func(b *testbed) { b.failNextRun(usherstandin.LosesAnswerLater) }
	breaks := func(b *testbed) { b.failNextRun(usherstandin.EndsInsideEvent) }
	for _, c := range []struct {
		name string
		// prepare changes the engines before the stream begins, disturb does so while it runs.
		prepare, disturb func(b *testbed)
		noMoves          bool
		want             string
	}{
		{name: "the engine loses the answer", prepare: loses, want: "ended_on_order"},
		{name: "the engine breaks off", prepare: breaks, want: "no_such_run"},
		{name: "the engine breaks off and takes no orders", prepare: breaks, noMoves: true, want: "not_in_report"},
		{name: "the engine ends", disturb: func(b *testbed) {
			for id, target := range b.targets {
				if len(target.Runs()) > 0 {
					b.kill(id)
				}
			}
		}, want: "connection_refused"},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTestbed(t, options{hosts: 1, engines: 4, editDeclarations: func(d map[string]any) {
				d["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)["moves"] = !c.noMoves
			}}, func(t *testing.T, b *testbed) {
				if c.prepare != nil {
					c.prepare(b)
				}
				_, done := b.startStream(b.hosts[0], "/appraisal/100")
				time.Sleep(time.Second)
				if c.disturb != nil {
					c.disturb(b)
				}
				if got := <-done; got.err != nil {
					t.Errorf("error %v", got.err)
				}
				if resumed, shown := b.logBuffer.count("stream resumed"), b.logBuffer.count(fmt.Sprintf("%q:%q", "run_end", c.want)); resumed != 1 || shown != 1 {
					t.Errorf("%d streams resumed, %d of them after %s; want 1", resumed, shown, c.want)
				}
			})
		})
	}
}

// No connection to an engine was accepted twice in 250 ms, or this host had no descriptor left for one. The engine counted as one that
// cannot be reached, and worked on the stream while it went on at another one.
func TestFailedProbesEndNoRun(t *testing.T) {
	for _, c := range []struct {
		name string
		// fail makes connections from the host to the engine fail.
		fail func(b *testbed, n *scarceNetwork, engine netip.Addr)
	}{
		{"packets are lost for 2 s", func(b *testbed, _ *scarceNetwork, engine netip.Addr) {
			host := netip.MustParseAddr(b.hosts[0].ip)
			b.network.Block(host, engine)
			time.Sleep(2 * time.Second)
			b.network.Unblock(host, engine)
		}},
		{"no descriptors for 4 s", func(_ *testbed, n *scarceNetwork, _ netip.Addr) {
			n.exhausted.Store(true)
			time.Sleep(4 * time.Second)
			n.exhausted.Store(false)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			network := &scarceNetwork{}
			withTestbed(t, options{hosts: 1, engines: 4, editPlatform: func(p *usherhost.Platform) {
				network.Network, p.Network = p.Network, network
			}}, func(t *testing.T, b *testbed) {
				attempt, done := b.startStream(b.hosts[0], "/appraisal/250")
				time.Sleep(time.Second)
				_, entry := b.targets[b.currentEngine(attempt)].Entry("ready")
				b.silence(b.hosts[0], 0)
				// The stream counts as stalled 3.6 s after its last event.
				time.Sleep(3500 * time.Millisecond)
				c.fail(b, network, netip.MustParseAddrPort(entry.(map[string]any)["address"].(string)).Addr())
				if got := <-done; got.err != nil || !isComplete(got.body, attempt, 250) {
					t.Errorf("error %v, %d events; want 250", got.err, len(events(got.body)))
				}
				b.checkOverlap(attempt)
			})
		})
	}
}

// An engine accepts no connection for long and sends another stream meanwhile. It counted as one that cannot be reached, and worked on a stream whose
// connection had gone silent while that went on at another engine.
func TestEngineThatSendsAnotherStreamIsReached(t *testing.T) {
	network := &scarceNetwork{}
	withTestbed(t, options{hosts: 1, engines: 1, editPlatform: func(p *usherhost.Platform) {
		network.Network, p.Network = p.Network, network
	}, editDeclarations: extendTimeout}, func(t *testing.T, b *testbed) {
		attempt, done := b.startStream(b.hosts[0], "/eligibility/200")
		time.Sleep(500 * time.Millisecond)
		b.silence(b.hosts[0], 0)
		_, other := b.startStream(b.hosts[0], "/appraisal/300")
		time.Sleep(500 * time.Millisecond)
		_, entry := b.targets[b.currentEngine(attempt)].Entry("ready")
		network.closed.Store(entry.(map[string]any)["address"])
		b.addTarget("engine-1", engineService, 1)
		time.Sleep(4 * time.Second)
		network.closed.Store("")
		if got := <-done; got.err != nil || !isComplete(got.body, attempt, 200) {
			t.Errorf("error %v, %d events; want 200", got.err, len(events(got.body)))
		}
		<-other
		b.checkOverlap(attempt)
	})
}

// scarceNetwork opens no connection while exhausted is set, and none to the address closed.
type scarceNetwork struct {
	usherhost.Network
	exhausted atomic.Bool
	closed    atomic.Value
}

func (n *scarceNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if n.exhausted.Load() {
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("socket", syscall.EMFILE)}
	}
	if n.closed.Load() == address {
		sleep(ctx, 500*time.Millisecond)
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
	}
	return n.Network.Dial(ctx, network, address)
}

func sleep(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-ctx.Done()
}

// slowControl returns a wrapper of targets whose control calls take the given time.
func slowControl(delay time.Duration) func(string, http.Handler) http.Handler {
	return func(_ string, target http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/kv-move" || r.URL.Path == "/report" {
				time.Sleep(delay)
			}
			target.ServeHTTP(w, r)
		})
	}
}

// An engine loses the answer of a stream and answers control calls late. It counted as one that hangs, and worked on the stream while that
// went on at another one. Found by variants of review/7.
func TestSlowControlCallsEndNoRun(t *testing.T) {
	for _, path := range []string{"/appraisal/100", "/eligibility/60"} {
		for _, delay := range []time.Duration{900 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprintf("%s, %s", path, delay), func(t *testing.T) {
				withTestbed(t, options{hosts: 1, engines: 4, wrapTarget: slowControl(delay), editDeclarations: extendTimeout}, func(t *testing.T, b *testbed) {
					b.failNextRun(usherstandin.LosesAnswerLater)
					got := b.post(b.hosts[0], path)
					b.checkOverlap(got.attempt)
					if n := len(events(got.body)); got.err != nil || !isComplete(got.body, got.attempt, n) {
						t.Errorf("error %v, %d events", got.err, n)
					}
				})
			})
		}
	}
}

// The connection of a stream carries nothing any more, and its engine answers control calls late while it sends another stream. It counted as one that hangs.
func TestEngineThatSendsAnotherStreamDoesNotHang(t *testing.T) {
	withTestbed(t, options{hosts: 1, engines: 1, wrapTarget: slowControl(3 * time.Second), editDeclarations: extendTimeout}, func(t *testing.T, b *testbed) {
		attempt, done := b.startStream(b.hosts[0], "/eligibility/200")
		time.Sleep(500 * time.Millisecond)
		b.silence(b.hosts[0], 0)
		_, other := b.startStream(b.hosts[0], "/appraisal/300")
		time.Sleep(500 * time.Millisecond)
		b.addTarget("engine-1", engineService, 1)
		if got := <-done; got.err != nil || !isComplete(got.body, attempt, 200) {
			t.Errorf("error %v, %d events; want 200", got.err, len(events(got.body)))
		}
		<-other
		b.checkOverlap(attempt)
	})
}

// An engine loses the answer of a stream before it begins, and the order to end the run is lost, turned away or carried out late. There was one
// order, beside the request that was sent again at once, so that two engines worked on it. Found by variants of review/7.
func TestStreamIsSentAgainOnceItsLostRunHasEnded(t *testing.T) {
	for _, c := range []struct {
		name   string
		orders int64
		// spoil serves the first orders.
		spoil http.HandlerFunc
	}{
		{"orders are turned away", 3, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) }},
		{"engine has no room for orders", 3, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }},
		{"connections of orders end", 2, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		{"an order gets no answer", 1, func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var orders atomic.Int64
			o := options{hosts: 1, engines: 4, wrapTarget: func(_ string, target http.Handler) http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/kv-move" && orders.Add(1) <= c.orders {
						c.spoil(w, r)
						return
					}
					target.ServeHTTP(w, r)
				})
			}}
			withTestbed(t, o, func(t *testing.T, b *testbed) {
				b.checkLostAtOnce(60)
				if n := orders.Load(); n <= c.orders {
					t.Errorf("%d orders, so the test shows nothing", n)
				}
			})
		})
	}
	for _, delay := range []time.Duration{900 * time.Millisecond, 2 * time.Second} {
		t.Run(fmt.Sprintf("control calls take %s", delay), func(t *testing.T) {
			withTestbed(t, options{hosts: 1, engines: 4, wrapTarget: slowControl(delay)}, func(_ *testing.T, b *testbed) { b.checkLostAtOnce(60) })
		})
	}
}

// checkLostAtOnce sends a stream that may be resumed and whose first answer is lost before it begins, and fails the test if it is
// incomplete or two engines work on it.
func (b *testbed) checkLostAtOnce(total int) {
	b.t.Helper()
	b.failNextRun(usherstandin.LosesAnswerAtOnce)
	got := b.post(b.hosts[0], fmt.Sprintf("/eligibility/%d", total))
	b.checkOverlap(got.attempt)
	if got.err != nil || !isComplete(got.body, got.attempt, total) {
		b.t.Errorf("error %v, %d events; want %d", got.err, len(events(got.body)), total)
	}
}

// An engine without a length or chunks loses an answer between two events, and turns the order to end the run away, or leaves it without an
// answer. The stream counted as complete, as one order showed no run that went on.
func TestUnframedStreamIsIncompleteUnlessItsRunWasAlreadyOver(t *testing.T) {
	refuses := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) }
	breaks := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	for name, spoil := range map[string]http.HandlerFunc{"order turned away": refuses, "order lost": breaks} {
		for _, path := range []string{"/appraisal/60", "/eligibility/60"} {
			t.Run(name+", "+path, func(t *testing.T) {
				var orders atomic.Int64
				o := options{hosts: 1, engines: 4, unframed: true, wrapTarget: func(_ string, target http.Handler) http.Handler {
					return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						if r.URL.Path == "/kv-move" && orders.Add(1) == 1 {
							spoil(w, r)
							return
						}
						target.ServeHTTP(w, r)
					})
				}}
				withTestbed(t, o, func(t *testing.T, b *testbed) {
					b.failNextRun(usherstandin.LosesAnswerLater)
					got := b.post(b.hosts[0], path)
					b.checkOverlap(got.attempt)
					if got.err != nil || !isComplete(got.body, got.attempt, 60) {
						t.Errorf("error %v, %d events; want 60", got.err, len(events(got.body)))
					}
				})
			})
		}
	}
}

// An engine loses the answer of a stream and asks for a rest when it is ordered to end the run. It was asked for its runs a second later.
func TestRestingEngineIsNotAskedForItsRuns(t *testing.T) {
	const rest = 4 * time.Second
	withTestbed(t, options{hosts: 1, engines: 4}, func(t *testing.T, b *testbed) {
		b.failNextRun(usherstandin.LosesAnswerLater)
		attempt, done := b.startStream(b.hosts[0], "/appraisal/100")
		for len(b.runsOf(attempt)) == 0 {
			time.Sleep(100 * time.Microsecond)
		}
		for _, target := range b.targets {
			target.AskForRest(fmt.Sprint(int(rest.Seconds())))
		}
		time.Sleep(rest)
		var asked time.Time
		for _, a := range b.targets[b.currentEngine(attempt)].Arrivals() {
			switch {
			case a.Path == "/kv-move" && asked.IsZero():
				asked = a.At
			case !asked.IsZero() && a.At.Sub(asked) < rest:
				t.Errorf("%s %s after the engine had asked for a rest of %s", a.Path, a.At.Sub(asked), rest)
			}
		}
		if asked.IsZero() {
			t.Error("the engine was not ordered to end the run, so the test shows nothing")
		}
		for _, target := range b.targets {
			target.AskForRest()
		}
		if got := <-done; got.err != nil || !isComplete(got.body, attempt, 100) {
			t.Errorf("error %v, %d events; want 100", got.err, len(events(got.body)))
		}
	})
}

// An engine that has named a limit loses the answer of a stream and turns orders to end the run away. The host repeated them five times a
// second, whatever the limit.
func TestRepeatedOrdersKeepTheLimitOfTheirEngine(t *testing.T) {
	withTestbed(t, options{hosts: 1, engines: 1}, func(t *testing.T, b *testbed) {
		engine := b.targets["engine-0"]
		engine.NameLimit(loneLimit)
		engine.RefuseMoves(true)
		b.failNextRun(usherstandin.LosesAnswerLater)
		b.addTarget("engine-1", engineService, 1)
		attempt, done := b.startStream(b.hosts[0], "/appraisal/150")
		const watched = 4 * time.Second
		time.Sleep(watched)
		calls := slices.DeleteFunc(engine.Arrivals(), func(a usherstandin.Arrival) bool { return a.Path != "/kv-move" && a.Path != "/report" })
		// The first order needs no turn, and a turn may be used late.
		if most := int(watched/loneTurn) + 2; len(calls) < 2 || len(calls) > most {
			t.Errorf("%d calls in %s, want 2 to %d", len(calls), watched, most)
		}
		engine.RefuseMoves(false)
		<-done
		b.checkOverlap(attempt)
	})
}
