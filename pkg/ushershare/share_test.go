package ushershare_test

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushershare"
)

const questions = 10_000

func host(number int, dataCentre string, milliCores, linkMbps uint32) ushershare.Host {
	return ushershare.Host{Name: fmt.Sprintf("edge-%s-%d", dataCentre, number), DataCentre: dataCentre, MilliCores: milliCores, LinkMbps: linkMbps}
}

// unequalFleet has three data centres, each with strong hosts, some of half their capacity by processors, and many of a fifth by
// their links.
func unequalFleet() []ushershare.Host {
	var hosts []ushershare.Host
	for _, dataCentre := range []string{"kochi", "kozhikode", "thrissur"} {
		for i := range 20 {
			switch {
			case i < 2:
				hosts = append(hosts, host(i, dataCentre, 1000, 100))
			case i < 8:
				hosts = append(hosts, host(i, dataCentre, 500, 100))
			default:
				hosts = append(hosts, host(i, dataCentre, 1000, 20))
			}
		}
	}
	return hosts
}

func caller(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}) }

func names(hosts []ushershare.Host) []string {
	var out []string
	for _, h := range hosts {
		out = append(out, h.Name)
	}
	return out
}

// connections returns the part of all connections that each host gets if many callers ask, and the number of hosts named to
// each at the mean.
func connections(hosts []ushershare.Host, dataCentre string) (parts map[string]float64, named float64) {
	now := time.Unix(1e9, 0)
	parts = map[string]float64{}
	for i := range questions {
		chosen := ushershare.Choose(hosts, dataCentre, ushershare.Seed(caller(i), dataCentre, now))
		named += float64(len(chosen)) / questions
		for _, h := range chosen {
			parts[h.Name] += 1 / float64(len(chosen)) / questions
		}
	}
	return parts, named
}

// Hosts of a fleet differ in processors and links. Connections follow capacity.
func TestConnectionsFollowUnequalCapacity(t *testing.T) {
	hosts := unequalFleet()
	parts, named := connections(hosts, "kochi")
	// Of the fleet's 51 cores and 3,120 Mbit/s, strong hosts have 1.96% and 3.2%, middle ones 0.98% and 3.2%, weak ones 1.96% and
	// 0.64%.
	carry := func(h ushershare.Host) float64 { return min(float64(h.MilliCores)/51_000, float64(h.LinkMbps)/3_120) }
	total := 0.0
	for _, h := range hosts {
		total += carry(h)
	}
	for _, h := range hosts {
		if got, want := parts[h.Name], carry(h)/total; math.Abs(got-want) > 0.15*want {
			t.Errorf("%s with %d mcores and %d Mbit/s gets %.4f of the connections, want %.4f", h.Name, h.MilliCores, h.LinkMbps, got, want)
		}
	}
	if named < 20 || named > 30 {
		t.Errorf("%.1f hosts are named at the mean, want about 26: 6 + 18 x 0.5 + 36 x 0.33", named)
	}
}

// One data centre of a very large fleet is asked for. Its hosts are named as far as 64 addresses would be theirs among equals.
func TestHostsOfTheCallersDataCentreComeFirstInLargeUnequalFleet(t *testing.T) {
	var hosts []ushershare.Host
	for i := range 300 {
		hosts = append(hosts, host(i, []string{"kannur", "kochi", "kozhikode", "thrissur", "trivandrum"}[i%5], []uint32{800, 192, 192, 192}[i%4], 0))
	}
	parts, named := connections(hosts, "kochi")
	remote := 0.0
	for _, h := range hosts {
		if h.DataCentre != "kochi" {
			remote += parts[h.Name]
		}
	}
	if remote == 0 || remote > 0.09 || named < 15 || named > 35 {
		t.Errorf("%.3f of the connections go to other data centres, want some and at most 0.09: 4 of 64 among equals; %.1f hosts named", remote, named)
	}
	for i := range 100 {
		chosen := ushershare.Choose(hosts, "kochi", ushershare.Seed(caller(i), "kochi", time.Unix(1e9, 0)))
		if chosen[len(chosen)-1].DataCentre == "kochi" || len(chosen) < ushershare.MinAddresses {
			t.Errorf("caller %d is told %v, want at least 8 and one of another data centre", i, names(chosen))
		}
	}
}

