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
	// advertisementTTL is how long an advertisement is valid.
	advertisementTTL = 4 * time.Second
	// maxLocalTries is the number of schedulers in the gateway's cell that are asked before those of other cells.
	maxLocalTries = 2
)

type (
	// schedulers holds the latest advertisement of each scheduler.
	schedulers struct {
		mu         sync.Mutex
		dataCentre string
		known      map[string]*schedulerState
	}

	schedulerState struct {
		ushergrant.Advertisement
		at time.Time
		// sentSince counts the requests sent to the scheduler since the advertisement, by service.
		sentSince map[string]int
	}
)

// Advertised implements ushergrant.Listener.
func (s *schedulers) Advertised(a ushergrant.Advertisement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known == nil {
		s.known = map[string]*schedulerState{}
	}
	s.known[a.Scheduler] = &schedulerState{Advertisement: a, at: time.Now(), sentSince: map[string]int{}}
}

func (s *schedulers) setDataCentre(dataCentre string) {
	s.dataCentre = dataCentre
}

// choose returns the scheduler to ask for a grant of service: of two random candidates, the one with more free
// capacity. It skips those in tried. Schedulers of other cells do not advertise to this gateway; they become candidates
// after two of this cell were tried, or if none of this cell has a vote.
func (s *schedulers) choose(now time.Time, service string, hosts []usherconfig.Host, tried []string) (usherconfig.Host, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	usable, advertising, notAdvertising := []usherconfig.Host{}, []usherconfig.Host{}, []usherconfig.Host{}
	for _, h := range hosts {
		if slices.Contains(tried, h.Name) || s.stopping(now, h.Name) {
			continue
		}
		usable = append(usable, h)
		if _, ok := s.freeCapacity(now, h.Name, service); ok {
			advertising = append(advertising, h)
		} else if !s.hasAdvertisement(now, h.Name) {
			notAdvertising = append(notAdvertising, h)
		}
	}
	switch {
	case len(advertising) > 0 && len(tried) < maxLocalTries:
		usable = advertising
	case len(notAdvertising) > 0:
		usable = notAdvertising
	}
	if len(usable) == 0 {
		return usherconfig.Host{}, false
	}
	chosen := usable[rand.IntN(len(usable))]
	other := usable[rand.IntN(len(usable))]
	if s.hasMoreCapacity(now, service, other, chosen) {
		chosen = other
	}
	if known, ok := s.known[chosen.Name]; ok {
		known.sentSince[service]++
	}
	return chosen, true
}

// capacityElsewhere reports whether a scheduler other than name has free capacity for service and name has none.
func (s *schedulers) capacityElsewhere(now time.Time, service, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if capacity, ok := s.freeCapacity(now, name, service); ok && capacity > 0 {
		return false
	}
	for other := range s.known {
		if capacity, ok := s.freeCapacity(now, other, service); ok && capacity > 0 && other != name && !s.stopping(now, other) {
			return true
		}
	}
	return false
}

// holder returns the address of the scheduler that advertises that it holds target.
func (s *schedulers) holder(now time.Time, target string, hosts []usherconfig.Host) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := ushergrant.KeyOf(target)
	for _, h := range hosts {
		known, ok := s.known[h.Name]
		if ok && now.Sub(known.at) < advertisementTTL && slices.Contains(known.Held, key) {
			return h.Address.String(), true
		}
	}
	return "", false
}

func (s *schedulers) hasMoreCapacity(now time.Time, service string, a, b usherconfig.Host) bool {
	capacityA, okA := s.freeCapacity(now, a.Name, service)
	capacityB, okB := s.freeCapacity(now, b.Name, service)
	if okA != okB {
		return okA
	}
	if capacityA == capacityB {
		return a.DataCentre == s.dataCentre && b.DataCentre != s.dataCentre
	}
	return capacityA > capacityB
}

// freeCapacity returns the advertised free capacity of the scheduler less its queue and the requests sent to it since.
// It reports false if there is no valid advertisement for service.
func (s *schedulers) freeCapacity(now time.Time, name, service string) (int, bool) {
	known, ok := s.known[name]
	if !ok || now.Sub(known.at) >= advertisementTTL {
		return 0, false
	}
	for _, r := range known.Capacities {
		if r.Service == service {
			return r.Requests - r.Waiting - known.sentSince[service], true
		}
	}
	return 0, false
}

func (s *schedulers) hasAdvertisement(now time.Time, name string) bool {
	known, ok := s.known[name]
	return ok && now.Sub(known.at) < advertisementTTL
}

func (s *schedulers) stopping(now time.Time, name string) bool {
	known, ok := s.known[name]
	return ok && known.Stopping && now.Sub(known.at) < advertisementTTL
}
