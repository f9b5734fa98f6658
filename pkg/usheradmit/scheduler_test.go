package usheradmit_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/samphireusher/samphireusher/pkg/usheradmit"
)

func warmReport(at time.Time) usheradmit.LoadReport {
	return usheradmit.LoadReport{TakenAt: at, Incarnation: 1, MemoryTokens: 60_000, Completed: 1000}
}

func target(id string) usheradmit.Target {
	return usheradmit.Target{ID: id, MemoryTokens: 60_000, Limit: usheradmit.Unlimited, InService: true}
}

// newScheduler returns a scheduler whose targets are warm.
func newScheduler(options usheradmit.Options, targets ...usheradmit.Target) *usheradmit.Scheduler {
	s := usheradmit.New(options)
	for _, t := range targets {
		s.SetTarget(t)
		s.Report(start, t.ID, warmReport(start))
	}
	return s
}

func request(attempt int, workspace string) usheradmit.Request {
	return usheradmit.Request{Attempt: fmt.Sprint(attempt), Workspace: workspace, Template: "appraisal", PromptTokens: 600, MaxOutputTokens: 2000}
}

func offer(t testing.TB, s *usheradmit.Scheduler, now time.Time, r usheradmit.Request) {
	t.Helper()
	if d := s.Offer(now, r); !d.Queued {
		t.Fatalf("request %s was refused: %+v", r.Attempt, d)
	}
}

func TestTargetLimitsAreNotExceeded(t *testing.T) {
	tests := []struct {
		name   string
		change func(*usheradmit.Target, *usheradmit.LoadReport)
		limit  int
	}{
		{"no lease", func(t *usheradmit.Target, _ *usheradmit.LoadReport) { t.Limit = 0 }, 0},
		{"lease of three", func(t *usheradmit.Target, _ *usheradmit.LoadReport) { t.Limit = 3 }, 3},
		{"out of service", func(t *usheradmit.Target, _ *usheradmit.LoadReport) { t.InService = false }, 0},
		{"plain service with a lease of three", func(t *usheradmit.Target, r *usheradmit.LoadReport) {
			t.Limit, t.MemoryTokens, r.MemoryTokens = 3, 0, 0
		}, 3},
		{"unknown memory", func(t *usheradmit.Target, r *usheradmit.LoadReport) { t.MemoryTokens, r.MemoryTokens = 0, 0 }, 4},
		{"memory smaller than a prompt", func(t *usheradmit.Target, r *usheradmit.LoadReport) { t.MemoryTokens, r.MemoryTokens = 500, 500 }, 0},
		{"cold", func(_ *usheradmit.Target, r *usheradmit.LoadReport) { r.Completed = 0 }, 4},
		{"no memory left by other schedulers' generations", func(_ *usheradmit.Target, r *usheradmit.LoadReport) { r.Running, r.MemoryUsed = 40, 59_000 }, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := usheradmit.New(usheradmit.Options{})
			tg, report := target("a"), warmReport(start)
			test.change(&tg, &report)
			s.SetTarget(tg)
			s.Report(start, "a", report)
			for i := range 20 {
				offer(t, s, start, request(i, "w"))
			}
			if assignments, _ := s.Next(start); len(assignments) > test.limit || test.limit > 0 && len(assignments) == 0 {
				t.Errorf("got %d assignments, want at most %d and at least one if any is allowed", len(assignments), test.limit)
			}
		})
	}
}

