package usherqueue

import (
	"math"
	"time"
)

const (
	// shareTimeConstant is the time constant with which what a workspace was granted is forgotten.
	shareTimeConstant = 2 * time.Second
	maxWorkspaces     = 1024
	// drainTimeConstant is the time constant with which the drain is forgotten, minDrainTime the time after which it counts as
	// known, meanWeight the weight of the latest request in their mean size.
	drainTimeConstant = 4 * time.Second
	minDrainTime      = time.Second
	meanWeight        = 0.05
	// classHorizon is how far ahead the drain of a class tells.
	classHorizon = 2 * drainTimeConstant
	// drainLifetime is how long a drain counts after requests have waited.
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
		// drain is what was granted while requests waited, drains the same for each class, observed when they were last updated.
		drain    drain
		drains   [maxClasses]drain
		observed time.Time
		// meanTokens is the mean size of the requests that have come lately.
		meanTokens float64
		// returnAt is when the caller that was refused last should return, refusals counts those with no time of their own.
		returnAt time.Time
		refusals int
	}

	// drain counts the grants in a time, both forgotten exponentially.
	drain struct {
		seconds, grants, tokens float64
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
	s.drain, s.drains[granted] = s.drain.with(tokens), s.drains[granted].with(tokens)
	if len(s.workspaces) >= maxWorkspaces {
		clear(s.workspaces)
	}
	s.workspaces[workspace] = share{tokens: s.workspaces[workspace].at(now) + float64(tokens), updated: now}
	for c, waits := range waiting {
		if waits && class(c) != granted {
			s.skipped[c]++
		} else {
			s.skipped[c] = 0
		}
	}
}

// arrive counts a request that has come.
func (s *service) arrive(tokens int) {
	if s.meanTokens == 0 {
		s.meanTokens = float64(tokens)
	}
	s.meanTokens += meanWeight * (float64(tokens) - s.meanTokens)
}

// observe measures the drain while requests wait.
func (s *service) observe(now time.Time, waiting [maxClasses]bool) {
	elapsed := max(now.Sub(s.observed), 0)
	if elapsed > drainLifetime {
		elapsed, s.drain, s.drains = 0, drain{}, [maxClasses]drain{}
	}
	s.observed = now
	any := false
	for c, waits := range waiting {
		any = any || waits
		s.drains[c] = s.drains[c].after(elapsed, waits)
	}
	s.drain = s.drain.after(elapsed, any)
	if !any {
		s.skipped = [maxClasses]int{}
	}
}

// after returns the drain after a time in which requests waited or not.
func (d drain) after(elapsed time.Duration, waited bool) drain {
	kept := math.Exp(-elapsed.Seconds() / drainTimeConstant.Seconds())
	d = drain{seconds: d.seconds * kept, grants: d.grants * kept, tokens: d.tokens * kept}
	if waited {
		d.seconds += elapsed.Seconds()
	}
	return d
}

func (d drain) with(tokens int) drain {
	return drain{seconds: d.seconds, grants: d.grants + 1, tokens: d.tokens + float64(tokens)}
}

// forecast returns how long the given tokens, of requests of a mean size, are expected to take to drain, or zero if that is not known, and
// how long they take at least: few grants may have come by chance.
func (d drain) forecast(tokens int, mean float64) (expected, least time.Duration) {
	if d.seconds < minDrainTime.Seconds() || tokens == 0 {
		return 0, 0
	}
	wait := func(drained float64) time.Duration {
		return time.Duration(min(float64(tokens)*d.seconds/max(drained, 1), maxForecast.Seconds()) * float64(time.Second))
	}
	return wait(max(d.tokens, mean)), wait(d.tokens + mean*(2*math.Sqrt(d.grants)+3))
}

// forecast returns the wait of a request behind the given tokens of all classes and of its own. Those of classes before it that are still
// to come show in the drain of its own, which says nothing about the time after a burst: it counts for callers that leave before.
func (s *service) forecast(c class, patience time.Duration, ahead, aheadInClass int) (expected, least time.Duration) {
	expected, least = s.drain.forecast(ahead, s.meanTokens)
	if patience > classHorizon {
		return expected, least
	}
	own, leastOwn := s.drains[c].forecast(aheadInClass, s.meanTokens)
	return max(expected, own), max(least, leastOwn)
}

// nextReturn returns the time after which a refused caller should return: when room is expected for it, each one later than the
// one before by the time in which its tokens drain, and within a part of its remaining time that callers wait.
func (s *service) nextReturn(now time.Time, tokens int, forecast, patience time.Duration) time.Duration {
	longest := max(patience/maxReturnFraction, minRetryAfter)
	gap, _ := s.drain.forecast(tokens, s.meanTokens)
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
