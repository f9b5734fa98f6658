package daemon_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/platform/usherstandin"
	"github.com/samphireusher/samphireusher/service/usherhost"
)

const (
	// configTime is how long after its acknowledgement a configuration is in force, from the users' sheets.
	configTime = 2 * time.Second
	// drainTime is how long after it was published a leaving target may still get requests.
	drainTime = 2 * time.Second
)

func mustAddr(ip string) netip.Addr { return netip.MustParseAddr(ip) }

// inForce counts the hosts on which a route is known.
func (b *bed) inForce(path string) int {
	n := 0
	for _, h := range b.hosts {
		if got := b.get(h, path); got.status == http.StatusOK {
			n++
		}
	}
	return n
}

func addRoute(name string) func(d map[string]any) {
	return func(d map[string]any) {
		d["routes"] = append(d["routes"].([]any), map[string]any{
			"name": name, "host": hostName, "prefix": "/" + name + "/", "routeKind": "safe", "service": plainService, "timeoutMs": 1000, "maxAttempts": 2,
		})
	}
}

// The pattern: the store turns away just the hosts that read it, and operators change the configuration meanwhile.
func TestConfigurationIsInForceWhereReadersAreTurnedAway(t *testing.T) {
	for name, mode := range map[string]usherstandin.Mode{
		"none": usherstandin.Serving, "busy": usherstandin.Unavailable, "too many": usherstandin.TooManyRequests, "reset": usherstandin.Reset, "silent": usherstandin.Unresponsive,
	} {
		t.Run(name, func(t *testing.T) {
			inBed(t, options{hosts: 9, plain: 3}, func(t *testing.T, b *bed) {
				for i := range 3 {
					b.store.SetMode(hostIP(i), mode)
				}
				b.declare(5, addRoute("new"))
				time.Sleep(configTime)
				if n := b.inForce("/new/"); n != 9 {
					t.Errorf("in force on %d of 9 hosts after %s", n, configTime)
				}
			})
		})
	}
}

func TestOneHostReadsTheStore(t *testing.T) {
	inBed(t, options{hosts: 9, plain: 1}, func(t *testing.T, b *bed) {
		before := b.store.Calls()
		time.Sleep(10 * time.Second)
		readers, calls := 0, 0
		for ip, n := range b.store.Calls() {
			if n > before[ip] {
				readers++
				calls += n - before[ip]
			}
		}
		if readers != 1 || calls > 12 {
			t.Errorf("%d hosts made %d calls in 10 s without changes; want one host, each call waiting", readers, calls)
		}
	})
}

// The pattern: after an outage some hosts still wait for an answer, and the change is too large for a datagram. Found by the
// bench's fresh-6e99 on himig-loans-grown.
func TestHostThatWaitsForTheStoreFollowsItsPeers(t *testing.T) {
	inBed(t, options{hosts: 9, plain: 3}, func(t *testing.T, b *bed) {
		b.store.SetMode("", usherstandin.Unresponsive)
		time.Sleep(6 * time.Second)
		for i := 3; i < 9; i++ {
			b.store.SetMode(hostIP(i), usherstandin.Unresponsive)
		}
		b.store.SetMode("", usherstandin.Serving)
		b.declare(5, func(d map[string]any) {
			addRoute("new")(d)
			for i := range 50 {
				d["tenants"] = append(d["tenants"].([]any), map[string]any{"name": fmt.Sprint("workspace-", i), "apiKeys": []string{fmt.Sprintf("key-of-workspace-%020d", i)}})
			}
		})
		time.Sleep(configTime)
		if n := b.inForce("/new/"); n != 9 {
			t.Errorf("in force on %d of 9 hosts after %s", n, configTime)
		}
	})
}

// The pattern: the store is slow, and while its answer with two changes is on its way, a peer tells the reader the first
// one. Found by reading after the bench's hunt-5085-3 on himig-loans-grown.
func TestPeersGetWhatTheReaderKnewAlready(t *testing.T) {
	inBed(t, options{hosts: 3, plain: 2}, func(t *testing.T, b *bed) {
		b.store.SetWatchDelay(100 * time.Millisecond)
		next := b.store.Revision() + 1
		b.tell(hostIP(0), next, ushercatalog.Entry{
			Key: ushercatalog.Key{Kind: ushercatalog.Replica, Name: "plain-0"}, Revision: next, Removed: true,
		})
		b.store.Delete("servers/plain-0")
		b.store.PutJSON("servers/another", map[string]any{})
		time.Sleep(drainTime)
		ran := len(b.targets["plain-0"].Runs())
		for _, h := range b.hosts {
			for range 8 {
				b.get(h, "/status/")
			}
		}
		if n := len(b.targets["plain-0"].Runs()) - ran; n != 0 {
			t.Errorf("a target that is gone got %d requests", n)
		}
	})
}

