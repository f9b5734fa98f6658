package ushergateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/service/ushergrant"
)

// freshFor is how long an advertisement counts.
const freshFor = 3 * time.Second

type (
	// schedulers is what a gateway knows of the schedulers from their advertisements.
	schedulers struct {
		mu         sync.Mutex
		dataCentre string
		known      map[string]*advertised
	}

	advertised struct {
		ushergrant.Advertisement
		at time.Time
		// asked counts the requests sent there since the advertisement, by service.
		asked map[string]int
	}
)

// Advertised implements ushergrant.Listener.
func (s *schedulers) Advertised(a ushergrant.Advertisement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known == nil {
		s.known = map[string]*advertised{}
	}
	s.known[a.Scheduler] = &advertised{Advertisement: a, at: time.Now(), asked: map[string]int{}}
}

func (s *schedulers) prefer(dataCentre string) {
	s.dataCentre = dataCentre
}

// choose returns the scheduler to ask for a grant of service: the one of two drawn at random that has more room. Those
// that were tried are left out; without a fresh advertisement any host will do.
func (s *schedulers) choose(now time.Time, service string, hosts []usherconfig.Host, tried []string) (usherconfig.Host, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	usable := slices.DeleteFunc(slices.Clone(hosts), func(h usherconfig.Host) bool {
		return slices.Contains(tried, h.Name) || s.stopping(now, h.Name)
	})
	holding := slices.DeleteFunc(slices.Clone(usable), func(h usherconfig.Host) bool {
		_, ok := s.room(now, h.Name, service)
		return !ok
	})
	if len(holding) > 0 {
		usable = holding
	}
	if len(usable) == 0 {
		return usherconfig.Host{}, false
	}
	chosen := usable[rand.IntN(len(usable))]
	other := usable[rand.IntN(len(usable))]
	if s.better(now, service, other, chosen) {
		chosen = other
	}
	if known, ok := s.known[chosen.Name]; ok {
		known.asked[service]++
	}
	return chosen, true
}

// roomElsewhere reports whether a scheduler other than name has room for service while that one has none.
func (s *schedulers) roomElsewhere(now time.Time, service, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if room, ok := s.room(now, name, service); ok && room > 0 {
		return false
	}
	for other := range s.known {
		if room, ok := s.room(now, other, service); ok && room > 0 && other != name && !s.stopping(now, other) {
			return true
		}
	}
	return false
}

// holder returns the address of the scheduler that advertises target.
func (s *schedulers) holder(now time.Time, target string, hosts []usherconfig.Host) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range hosts {
		known, ok := s.known[h.Name]
		if ok && now.Sub(known.at) < freshFor && slices.Contains(known.Held, target) {
			return h.Address.String(), true
		}
	}
	return "", false
}

func (s *schedulers) better(now time.Time, service string, a, b usherconfig.Host) bool {
	roomA, okA := s.room(now, a.Name, service)
	roomB, okB := s.room(now, b.Name, service)
	if okA != okB {
		return okA
	}
	if roomA == roomB {
		return a.DataCentre == s.dataCentre && b.DataCentre != s.dataCentre
	}
	return roomA > roomB
}

// room returns how many more requests the scheduler takes, less those asked for since it said so.
func (s *schedulers) room(now time.Time, name, service string) (int, bool) {
	known, ok := s.known[name]
	if !ok || now.Sub(known.at) >= freshFor {
		return 0, false
	}
	for _, r := range known.Rooms {
		if r.Service == service {
			return r.Requests - r.Waiting - known.asked[service], true
		}
	}
	return 0, false
}

func (s *schedulers) stopping(now time.Time, name string) bool {
	known, ok := s.known[name]
	return ok && known.Stopping && now.Sub(known.at) < freshFor
}
