package usherqueue

import (
	"math"
	"time"
)

const (
	// shareTimeConstant is the time constant with which what a workspace was granted is forgotten.
	shareTimeConstant = 2 * time.Second
	maxWorkspaces     = 1024
	// drainInterval is the time over which the drain is measured, drainWeight the weight of the latest measurement.
	drainInterval = 250 * time.Millisecond
	drainWeight   = 0.25
	// minDrainSamples is the number of measurements from which the drain counts as known.
	minDrainSamples = 4
	// drainLifetime is how long a measurement counts after requests have waited.
	drainLifetime = 2 * time.Second
	// maxForecast bounds forecasts while nothing drains.
	maxForecast = time.Hour
)

type (
	// service is what the queue knows of one service.
	service struct {
		// waiting is the number of entries that wait.
		waiting    int
		workspaces map[string]share
		// skipped counts the grants to other classes while requests of a class waited.
		skipped [maxClasses]int
		// drain is the measured rate of grants while requests wait, in tokens per second.
		drain        float64
		drainSamples int
		measuredFrom time.Time
		granted      int
		// returnAt is when the caller that was refused last should return, refusals counts those with no time of their own.
		returnAt time.Time
		refusals int
	}

	// share is what a workspace was granted lately, in tokens.
	share struct {
		tokens  float64
		updated time.Time
	}
)

func (s share) at(now time.Time) float64 {
	return s.tokens * math.Exp(-now.Sub(s.updated).Seconds()/shareTimeConstant.Seconds())
}

func (s *service) recordGrant(now time.Time, workspace string, tokens int, granted class, waiting [maxClasses]bool) {
	s.granted += tokens
	if len(s.workspaces) >= maxWorkspaces {
		clear(s.workspaces)
	}
	s.workspaces[workspace] = share{tokens: s.workspaces[workspace].at(now) + float64(tokens), updated: now}
	for c, waits := range waiting {
		if waits && class(c) != granted {
			s.skipped[c]++
		} else if !waits {
			s.skipped[c] = 0
		}
	}
}

// observe measures the drain while requests wait.
func (s *service) observe(now time.Time, waiting bool) {
	elapsed := now.Sub(s.measuredFrom)
	switch {
	case elapsed > drainLifetime:
		s.drainSamples, s.measuredFrom, s.granted = 0, now, 0
	case elapsed >= drainInterval && waiting:
		rate := float64(s.granted) / elapsed.Seconds()
		if s.drainSamples == 0 {
			s.drain = rate
		}
		s.drain += drainWeight * (rate - s.drain)
		s.drainSamples++
		s.measuredFrom, s.granted = now, 0
	}
	if !waiting {
		s.skipped = [maxClasses]int{}
	}
}

// forecast returns how long the given tokens take to drain, or zero if the drain is not known.
func (s *service) forecast(tokens int) time.Duration {
	if s.drainSamples < minDrainSamples || tokens == 0 {
		return 0
	}
	seconds := float64(tokens) / max(s.drain, 1)
	return time.Duration(min(seconds, maxForecast.Seconds()) * float64(time.Second))
}

// nextReturn returns the time after which a refused caller should return: when room is expected for it, each one later than the
// one before by the time in which its tokens drain, and within a part of its remaining time that callers wait.
func (s *service) nextReturn(now time.Time, tokens int, forecast, patience time.Duration) time.Duration {
	longest := max(patience/maxReturnFraction, minRetryAfter)
	gap := s.forecast(tokens)
	earliest := now.Add(max(min(forecast-patience, longest), minRetryAfter))
	if at := s.returnAt.Add(gap); at.After(earliest) {
		earliest = at
	}
	if wait := earliest.Sub(now); wait <= longest {
		s.returnAt = earliest
		return wait
	}
	// The times that are left are taken in steps of the golden section, which spreads any number of callers evenly.
	s.refusals++
	_, part := math.Modf(float64(s.refusals) * (math.Sqrt(5) - 1) / 2)
	return minRetryAfter + time.Duration(part*float64(longest-minRetryAfter))
}