func TestNewReaderTakesOverWhereOneDies(t *testing.T) {
	inBed(t, options{hosts: 9, plain: 1}, func(t *testing.T, b *bed) {
		dead := b.hosts[0]
		dead.cancel()
		b.declare(2, addRoute("new"))
		time.Sleep(configTime)
		b.hosts = b.hosts[1:]
		if n := b.inForce("/new/"); n != 8 {
			t.Errorf("in force on %d of 8 hosts", n)
		}
		b.hosts = append(b.hosts, dead)
	})
}

// The pattern: the store forgets its history while a target leaves.
func TestChangesAreFoundAfterTheStoreForgot(t *testing.T) {
	inBed(t, options{hosts: 3, plain: 2}, func(t *testing.T, b *bed) {
		b.store.SetMode("", usherstandin.Unavailable)
		b.publish("plain-0", "draining")
		b.store.Delete("servers/plain-1")
		b.addTarget("plain-9", plainService, 9)
		b.declare(3, addRoute("new"))
		b.store.CompactHistory()
		time.Sleep(5 * time.Second)
		b.store.SetMode("", usherstandin.Serving)
		time.Sleep(configTime)
		if n := b.inForce("/new/"); n != 3 {
			t.Errorf("in force on %d of 3 hosts", n)
		}
		if runs := len(b.targets["plain-0"].Runs()) + len(b.targets["plain-1"].Runs()); runs != 0 {
			t.Errorf("targets that left ran %d requests", runs)
		}
	})
}

// The pattern: entries lapse while the store is away. Those of live servers are back within two seconds of its return; one
// that is missing after that is gone.
func TestEntriesThatLapsedWithTheStoreAreWaitedFor(t *testing.T) {
	inBed(t, options{hosts: 3, plain: 3}, func(t *testing.T, b *bed) {
		b.store.SetMode("", usherstandin.Unavailable)
		time.Sleep(3 * time.Second)
		for _, target := range b.targets {
			key, _ := target.Entry("ready")
			b.store.Delete(key)
		}
		b.store.SetMode("", usherstandin.Serving)
		back := time.Now()
		for returned := false; time.Since(back) < 2*time.Second; time.Sleep(50 * time.Millisecond) {
			if !returned && time.Since(back) > 1350*time.Millisecond {
				returned = true
				b.publish("plain-0", "ready")
				b.publish("plain-1", "ready")
			}
			for _, h := range b.hosts {
				if got := b.get(h, "/status/"); got.status != http.StatusOK {
					t.Fatalf("%s answers %d %s after the store's return", h.name, got.status, time.Since(back))
				}
			}
		}
		time.Sleep(1500 * time.Millisecond)
		for _, h := range b.hosts {
			body := b.plain(h, adminPort, usherhost.DumpPath).body
			if strings.Contains(body, `"plain-2"`) || strings.Count(body, `"accepts": true`) != 2 {
				t.Errorf("%s %s after the store's return: %s", h.name, time.Since(back), body)
			}
		}
	})
}

// A server that was leaving before the store went away does not come back, and one that leaves while the store answers is
// gone at once.
func TestServersThatLeftAreNotWaitedFor(t *testing.T) {
	inBed(t, options{hosts: 3, plain: 3}, func(t *testing.T, b *bed) {
		b.publish("plain-0", "draining")
		time.Sleep(time.Second)
		key, _ := b.targets["plain-1"].Entry("ready")
		b.store.Delete(key)
		time.Sleep(time.Second)
		b.store.SetMode("", usherstandin.Unavailable)
		time.Sleep(2 * time.Second)
		key, _ = b.targets["plain-0"].Entry("draining")
		b.store.Delete(key)
		b.store.SetMode("", usherstandin.Serving)
		time.Sleep(1500 * time.Millisecond)
		for _, h := range b.hosts {
			if body := b.plain(h, adminPort, usherhost.DumpPath).body; strings.Count(body, `"accepts": true`) != 1 {
				t.Errorf("%s: %s", h.name, body)
			}
		}
	})
}

// The pattern: hosts are cut off from the store while targets leave and keys are taken away.
func TestHostCutOffFromTheStoreLearnsFromPeers(t *testing.T) {
	inBed(t, options{hosts: 9, plain: 3}, func(t *testing.T, b *bed) {
		store := mustAddr(storeIP)
		for i := range 4 {
			b.network.Block(mustAddr(hostIP(i)), store)
			b.network.Block(store, mustAddr(hostIP(i)))
		}
		b.publish("plain-2", "draining")
		b.declare(4, func(d map[string]any) {
			d["tenants"] = []any{map[string]any{"name": "weavers", "apiKeys": []string{"another"}}}
		})
		time.Sleep(drainTime + time.Second)
		ran := len(b.targets["plain-2"].Runs())
		for _, h := range b.hosts {
			if got := b.get(h, "/status/"); got.status != http.StatusUnauthorized {
				t.Errorf("%s: a key that was taken away gets %d", h.name, got.status)
			}
		}
		if len(b.targets["plain-2"].Runs()) != ran {
			t.Error("a target that leaves still gets requests")
		}
	})
}

