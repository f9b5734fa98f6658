package ushercluster_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercluster"
)

// knowingPressure returns the number of running hosts that know of a level of pressure of host i.
func (f *fleet) knowingPressure(i int, level uint8) int {
	n := 0
	for _, a := range f.order {
		if !f.down[a] && f.hosts[a].Pressure(f.now, f.hosts[address(i)].Self().Name) == level {
			n++
		}
	}
	return n
}

// One host of a fleet comes under pressure, and it ends. All know both within a second, and no state has changed.
func TestPressureIsKnownToAllWithinASecond(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{3, 30, 300} {
		f := newFleetOf(hosts, 3, 3)
		f.run(5 * time.Second)
		pressed := hosts - 1
		for _, level := range []uint8{2, 3, 0} {
			f.hosts[address(pressed)].SetPressure(f.now, level)
			f.run(time.Second)
			if n := f.knowingPressure(pressed, level); n != hosts {
				t.Errorf("%d of %d hosts know of level %d after a second", n, hosts, level)
			}
		}
		if n := f.countKnowing(hosts - 1); n != hosts {
			t.Errorf("%d of %d hosts know all others", n, hosts)
		}
	}
}

// A host under pressure is lost. Others forget its pressure, and what they still tell of it does not keep it alive.
func TestPressureOfLostHostIsForgotten(t *testing.T) {
	for _, hosts := range []int{9, 27} {
		f := newFleet(hosts, 3)
		f.run(3 * time.Second)
		lost := hosts - 1
		f.hosts[address(lost)].SetPressure(f.now, 3)
		f.run(time.Second)
		f.down[address(lost)] = true
		f.run(ushercluster.PressureTimeout + 500*time.Millisecond)
		if n := f.knowingPressure(lost, 0); n != hosts-1 {
			t.Errorf("%d of %d hosts have forgotten the pressure of a lost host", n, hosts-1)
		}
		f.run(ushercluster.IndirectFailureTimeout)
		if n := f.countKnowing(hosts - 2); n != hosts-1 {
			t.Errorf("%d of %d hosts have detected the loss", n, hosts-1)
		}
		f.start(lost, nil, 2)
		f.run(2 * time.Second)
		if n := f.knowingPressure(lost, 0); n != hosts {
			t.Errorf("%d of %d hosts hold no pressure against the next incarnation", n, hosts)
		}
	}
}

// Reports arrive late, out of order, damaged, or with levels of hosts that count as gone.
func TestStaleAndMalformedPressureCountsForNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	c := ushercluster.New(describe("a", 0), nil, rand.New(rand.NewPCG(1, 1)))
	pressed := ushercluster.New(describe("b", 0), nil, rand.New(rand.NewPCG(1, 2)))
	pressed.Receive(now, ushercluster.Report{From: describe("c", 0)})
	pressed.SetPressure(now, 3)
	early := pressed.Report(now)
	pressed.SetPressure(now.Add(time.Second), 0)
	late := pressed.Report(now.Add(time.Second))
	c.Receive(now.Add(time.Second), late)
	relayed := ushercluster.Report{From: describe("c", 0), Pressures: append([]byte{}, early.Pressures...)}
	relayed.Pressures[5] = 60
	c.Receive(now.Add(time.Second), relayed)
	if level := c.Pressure(now.Add(time.Second), "b"); level != 0 {
		t.Errorf("level %d after an older report, want 0", level)
	}
	c.Receive(now.Add(3*time.Second), early)
	if level := c.Pressure(now.Add(3*time.Second+ushercluster.PressureTimeout), "b"); level != 0 {
		t.Errorf("level %d after the time-out, want 0", level)
	}
	gone := now.Add(time.Minute)
	c.Receive(gone, relayed)
	for _, m := range c.Alive(gone) {
		if m.Name == "b" {
			t.Error("a level of pressure brought a lost host back")
		}
	}
	for n := range 20 {
		c.Receive(gone, ushercluster.Report{From: describe("c", 0), Pressures: make([]byte, n*7)})
	}
}
