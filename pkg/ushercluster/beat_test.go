package ushercluster_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercluster"
)

// A host that is behind a standstill, or on a machine that was suspended, must not tell others that what it had heard before is fresh.
func TestSuspendedHostDoesNotTellFreshAges(t *testing.T) {
	now := time.Unix(1000, 0)
	c := ushercluster.New(ushercluster.Member{Name: "a", DataCentre: "x", Incarnation: 1}, nil, rand.New(rand.NewPCG(1, 1)))
	c.Receive(now, ushercluster.Report{From: ushercluster.Member{Name: "b", DataCentre: "x", Incarnation: 1}, Beat: 1})
	if len(c.Alive(now)) != 1 {
		t.Fatal("a host that was just heard of counts as gone")
	}
	now = now.Add(500 * time.Millisecond)
	if peers := c.Report(now).Peers; len(peers) != 1 || peers[0].Age != 500*time.Millisecond || peers[0].Beat != 1 {
		t.Errorf("told %+v after a suspension of 0.5 s", peers)
	}
	now = now.Add(ushercluster.FailureTimeout)
	if alive, told := c.Alive(now), c.Report(now).Peers; len(alive) > 0 || len(told) > 0 {
		t.Errorf("alive %v, told %+v after a suspension beyond the failure time-out", alive, told)
	}
}

// Two hosts stand still just before a data centre loses power, and go on seconds later. They took what had waited for them for news, and
// told all others so. Found by review/5.
func TestReportsReadLateDoNotBringLostHostsBack(t *testing.T) {
	const hosts = 12
	f := newFleet(hosts, 3)
	f.run(10 * time.Second)
	f.standing[address(1)], f.standing[address(4)] = nil, nil
	f.run(ushercluster.ReportInterval)
	lost := map[string]bool{}
	for i := 2; i < hosts; i += 3 {
		f.down[address(i)] = true
		lost[f.hosts[address(i)].Self().Name] = true
	}
	f.run(4 * time.Second)
	f.goOn()
	f.run(2 * time.Second)
	for range 24 {
		for _, a := range f.order {
			for _, m := range f.hosts[a].Alive(f.now) {
				if !f.down[a] && lost[m.Name] {
					t.Fatalf("%s takes %s for alive 6 s after it was lost", f.hosts[a].Self().Name, m.Name)
				}
			}
		}
		f.run(ushercluster.ReportInterval)
	}
}

// A report of a host's incarnation is received after that of the one that has replaced it.
func TestReplacedIncarnationDoesNotComeBack(t *testing.T) {
	f := newFleet(9, 3)
	f.run(3 * time.Second)
	outdated := f.hosts[address(5)].Report(f.now)
	f.start(5, []netip.AddrPort{address(0)}, 2)
	f.run(2 * time.Second)
	f.deliver(address(0), outdated)
	for _, m := range f.hosts[address(0)].Alive(f.now) {
		if m.Address == address(5) && m.Incarnation != 2 {
			t.Errorf("host 5 counts as running with incarnation %d, want 2", m.Incarnation)
		}
	}
}

// A host's clock is set back for good, as when its virtual machine is stopped and its clocks with it. Its beats are late from then on.
func TestHostWhoseClockIsSetBackIsKnownAgain(t *testing.T) {
	f := newFleet(9, 3)
	f.run(10 * time.Second)
	f.slow[address(7)] = 4 * time.Second
	f.run(11 * time.Second)
	if n := f.countKnowing(8); n != 9 {
		t.Errorf("%d of 9 hosts know all others 11 s later", n)
	}
}

// Clocks run at slightly different speeds.
func TestSlowClockKeepsHostKnown(t *testing.T) {
	f := newFleet(9, 3)
	f.run(5 * time.Second)
	for range 600 {
		f.slow[address(3)] += ushercluster.ReportInterval / 100
		f.run(ushercluster.ReportInterval)
		if n := f.countKnowing(8); n != 9 {
			t.Fatalf("%d of 9 hosts know all others with a clock that is %s behind", n, f.slow[address(3)])
		}
	}
}

// A report with a beat that cannot be, as from a faulty host, must not make all that is heard later seem outdated.
func TestImplausibleBeatIsIgnored(t *testing.T) {
	f := newFleet(9, 3)
	f.run(5 * time.Second)
	sound := f.hosts[address(4)].Status(f.now)
	for _, beat := range []uint64{1 << 63, 1 << 41, sound.Beat + 30_000, sound.Beat + 7_000} {
		r := sound
		r.Beat = beat
		f.deliver(address(0), r)
		f.deliver(address(1), ushercluster.Report{From: f.hosts[address(2)].Self(), Peers: []ushercluster.PeerInfo{{Member: sound.From, Beat: beat}}})
	}
	for range 40 {
		f.run(ushercluster.ReportInterval)
		if n := f.countKnowing(8); n != 9 {
			t.Fatalf("%d of 9 hosts know all others", n)
		}
	}
}

// A host that has started again, or of which no beat was heard, looks like a known one by its name only. What waited of it can't be dated.
func TestOnlyAStartWhoseBeatWasHeardIsKnown(t *testing.T) {
	now := time.Unix(1000, 0)
	first, again := ushercluster.Member{Name: "b", DataCentre: "x", Incarnation: 1}, ushercluster.Member{Name: "b", DataCentre: "x", Incarnation: 2}
	c := ushercluster.New(ushercluster.Member{Name: "a", DataCentre: "x", Incarnation: 1}, nil, rand.New(rand.NewPCG(1, 1)))
	if c.Knows(first) {
		t.Error("a host that was never heard of is known")
	}
	c.Receive(now, ushercluster.Report{From: first})
	if c.Knows(first) {
		t.Error("a host without a beat is known")
	}
	c.Receive(now, ushercluster.Report{From: first, Beat: 1})
	if !c.Knows(first) || c.Knows(again) {
		t.Errorf("first start known %t, second %t; want only the first", c.Knows(first), c.Knows(again))
	}
}
