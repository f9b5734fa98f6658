package ushercluster_test

import (
	"math/rand/v2"
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
