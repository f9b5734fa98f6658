package usheradmit_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/samphireusher/samphireusher/pkg/usheradmit"
)

// serveOne assigns the next request of a scheduler whose target runs one at a time, finishes it and returns it.
func serveOne(t testing.TB, s *usheradmit.Scheduler, now time.Time) usheradmit.Request {
	t.Helper()
	assignments, _ := s.Next(now)
	if len(assignments) != 1 {
		t.Fatalf("got %d assignments, want 1", len(assignments))
	}
	r := assignments[0].Request
	s.Finish(now, r.Attempt, 100, usheradmit.ResultCompleted)
	return r
}

// singleSlot returns a target that runs one generation at a time.
func singleSlot() usheradmit.Target {
	tg := target("a")
	tg.Limit = 1
	return tg
}

// A workspace that queues many requests must not take the shares of the others.
func TestWorkspacesAreServedByWeight(t *testing.T) {
	s := newScheduler(usheradmit.Options{}, singleSlot())
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
			t.Errorf("%s got %.0f of 200 requests served, want %.0f", workspace, served[workspace], want)
		}
	}
}

// Interactive requests go first, but after eight of them in a row a batch request is served.
func TestInteractiveRequestsGoFirstWithoutStarvingOthers(t *testing.T) {
	s := newScheduler(usheradmit.Options{}, singleSlot())
	for i := range 50 {
		r := request(i, "w")
		r.Interactive = i >= 10
		offer(t, s, start, r)
	}
	if !serveOne(t, s, start).Interactive {
		t.Error("a batch request was served before an interactive one")
	}
	batch := 0
	for range 30 {
		if !serveOne(t, s, start).Interactive {
			batch++
		}
	}
	if batch < 3 || batch > 4 {
		t.Errorf("%d of 30 requests were not interactive, want every ninth", batch)
	}
}

// One workspace can fill only half of the queue, and the queue never exceeds its capacity.
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
			t.Fatalf("one workspace holds %d of %d queue places", queued, capacity)
		}
		if !s.Offer(start, request(-1, "modest")).Queued {
			t.Fatal("request of another workspace was refused")
		}
		for i := range 4 * capacity {
			if s.Offer(start, request(1000+i, fmt.Sprint(i))).Queued {
				queued++
			}
		}
		if queued+1 > capacity {
			t.Fatalf("%d requests queued with a capacity of %d", queued+1, capacity)
		}
	})
}

// A caller that waits for the time given with a refusal must usually be accepted.
func TestRetryAfterIsAccurate(t *testing.T) {
	s := newScheduler(usheradmit.Options{QueueCapacity: 40}, singleSlot())
	now, attempt, accepted, retried := start, 0, 0, 0
	var retryAt time.Time
	for range 2000 { // one request is served every 100 ms, while requests arrive faster
		now = now.Add(100 * time.Millisecond)
		serveIfAny(s, now)
		if retryAt.IsZero() {
			for retryAt.IsZero() {
				attempt++
				if d := s.Offer(now, request(attempt, "w")); !d.Queued {
					retryAt = now.Add(d.RetryAfter)
				}
			}
			continue
		}
		if now.Before(retryAt) {
			continue
		}
		attempt++
		retried++
		if s.Offer(now, request(attempt, "w")).Queued {
			accepted++
		}
		retryAt = time.Time{}
	}
	if retried < 50 || accepted < retried*9/10 {
		t.Errorf("%d of %d retries were accepted after the given time", accepted, retried)
	}
}

func serveIfAny(s *usheradmit.Scheduler, now time.Time) {
	assignments, _ := s.Next(now)
	for _, a := range assignments {
		s.Finish(now, a.Request.Attempt, 100, usheradmit.ResultCompleted)
	}
}

func TestRetriesStayWithinTheirShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := usheradmit.RetryBudget{Share: 0.1}
		perSecond := rapid.IntRange(2, 50).Draw(t, "rate")
		attempted := rapid.IntRange(1, 5).Draw(t, "retries attempted per request")
		now, traffic, retries := start, 0, 0
		for range 60 * perSecond {
			now = now.Add(time.Second / time.Duration(perSecond))
			budget.RecordRequest(now)
			traffic++
			for range attempted {
				if after, ok := budget.Take(now); ok {
					retries++
				} else if after <= 0 {
					t.Fatal("retry was refused without a time to wait")
				}
			}
		}
		if float64(retries) > 0.1*float64(traffic+retries)+1 {
			t.Fatalf("%d retries for %d requests", retries, traffic)
		}
	})
}

// Requests refused by the quota must not count against it.
func TestQuotaRefusesWithoutCharging(t *testing.T) {
	s := newScheduler(usheradmit.Options{}, target("a"))
	s.SetQuota(start, "w", 9, 1.0/9)
	accepted := 0
	for i := range 1000 { // 100 requests per second for ten seconds, with a quota of one per second
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		if d := s.Offer(now, request(i, "w")); d.Queued {
			accepted++
		} else if d.Reason != usheradmit.ReasonQuota || d.RetryAfter > time.Second {
			t.Fatalf("unexpected refusal %+v", d)
		}
	}
	if accepted < 10 || accepted > 11 {
		t.Errorf("%d requests accepted in ten seconds, want one per second", accepted)
	}
}

func TestRouterKeepsLocalUnlessAnotherHasClearlyMoreRoom(t *testing.T) {
	tests := []struct {
		name          string
		local, remote usheradmit.Summary
		want          string
	}{
		{"similar", usheradmit.Summary{Targets: 1, FreeShare: 0.5}, usheradmit.Summary{Targets: 1, FreeShare: 0.51}, "local"},
		{"local is full", usheradmit.Summary{Targets: 1, FreeShare: -0.1}, usheradmit.Summary{Targets: 1, FreeShare: 0.5}, "remote"},
		{"local has no target", usheradmit.Summary{}, usheradmit.Summary{Targets: 1, FreeShare: -1}, "remote"},
		{"reserved targets for interactive requests", usheradmit.Summary{Targets: 1, FreeShare: 0.5}, usheradmit.Summary{Targets: 1, ReservedTargets: 1, FreeShare: 0.2}, "remote"},
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
				name, _ := router.Pick(start, test.remote.ReservedTargets > 0)
				picked[name]++
			}
			if picked[test.want] < 4 {
				t.Errorf("picked %v, want mostly %s", picked, test.want)
			}
		})
	}
}
