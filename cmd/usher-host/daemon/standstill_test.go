package daemon_test

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercluster"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
	"github.com/samphireusher/samphireusher/service/usherhost"
)

// settled is when a host that stood still names hosts again.
const settled = 350 * time.Millisecond

// lostHostTime is how long after hosts were lost other hosts may still name them to callers, from the users' pages.
const lostHostTime = 6 * time.Second

// Hosts stand still just before a data centre loses power, and go on seconds later. Datagrams of the lost hosts had waited in
// their sockets; they took them for news and told all others, so callers were sent to hosts without power. Found by review/5.
func TestHostsThatStoodStillDoNotBringLostHostsBack(t *testing.T) {
	newcomer := elsewhere
	newcomer.Name, newcomer.State, newcomer.CallerAddress = "newcomer", ushercluster.Serving, netip.MustParseAddrPort("10.1.9.9:8740")
	// pausedAt is when the machines of the two were suspended, or zero.
	var pausedAt atomic.Int64
	started, begin := 0, time.Time{}
	o := options{hosts: 12, plainTargets: 3, editPlatform: func(p *usherhost.Platform) {
		stands := started == 1 || started == 4
		if started == 0 {
			begin = time.Now().Add(-time.Hour)
		}
		started++
		p.Uptime = func() time.Duration {
			// A stand-in's process goes on in virtual time, so only the clock of the machine shows that it stood still.
			if at := pausedAt.Load(); stands && at > 0 {
				return time.Duration(at)
			}
			return time.Since(begin)
		}
	}}
	withTestbed(t, o, func(t *testing.T, b *testbed) {
		pausedAt.Store(int64(time.Since(begin)))
		for _, i := range []int{1, 4} {
			b.network.Pause(mustAddr(hostIP(i)))
		}
		// The first report of a host that nobody knew waits as well. No beat tells how old it is.
		b.sendPeerReport(hostIP(1), elsewhere, map[int]any{2: ushercluster.Report{From: newcomer, Beat: 1}})
		time.Sleep(100 * time.Millisecond)
		lost := time.Now()
		for _, i := range []int{2, 5, 8, 11} {
			b.network.Pause(mustAddr(hostIP(i)))
		}
		time.Sleep(4 * time.Second)
		pausedAt.Store(0)
		for _, i := range []int{1, 4} {
			b.network.Resume(mustAddr(hostIP(i)))
		}
		time.Sleep(settled)
		if list := b.resolvedAddresses(b.hosts[1]); strings.Contains(list, newcomer.CallerAddress.String()) {
			t.Errorf("%s names a host that it has heard of in a report that had waited", b.hosts[1].name)
		}
		time.Sleep(time.Until(lost.Add(lostHostTime)))
		for time.Since(lost) < 2*lostHostTime {
			for _, i := range []int{0, 1, 3, 4} {
				list := b.resolvedAddresses(b.hosts[i])
				for _, gone := range []int{2, 5, 8, 11} {
					if strings.Contains(list, fmt.Sprint(hostIP(gone), ":")) {
						t.Fatalf("%s names %s %s after it was lost", b.hosts[i].name, b.hosts[gone].name, time.Since(lost))
					}
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		if n := b.logBuffer.count("process stood still"); n != 2 {
			t.Errorf("%d standstills noticed, want 2", n)
		}
	})
}

type (
	// pausingNetwork lets the process stand still once more, for pause, after the given number of datagrams.
	pausingNetwork struct {
		usherhost.Network
		datagrams *atomic.Int64
		pause     time.Duration
	}

	pausingPacketConn struct {
		net.PacketConn
		network pausingNetwork
	}
)

func (n pausingNetwork) ListenPacket(address netip.AddrPort) (net.PacketConn, error) {
	conn, err := n.Network.ListenPacket(address)
	return pausingPacketConn{conn, n}, err
}

func (c pausingPacketConn) ReadFrom(data []byte) (int, net.Addr, error) {
	n, from, err := c.PacketConn.ReadFrom(data)
	if c.network.datagrams.Load() > 0 && c.network.datagrams.Add(-1) == 0 {
		time.Sleep(c.network.pause)
	}
	return n, from, err
}

// A host starts while another one stands still, and is lost before that one goes on. The quota of processor time ends while what has waited
// is read, so the first report of the lost host was read too late to be dropped, and the host was named for its whole time-out.
func TestFirstReportThatWaitedIsDroppedHoweverLateItIsRead(t *testing.T) {
	newcomer := elsewhere
	newcomer.Name, newcomer.State, newcomer.CallerAddress = "newcomer", ushercluster.Serving, netip.MustParseAddrPort("10.1.9.9:8740")
	var pausedAt, datagrams atomic.Int64
	started, begin := 0, time.Time{}
	o := options{hosts: 12, editPlatform: func(p *usherhost.Platform) {
		if started == 0 {
			begin = time.Now().Add(-time.Hour)
		}
		stands := started == 1
		started++
		p.Uptime = func() time.Duration {
			if at := pausedAt.Load(); stands && at > 0 {
				return time.Duration(at)
			}
			return time.Since(begin)
		}
		if stands {
			// A quota ends for the rest of a tenth of a second.
			p.Network = pausingNetwork{p.Network, &datagrams, 90 * time.Millisecond}
		}
	}}
	withTestbed(t, o, func(t *testing.T, b *testbed) {
		pausedAt.Store(int64(time.Since(begin)))
		b.network.Pause(mustAddr(hostIP(1)))
		time.Sleep(4 * time.Second)
		b.sendPeerReport(hostIP(1), elsewhere, map[int]any{2: ushercluster.Report{From: newcomer, Beat: 1}})
		// All others are gone for the host that stands still.
		time.Sleep(time.Second)
		datagrams.Store(10)
		pausedAt.Store(0)
		b.network.Resume(mustAddr(hostIP(1)))
		for i := range 20 {
			time.Sleep(100 * time.Millisecond)
			list := b.resolvedAddresses(b.hosts[1])
			if i == 5 && !strings.Contains(list, hostIP(0)+":") {
				t.Errorf("%s does not name a host that it knew before and that runs: %s", b.hosts[1].name, list)
			}
			if strings.Contains(list, newcomer.CallerAddress.String()) {
				t.Fatalf("%s names a host that it has heard of in a report that had waited", b.hosts[1].name)
			}
		}
	})
}

// A machine is suspended, and the steady clock of its process does not count that. Hosts that were lost meanwhile seemed to have been heard of just now.
func TestSuspendedHostDoesNotNameHostsThatItHeardBefore(t *testing.T) {
	var suspended atomic.Int64
	started := 0
	o := options{hosts: 3, editPlatform: func(p *usherhost.Platform) {
		begin, isFirst := time.Now().Add(-time.Hour), started == 0
		started++
		p.Uptime = func() time.Duration {
			if isFirst {
				return time.Since(begin) + time.Duration(suspended.Load())
			}
			return time.Since(begin)
		}
	}}
	withTestbed(t, o, func(t *testing.T, b *testbed) {
		b.network.Pause(mustAddr(hostIP(2)))
		suspended.Store(int64(2 * ushercluster.FailureTimeout))
		time.Sleep(settled + 100*time.Millisecond)
		if list := b.resolvedAddresses(b.hosts[0]); !strings.Contains(list, hostIP(0)) || strings.Contains(list, hostIP(2)) {
			t.Errorf("%s names %s; want itself and not the host that it last heard before the suspension", b.hosts[0].name, list)
		}
	})
}

// A report waits for seconds, though its process did not stand still. What it says of the moment counted as if it had just been sent.
func TestReportReadLateIsNoNews(t *testing.T) {
	withTestbed(t, options{hosts: 1, plainTargets: 2}, func(t *testing.T, b *testbed) {
		b.sendPeerReport(hostIP(0), elsewhere, map[int]any{2: ushercluster.Report{From: elsewhere, Beat: 1000}})
		time.Sleep(4 * time.Second)
		// This notice was given before the entry of the target was read, and sent four seconds ago.
		b.sendPeerReport(hostIP(0), elsewhere, map[int]any{
			2: ushercluster.Report{From: elsewhere, Beat: 1001}, 8: map[string]usherpool.Load{"plain-0": {Calls: 77}},
			16: []map[int]any{{1: "plain-0", 2: 1, 3: 3 * time.Second}},
		})
		b.sendPeerReport(hostIP(0), elsewhere, map[int]any{2: ushercluster.Report{From: elsewhere, Beat: 1001}, 24: map[int]any{1: plainService}})
		if metrics := b.getAt(b.hosts[0], adminPort, usherhost.MetricsPath).body; !strings.Contains(metrics, "peers.late 2\n") {
			t.Errorf("want two late messages, one of them dropped: %s", metrics)
		}
		body := b.getAt(b.hosts[0], adminPort, usherhost.DumpPath).body
		if strings.Count(body, `"accepts": true`) != 2 || strings.Contains(body, "77") {
			t.Errorf("want two targets that accept requests, without load: %s", body)
		}
	})
}
