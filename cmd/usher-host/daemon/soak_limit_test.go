package daemon_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/samphireusher/samphireusher/platform/usherstandin"
)

// limitSettles is how long after a target first named a limit the bound holds, from the users' pages.
const limitSettles = 3 * time.Second

type (
	// soakLimits is which targets named limits, and what hosts passed on of that.
	soakLimits struct {
		named []namedLimit
		// passedOn has when a host passed on an answer with a limit, by host and target.
		passedOn map[[2]string][]time.Time
	}

	// namedLimit is a time in which a target named limits.
	namedLimit struct {
		target     string
		begin, end time.Time
	}
)

// notePassedOnLimit records a response that names the limit of its target.
func (s *soak) notePassedOnLimit(attempt, host string, header http.Header) {
	target := strings.TrimSuffix(header.Get("Server-Seal"), "."+attempt)
	if header.Get("Server-Limit") == "" || target == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := [2]string{host, target}
	s.limits.passedOn[key] = append(s.limits.passedOn[key], time.Now())
}

// injectLimits lets one or more targets name a limit, change it and name none.
func (s *soak) injectLimits(ctx context.Context, random *rand.Rand) {
	sleepFor(ctx, randomTime(random, 300))
	s.mu.Lock()
	var targets []*soakTarget
	var ids []string
	for _, i := range random.Perm(s.nextID) {
		id := fmt.Sprint("i-", i)
		if target := s.targets[id]; !target.reclaimed && len(targets) < 1+random.IntN(3) {
			targets, ids = append(targets, target), append(ids, id)
		}
	}
	s.mu.Unlock()
	begin := time.Now()
	for range 1 + random.IntN(2) {
		limit := strconv.FormatFloat(0.5+3.5*random.Float64(), 'f', 1, 64)
		for _, target := range targets {
			target.NameLimit(limit)
		}
		sleepFor(ctx, 4*time.Second+randomTime(random, 2000))
	}
	for i, target := range targets {
		target.NameLimit()
		s.mu.Lock()
		s.limits.named = append(s.limits.named, namedLimit{target: ids[i], begin: begin, end: time.Now()})
		s.mu.Unlock()
	}
}

// checkLimits checks that targets which named a limit got no more than it allows from hosts that had passed it on, by the rule
// LIMIT of the users' pages.
func (s *soak) checkLimits() {
	told := 0
	for _, named := range s.limits.named {
		var counted []usherstandin.Arrival
		allowed, worst, when := 0.0, 0, time.Time{}
		for _, a := range s.targets[named.target].Arrivals() {
			host := s.notices.hostOf[a.Attempt]
			if a.At.Before(named.begin.Add(limitSettles)) || a.At.After(named.end) || !s.knewLimit(named, host, a.At) {
				continue
			}
			told++
			counted = append(counted, a)
			for a.At.Sub(counted[0].At) > limitWindow {
				counted = counted[1:]
			}
			highest := 0.0
			for _, c := range counted {
				highest = max(highest, c.Limit)
			}
			bound := limitFactor*highest*limitWindow.Seconds() + limitSlack
			if n := len(counted); float64(n) > bound && n > worst {
				allowed, worst, when = bound, n, a.At
			}
		}
		if worst > 0 {
			s.fail("%s got %d requests in 4 s from hosts that knew its limit, %.1f allowed, %s after it had named it", named.target, worst, allowed, when.Sub(named.begin))
		}
	}
	s.t.Logf("%d times a target named limits, %d requests to them from hosts that knew", len(s.limits.named), told)
}

// knewLimit reports whether a host had passed on a target's limit and was not disturbed since the target first named it.
func (s *soak) knewLimit(named namedLimit, host string, at time.Time) bool {
	if host == "" || s.notices.excused(named.begin, at, host, named.target) {
		return false
	}
	for _, passed := range s.limits.passedOn[[2]string{host, named.target}] {
		if passed.After(named.begin) && at.Sub(passed) >= limitHeard {
			return true
		}
	}
	return false
}
