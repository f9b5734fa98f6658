package daemon_test

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/samphireusher/samphireusher/pkg/ushercluster"
)

// Each host of a large fleet noticed the end of a limit only in its own next turn, up to a minute later, and refused callers until
// then.
func TestEndOfALimitReachesAllHosts(t *testing.T) {
	const path = "/allotment/x"
	for _, c := range []struct {
		limit  string
		hosts  int
		within time.Duration
	}{{"1", 40, 4 * time.Second}, {"4.9", 40, 4 * time.Second}, {"20", 40, 4 * time.Second}, {"0", 9, 8 * time.Second}} {
		t.Run(fmt.Sprintf("%s a second, %d hosts", c.limit, c.hosts), func(t *testing.T) {
			withTestbed(t, options{hosts: c.hosts, plainTargets: 1}, func(t *testing.T, b *testbed) {
				target := b.targets["plain-0"]
				target.NameLimit(c.limit)
				b.surge(path, 100, 6*time.Second)
				if n := b.logBuffer.count(`"target names a limit"`); n != c.hosts {
					t.Fatalf("%d of %d hosts know of the limit, so the test shows nothing", n, c.hosts)
				}
				target.NameLimit()
				b.surge(path, 100, c.within)
				refused := 0
				for _, got := range b.surge(path, 100, 3*time.Second) {
					if got.status != http.StatusOK {
						refused++
					}
				}
				if refused > 0 {
					t.Errorf("%d of 300 calls are refused from %s on after the end of the limit", refused, c.within)
				}
				if n := b.logBuffer.count(`"kind":"limit"`); n != c.hosts {
					t.Errorf("%d log lines tell of the end, of %d hosts", n, c.hosts)
				}
				// The next limit holds as the first did.
				target.NameLimit(c.limit)
				again := time.Now()
				b.surge(path, 100, 8*time.Second)
				if excess := limitExcess(target.Arrivals(), fromAddress); excess != "" {
					t.Error(excess)
				}
				if n := b.logBuffer.count(`"kind":"limit"`); n != c.hosts {
					t.Errorf("%d log lines tell of the end of a limit, of %d hosts, after it has been named again", n, c.hosts)
				}
				t.Logf("%d requests in 8 s with the next limit", len(b.requestsAfter("plain-0", again)))
			})
		})
	}
}

// Hosts that never knew of a limit pass its end on, without waiting for their next report, to those that keep it.
func TestEndOfALimitPassesHostsThatNeverKnewIt(t *testing.T) {
	withTestbed(t, options{hosts: 40, plainTargets: 1}, func(t *testing.T, b *testbed) {
		target := b.targets["plain-0"]
		target.NameLimit("1")
		knowing := b.hosts[8:20]
		for _, h := range knowing {
			b.post(h, "/allotment/x")
		}
		target.NameLimit()
		time.Sleep(2 * time.Second)
		for end := time.Now().Add(2 * time.Minute); b.logBuffer.count(`"kind":"limit"`) == 0 && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			b.post(knowing[0], "/allotment/x")
		}
		time.Sleep(100 * time.Millisecond)
		if n := b.logBuffer.count(`"kind":"limit"`); n != len(knowing) {
			t.Errorf("%d hosts know of the end after 0.2 s, want all %d that knew of the limit", n, len(knowing))
		}
	})
}

// sendLimitEnds sends a host notices of limits that have ended, as a peer does.
func (b *testbed) sendLimitEnds(h *host, notices ...map[int]any) {
	b.t.Helper()
	peer := netip.AddrPortFrom(netip.MustParseAddr(callerIP), peerPort)
	data, err := cbor.Marshal(map[int]any{
		1: 1, 2: ushercluster.Report{From: ushercluster.Member{Name: "peer", DataCentre: "elsewhere", Address: peer, Incarnation: 1}}, 4: time.Hour, 19: notices,
	})
	if err != nil {
		b.t.Fatal(err)
	}
	conn, err := b.network.ListenPacket(peer)
	if err != nil {
		b.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.WriteTo(data, net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(h.ip), peerPort))); err != nil {
		b.t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
}

// A peer's word ends the limit of that incarnation at that address only, and only if the target can't have named it to this host
// since then. No word begins a limit.
func TestPeersEndOnlyLimitsNamedBefore(t *testing.T) {
	notice := func(change map[int]any) map[int]any {
		n := map[int]any{1: "plain-0", 2: 7, 3: netip.MustParseAddrPort(fmt.Sprint("10.128.2.1:", targetPort)), 4: 500 * time.Millisecond}
		for key, value := range change {
			n[key] = value
		}
		return n
	}
	twelve := make([]map[int]any, 12)
	for i := range twelve {
		twelve[i] = notice(map[int]any{1: fmt.Sprint("unknown-", i)})
	}
	for _, c := range []struct {
		name string
		// since is the time since the target named the limit.
		since   time.Duration
		notices []map[int]any
		ends    bool
	}{
		{"named long before", 2 * time.Second, []map[int]any{notice(nil)}, true},
		{"named long before an old notice", 8 * time.Second, []map[int]any{notice(map[int]any{4: 4900 * time.Millisecond})}, true},
		{"named within the margin", 1200 * time.Millisecond, []map[int]any{notice(nil)}, false},
		{"named later", 2 * time.Second, []map[int]any{notice(map[int]any{4: 3 * time.Second})}, false},
		{"too old", 20 * time.Second, []map[int]any{notice(map[int]any{4: 6 * time.Second})}, false},
		{"from the future", 2 * time.Second, []map[int]any{notice(map[int]any{4: -time.Second})}, false},
		{"least age", 2 * time.Second, []map[int]any{notice(map[int]any{4: math.MinInt64})}, false},
		{"greatest age", 2 * time.Second, []map[int]any{notice(map[int]any{4: math.MaxInt64})}, false},
		{"another incarnation", 2 * time.Second, []map[int]any{notice(map[int]any{2: 6})}, false},
		{"another address", 2 * time.Second, []map[int]any{notice(map[int]any{3: netip.MustParseAddrPort("10.128.2.9:80")})}, false},
		{"another target", 2 * time.Second, []map[int]any{notice(map[int]any{1: "plain-9"})}, false},
		{"the last of twelve", 2 * time.Second, append(append([]map[int]any{}, twelve[1:]...), notice(nil)), true},
		{"beyond twelve", 2 * time.Second, append(append([]map[int]any{}, twelve...), notice(nil)), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTestbed(t, options{hosts: 1, plainTargets: 1}, func(t *testing.T, b *testbed) {
				b.publishAgain("plain-0", 7)
				time.Sleep(time.Second)
				b.sendLimitEnds(b.hosts[0], notice(nil))
				if got := b.post(b.hosts[0], "/allotment/x"); got.status != http.StatusOK {
					t.Fatalf("status %d without a limit", got.status)
				}
				b.targets["plain-0"].NameLimit("0")
				b.awaitLimit("/allotment/x")
				time.Sleep(c.since)
				b.sendLimitEnds(b.hosts[0], c.notices...)
				if ended := b.logBuffer.count(`"source":"peer","target":"plain-0","incarnation":7,"kind":"limit"`) == 1; ended != c.ends {
					t.Errorf("the limit ends: %t, want %t", ended, c.ends)
				}
			})
		})
	}
}