// A request must not be assigned, refused or withdrawn more than once, whatever the order of events.
func TestRequestsEndAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := map[string]int{"a": rapid.IntRange(0, 5).Draw(t, "limit a"), "b": rapid.IntRange(0, 5).Draw(t, "limit b")}
		s := newScheduler(usheradmit.Options{QueueCapacity: 30})
		for id, limit := range limits {
			tg := target(id)
			tg.Limit = limit
			s.SetTarget(tg)
			s.Report(start, id, warmReport(start))
		}
		now := start
		ended := make(map[string]int)
		running := make(map[string]string)
		for i := range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			r := request(i, fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "workspace")))
			r.Interactive = rapid.Bool().Draw(t, "interactive")
			r.QueueTimeout = 5 * time.Second
			if d := s.Offer(now, r); !d.Queued {
				ended[r.Attempt]++
				if d.RetryAfter <= 0 || d.Reason == usheradmit.ReasonNone {
					t.Fatalf("refusal without a reason or a time to wait: %+v", d)
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "withdraw") == 0 && s.Withdraw(r.Attempt) {
				ended[r.Attempt]++
			}
			assignments, refusals := s.Next(now)
			for _, a := range assignments {
				ended[a.Request.Attempt]++
				running[a.Request.Attempt] = a.Target
			}
			for _, refusal := range refusals {
				ended[refusal.Request.Attempt]++
			}
			counts := make(map[string]int)
			for attempt, id := range running {
				if counts[id]++; counts[id] > limits[id] {
					t.Fatalf("target %s has %d generations, want at most %d", id, counts[id], limits[id])
				}
				if rapid.IntRange(0, 4).Draw(t, "finish") == 0 {
					s.Finish(now, attempt, 100, usheradmit.Result(rapid.IntRange(0, 3).Draw(t, "result")))
					delete(running, attempt)
					counts[id]--
				}
			}
		}
		_, refusals := s.Next(now.Add(time.Minute))
		for _, refusal := range refusals {
			ended[refusal.Request.Attempt]++
		}
		for i := range 200 {
			if n := ended[fmt.Sprint(i)]; n > 1 {
				t.Fatalf("request %d ended %d times", i, n)
			}
		}
	})
}

// A target that crashes gets no requests for a moment and then only as many as a cold one.
func TestCrashedTargetIsCold(t *testing.T) {
	s := newScheduler(usheradmit.Options{}, target("a"))
	for i := range 20 {
		offer(t, s, start, request(i, "w"))
	}
	assignments, _ := s.Next(start)
	if len(assignments) <= 4 {
		t.Fatalf("warm target got %d requests, want more than 4", len(assignments))
	}
	for _, a := range assignments {
		s.Finish(start, a.Request.Attempt, 0, usheradmit.ResultLost)
	}
	for i := range 20 {
		offer(t, s, start, request(100+i, "w"))
	}
	if assignments, _ := s.Next(start); len(assignments) > 0 {
		t.Errorf("target that just crashed got %d requests, want none", len(assignments))
	}
	if assignments, _ := s.Next(start.Add(2 * time.Second)); len(assignments) != 4 {
		t.Errorf("restarted target got %d requests, want 4", len(assignments))
	}
}

// A cached prefix attracts requests, until it is evicted or a gap in the cache events makes it uncertain.
func TestCachedPrefixIsPreferredUntilAGap(t *testing.T) {
	tests := []struct {
		name   string
		events []usheradmit.CacheEvent
		want   string
	}{
		{"stored", []usheradmit.CacheEvent{{Sequence: 1, Prefix: 7, Stored: true}}, "b"},
		{"evicted", []usheradmit.CacheEvent{{Sequence: 1, Prefix: 7, Stored: true}, {Sequence: 2, Prefix: 7}}, "a"},
		{"gap", []usheradmit.CacheEvent{{Sequence: 1, Prefix: 7, Stored: true}, {Sequence: 5, Prefix: 8, Stored: true}}, "a"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := target("b")
			b.MemoryTokens = 58_500 // slightly less than that of a
			s := newScheduler(usheradmit.Options{}, target("a"))
			s.SetTarget(b)
			report := warmReport(start)
			report.MemoryTokens = b.MemoryTokens
			s.Report(start, "b", report)
			for _, event := range test.events {
				s.ApplyCacheEvent(start, "b", event)
			}
			r := request(1, "w")
			r.Prefix, r.PrefixTokens = 7, 600
			offer(t, s, start, r)
			if assignments, _ := s.Next(start); len(assignments) != 1 || assignments[0].Target != test.want {
				t.Errorf("got assignments %+v, want target %s", assignments, test.want)
			}
		})
	}
}

func BenchmarkNext(b *testing.B) {
	for _, targets := range []int{12, 120, 1200} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			s := newScheduler(usheradmit.Options{})
			for i := range targets {
				tg := target(fmt.Sprint(i))
				s.SetTarget(tg)
				s.Report(start, tg.ID, warmReport(start))
			}
			now := start
			running := make([]string, 0, 20*targets)
			b.ReportAllocs()
			for i := range b.N {
				now = now.Add(30 * time.Second / time.Duration(20*targets))
				s.Offer(now, request(i, "w"))
				assignments, _ := s.Next(now)
				for _, a := range assignments {
					running = append(running, a.Request.Attempt)
				}
				if len(running) >= 20*targets {
					s.Finish(now, running[0], 600, usheradmit.ResultCompleted)
					running = running[1:]
				}
			}
		})
	}
}
