package usheradmit_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usheradmit"
)

var start = time.Unix(1_000_000, 0)

// feed lets generations of one template arrive ten times a second and make 40 tokens a second until the given time.
func feed(l *usheradmit.Lengths, random *rand.Rand, from, to time.Duration, mu float64) {
	const perSecond, tokensPerSecond = 10, 40
	type generation struct {
		begun     time.Duration
		seen, end int
	}
	var running []generation
	for now := from; now < to; now += time.Second {
		for range perSecond {
			running = append(running, generation{begun: now, end: 1 + int(math.Exp(mu+random.NormFloat64()))})
		}
		kept := running[:0]
		for _, g := range running {
			made := int((now - g.begun).Seconds()) * tokensPerSecond
			if made >= g.end {
				l.End("w", "appraisal", g.seen, g.end)
				continue
			}
			l.Advance("w", "appraisal", g.seen, made)
			g.seen = made
			kept = append(kept, g)
		}
		running = kept
		l.Of(start.Add(now), "w", "appraisal")
	}
}

func normalTail(mu float64, tokens int) float64 {
	return math.Erfc((math.Log(float64(tokens))-mu)/math.Sqrt2) / 2
}

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
		{"a minute after a shift to longer ones", func(l *usheradmit.Lengths, r *rand.Rand) time.Duration {
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
			for _, made := range []int{0, 100, 400} {
				for _, ahead := range []int{50, 200, 400} {
					want := normalTail(test.mu, made+ahead) / normalTail(test.mu, max(made, 1))
					if got := d.Survival(made, ahead); math.Abs(got-want) > 0.12 {
						t.Errorf("chance of %d tokens after %d is %.2f, want %.2f", ahead, made, got, want)
					}
				}
			}
		})
	}
}

func TestRunningGenerationsCountBeforeTheyEnd(t *testing.T) {
	var l usheradmit.Lengths
	before := l.Of(start, "w", "plan").Survival(0, 1000)
	for range 100 {
		l.Advance("w", "plan", 0, 1000)
	}
	after := l.Of(start.Add(2*time.Second), "w", "plan").Survival(0, 1000)
	if after < 0.8 || before > 0.5 {
		t.Errorf("chance of 1000 tokens went from %.2f to %.2f after 100 generations reached them", before, after)
	}
}

func TestLargeWorkspaceHasItsOwnLengths(t *testing.T) {
	var l usheradmit.Lengths
	for range 2000 {
		l.End("short", "plan", 0, 20)
		l.End("long", "plan", 0, 2000)
	}
	now := start.Add(2 * time.Second)
	if short, long := l.Of(now, "short", "plan").Mean(), l.Of(now, "long", "plan").Mean(); long < 10*short {
		t.Errorf("means %.0f and %.0f, want those of the workspaces", short, long)
	}
}
