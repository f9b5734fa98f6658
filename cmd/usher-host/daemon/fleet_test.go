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
	// maxConfigDelay is the time after its acknowledgement within which a configuration must take effect. The users
	// specify it.
	maxConfigDelay = 2 * time.Second
	// maxDrainDelay is the time after its draining state was published during which a target may still get requests.
	maxDrainDelay = 2 * time.Second
)

func mustAddr(ip string) netip.Addr { return netip.MustParseAddr(ip) }

// hostsServing returns the number of hosts that serve a path.
func (b *testbed) hostsServing(path string) int {
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

// The store refuses calls from just the hosts that read it while operators change the configuration. Other hosts must
// take over the reading.
func TestConfigurationTakesEffectWhileReadersAreRefused(t *testing.T) {
	for name, mode := range map[string]usherstandin.Mode{
		"none": usherstandin.Serving, "busy": usherstandin.Unavailable, "too many": usherstandin.TooManyRequests, "reset": usherstandin.Reset, "silent": usherstandin.Unresponsive,
	} {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, options{hosts: 9, plainTargets: 3}, func(t *testing.T, b *testbed) {
				for i := range 3 {
					b.store.SetMode(hostIP(i), mode)
				}
				b.declare(5, addRoute("new"))
				time.Sleep(maxConfigDelay)
				if n := b.hostsServing("/new/"); n != 9 {
					t.Errorf("configuration in effect on %d of 9 hosts after %s", n, maxConfigDelay)
				}
			})
		})
	}
}

func TestOneHostReadsTheStore(t *testing.T) {
	withTestbed(t, options{hosts: 9, plainTargets: 1}, func(t *testing.T, b *testbed) {
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
			t.Errorf("%d hosts made %d calls in 10 s without changes; want one host and at most 12 calls, as each waits for a change", readers, calls)
		}
	})
}

// After an outage some hosts still wait for a response of the store, and a change is too large for a datagram. These hosts
// must get it from their peers. Found by the benchmark run fresh-6e99 on himig-loans-grown.
func TestHostWaitingForTheStoreLearnsFromPeers(t *testing.T) {
	withTestbed(t, options{hosts: 9, plainTargets: 3}, func(t *testing.T, b *testbed) {
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
		time.Sleep(maxConfigDelay)
		if n := b.hostsServing("/new/"); n != 9 {
			t.Errorf("configuration in effect on %d of 9 hosts after %s", n, maxConfigDelay)
		}
	})
}

// The store is slow, and while its response with two changes is on its way, a peer sends the reader the first of them. The
// reader must still pass both on to its peers. Found by code review after the benchmark run hunt-5085-3 on
// himig-loans-grown.
func TestPeersGetWhatTheReaderKnewAlready(t *testing.T) {
	withTestbed(t, options{hosts: 3, plainTargets: 2}, func(t *testing.T, b *testbed) {
		b.store.SetWatchDelay(100 * time.Millisecond)
		next := b.store.Revision() + 1
		b.sendPeerChange(hostIP(0), next, ushercatalog.Entry{
			Key: ushercatalog.Key{Kind: ushercatalog.TargetEntry, Name: "plain-0"}, Revision: next, Removed: true,
		})
		b.store.Delete("servers/plain-0")
		b.store.PutJSON("servers/another", map[string]any{})
		time.Sleep(maxDrainDelay)
		ran := len(b.targets["plain-0"].Runs())
		for _, h := range b.hosts {
			for range 8 {
				b.get(h, "/status/")
			}
		}
		if n := len(b.targets["plain-0"].Runs()) - ran; n != 0 {
			t.Errorf("a deleted target got %d requests", n)
		}
	})
}

func TestAnotherHostReadsTheStoreAfterTheReaderDies(t *testing.T) {
	withTestbed(t, options{hosts: 9, plainTargets: 1}, func(t *testing.T, b *testbed) {
		dead := b.hosts[0]
		dead.cancel()
		b.declare(2, addRoute("new"))
		time.Sleep(maxConfigDelay)
		b.hosts = b.hosts[1:]
		if n := b.hostsServing("/new/"); n != 8 {
			t.Errorf("configuration in effect on %d of 8 hosts", n)
		}
		b.hosts = append(b.hosts, dead)
	})
}

