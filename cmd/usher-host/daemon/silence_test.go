package daemon_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherpool"
	"github.com/samphireusher/samphireusher/platform/usherstandin"
	"github.com/samphireusher/samphireusher/service/usherhost"
)

// overlapAllowed is how long two engines may work on the same request: the time for the order to stop to arrive.
const overlapAllowed = 400 * time.Millisecond

// silence makes the open connections of a host to all engines carry nothing any more. New ones work.
func (b *testbed) silence(h *host, detection time.Duration) {
	for _, target := range b.targets {
		_, entry := target.Entry("ready")
		address := netip.MustParseAddrPort(entry.(map[string]any)["address"].(string))
		b.network.Silence(netip.MustParseAddr(h.ip), address.Addr(), detection)
	}
}

// checkOverlap fails the test if an engine worked on an attempt although it had gone on at a later one.
func (b *testbed) checkOverlap(attempt string) {
	b.t.Helper()
	var all []usherstandin.Run
	for _, runs := range b.runsOf(attempt) {
		all = append(all, runs...)
	}
	for _, earlier := range all {
		for _, later := range all {
			if later.StartedAt.After(earlier.StartedAt) && earlier.LastWork.Sub(later.StartedAt) > overlapAllowed {
				b.t.Errorf("an engine worked on the request for %s after it had gone on at another one", earlier.LastWork.Sub(later.StartedAt))
			}
		}
	}
}