// All hosts are equal, name no capacity, or are all under the same pressure: callers are told what they were told before capacities
// were known.
func TestEqualHostsAreNamedInOrder(t *testing.T) {
	for _, h := range []ushershare.Host{{}, {MilliCores: 192}, {LinkMbps: 10}, {MilliCores: 192, LinkMbps: 10}, {Pressure: 2}} {
		for _, size := range []int{0, 1, 5, 64, 90, 300} {
			var hosts, want []ushershare.Host
			for i := range size {
				h.Name, h.DataCentre = fmt.Sprintf("edge-%d", i), fmt.Sprint("dc-", i*7%3)
				hosts = append(hosts, h)
			}
			for _, local := range []bool{true, false} {
				for _, h := range hosts {
					if (h.DataCentre == "dc-1") == local && len(want) < 64 {
						want = append(want, h)
					}
				}
			}
			if got := ushershare.Choose(hosts, "dc-1", ushershare.Seed(caller(1), "dc-1", time.Unix(1e9, 0))); !slices.Equal(got, want) {
				t.Errorf("%d hosts like %+v: named %v, want %v", size, h, names(got), names(want))
			}
		}
	}
}

// One of twelve equal hosts is under pressure. It is named less by each level, and no other host's connections are dropped.
func TestHostUnderPressureIsNamedLess(t *testing.T) {
	var hosts []ushershare.Host
	for i := range 12 {
		hosts = append(hosts, host(i, "kochi", 192, 10))
	}
	for level, want := range []float64{1, 0.5, 0.25, 0.125} {
		hosts[5].Pressure = level
		parts, _ := connections(hosts, "kochi")
		if got := parts[hosts[5].Name] / parts[hosts[6].Name]; math.Abs(got-want) > 0.1*want {
			t.Errorf("at level %d the host gets %.3f of what others get, want %.3f", level, got, want)
		}
		chosen := ushershare.Choose(hosts, "kochi", 1)
		if len(chosen) < 11 {
			t.Errorf("at level %d other hosts are left out: named %v", level, names(chosen))
		}
	}
}

// A host of an unequal fleet is lost, or comes under pressure: callers keep all their other connections.
func TestChoiceForOneCallerIsStable(t *testing.T) {
	hosts := unequalFleet()
	now := time.Unix(1e9, 0)
	for i := range 200 {
		seed := ushershare.Seed(caller(i), "kochi", now)
		before := names(ushershare.Choose(hosts, "kochi", seed))
		pressed := slices.Clone(hosts)
		pressed[0].Pressure = ushershare.MaxPressure
		for _, changed := range [][]ushershare.Host{hosts[1:], pressed} {
			after := names(ushershare.Choose(changed, "kochi", seed))
			for _, name := range before {
				if name != hosts[0].Name && !slices.Contains(after, name) {
					t.Errorf("caller %d is not told of %s any more", i, name)
				}
			}
		}
	}
	changes := 0
	for minute := range 60 {
		at := now.Add(time.Duration(minute) * time.Minute)
		if ushershare.Seed(caller(1), "kochi", at) != ushershare.Seed(caller(1), "kochi", at.Add(time.Minute)) {
			changes++
		}
	}
	if changes != 12 {
		t.Errorf("a caller's seed changes %d times in an hour, want 12", changes)
	}
}

// A fleet is upgraded: hosts of the older version name no capacity.
func TestHostsThatNameNoCapacityCountAsTheWeakest(t *testing.T) {
	hosts := append(unequalFleet(), host(99, "kochi", 0, 0))
	parts, _ := connections(hosts, "kochi")
	if got, weak := parts["edge-kochi-99"], parts["edge-kochi-19"]; math.Abs(got-weak) > 0.15*weak {
		t.Errorf("a host that names no capacity gets %.4f of the connections, a weak one %.4f", got, weak)
	}
}
