package ushergateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/service/ushergrant"
)

const (
	// freshFor is how long an advertisement counts.
	freshFor = 4 * time.Second
	// localTries is how many schedulers of the own cell are asked before those of other cells.
	localTries = 2
)

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
// that were tried are left out. Schedulers of other cells do not advertise here; they are asked once two of this cell
// have been, or if none of this cell has a vote.
func (s *schedulers) choose(now time.Time, service string, hosts []usherconfig.Host, tried []string) (usherconfig.Host, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	usable, advertising, silent := []usherconfig.Host{}, []usherconfig.Host{}, []usherconfig.Host{}
	for _, h := range hosts {
		if slices.Contains(tried, h.Name) || s.stopping(now, h.Name) {
			continue
		}
		usable = append(usable, h)
		if _, ok := s.room(now, h.Name, service); ok {
			advertising = append(advertising, h)
		} else if !s.fresh(now, h.Name) {
			silent = append(silent, h)
		}
	}
	switch {
	case len(advertising) > 0 && len(tried) < localTries:
		usable = advertising
	case len(silent) > 0:
		usable = silent
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
	key := ushergrant.KeyOf(target)
	for _, h := range hosts {
		known, ok := s.known[h.Name]
		if ok && now.Sub(known.at) < freshFor && slices.Contains(known.Held, key) {
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
	for _, r := range known.Capacities {
		if r.Service == service {
			return r.Requests - r.Waiting - known.asked[service], true
		}
	}
	return 0, false
}

func (s *schedulers) fresh(now time.Time, name string) bool {
	known, ok := s.known[name]
	return ok && now.Sub(known.at) < freshFor
}

func (s *schedulers) stopping(now time.Time, name string) bool {
	known, ok := s.known[name]
	return ok && known.Stopping && now.Sub(known.at) < freshFor
}
