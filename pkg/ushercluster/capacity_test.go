package ushercluster_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/samphireusher/samphireusher/pkg/ushercluster"
)

// describe returns what a host of data centre x says of itself.
func describe(name string, milliCores uint32) ushercluster.Member {
	return ushercluster.Member{Name: name, DataCentre: "x", Incarnation: 1, State: ushercluster.Serving, Capacity: ushercluster.Capacity{MilliCores: milliCores}}
}

// Hosts of an older version neither send nor pass on capacities.
func TestOldHostsNeitherSendNorRemoveCapacities(t *testing.T) {
	unnamed, err := cbor.Marshal(describe("b", 0))
	if err != nil {
		t.Fatal(err)
	}
	var fields map[int]any
	if err := cbor.Unmarshal(unnamed, &fields); err != nil || len(fields) != 6 {
		t.Errorf("a member without capacity is encoded as %v, error %v; want the six fields of older hosts", fields, err)
	}
	now := time.Unix(1000, 0)
	c := ushercluster.New(describe("a", 0), nil, rand.New(rand.NewPCG(1, 1)))
	c.Receive(now, ushercluster.Report{From: describe("b", 192)})
	passedOn := ushercluster.Report{From: describe("old", 0), Peers: []ushercluster.PeerInfo{{Member: describe("b", 0)}}}
	if changed := c.Receive(now, passedOn); len(changed) != 1 {
		t.Errorf("changed members %v, want only the sender", changed)
	}
	if b := c.Alive(now)[0]; b.Capacity.MilliCores != 192 {
		t.Errorf("capacity %v after an older host described the member, want 192 thousandths of a core", b.Capacity)
	}
}

// The collector of a data centre has much more work than the other hosts: it is the strongest, and its loss hands over to
// the next strongest, for all hosts within the failure timeout.
func TestStrongestHostIsCollectorAndItsLossHandsOver(t *testing.T) {
	f := newFleet(27, 3)
	for i, milliCores := range map[int]uint32{1: 480, 4: 480, 6: 480, 9: 800} {
		h := f.hosts[address(i)].Self()
		h.Capacity = ushercluster.Capacity{MilliCores: milliCores, LinkMbps: 25}
		f.hosts[address(i)] = ushercluster.New(h, []netip.AddrPort{address(0)}, rand.New(rand.NewPCG(2, uint64(i))))
	}
	check := func(when string, want ...string) {
		t.Helper()
		for _, a := range f.order {
			if f.down[a] {
				continue
			}
			for i, placer := range f.hosts[a].Placers(f.now)[:len(want)] {
				if placer.Name != want[i] {
					t.Errorf("%s: %s has %s as placer %d, want %s", when, f.hosts[a].Self().Name, placer.Name, i, want[i])
				}
			}
			if c := f.hosts[a]; c.Self().DataCentre == "dc-0" && c.Collector(f.now).Name != want[0] {
				t.Errorf("%s: %s reports to %s, want %s", when, c.Self().Name, c.Collector(f.now).Name, want[0])
			}
		}
	}
	f.run(3 * time.Second)
	check("running", "host-009", "host-006", "host-001", "host-004")
	f.down[address(9)] = true
	f.run(ushercluster.IndirectFailureTimeout + time.Second)
	check("after a loss", "host-006", "host-000", "host-001", "host-004")
	f.hosts[address(6)].SetState(ushercluster.Stopping)
	f.run(time.Second)
	check("while the next one stops", "host-000", "host-003", "host-001", "host-004")
	f.start(9, []netip.AddrPort{address(0)}, 2)
	f.run(time.Second)
	check("after a restart without a named capacity", "host-000", "host-003", "host-001", "host-004")
	f.checkPlaces(t)
}
