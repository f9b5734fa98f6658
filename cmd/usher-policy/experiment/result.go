package usherexperiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	stepTarget     = 36 * time.Millisecond
	longestMeasure = int64(10 * time.Minute / time.Microsecond)
	digits         = 3
	windowInterval = 10 * time.Second // of the series
)

type (
	// Result is what one run of one policy measured.
	Result struct {
		Scenario             string  `json:"scenario"`
		Policy               string  `json:"policy"`
		Seed                 uint64  `json:"seed"`
		Completed            int     `json:"completed"`
		RefusedNotRun        int     `json:"refused_not_run"`
		Preemptions          int     `json:"preemptions"`
		StallMsPer1000Tokens float64 `json:"stall_ms_per_1000_tokens"`
		ITLP95Ms             float64 `json:"itl_p95_ms"`
		ITLP99Ms             float64 `json:"itl_p99_ms"`
		TTFTP95Ms            float64 `json:"ttft_p95_ms"`
		LookupP99Ms          float64 `json:"lookup_p99_ms"`
		TokensPerSecond      float64 `json:"tokens_per_second"`
		Fairness             float64 `json:"fairness"`

		Limit      int       `json:"-"` // of PolicyLeastOutstanding
		Lost       int       `json:"-"` // requests that ended without an answer or a refusal
		Overloads  int       `json:"-"` // steps that a cold engine made with more than it bears
		Deaths     int       `json:"-"`
		Retries    int       `json:"-"`
		Offered    int       `json:"-"`
		WorstShare float64   `json:"-"` // of a modest workspace: served of asked
		ITLSeries  []float64 `json:"-"` // 95th percentile between tokens of each ten seconds, in ms
		PreemptAt  []int     `json:"-"` // preemptions in each ten seconds
	}

	// meter gathers measurements while a scenario runs.
	meter struct {
		from, to          time.Duration
		itl, ttft, lookup *hdrhistogram.Histogram
		window            *hdrhistogram.Histogram
		windowEnd         time.Duration
		tokens            int
		stall             time.Duration
		asked, started    [workspaces]float64
		result            Result
		windowPreemptions int
	}
)

func newMeter(s *Scenario) *meter {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, longestMeasure, digits) }
	return &meter{
		from: s.Warmup, to: s.Warmup + s.Duration, windowEnd: windowInterval,
		itl: histogram(), ttft: histogram(), lookup: histogram(), window: histogram(),
	}
}

func (m *meter) measures(at time.Duration) bool { return at >= m.from && at < m.to }

// gap notes count tokens that each came a gap after the one before.
func (m *meter) gap(at, gap time.Duration, count int) {
	if count == 0 {
		return
	}
	m.roll(at)
	us := int64(gap / time.Microsecond)
	_ = m.window.RecordValues(us, int64(count)) // fails only for values beyond ten minutes
	if m.measures(at) {
		_ = m.itl.RecordValues(us, int64(count))
		m.stall += max(gap-stepTarget, 0) * time.Duration(count)
	}
}

// made notes count tokens.
func (m *meter) made(at time.Duration, count int) {
	m.roll(at)
	if m.measures(at) {
		m.tokens += count
	}
}

func (m *meter) preempted(at time.Duration) {
	m.roll(at)
	m.windowPreemptions++
	if m.measures(at) {
		m.result.Preemptions++
	}
}

// roll closes the intervals of the series that ended before at.
func (m *meter) roll(at time.Duration) {
	for at >= m.windowEnd {
		m.result.ITLSeries = append(m.result.ITLSeries, milliseconds(m.window.ValueAtQuantile(95)))
		m.result.PreemptAt = append(m.result.PreemptAt, m.windowPreemptions)
		m.window.Reset()
		m.windowPreemptions = 0
		m.windowEnd += windowInterval
	}
}

// finish returns what was measured.
func (m *meter) finish() Result {
	r := m.result
	r.ITLP95Ms = milliseconds(m.itl.ValueAtQuantile(95))
	r.ITLP99Ms = milliseconds(m.itl.ValueAtQuantile(99))
	r.TTFTP95Ms = milliseconds(m.ttft.ValueAtQuantile(95))
	r.LookupP99Ms = milliseconds(m.lookup.ValueAtQuantile(99))
	r.TokensPerSecond = float64(m.tokens) / (m.to - m.from).Seconds()
	r.StallMsPer1000Tokens = float64(m.stall/time.Microsecond) / max(float64(m.tokens), 1)
	r.Fairness, r.WorstShare = m.fairness()
	return r
}

// fairness returns Jain's index over the modest workspaces, and the least share of what one asked that was started.
func (m *meter) fairness() (float64, float64) {
	sum, squares, count, worst := 0.0, 0.0, 0.0, 1.0
	for w := modestWorkspace; w < workspaces; w++ {
		if m.asked[w] == 0 {
			continue
		}
		share := min(m.started[w]/m.asked[w], 1)
		sum += share
		squares += share * share
		count++
		worst = min(worst, share)
	}
	if squares == 0 {
		return 0, 0
	}
	return sum * sum / (count * squares), worst
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }
