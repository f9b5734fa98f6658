package usherpool_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
)

// servers are plain targets with six slots and a service time each.
type servers struct {
	serviceTimes []time.Duration
	// busy has, for each server and slot, when its work ends.
	busy [][]time.Time
}

func newServers(serviceTimes []time.Duration) *servers {
	s := &servers{serviceTimes: serviceTimes}
	for range serviceTimes {
		s.busy = append(s.busy, make([]time.Time, 6))
	}
	return s
}

func (s *servers) known() (known []ushercatalog.KnownEntry) {
	for i := range s.serviceTimes {
		known = append(known, ushercatalog.KnownEntry{Learned: start, Entry: ushercatalog.Entry{Target: &ushercatalog.Target{
			ID: fmt.Sprint("p", i), Service: plainService, DataCentre: "dc0", Slots: 6, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 128, 1, byte(i)}), 80),
		}}})
	}
	return known
}

// serve returns how long a call takes at a server, which it occupies for a time that varies.
func (s *servers) serve(now time.Time, i int, random *rand.Rand) time.Duration {
	slices.SortFunc(s.busy[i], time.Time.Compare)
	begins := now
	if s.busy[i][0].After(begins) {
		begins = s.busy[i][0]
	}
	s.busy[i][0] = begins.Add(time.Duration(float64(s.serviceTimes[i]) * math.Exp(0.3*random.NormFloat64())))
	return s.busy[i][0].Sub(now)
}

type call struct {
	host, server int
	choice       usherpool.Choice
	duration     time.Duration
	ends         time.Time
}

// What hosts learn of servers in callAll.
const (
	nothing = iota
	alone
	together
)

// callAll lets hosts make calls for 20 s, at a rate that keeps about half of the slots busy, and returns the durations of those after
// the first second. Hosts learn of each other's load each half second.
func callAll(t *testing.T, hosts, perSecond int, serviceTimes []time.Duration, learn int) (durations []time.Duration) {
	t.Helper()
	s, random := newServers(serviceTimes), rand.New(rand.NewPCG(3, 4))
	var pools []*usherpool.Pool
	for i := range hosts {
		pools = append(pools, newPool(uint64(i), s.known(), hosts))
	}
	var running []call
	for i := range 20 * perSecond {
		now := start.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		running = slices.DeleteFunc(running, func(c call) bool {
			if c.ends.After(now) {
				return false
			}
			pools[c.host].AddLoad(c.choice.Target.ID, usherpool.Load{Calls: -1})
			outcome := usherpool.Outcome{Target: c.choice.Target.ID, Base: c.choice.Forecast.Base, FirstEvent: c.duration}
			if learn == together {
				pools[0].RecordOutcome(now, fmt.Sprint("host", c.host), outcome)
			}
			if learn == alone || learn == together && c.host > 0 {
				pools[c.host].RecordOutcome(now, fmt.Sprint("host", c.host), outcome)
			}
			return true
		})
		if learn == together && i%(perSecond/4) == 0 {
			for service, speeds := range pools[0].SharedSpeeds(now) {
				for _, p := range pools[1:] {
					p.AdoptSpeeds(now, service, speeds)
				}
			}
		}
		if i%(perSecond/2) == 0 {
			for to, receiver := range pools {
				fleet := map[string]usherpool.Load{}
				for _, c := range running {
					if c.host != to {
						fleet[c.choice.Target.ID] = usherpool.Load{Calls: fleet[c.choice.Target.ID].Calls + 1}
					}
				}
				receiver.SetPeerLoads(now, "fleet", fleet)
			}
		}
		host := random.IntN(hosts)
		choice, err := pools[host].Choose(now, usherpool.Request{Service: plainService})
		if err != nil {
			t.Fatal(err)
		}
		pools[host].AddLoad(choice.Target.ID, usherpool.Load{Calls: 1})
		server := int(choice.Target.ID[1] - '0')
		c := call{host: host, server: server, choice: choice, duration: s.serve(now, server, random)}
		c.ends = now.Add(c.duration)
		running = append(running, c)
		if i > perSecond {
			durations = append(durations, c.duration)
		}
	}
	return durations
}

func overGoal(durations []time.Duration) (n int) {
	for _, d := range durations {
		if d > 110*time.Millisecond {
			n++
		}
	}
	return n
}

// Many to few: 76 hosts before three servers of six slots, of which two are slow, or one is. Fewer calls take long than with equal counts.
func TestCallsGoToFastServers(t *testing.T) {
	const fast, slow = 38 * time.Millisecond, 94 * time.Millisecond
	for _, c := range []struct {
		name         string
		hosts        int
		serviceTimes []time.Duration
	}{{"one slow, 76 hosts", 76, []time.Duration{fast, fast, slow}}, {"two slow, 76 hosts", 76, []time.Duration{slow, slow, fast}}, {"one slow, 9 hosts", 9, []time.Duration{fast, fast, slow}}, {"one slow, 300 hosts", 300, []time.Duration{fast, fast, slow}}} {
		without := overGoal(callAll(t, c.hosts, 144, c.serviceTimes, nothing))
		byAlone, byTogether := overGoal(callAll(t, c.hosts, 144, c.serviceTimes, alone)), overGoal(callAll(t, c.hosts, 144, c.serviceTimes, together))
		t.Logf("%s: %d calls took over 110 ms, %d where each host learned alone, %d without", c.name, byTogether, byAlone, without)
		if byTogether*2 > without || byAlone > without {
			t.Errorf("%s: %d calls took over 110 ms, %d where each host learned alone, %d without", c.name, byTogether, byAlone, without)
		}
	}
}

// Equal servers: what is learned changes no choice.
func TestCallsToEqualServersAreChosenAsBefore(t *testing.T) {
	serviceTimes := []time.Duration{55 * time.Millisecond, 55 * time.Millisecond, 55 * time.Millisecond}
	if without, with := callAll(t, 9, 144, serviceTimes, nothing), callAll(t, 9, 144, serviceTimes, alone); !slices.Equal(without, with) {
		t.Error("choices among equal servers have changed")
	}
}
