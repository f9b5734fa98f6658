package usherspeed

import (
	"math"
	"time"
)

const (
	// start and gap are the measures of a target: the logarithm of the ratio of seen to expected time until the first event, and that of
	// the mean time between events in seconds.
	start = iota
	gap
	measureCount

	maxServices = 256
	maxTargets  = 4096
	// maxDuration and maxEvents bound what a sample may claim.
	maxDuration = time.Hour
	maxEvents   = 1 << 20
	// maxRatio bounds the ratio that a single sample may show.
	maxRatio = 8
	// minExpected is the shortest expected time whose ratio says something: below it, fixed delays prevail.
	minExpected = 5 * time.Millisecond
	// minGapEvents is the least number of events for a mean time between them.
	minGapEvents = 8
	// retention is how long a target without samples is remembered.
	retention = 2 * time.Minute
)

type (
	// Target identifies one incarnation of a target.
	Target struct {
		Service     string
		ID          string
		Incarnation int64
	}

	// Sample is what a host saw of a run. Fields that are zero were not seen.
	Sample struct {
		Target Target
		// Host is the host that relayed the run.
		Host string
		// Call marks plain calls. Those that take longer than usual count less, as they may have waited.
		Call bool
		// Expected is the time until the first event that was forecast for a target with factor 1, Seen the actual one.
		Expected, Seen time.Duration
		// Gap is the mean time between events, LongestPause the longest one, over the given number of events.
		Gap          time.Duration
		LongestPause time.Duration
		Events       int
	}

	// Estimate is what is known of a target's speed.
	Estimate struct {
		// Factor is the ratio of the target's times to those of the forecast: above 1 for a slow target. It is 1 where the targets of the
		// service do not differ, or nothing is known.
		Factor float64
		// Error is the standard error of the factor's logarithm.
		Error float64
		// Age is the time since the last sample; zero if there is none.
		Age time.Duration
		// LongestPause is the longest pause that is expected of a long run, or zero if that is not known.
		LongestPause time.Duration
		// relative is the logarithm of the factor relative to the service's median.
		relative float64
		// scale is the logarithm of the factor of the service's median.
		scale  float64
		uneven bool
		pause  pauseEstimate
	}

	// Tracker learns the speeds of targets.
	Tracker struct {
		services map[string]*service
	}

	targetKey struct {
		id          string
		incarnation int64
	}
)

// Record adds a sample. What is out of bounds is ignored.
func (t *Tracker) Record(now time.Time, s Sample) {
	x, seen := s.measures()
	hasPause := s.hasPause()
	if !seen[start] && !seen[gap] && !hasPause {
		return
	}
	service, r := t.record(now, s.Target)
	if r == nil {
		return
	}
	for m := range measureCount {
		if seen[m] {
			service.observe(now, r, m, s, x[m])
		}
	}
	if hasPause {
		service.refresh(now)
		service.pauses.add(service.estimate(now, r).relative, math.Log(s.LongestPause.Seconds()))
		service.changed = true
	}
}

// Estimate returns what is known of a target.
func (t *Tracker) Estimate(now time.Time, target Target) Estimate {
	service, known := t.services[target.Service]
	if !known {
		return Estimate{Factor: 1}
	}
	service.refresh(now)
	if r, known := service.targets[targetKey{target.ID, target.Incarnation}]; known {
		e := service.estimate(now, r)
		e.Age = now.Sub(r.updated)
		return e
	}
	return service.unknown
}

// Told returns the estimate of a target that another host made, of a service whose targets differ.
func Told(factor, err float64, age time.Duration) Estimate {
	return Estimate{Factor: factor, Error: err, Age: age, uneven: true}
}

// Uneven reports whether the targets of the service differ by more than what is known of them.
func (e Estimate) Uneven() bool { return e.uneven }

// Slowness returns the factor of the service's median if that is above 1, and 1 otherwise.
func (e Estimate) Slowness() float64 { return math.Exp(max(e.scale, 0)) }

// Scale returns the time that a target needs for what takes d at factor 1.
func (e Estimate) Scale(d time.Duration) time.Duration {
	if e.Factor == 1 || e.Factor == 0 {
		return d
	}
	return time.Duration(e.Factor * float64(d))
}

// record returns the record of a target, which it creates if there is none.
func (t *Tracker) record(now time.Time, target Target) (*service, *record) {
	s, known := t.services[target.Service]
	if !known {
		if t.services == nil {
			t.services = map[string]*service{}
		}
		if len(t.services) >= maxServices {
			return nil, nil
		}
		s = newService()
		t.services[target.Service] = s
	}
	key := targetKey{target.ID, target.Incarnation}
	r, known := s.targets[key]
	if !known {
		if t.Len() >= maxTargets {
			t.dropOldest()
		}
		r = &record{stale: true}
		s.targets[key] = r
	}
	r.updated = now
	return s, r
}

// Len returns the number of targets that are remembered.
func (t *Tracker) Len() int {
	n := 0
	for _, s := range t.services {
		n += len(s.targets)
	}
	return n
}

// dropOldest forgets the target whose last sample is the oldest.
func (t *Tracker) dropOldest() {
	var in *service
	var oldest targetKey
	for _, s := range t.services {
		for key, r := range s.targets {
			if in == nil || r.updated.Before(in.targets[oldest].updated) {
				in, oldest = s, key
			}
		}
	}
	delete(in.targets, oldest)
}

// measures returns the values that the sample shows.
func (s Sample) measures() (x [measureCount]float64, seen [measureCount]bool) {
	if s.Expected >= minExpected && isSane(s.Expected) && isSane(s.Seen) {
		limit := math.Log(maxRatio)
		x[start], seen[start] = min(max(math.Log(float64(s.Seen)/float64(s.Expected)), -limit), limit), true
	}
	if s.Events >= minGapEvents && s.Events <= maxEvents && isSane(s.Gap) {
		x[gap], seen[gap] = math.Log(s.Gap.Seconds()), true
	}
	return x, seen
}

func (s Sample) hasPause() bool {
	return s.Events >= longRunEvents && s.Events <= maxEvents && isSane(s.LongestPause)
}

func isSane(d time.Duration) bool { return d > 0 && d < maxDuration }
