package usheradmit_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usheradmit"
)

var start = time.Unix(1_000_000, 0)

// feed simulates generations of one template with log-normal lengths that arrive ten times per second and generate 40 tokens
// per second.
func feed(l *usheradmit.Lengths, random *rand.Rand, from, to time.Duration, mu float64) {
	const perSecond, tokensPerSecond = 10, 40
	type generation struct {
		startedAt     time.Duration
		recorded, end int
	}
	var running []generation
	for now := from; now < to; now += time.Second {
		for range perSecond {
			running = append(running, generation{startedAt: now, end: 1 + int(math.Exp(mu+random.NormFloat64()))})
		}
		kept := running[:0]
		for _, g := range running {
			generated := int((now - g.startedAt).Seconds()) * tokensPerSecond
			if generated >= g.end {
				l.RecordEnd("w", "appraisal", g.recorded, g.end)
				continue
			}
			l.RecordProgress("w", "appraisal", g.recorded, generated)
			g.recorded = generated
			kept = append(kept, g)
		}
		running = kept
		l.Of(start.Add(now), "w", "appraisal")
	}
}

// logNormalTail returns the probability that a length from the distribution that feed uses exceeds tokens.
func logNormalTail(mu float64, tokens int) float64 {
	return math.Erfc((math.Log(float64(tokens))-mu)/math.Sqrt2) / 2
}

// The estimates must follow the actual lengths, also within a minute after these change.
func TestLengthsFollowTheDistributionAndItsShift(t *testing.T) {
	const mu, shifted = 5.0, 6.0
	tests := []struct {
		name string
		run  func(*usheradmit.Lengths, *rand.Rand) time.Duration
		mu   float64
	}{
		{"steady", func(l *usheradmit.Lengths, r *rand.Rand) time.Duration {
			feed(l, r, 0, 10*time.Minute, mu)
			return 10 * time.Minute
		}, mu},
		{"one minute after a shift to longer generations", func(l *usheradmit.Lengths, r *rand.Rand) time.Duration {
			feed(l, r, 0, 10*time.Minute, mu)
			feed(l, r, 10*time.Minute, 11*time.Minute, shifted)
			return 11 * time.Minute
		}, shifted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var l usheradmit.Lengths
			end := test.run(&l, rand.New(rand.NewPCG(1, 1)))
			d := l.Of(start.Add(end), "w", "appraisal")
			for _, generated := range []int{0, 100, 400} {
				for _, ahead := range []int{50, 200, 400} {
					want := logNormalTail(test.mu, generated+ahead) / logNormalTail(test.mu, max(generated, 1))
					if got := d.Survival(generated, ahead); math.Abs(got-want) > 0.12 {
						t.Errorf("probability of more than %d tokens after %d is %.2f, want %.2f", ahead, generated, got, want)
					}
				}
			}
		})
	}
}

// If lengths were learned from finished generations only, long ones would be underestimated until the first of them end.
func TestRunningGenerationsCountBeforeTheyEnd(t *testing.T) {
	var l usheradmit.Lengths
	before := l.Of(start, "w", "plan").Survival(0, 1000)
	for range 100 {
		l.RecordProgress("w", "plan", 0, 1000)
	}
	after := l.Of(start.Add(2*time.Second), "w", "plan").Survival(0, 1000)
	if after < 0.8 || before > 0.5 {
		t.Errorf("probability of more than 1000 tokens went from %.2f to %.2f after 100 generations reached 1000", before, after)
	}
}

func TestLargeWorkspaceHasItsOwnLengths(t *testing.T) {
	var l usheradmit.Lengths
	for range 2000 {
		l.RecordEnd("short", "plan", 0, 20)
		l.RecordEnd("long", "plan", 0, 2000)
	}
	now := start.Add(2 * time.Second)
	if short, long := l.Of(now, "short", "plan").Mean(), l.Of(now, "long", "plan").Mean(); long < 10*short {
		t.Errorf("got means %.0f and %.0f, want a separate mean for each workspace", short, long)
	}
}
