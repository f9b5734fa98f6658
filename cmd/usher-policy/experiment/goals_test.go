package usherexperiment_test

import (
	"testing"
	"time"

	usherexperiment "github.com/samphireusher/samphireusher/cmd/usher-policy/experiment"
	"github.com/samphireusher/samphireusher/pkg/usheradmit"
)

var (
	seeds  = []uint64{1, 2}
	limits = []int{28, 32}
)

// sums holds the figures of one policy over all seeds.
type sums struct {
	preemptions, lost, overloads, refused, retries, offered int
	stall, tokens, ttft, itl, lookup                        float64
	worstShare                                              float64
}

func scenario(t testing.TB, name string, load float64, seed uint64) usherexperiment.Scenario {
	t.Helper()
	for _, s := range usherexperiment.Scenarios(12) {
		if s.Name != name {
			continue
		}
		shorter := s.Short(30*time.Second, 60*time.Second)
		if load > 0 {
			shorter.Load = load
		}
		return usherexperiment.Rated(shorter, seed)
	}
	t.Fatalf("no scenario %s", name)
	return usherexperiment.Scenario{}
}

func (s *sums) add(r usherexperiment.Result) {
	if s.offered == 0 {
		s.worstShare = 1
	}
	s.preemptions += r.Preemptions
	s.lost += r.Lost
	s.overloads += r.Overloads
	s.refused += r.RefusedNotRun
	s.retries += r.Retries
	s.offered += r.Offered
	s.stall += r.StallMsPer1000Tokens
	s.tokens += r.TokensPerSecond
	s.ttft = max(s.ttft, r.TTFTP95Ms)
	s.itl = max(s.itl, r.ITLP95Ms)
	s.lookup = max(s.lookup, r.LookupP99Ms)
	s.worstShare = min(s.worstShare, r.WorstShare)
}

func play(t testing.TB, name, policy string, load float64, chosen ...uint64) sums {
	t.Helper()
	if len(chosen) == 0 {
		chosen = seeds
	}
	var s sums
	for _, seed := range chosen {
		s.add(usherexperiment.Play(scenario(t, name, load, seed), policy, 0, seed, usheradmit.Options{}))
	}
	return s
}

// compare sums the policies over the seeds, least_outstanding at the limit that is best for each.
func compare(t testing.TB, name string) (least, usher, oracle sums) {
	t.Helper()
	for _, seed := range seeds {
		s := scenario(t, name, 0, seed)
		var swept []usherexperiment.Result
		for _, limit := range limits {
			swept = append(swept, usherexperiment.Play(s, usherexperiment.PolicyLeastOutstanding, limit, seed, usheradmit.Options{}))
		}
		least.add(usherexperiment.BestLimit(swept))
		usher.add(usherexperiment.Play(s, usherexperiment.PolicyUsher, 0, seed, usheradmit.Options{}))
		oracle.add(usherexperiment.Play(s, usherexperiment.PolicyOracle, 0, seed, usheradmit.Options{}))
	}
	return least, usher, oracle
}

func atMost(t testing.TB, what string, got, bound float64) {
	t.Helper()
	if got > bound {
		t.Errorf("%s is %.2f, want at most %.2f", what, got, bound)
	}
}

func TestAimsAt85Percent(t *testing.T) {
	t.Parallel()
	least, usher, oracle := compare(t, "steady_85")
	atMost(t, "preemptions", float64(usher.preemptions), float64(least.preemptions)/100)
	atMost(t, "stall", usher.stall, least.stall/100)
	atMost(t, "first token", usher.ttft, 1.2*oracle.ttft)
	atMost(t, "time between tokens", usher.itl, 36)
}

func TestAimsAt95PercentAndAfterAShift(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"steady_95", "length_shift"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			least, usher, oracle := compare(t, name)
			atMost(t, "preemptions", float64(usher.preemptions), float64(least.preemptions)/50)
			atMost(t, "missing tokens", 0.985*oracle.tokens-usher.tokens, 0)
			atMost(t, "time between tokens", usher.itl, 36)
		})
	}
}

func TestNineSchedulersAreAboutAsGoodAsOne(t *testing.T) {
	t.Parallel()
	one, nine := play(t, "steady_85", usherexperiment.PolicyUsher, 0, 1), play(t, "nine_schedulers", usherexperiment.PolicyUsher, 0, 1)
	atMost(t, "preemptions", float64(nine.preemptions), 1.1*float64(one.preemptions))
	atMost(t, "stall", nine.stall, 1.1*one.stall)
	atMost(t, "first token", nine.ttft, 1.1*one.ttft)
	atMost(t, "time between tokens", nine.itl, 1.1*one.itl)
	atMost(t, "missing tokens", one.tokens/1.1-nine.tokens, 0)
}

func TestLookupsBesideSaturatingAppraisals(t *testing.T) {
	t.Parallel()
	idle, busy := play(t, "lookups_idle", usherexperiment.PolicyUsher, 0, 1), play(t, "lookups_saturated", usherexperiment.PolicyUsher, 0, 1)
	atMost(t, "99th percentile of lookups", busy.lookup, 1.2*idle.lookup)
}

func TestModestWorkspacesBesideAGreedyOne(t *testing.T) {
	t.Parallel()
	// The modest ones ask for less than their fair share, so all of what they ask for is due to them.
	atMost(t, "share that a modest workspace lacks", 1-play(t, "greedy", usherexperiment.PolicyUsher, 0, 1).worstShare, 0.05)
}

func TestFreshTargetsAndRetries(t *testing.T) {
	t.Parallel()
	s := play(t, "half_cold", usherexperiment.PolicyUsher, 0, 1)
	if s.overloads > 0 || s.lost > 0 {
		t.Errorf("%d steps above what a cold engine bears, %d requests lost", s.overloads, s.lost)
	}
	atMost(t, "retries", float64(s.retries), 0.1*float64(s.offered+s.retries))
}

func TestDataCentreLeavesAndReturns(t *testing.T) {
	t.Parallel()
	steady, moved := play(t, "steady_60", usherexperiment.PolicyUsher, 0, 1), play(t, "data_centre_out", usherexperiment.PolicyUsher, 0, 1)
	if moved.lost > 0 || moved.refused > 0 {
		t.Errorf("%d requests lost and %d refused", moved.lost, moved.refused)
	}
	atMost(t, "time between tokens", moved.itl, 1.2*steady.itl)
}

func TestSameSeedSameFigures(t *testing.T) {
	t.Parallel()
	s := scenario(t, "half_cold", 0, 1).Short(5*time.Second, 20*time.Second)
	first := usherexperiment.Play(s, usherexperiment.PolicyUsher, 0, 1, usheradmit.Options{})
	second := usherexperiment.Play(s, usherexperiment.PolicyUsher, 0, 1, usheradmit.Options{})
	if first.Completed != second.Completed || first.TokensPerSecond != second.TokensPerSecond || first.TTFTP95Ms != second.TTFTP95Ms {
		t.Errorf("runs differ: %+v and %+v", first, second)
	}
}
