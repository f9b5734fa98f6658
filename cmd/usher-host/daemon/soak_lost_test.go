package daemon_test

import (
	"fmt"
	"strings"
	"time"
)

const (
	// soakLossSlack is how long after its last byte a request that is not passed on may meet the end of its connection, and
	// soakConfigTime the time within which hosts follow a change; both from the users' pages.
	soakLossSlack  = 200 * time.Millisecond
	soakConfigTime = 2 * time.Second
	// lateInStop is how long after SIGTERM a request is sent at the earliest that a target's long work does not excuse.
	lateInStop = 3 * time.Second
	// lastWork is the part of the grace period from which a target's work excuses.
	lastWork = 5.0 / 6
	// usedShare of its time excuses a request beside a change of the declarations.
	usedShare = 0.7
)

// checkLost checks that requests which hosts have read whole end with a whole response, by the rule LOST of the users' pages.
// Faults excuse that, so it checks nothing in runs that have any.
func (s *soak) checkLost() {
	if !s.plannedOnly {
		return
	}
	excuses := map[string]int{}
	for _, r := range s.cuts {
		excuse := s.excuseOfLoss(r)
		excuses[excuse]++
		if excuse == "" {
			s.fail("%s: lost: %s", r.attempt, s.describe(r))
		}
	}
	s.t.Logf("%d requests without a whole response, by excuse: %v", len(s.cuts), excuses)
}

// excuseOfLoss returns why the rule allows that a request had no whole response, or an empty string.
func (s *soak) excuseOfLoss(r keptRequest) string {
	arrived, stillWorked, brokeOff := false, time.Time{}, false
	for _, target := range s.targets {
		for _, a := range target.Arrivals() {
			arrived = arrived || a.Attempt == r.attempt
		}
		for _, run := range target.Runs() {
			if run.Attempt != r.attempt {
				continue
			}
			if gone := target.gone; !gone.IsZero() && gone.Before(r.ended) && (run.Ended.IsZero() || !run.Ended.Before(gone)) {
				brokeOff = true
			}
			if worked := run.Ended; worked.IsZero() || worked.After(r.ended) {
				stillWorked = r.ended
			} else if worked.After(stillWorked) {
				stillWorked = worked
			}
		}
	}
	used := r.ended.Sub(r.begun)
	budget := min(r.budget, s.planned.shortestTimeout(r.path, r.begun, r.ended))
	switch {
	case r.sentWhole.IsZero():
		return "not sent whole"
	case !arrived && r.ended.Sub(r.sentWhole) <= soakLossSlack:
		return "not passed on, crossed the close"
	case brokeOff:
		return "target ended"
	case used >= budget:
		return "time used up"
	}
	aroundSignal := false
	for _, at := range s.planned.stops[r.host] {
		if at.After(r.ended) || at.Add(soakGrace+time.Second).Before(r.ended) {
			continue
		}
		aroundSignal = true
		if worksFrom := at.Add(time.Duration(lastWork * float64(soakGrace))); r.begun.Before(at.Add(lateInStop)) && stillWorked.After(worksFrom) {
			return "target still worked in the last part of the grace period"
		}
	}
	for _, at := range s.planned.reloads[r.host] {
		aroundSignal = aroundSignal || at.Before(r.ended) && r.begun.Before(at.Add(soakConfigTime))
	}
	if !aroundSignal && float64(used) >= usedShare*float64(budget) {
		return "most of its time used, no signal"
	}
	return ""
}

// describe returns what is known of a request, with times relative to its begin.
func (s *soak) describe(r keptRequest) string {
	since := func(at time.Time) string {
		if at.IsZero() {
			return "never"
		}
		return at.Sub(r.begun).Round(time.Millisecond).String()
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s (%s) at %s, begun %s, sent whole %s, ended %s with %v", r.method, r.path, r.form, r.host, r.begun.Format(time.RFC3339Nano), since(r.sentWhole), since(r.ended), r.err)
	for _, at := range s.planned.stops[r.host] {
		fmt.Fprintf(&text, "; SIGTERM %s", since(at))
	}
	for _, at := range s.planned.reloads[r.host] {
		fmt.Fprintf(&text, "; SIGHUP %s", since(at))
	}
	for id, target := range s.targets {
		for _, run := range target.Runs() {
			if run.Attempt == r.attempt {
				fmt.Fprintf(&text, "; ran at %s from %s to %s, target gone %s", id, since(run.StartedAt), since(run.Ended), since(target.gone))
			}
		}
	}
	return text.String()
}