// The store compacts its history while targets leave and the configuration changes. The hosts must list all entries again.
func TestChangesAreFoundAfterHistoryCompaction(t *testing.T) {
	withTestbed(t, options{hosts: 3, plainTargets: 2}, func(t *testing.T, b *testbed) {
		b.store.SetMode("", usherstandin.Unavailable)
		b.publish("plain-0", "draining")
		b.store.Delete("servers/plain-1")
		b.addTarget("plain-9", plainService, 9)
		b.declare(3, addRoute("new"))
		b.store.CompactHistory()
		time.Sleep(5 * time.Second)
		b.store.SetMode("", usherstandin.Serving)
		time.Sleep(maxConfigDelay)
		if n := b.hostsServing("/new/"); n != 3 {
			t.Errorf("configuration in effect on %d of 3 hosts", n)
		}
		if runs := len(b.targets["plain-0"].Runs()) + len(b.targets["plain-1"].Runs()); runs != 0 {
			t.Errorf("draining and deleted targets ran %d requests", runs)
		}
	})
}

// Entries expire while the store is unavailable. Running targets publish theirs again within 2 s of its return, and must
// be used meanwhile. A target whose entry is still missing after that is no longer used.
func TestEntriesThatExpiredDuringAnOutageAreAwaited(t *testing.T) {
	withTestbed(t, options{hosts: 3, plainTargets: 3}, func(t *testing.T, b *testbed) {
		b.store.SetMode("", usherstandin.Unavailable)
		time.Sleep(3 * time.Second)
		for _, target := range b.targets {
			key, _ := target.Entry("ready")
			b.store.Delete(key)
		}
		b.store.SetMode("", usherstandin.Serving)
		storeReturned := time.Now()
		for republished := false; time.Since(storeReturned) < 2*time.Second; time.Sleep(50 * time.Millisecond) {
			if !republished && time.Since(storeReturned) > 1350*time.Millisecond {
				republished = true
				b.publish("plain-0", "ready")
				b.publish("plain-1", "ready")
			}
			for _, h := range b.hosts {
				if got := b.get(h, "/status/"); got.status != http.StatusOK {
					t.Fatalf("%s: status %d %s after the store's return", h.name, got.status, time.Since(storeReturned))
				}
			}
		}
		time.Sleep(1500 * time.Millisecond)
		for _, h := range b.hosts {
			body := b.getAt(h, adminPort, usherhost.DumpPath).body
			if strings.Contains(body, `"plain-2"`) || strings.Count(body, `"accepts": true`) != 2 {
				t.Errorf("%s: wrong set of targets %s after the store's return: %s", h.name, time.Since(storeReturned), body)
			}
		}
	})
}

// A target that was draining before an outage of the store must not be used after it, and one whose entry is deleted while
// the store is available must be dropped at once.
func TestTargetsThatLeftAreNotAwaited(t *testing.T) {
	withTestbed(t, options{hosts: 3, plainTargets: 3}, func(t *testing.T, b *testbed) {
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
			if body := b.getAt(h, adminPort, usherhost.DumpPath).body; strings.Count(body, `"accepts": true`) != 1 {
				t.Errorf("%s: want exactly one target that accepts requests: %s", h.name, body)
			}
		}
	})
}

// Some hosts lose their connection to the store while a target drains and a key is revoked. They must learn both from
// their peers.
func TestHostCutOffFromTheStoreLearnsFromPeers(t *testing.T) {
	withTestbed(t, options{hosts: 9, plainTargets: 3}, func(t *testing.T, b *testbed) {
		store := mustAddr(storeIP)
		for i := range 4 {
			b.network.Block(mustAddr(hostIP(i)), store)
			b.network.Block(store, mustAddr(hostIP(i)))
		}
		b.publish("plain-2", "draining")
		b.declare(4, func(d map[string]any) {
			d["tenants"] = []any{map[string]any{"name": "weavers", "apiKeys": []string{"another"}}}
		})
		time.Sleep(maxDrainDelay + time.Second)
		ran := len(b.targets["plain-2"].Runs())
		for _, h := range b.hosts {
			if got := b.get(h, "/status/"); got.status != http.StatusUnauthorized {
				t.Errorf("%s: status %d for a revoked key, want 401", h.name, got.status)
			}
		}
		if len(b.targets["plain-2"].Runs()) != ran {
			t.Error("a draining target still gets requests")
		}
	})
}

func TestLeavingTargetsAndEvacuatedDataCentresGetNoRequests(t *testing.T) {
	withTestbed(t, options{hosts: 3, engines: 6, plainTargets: 3}, func(t *testing.T, b *testbed) {
		b.publish("plain-0", "draining")
		b.store.Delete("servers/engine-1")
		b.store.PutJSON("op/evacuate/"+dataCentres[2], map[string]any{})
		time.Sleep(maxDrainDelay)
		start := time.Now()
		for _, h := range b.hosts {
			for range 4 {
				b.get(h, "/status/")
				b.post(h, "/eligibility/1")
			}
		}
		for _, id := range []string{"plain-0", "engine-1", "plain-2", "engine-2", "engine-5"} {
			for _, run := range b.targets[id].Runs() {
				if run.StartedAt.After(start) {
					t.Errorf("%s got a request after it left or its data centre was evacuated", id)
				}
			}
		}
		b.store.Delete("op/evacuate/" + dataCentres[2])
		time.Sleep(maxConfigDelay)
		for range 20 {
			b.post(b.hosts[2], "/eligibility/1")
		}
		if len(b.targets["engine-2"].Runs())+len(b.targets["engine-5"].Runs()) == 0 {
			t.Error("a data centre gets no requests after its evacuation ended")
		}
	})
}