func TestLeavingTargetsAndEvacuatedDataCentresGetNothing(t *testing.T) {
	inBed(t, options{hosts: 3, engines: 6, plain: 3}, func(t *testing.T, b *bed) {
		b.publish("plain-0", "draining")
		b.store.Delete("servers/engine-1")
		b.store.PutJSON("op/evacuate/"+places[2], map[string]any{})
		time.Sleep(drainTime)
		begun := time.Now()
		for _, h := range b.hosts {
			for range 4 {
				b.get(h, "/status/")
				b.post(h, "/eligibility/1")
			}
		}
		for _, id := range []string{"plain-0", "engine-1", "plain-2", "engine-2", "engine-5"} {
			for _, run := range b.targets[id].Runs() {
				if run.StartedAt.After(begun) {
					t.Errorf("%s got a request", id)
				}
			}
		}
		b.store.Delete("op/evacuate/" + places[2])
		time.Sleep(configTime)
		for range 20 {
			b.post(b.hosts[2], "/eligibility/1")
		}
		if len(b.targets["engine-2"].Runs())+len(b.targets["engine-5"].Runs()) == 0 {
			t.Error("a data centre that was taken back gets no requests")
		}
	})
}

func TestUnreadableEntriesHarmNothing(t *testing.T) {
	inBed(t, options{hosts: 1, plain: 1}, func(t *testing.T, b *bed) {
		b.store.Put("servers/bad-1", []byte("\xff\x00 no JSON"))
		b.store.PutJSON("servers/bad-2", map[string]any{"service": 7, "address": "10.128.2.9:8080"})
		b.store.PutJSON("servers/bad-3", map[string]any{"service": plainService, "address": "10.128.2.9:8080", "zone": "kochi", "slots": 1, "state": "odd"})
		b.store.Put("op/config", []byte("{"))
		b.store.Put("other/key", []byte("x"))
		time.Sleep(time.Second)
		for range 4 {
			if got := b.get(b.hosts[0], "/status/"); got.status != http.StatusOK {
				t.Errorf("answer %+v", got)
			}
		}
		if n := b.lines.count("published entry not readable"); n != 4 {
			t.Errorf("%d lines about unreadable entries, want 4", n)
		}
	})
}

func TestPlannedStopCutsNothing(t *testing.T) {
	inBed(t, options{hosts: 3, engines: 3, plain: 2}, func(t *testing.T, b *bed) {
		h := b.hosts[0]
		attempt, done := b.beginStream(h, "/appraisal/150")
		time.Sleep(time.Second)
		b.stop(h)
		time.Sleep(300 * time.Millisecond)
		if got := b.plain(h, readyPort, "/readyz"); got.status == http.StatusOK {
			t.Error("a stopping host is ready")
		}
		if list := b.located(b.hosts[1]); strings.Contains(list, h.ip) || !strings.Contains(list, hostIP(1)) {
			t.Errorf("callers are sent to %s", list)
		}
		// Callers that do not know it yet are served, or sent elsewhere where they could not be served to the end.
		if got := b.get(h, "/status/"); got.status != http.StatusOK || !got.closes {
			t.Errorf("a call to a stopping host: %+v", got)
		}
		if got := b.post(h, "/appraisal/150"); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
			t.Errorf("a long stream to a stopping host: %+v", got)
		}
		if got := <-done; got.err != nil || !whole(got.body, attempt, 150) {
			t.Errorf("the stream in progress: %v after %d events", got.err, len(events(got.body)))
		}
		select {
		case err := <-h.done:
			if err != nil {
				t.Error(err)
			}
			h.done <- nil
		case <-time.After(8 * time.Second):
			t.Error("the host does not end")
		}
	})
}

func TestDeadHostIsNotNamed(t *testing.T) {
	inBed(t, options{hosts: 9}, func(t *testing.T, b *bed) {
		b.hosts[4].cancel()
		time.Sleep(2 * time.Second)
		for i, h := range b.hosts {
			if i == 4 {
				continue
			}
			if list := b.located(h); strings.Contains(list, hostIP(4)+":") || strings.Count(list, "10.1.0.") != 8 {
				t.Errorf("%s names %s", h.name, list)
			}
		}
	})
}

// The pattern: the store is slow, and lists have more pages than a call's time allows. A host that starts then never learns the
// targets. By the users' pages a slow store still answers, and hosts serve again within 15 s of a restart.
func TestLongListsOfASlowStoreComeToAnEnd(t *testing.T) {
	inBed(t, options{hosts: 1, plain: 1}, func(t *testing.T, b *bed) {
		_, entry := b.targets["plain-0"].Entry("ready")
		for i := range 150 {
			b.store.PutJSON(fmt.Sprintf("servers/a-%03d", i), entry)
		}
		b.hosts[0].cancel()
		b.store.SetMode("", usherstandin.Delayed)
		time.Sleep(time.Second)
		h := b.startHost(1)
		time.Sleep(15 * time.Second)
		if got := b.plain(h, readyPort, "/readyz"); got.status != http.StatusOK {
			t.Errorf("not ready 15 s after the start: %d", got.status)
		}
	})
}
