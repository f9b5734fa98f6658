package usheradmit_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/samphireusher/samphireusher/pkg/usheradmit"
)

// serveOne gives a scheduler of one place the next request and ends it at once.
func serveOne(t testing.TB, s *usheradmit.Scheduler, now time.Time) usheradmit.Request {
	t.Helper()
	grants, _ := s.Next(now)
	if len(grants) != 1 {
		t.Fatalf("%d grants, want one", len(grants))
	}
	r := grants[0].Request
	s.Finish(now, r.Attempt, 100, usheradmit.ResultCompleted)
	return r
}

func onePlace() usheradmit.Target {
	tg := target("a")
	tg.Limit = 1
	return tg
}

func TestWorkspacesAreServedByWeightBesideAGreedyOne(t *testing.T) {
	s := newScheduler(usheradmit.Options{}, onePlace())
	weights := map[string]float64{"greedy": 1, "modest": 1, "heavy": 2}
	attempt := 0
	send := func(workspace string, count int) {
		for range count {
			r := request(attempt, workspace)
			r.Weight, r.KnownOutputTokens, r.QueueTimeout = weights[workspace], 100, time.Hour
			offer(t, s, start, r)
			attempt++
		}
	}
	send("greedy", 1000)
	send("modest", 100)
	send("heavy", 200)
	served := make(map[string]float64)
	for range 200 {
		served[serveOne(t, s, start).Workspace]++
	}
	for workspace, weight := range weights {
		if want := 200 * weight / 4; math.Abs(served[workspace]-want) > 0.05*want+1 {
			t.Errorf("%s was served %.0f of 200, want %.0f", workspace, served[workspace], want)
		}
	}
}

func TestInteractiveGoesFirstWithoutStarvingTheRest(t *testing.T) {
	s := newScheduler(usheradmit.Options{}, onePlace())
	for i := range 50 {
		r := request(i, "w")
		r.Interactive = i >= 10
		offer(t, s, start, r)
	}
	if !serveOne(t, s, start).Interactive {
		t.Error("an interactive request waited behind others")
	}
	rest := 0
	for range 30 {
		if !serveOne(t, s, start).Interactive {
			rest++
		}
	}
	if rest < 3 || rest > 4 {
		t.Errorf("%d of 30 were not interactive, want every ninth", rest)
	}
}

func TestQueueIsBoundedAndKeepsRoomForOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(8, 200).Draw(t, "capacity")
		s := usheradmit.New(usheradmit.Options{QueueCapacity: capacity})
		queued := 0
		for i := range 2 * capacity {
			if s.Offer(start, request(i, "greedy")).Queued {
				queued++
			}
		}
		if queued > capacity/2+1 {
			t.Fatalf("one workspace holds %d of %d places", queued, capacity)
		}
		if !s.Offer(start, request(-1, "modest")).Queued {
			t.Fatal("no room for another workspace")
		}
		for i := range 4 * capacity {
			if s.Offer(start, request(1000+i, fmt.Sprint(i))).Queued {
				queued++
			}
		}
		if queued+1 > capacity {
			t.Fatalf("%d requests in a queue of %d", queued+1, capacity)
		}
	})
}

func TestRetryAfterIsHonest(t *testing.T) {
	s := newScheduler(usheradmit.Options{QueueCapacity: 40}, onePlace())
	now, attempt, accepted, tried := start, 0, 0, 0
	var again time.Time
	for range 2000 { // a request is served every 100 ms while more come than that
		now = now.Add(100 * time.Millisecond)
		serveIfAny(s, now)
		if again.IsZero() {
			for again.IsZero() {
				attempt++
				if d := s.Offer(now, request(attempt, "w")); !d.Queued {
					again = now.Add(d.RetryAfter)
				}
			}
			continue
		}
		if now.Before(again) {
			continue
		}
		attempt++
		tried++
		if s.Offer(now, request(attempt, "w")).Queued {
			accepted++
		}
		again = time.Time{}
	}
	if tried < 50 || accepted < tried*9/10 {
		t.Errorf("%d of %d retries were accepted after the time they were told", accepted, tried)
	}
}

func serveIfAny(s *usheradmit.Scheduler, now time.Time) {
	grants, _ := s.Next(now)
	for _, g := range grants {
		s.Finish(now, g.Request.Attempt, 100, usheradmit.ResultCompleted)
	}
}

func TestRetriesStayATenthOfTheTraffic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := usheradmit.RetryBudget{Share: 0.1}
		perSecond := rapid.IntRange(2, 50).Draw(t, "rate")
		asked := rapid.IntRange(1, 5).Draw(t, "retries asked for each request")
		now, traffic, retries := start, 0, 0
		for range 60 * perSecond {
			now = now.Add(time.Second / time.Duration(perSecond))
			budget.Count(now)
			traffic++
			for range asked {
				if after, ok := budget.Take(now); ok {
					retries++
				} else if after <= 0 {
					t.Fatal("refused retry without a time")
				}
			}
		}
		if float64(retries) > 0.1*float64(traffic+retries)+1 {
			t.Fatalf("%d retries beside %d requests", retries, traffic)
		}
	})
}

func TestQuotaRefusesWithoutCharging(t *testing.T) {
	s := newScheduler(usheradmit.Options{}, target("a"))
	s.SetQuota(start, "w", 9, 1.0/9)
	accepted := 0
	for i := range 1000 { // 100 a second for ten seconds against one a second
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		if d := s.Offer(now, request(i, "w")); d.Queued {
			accepted++
		} else if d.Reason != usheradmit.ReasonQuota || d.RetryAfter > time.Second {
			t.Fatalf("refusal %+v", d)
		}
	}
	if accepted < 10 || accepted > 11 {
		t.Errorf("%d accepted in ten seconds, want one a second", accepted)
	}
}

func TestRouterKeepsLocalUnlessAnotherHasClearlyMoreRoom(t *testing.T) {
	tests := []struct {
		name          string
		local, remote usheradmit.Summary
		want          string
	}{
		{"alike", usheradmit.Summary{Targets: 1, Spare: 0.5}, usheradmit.Summary{Targets: 1, Spare: 0.51}, "local"},
		{"full", usheradmit.Summary{Targets: 1, Spare: -0.1}, usheradmit.Summary{Targets: 1, Spare: 0.5}, "remote"},
		{"no target", usheradmit.Summary{}, usheradmit.Summary{Targets: 1, Spare: -1}, "remote"},
		{"light targets for lookups", usheradmit.Summary{Targets: 1, Spare: 0.5}, usheradmit.Summary{Targets: 1, Light: 1, Spare: 0.2}, "remote"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			router := usheradmit.Router{Local: "local", Seed: 1}
			router.SetSummary("local", test.local)
			router.SetSummary("remote", test.remote)
			picked := make(map[string]int)
			for range 5 {
				router.SetSummary("local", test.local)
				router.SetSummary("remote", test.remote)
				name, _ := router.Pick(start, test.remote.Light > 0)
				picked[name]++
			}
			if picked[test.want] < 4 {
				t.Errorf("picked %v, want %s", picked, test.want)
			}
		})
	}
}