func TestMalformedEntriesAreIgnored(t *testing.T) {
	withTestbed(t, options{hosts: 1, plainTargets: 1}, func(t *testing.T, b *testbed) {
		b.store.Put("servers/bad-1", []byte("\xff\x00 no JSON"))
		b.store.PutJSON("servers/bad-2", map[string]any{"service": 7, "address": "10.128.2.9:8080"})
		b.store.PutJSON("servers/bad-3", map[string]any{"service": plainService, "address": "10.128.2.9:8080", "zone": "kochi", "slots": 1, "state": "odd"})
		b.store.Put("op/config", []byte("{"))
		b.store.Put("other/key", []byte("x"))
		time.Sleep(time.Second)
		for range 4 {
			if got := b.get(b.hosts[0], "/status/"); got.status != http.StatusOK {
				t.Errorf("response %+v", got)
			}
		}
		if n := b.logBuffer.count("published entry could not be decoded"); n != 4 {
			t.Errorf("%d log lines about malformed entries, want 4", n)
		}
	})
}

func TestPlannedStopLosesNoRequests(t *testing.T) {
	withTestbed(t, options{hosts: 3, engines: 3, plainTargets: 2}, func(t *testing.T, b *testbed) {
		h := b.hosts[0]
		attempt, done := b.startStream(h, "/appraisal/150")
		time.Sleep(time.Second)
		b.stop(h)
		time.Sleep(300 * time.Millisecond)
		if got := b.getAt(h, readyPort, "/readyz"); got.status == http.StatusOK {
			t.Error("a stopping host reports that it is ready")
		}
		if list := b.resolvedAddresses(b.hosts[1]); strings.Contains(list, h.ip) || !strings.Contains(list, hostIP(1)) {
			t.Errorf("another host advertises %s; want itself and not the stopping host", list)
		}
		// Callers that do not know of the stop yet are served, or refused if they could not be served to the end.
		if got := b.get(h, "/status/"); got.status != http.StatusOK || !got.announcesClose {
			t.Errorf("short call to a stopping host: %+v", got)
		}
		if got := b.post(h, "/appraisal/150"); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
			t.Errorf("long stream to a stopping host: %+v", got)
		}
		if got := <-done; got.err != nil || !isComplete(got.body, attempt, 150) {
			t.Errorf("stream in progress: error %v after %d events", got.err, len(events(got.body)))
		}
		select {
		case err := <-h.done:
			if err != nil {
				t.Error(err)
			}
			h.done <- nil
		case <-time.After(8 * time.Second):
			t.Error("the host did not exit within 8 s of its last response")
		}
	})
}

func TestDeadHostIsNotAdvertised(t *testing.T) {
	withTestbed(t, options{hosts: 9}, func(t *testing.T, b *testbed) {
		b.hosts[4].cancel()
		time.Sleep(2 * time.Second)
		for i, h := range b.hosts {
			if i == 4 {
				continue
			}
			if list := b.resolvedAddresses(h); strings.Contains(list, hostIP(4)+":") || strings.Count(list, "10.1.0.") != 8 {
				t.Errorf("%s advertises %s; want the 8 running hosts", h.name, list)
			}
		}
		if n := b.logBuffer.count(`"hosts lost"`); n != 8 {
			t.Errorf("%d hosts logged the loss, want the 8 running ones", n)
		}
	})
}

// The store is slow, and a list has more pages than fit into the timeout of one call. A host that starts then never learned
// the targets. By the users' specification a slow store still responds, and hosts serve within 15 s of a restart.
func TestLongListOfASlowStoreCompletes(t *testing.T) {
	withTestbed(t, options{hosts: 1, plainTargets: 1}, func(t *testing.T, b *testbed) {
		_, entry := b.targets["plain-0"].Entry("ready")
		for i := range 150 {
			b.store.PutJSON(fmt.Sprintf("servers/a-%03d", i), entry)
		}
		b.hosts[0].cancel()
		b.store.SetMode("", usherstandin.Delayed)
		time.Sleep(time.Second)
		h := b.startHost(1)
		time.Sleep(15 * time.Second)
		if got := b.getAt(h, readyPort, "/readyz"); got.status != http.StatusOK {
			t.Errorf("not ready 15 s after the start: %d", got.status)
		}
	})
}
