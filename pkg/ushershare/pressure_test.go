package ushershare_test

import (
	"math"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushershare"
)

// A host uses up its processor quota, runs into its memory limit, or has several times its part of the requests. What a calm
// host shows is no pressure.
func TestSignsOfPressure(t *testing.T) {
	for _, c := range []struct {
		name  string
		signs ushershare.Signs
		want  int
	}{
		{"calm", ushershare.Signs{Delay: 2 * time.Millisecond, Memory: 0.3, InProgress: 9, Part: 8}, 0},
		{"few requests elsewhere", ushershare.Signs{InProgress: 15, Part: 0.5}, 0},
		{"a third of each period throttled", ushershare.Signs{Delay: 6 * time.Millisecond}, 1},
		{"over half of each period throttled", ushershare.Signs{Delay: 18 * time.Millisecond}, 2},
		{"nearly all of each period throttled", ushershare.Signs{Delay: 42 * time.Millisecond}, 3},
		{"memory near the limit", ushershare.Signs{Memory: 0.94}, 3},
		{"callers behind one address", ushershare.Signs{InProgress: 40, Part: 9}, 2},
		{"no host is known", ushershare.Signs{InProgress: 3}, 0},
	} {
		if got := new(ushershare.Gauge).Update(time.Unix(1, 0), c.signs); got != c.want {
			t.Errorf("%s: level %d, want %d", c.name, got, c.want)
		}
	}
}

// Signs of pressure come and go from one second to the next. The level does not.
func TestLevelOfPressureFallsSlowly(t *testing.T) {
	var g ushershare.Gauge
	now := time.Unix(1, 0)
	changes, last := 0, 0
	for i := range 60 {
		signs := ushershare.Signs{}
		if i%2 == 0 {
			signs.Delay = 20 * time.Millisecond
		}
		level := g.Update(now.Add(time.Duration(i)*time.Second), signs)
		if level != last {
			changes++
		}
		last = level
	}
	if changes != 1 || last != 2 {
		t.Errorf("%d changes of the level in a minute, now %d; want one change, to 2", changes, last)
	}
	for i, want := range []int{1, 1, 0, 0} {
		if got := g.Update(now.Add(time.Duration(60+i)*time.Second), ushershare.Signs{}); got != want {
			t.Errorf("%d s after the last signs: level %d, want %d", i+2, got, want)
		}
	}
}

// Hosts of unequal capacity have unequal parts of the requests.
func TestPartOfRequestsFollowsCapacity(t *testing.T) {
	hosts := []ushershare.Host{host(0, "kochi", 800, 0), host(1, "kochi", 400, 0), host(2, "thrissur", 400, 0)}
	for name, want := range map[string]float64{hosts[0].Name: 0.5, hosts[1].Name: 0.25, "unknown": 0} {
		if got := ushershare.Part(hosts, name); math.Abs(got-want) > 1e-9 {
			t.Errorf("%s has a part of %v, want %v", name, got, want)
		}
	}
	if got := ushershare.Part(nil, "a"); got != 0 {
		t.Errorf("part %v of no hosts, want 0", got)
	}
}