// Connections to engines go silent without a reset while new ones work. The host closed the silent connection and resumed
// the stream from its copy, and the first engine, which had not learned of the close, worked on the same request. Found by
// review/1.
func TestStreamOnASilentConnectionIsStoppedBeforeItGoesOn(t *testing.T) {
	for _, c := range []struct {
		name, path string
		events     int
		detection  time.Duration
		// prepare changes the engines before the connections go silent.
		prepare func(b *testbed)
		// noMoves declares engines that take no order to end a run.
		noMoves bool
	}{
		{name: "stream that runs once", path: "/appraisal/250", events: 250},
		{name: "stream that runs once, on a connection that times out", path: "/appraisal/250", events: 250, detection: 3 * time.Second},
		{name: "stream that may be resumed", path: "/eligibility/120", events: 120},
		{name: "stream that may be resumed, on a connection that times out", path: "/eligibility/120", events: 120, detection: 500 * time.Millisecond},
		{name: "no engine has room for another copy", path: "/appraisal/250", events: 250, prepare: func(b *testbed) {
			for _, target := range b.targets {
				_, entry := target.Entry("ready")
				b.copies.SetFull(entry.(map[string]any)["address"].(string), true)
			}
		}},
		{name: "engines turn the order to stop away", path: "/appraisal/250", events: 250, prepare: refuseMoves},
		{name: "engines turn the order to stop away, on a connection that times out", path: "/appraisal/250", events: 250, detection: 3 * time.Second, prepare: refuseMoves},
		{name: "engines turn the order to stop a stream that may be resumed away", path: "/eligibility/90", events: 90, prepare: refuseMoves},
		{name: "engines take no such order", path: "/appraisal/250", noMoves: true},
		{name: "engines take no such order, and report none of their runs", path: "/appraisal/250", noMoves: true, prepare: func(b *testbed) {
			for _, target := range b.targets {
				target.HideRuns()
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTestbed(t, options{hosts: 1, engines: 4, editDeclarations: func(d map[string]any) {
				d["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)["moves"] = !c.noMoves
			}}, func(t *testing.T, b *testbed) {
				attempt, done := b.startStream(b.hosts[0], c.path)
				time.Sleep(time.Second)
				if c.prepare != nil {
					c.prepare(b)
				}
				b.silence(b.hosts[0], c.detection)
				got := <-done
				b.checkOverlap(attempt)
				if c.noMoves {
					// Nothing shows that the run has ended, so the stream must not go on elsewhere, nor look complete.
					if got.err == nil {
						t.Errorf("%d events as a complete stream", len(events(got.body)))
					}
					return
				}
				if got.err != nil || !isComplete(got.body, attempt, c.events) {
					t.Errorf("error %v, %d events; want %d", got.err, len(events(got.body)), c.events)
				}
			})
		})
	}
}

func refuseMoves(b *testbed) {
	for _, target := range b.targets {
		target.RefuseMoves(true)
	}
}

// The engine ends the run on request, and then no other engine takes the stream. It was cut although the engine that had run it
// keeps its KV cache.
func TestStreamThatNoOtherEngineTakesGoesOnAtItsOwn(t *testing.T) {
	for _, backups := range []bool{true, false} {
		t.Run(fmt.Sprint("backup copies ", backups), func(t *testing.T) {
			withTestbed(t, options{hosts: 1, engines: 4, editDeclarations: func(d map[string]any) {
				d["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)["backups"] = backups
			}}, func(t *testing.T, b *testbed) {
				attempt, done := b.startStream(b.hosts[0], "/appraisal/250")
				time.Sleep(time.Second)
				source := b.currentEngine(attempt)
				for id, target := range b.targets {
					if id == source {
						continue
					}
					target.SetFault(usherstandin.Refuses)
					_, entry := target.Entry("ready")
					b.copies.SetFull(entry.(map[string]any)["address"].(string), true)
				}
				// Only the host's end of the connection finds out that it is silent.
				b.silence(b.hosts[0], 3*time.Second)
				if got := <-done; got.err != nil || !isComplete(got.body, attempt, 250) {
					t.Errorf("error %v, %d events; want 250", got.err, len(events(got.body)))
				}
				b.checkOverlap(attempt)
			})
		})
	}
}

// A stream goes on at a second engine, which sends nothing, and the connection to it is silent. It went on at a third one at once, and
// the second one worked on the same request later.
func TestStreamIsStoppedAtEachEngineBeforeItGoesOn(t *testing.T) {
	withTestbed(t, options{hosts: 1, engines: 5, editDeclarations: func(d map[string]any) {
		d["routes"].([]any)[1].(map[string]any)["maxAttempts"], d["routes"].([]any)[1].(map[string]any)["timeoutMs"] = 4, 20000
	}}, func(t *testing.T, b *testbed) {
		attempt, done := b.startStream(b.hosts[0], "/eligibility/100")
		time.Sleep(time.Second)
		first := b.currentEngine(attempt)
		faults := &faultSequence{faults: []usherstandin.Fault{usherstandin.StallsBeforeFirstEvent}}
		for _, target := range b.targets {
			target.SetFaultSource(faults.next)
		}
		b.kill(first)
		time.Sleep(100 * time.Millisecond)
		if b.currentEngine(attempt) == first {
			t.Fatal("the stream has not gone on at a second engine")
		}
		b.silence(b.hosts[0], 0)
		if got := <-done; got.err != nil || !isComplete(got.body, attempt, 100) {
			t.Errorf("error %v, %d events; want 100", got.err, len(events(got.body)))
		}
		// The second engine begins to work after its stall.
		time.Sleep(5 * time.Second)
		b.checkOverlap(attempt)
	})
}

// An engine accepts the order to end a run and does not answer it. One that answers other calls meanwhile may still work on the
// request, so the stream must stay; one that answers none does not, and the stream goes on elsewhere.
func TestUnansweredOrderEndsNoRun(t *testing.T) {
	for _, c := range []struct {
		name, path string
		events     int
		hangs      bool
	}{
		{"stream that runs once, the engine is alive", "/appraisal/250", 250, false},
		{"stream that may be resumed, the engine is alive", "/eligibility/120", 120, false},
		{"stream that runs once, the engine hangs", "/appraisal/250", 250, true},
		{"stream that may be resumed, the engine hangs", "/eligibility/100", 100, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTestbed(t, options{hosts: 1, engines: 4}, func(t *testing.T, b *testbed) {
				attempt, done := b.startStream(b.hosts[0], c.path)
				time.Sleep(time.Second)
				source := b.targets[b.currentEngine(attempt)]
				source.IgnoreMoves()
				if c.hangs {
					source.Hang()
				}
				b.silence(b.hosts[0], 0)
				got := <-done
				if complete := got.err == nil && isComplete(got.body, attempt, c.events); complete != c.hangs {
					t.Errorf("error %v, %d events; want a complete stream: %t", got.err, len(events(got.body)), c.hangs)
				}
				if !c.hangs {
					b.checkOverlap(attempt)
				}
			})
		})
	}
}

// The first packet of the connection on which an engine would be ordered to end a run is lost. The engine counted as one that cannot
// be reached, and worked on the stream while it went on at another one.
func TestLostPacketEndsNoRun(t *testing.T) {
	withTestbed(t, options{hosts: 1, engines: 4}, func(t *testing.T, b *testbed) {
		attempt, done := b.startStream(b.hosts[0], "/appraisal/250")
		time.Sleep(time.Second)
		engine := b.targets[b.currentEngine(attempt)]
		_, entry := engine.Entry("ready")
		host, source := netip.MustParseAddr(b.hosts[0].ip), netip.MustParseAddrPort(entry.(map[string]any)["address"].(string)).Addr()
		b.network.Silence(host, source, 0)
		// The stream counts as stalled 3.6 s after its last event, and a connection may take 0.25 s.
		time.Sleep(3500 * time.Millisecond)
		b.network.Block(host, source)
		time.Sleep(400 * time.Millisecond)
		b.network.Unblock(host, source)
		unblocked := time.Now()
		if got := <-done; got.err != nil || !isComplete(got.body, attempt, 250) {
			t.Errorf("error %v, %d events; want 250", got.err, len(events(got.body)))
		}
		b.checkOverlap(attempt)
		if orders := slices.DeleteFunc(engine.Arrivals(), func(a usherstandin.Arrival) bool { return a.Path != "/kv-move" }); len(orders) > 0 && orders[0].At.Before(unblocked) {
			t.Error("no packet of an order was lost, so the test shows nothing")
		}
	})
}

// An engine that ends a run on request ends the response with its connection, as it ends all of them. That looked like the end of
// the stream.
func TestUnframedStreamThatIsStoppedIsNotComplete(t *testing.T) {
	for _, path := range []string{"/eligibility/20", "/appraisal/20"} {
		for _, loses := range []bool{false, true} {
			t.Run(fmt.Sprint(path, ", the answer to the order is lost: ", loses), func(t *testing.T) {
				withTestbed(t, options{hosts: 1, engines: 4, unframed: true, editDeclarations: func(d map[string]any) {
					// The stall lasts longer than both routes wait.
					for _, r := range d["routes"].([]any)[:2] {
						r.(map[string]any)["gapTargetMs"], r.(map[string]any)["goalMs"] = 100, 500
					}
				}}, func(t *testing.T, b *testbed) {
					faults := &faultSequence{faults: []usherstandin.Fault{usherstandin.StallsAfterFirstEvent}}
					for _, target := range b.targets {
						target.SetFaultSource(faults.next)
						if loses {
							target.LoseMoves()
						}
					}
					got := b.post(b.hosts[0], path)
					if got.err != nil || !isComplete(got.body, got.attempt, 20) {
						t.Errorf("error %v, events %v; want 20", got.err, events(got.body))
					}
					if b.logBuffer.count("run ordered to end") == 0 {
						t.Error("no run was ordered to end, so the test shows nothing")
					}
				})
			})
		}
	}
}

// The holder of a stream's copy answers with a whole failure, and its engines take no order to end a run. The failure ends the run;
// the caller was held until its time was over.
func TestFailureOfTheHolderEndsTheStreamAtOnce(t *testing.T) {
	withTestbed(t, options{hosts: 1, engines: 3, editDeclarations: func(d map[string]any) {
		d["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)["moves"] = false
	}}, func(t *testing.T, b *testbed) {
		attempt, done := b.startStream(b.hosts[0], "/appraisal/100")
		time.Sleep(time.Second)
		for _, target := range b.targets {
			target.SetFault(usherstandin.Fails)
		}
		b.kill(b.currentEngine(attempt))
		if got := <-done; got.err == nil || got.elapsed > 3*time.Second {
			t.Errorf("error %v after %s; want a stream that is cut at once", got.err, got.elapsed)
		}
	})
}

// Engines lose the answer of a run: its connection closes and the run goes on. The stream went on at another engine while the first one
// worked on it. Found by review/7.
func TestStreamWhoseAnswerIsLostIsStoppedBeforeItGoesOn(t *testing.T) {
	noMoves := func(d map[string]any) {
		d["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)["moves"] = false
	}
	fillMemory := func(b *testbed) {
		for _, target := range b.targets {
			_, entry := target.Entry("ready")
			b.copies.SetFull(entry.(map[string]any)["address"].(string), true)
		}
	}
	fillSlots := func(b *testbed) {
		for _, target := range b.targets {
			key, entry := target.Entry("ready")
			entry.(map[string]any)["slots"] = 1
			b.store.PutJSON(key, entry)
		}
		time.Sleep(time.Second)
		for range b.targets {
			b.startStream(b.hosts[0], "/eligibility/150")
		}
		time.Sleep(500 * time.Millisecond)
	}
	for _, c := range []struct {
		name, path string
		events     int
		prepare    func(b *testbed)
		// editDeclarations changes what is declared of the engines.
		editDeclarations func(d map[string]any)
	}{
		{name: "stream that runs once", path: "/appraisal/100", events: 100},
		{name: "stream that may be resumed", path: "/eligibility/100", events: 100},
		{name: "stream that runs once, engines turn the order to stop away", path: "/appraisal/100", events: 100, prepare: refuseMoves},
		{name: "stream that may be resumed, engines turn the order to stop away", path: "/eligibility/60", events: 60, prepare: refuseMoves},
		{name: "stream that may be resumed, no engine has room for a copy", path: "/eligibility/100", events: 100, prepare: fillMemory},
		{name: "stream that may be resumed, no engine has a slot for a copy", path: "/eligibility/100", events: 100, prepare: fillSlots},
		{name: "stream that runs once, engines take no such order", path: "/appraisal/100", events: 100, editDeclarations: noMoves},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTestbed(t, options{hosts: 1, engines: 4, editDeclarations: c.editDeclarations}, func(t *testing.T, b *testbed) {
				if c.prepare != nil {
					c.prepare(b)
				}
				faults := &faultSequence{faults: []usherstandin.Fault{usherstandin.LosesAnswerLater}}
				for _, target := range b.targets {
					target.SetFaultSource(faults.next)
				}
				got := b.post(b.hosts[0], c.path)
				b.checkOverlap(got.attempt)
				if got.err != nil || !isComplete(got.body, got.attempt, c.events) {
					t.Errorf("error %v, %d events; want %d", got.err, len(events(got.body)), c.events)
				}
			})
		})
	}
}

// An engine that takes no order to end a run breaks a stream off and ends the run. Streams that run once went on elsewhere at once; they
// must not be lost, although the end of the connection does not show that of the run any more.
func TestStreamGoesOnOnceTheReportShowsTheEndOfItsRun(t *testing.T) {
	for _, listed := range []bool{true, false} {
		t.Run(fmt.Sprint("report lists runs: ", listed), func(t *testing.T) {
			withTestbed(t, options{hosts: 1, engines: 4, editDeclarations: func(d map[string]any) {
				d["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)["moves"] = false
			}}, func(t *testing.T, b *testbed) {
				faults := &faultSequence{faults: []usherstandin.Fault{usherstandin.EndsInsideEvent}}
				for _, target := range b.targets {
					target.SetFaultSource(faults.next)
					if !listed {
						target.OmitRuns()
					}
				}
				got := b.post(b.hosts[0], "/appraisal/100")
				if complete := got.err == nil && isComplete(got.body, got.attempt, 100); complete != listed {
					t.Errorf("error %v, %d events; want a complete stream: %t", got.err, len(events(got.body)), listed)
				}
			})
		})
	}
}

// An engine loses the answer before it begins. The request was sent to another engine while the first one worked on it.
func TestLostRunIsStoppedWhenItsRequestIsSentAgain(t *testing.T) {
	withTestbed(t, options{hosts: 1, engines: 4}, func(t *testing.T, b *testbed) {
		faults := &faultSequence{faults: []usherstandin.Fault{usherstandin.LosesAnswerAtOnce}}
		for _, target := range b.targets {
			target.SetFaultSource(faults.next)
		}
		got := b.post(b.hosts[0], "/eligibility/60")
		b.checkOverlap(got.attempt)
		if got.err != nil || !isComplete(got.body, got.attempt, 60) {
			t.Errorf("error %v, %d events; want 60", got.err, len(events(got.body)))
		}
		for _, target := range b.targets {
			_, entry := target.Entry("ready")
			if address := entry.(map[string]any)["address"].(string); b.copies.Holds(address, "h-"+got.attempt) {
				t.Errorf("%s still holds a copy that nothing uses", address)
			}
		}
	})
}

// Engines that send neither a length nor chunks lose an answer between two events. The end of the connection looked like that of the
// stream.
func TestUnframedStreamWhoseAnswerIsLostIsNotComplete(t *testing.T) {
	for _, path := range []string{"/appraisal/60", "/eligibility/60"} {
		t.Run(path, func(t *testing.T) {
			withTestbed(t, options{hosts: 1, engines: 4, unframed: true}, func(t *testing.T, b *testbed) {
				faults := &faultSequence{faults: []usherstandin.Fault{usherstandin.LosesAnswerLater}}
				for _, target := range b.targets {
					target.SetFaultSource(faults.next)
				}
				got := b.post(b.hosts[0], path)
				b.checkOverlap(got.attempt)
				if got.err != nil || !isComplete(got.body, got.attempt, 60) {
					t.Errorf("error %v, %d events; want 60", got.err, len(events(got.body)))
				}
			})
		})
	}
}

// An engine crashes behind a silent connection, and a plain service gets its address. That turned the order to end the run away like an
// engine that works on, and the stream waited for it until its caller's time was over.
func TestStreamGoesOnOnceItsEnginesAddressIsAnothers(t *testing.T) {
	for _, path := range []string{"/appraisal/150", "/eligibility/100"} {
		t.Run(path, func(t *testing.T) {
			withTestbed(t, options{hosts: 1, engines: 4}, func(t *testing.T, b *testbed) {
				attempt, done := b.startStream(b.hosts[0], path)
				time.Sleep(time.Second)
				source := b.currentEngine(attempt)
				_, entry := b.targets[source].Entry("ready")
				address := entry.(map[string]any)["address"].(string)
				b.silence(b.hosts[0], 0)
				b.kill(source)
				b.store.Delete("servers/" + source)
				b.serve(netip.MustParseAddrPort(address), "successor", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.WriteHeader(http.StatusBadRequest)
				}))
				successor := usherstandin.NewTarget(usherstandin.TargetOptions{ID: "successor", Service: plainService, Address: address, DataCentre: dataCentres[0]}, b.copies)
				key, value := successor.Entry("ready")
				b.store.PutJSON(key, value)
				got := <-done
				if n := len(events(got.body)); got.err != nil || !isComplete(got.body, attempt, n) {
					t.Errorf("error %v after %s, %d events", got.err, got.elapsed, n)
				}
			})
		})
	}
}

// Engines turn the order to end a run away. The run did not count as work at its engine meanwhile, and other work was sent there.
func TestRunCountsAsWorkUntilItHasEnded(t *testing.T) {
	withTestbed(t, options{hosts: 1, engines: 4}, func(t *testing.T, b *testbed) {
		faults := &faultSequence{faults: []usherstandin.Fault{usherstandin.LosesAnswerLater}}
		for _, target := range b.targets {
			target.SetFaultSource(faults.next)
		}
		refuseMoves(b)
		attempt, done := b.startStream(b.hosts[0], "/appraisal/100")
		time.Sleep(time.Second)
		var dump struct {
			Targets []struct {
				ID   string         `json:"id"`
				Load usherpool.Load `json:"own"`
			} `json:"targets"`
		}
		body := b.getAt(b.hosts[0], adminPort, usherhost.DumpPath).body
		if err := json.Unmarshal([]byte(body), &dump); err != nil {
			t.Fatal(err)
		}
		source, streams := b.currentEngine(attempt), 0
		for _, target := range dump.Targets {
			if target.ID == source {
				streams = target.Load.Streams
			}
		}
		if streams != 1 {
			t.Errorf("%d streams count at the engine that works on one: %s", streams, body)
		}
		<-done
	})
}
