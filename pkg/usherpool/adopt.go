package usherpool

import (
	"math"
	"slices"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherspeed"
)

const (
	// maxSharedSpeeds bounds the targets of a service whose speeds are shared, so that they fit a datagram.
	maxSharedSpeeds = 20
	// sharedSpeedsLifetime is how long the speeds that another host learned are used in place of this host's. It spans several reports.
	sharedSpeedsLifetime = 2 * time.Second
	// maxSharedFactor and maxSharedError bound what another host may say of a target.
	maxSharedFactor = 64
	maxSharedError  = 2
)

type (
	// SharedSpeed is what a host has learned of the speed of a plain target.
	SharedSpeed struct {
		Target      string  `cbor:"1,keyasint"`
		Incarnation int64   `cbor:"2,keyasint,omitempty"`
		Factor      float64 `cbor:"3,keyasint"`
		Error       float64 `cbor:"4,keyasint"`
	}

	// adoptedSpeeds are what another host has learned of the targets of a service.
	adoptedSpeeds struct {
		at     time.Time
		speeds []SharedSpeed
	}
)

// SharedSpeeds returns what this host has learned of the targets of each plain service whose targets differ in speed, by service. Services with
// many targets are left out.
func (p *Pool) SharedSpeeds(now time.Time) map[string][]SharedSpeed {
	shared := map[string][]SharedSpeed{}
	for service, targets := range p.byService {
		if len(targets) > maxSharedSpeeds || targets[0].service.Engine != nil {
			continue
		}
		for _, t := range targets {
			if e := p.speeds.Estimate(now, speedTarget(t.entry)); e.Uneven() {
				shared[service] = append(shared[service], SharedSpeed{Target: t.entry.ID, Incarnation: t.entry.Incarnation, Factor: e.Factor, Error: e.Error})
			}
		}
	}
	return shared
}

// AdoptSpeeds adopts what another host has learned of the targets of a plain service. Until that is old, it takes the place of what this host has
// learned itself.
func (p *Pool) AdoptSpeeds(now time.Time, service string, speeds []SharedSpeed) {
	if _, known := p.byService[service]; !known || len(speeds) > maxSharedSpeeds || slices.ContainsFunc(speeds, func(s SharedSpeed) bool { return !s.isSane() }) {
		return
	}
	p.adopted[service] = adoptedSpeeds{at: now, speeds: speeds}
	delete(p.speedsAt, service)
}

func (s SharedSpeed) isSane() bool {
	return s.Factor >= 1.0/maxSharedFactor && s.Factor <= maxSharedFactor && s.Error >= 0 && s.Error <= maxSharedError && !math.IsNaN(s.Error)
}

// adoptedSpeed returns what another host has learned of a target, if that is in use. A target that it did not name has the median of those that
// it did.
func (p *Pool) adoptedSpeed(now time.Time, t *target) (usherspeed.Estimate, bool) {
	a, known := p.adopted[t.entry.Service]
	if !known || now.Sub(a.at) >= sharedSpeedsLifetime || len(a.speeds) == 0 {
		return usherspeed.Estimate{}, false
	}
	factors := make([]float64, 0, len(a.speeds))
	for _, s := range a.speeds {
		if s.Target == t.entry.ID && s.Incarnation == t.entry.Incarnation {
			return usherspeed.Told(s.Factor, s.Error, now.Sub(a.at)), true
		}
		factors = append(factors, s.Factor)
	}
	slices.Sort(factors)
	return usherspeed.Told(factors[len(factors)/2], maxSharedError/2, 0), true
}
