package usherexperiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	gapTarget         = 36 * time.Millisecond
	maxMicroseconds   = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	windowInterval    = 10 * time.Second // of the series
)

type (
	// Result is the measurements of one run.
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

		Limit         int       `json:"-"` // of PolicyLeastOutstanding
		Lost          int       `json:"-"` // requests that ended without an answer or a refusal
		Overloads     int       `json:"-"` // steps of a cold engine with more sequences than it can run without failing
		EngineCrashes int       `json:"-"`
		Retries       int       `json:"-"`
		Offered       int       `json:"-"`
		WorstShare    float64   `json:"-"` // least share of its requests that a regular workspace had started
		ITLSeries     []float64 `json:"-"` // 95th percentile of the time between tokens in each ten seconds, in ms
		PreemptAt     []int     `json:"-"` // preemptions in each ten seconds
	}

	// meter collects the measurements of a run.
	meter struct {
		from, to           time.Duration
		itl, ttft, lookup  *hdrhistogram.Histogram
		window             *hdrhistogram.Histogram
		windowEnd          time.Duration
		tokens             int
		stall              time.Duration
		requested, started [workspaces]float64
		result             Result
		windowPreemptions  int
	}
)

func newMeter(s *Scenario) *meter {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicroseconds, significantDigits) }
	return &meter{
		from: s.Warmup, to: s.Warmup + s.Duration, windowEnd: windowInterval,
		itl: histogram(), ttft: histogram(), lookup: histogram(), window: histogram(),
	}
}

func (m *meter) inMeasurement(at time.Duration) bool { return at >= m.from && at < m.to }

// recordGap records count tokens that each came gap after the previous one.
func (m *meter) recordGap(at, gap time.Duration, count int) {
	if count == 0 {
		return
	}
	m.closeWindows(at)
	us := int64(gap / time.Microsecond)
	_ = m.window.RecordValues(us, int64(count)) // fails only for values beyond ten minutes
	if m.inMeasurement(at) {
		_ = m.itl.RecordValues(us, int64(count))
		m.stall += max(gap-gapTarget, 0) * time.Duration(count)
	}
}

// recordTokens counts tokens for the throughput.
func (m *meter) recordTokens(at time.Duration, count int) {
	m.closeWindows(at)
	if m.inMeasurement(at) {
		m.tokens += count
	}
}

func (m *meter) recordPreemption(at time.Duration) {
	m.closeWindows(at)
	m.windowPreemptions++
	if m.inMeasurement(at) {
		m.result.Preemptions++
	}
}

// closeWindows adds the windows that ended by at to the series.
func (m *meter) closeWindows(at time.Duration) {
	for at >= m.windowEnd {
		m.result.ITLSeries = append(m.result.ITLSeries, milliseconds(m.window.ValueAtQuantile(95)))
		m.result.PreemptAt = append(m.result.PreemptAt, m.windowPreemptions)
		m.window.Reset()
		m.windowPreemptions = 0
		m.windowEnd += windowInterval
	}
}

func (m *meter) summarize() Result {
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

// fairness returns Jain's index over the regular workspaces' shares of started requests, and the least of these shares.
func (m *meter) fairness() (float64, float64) {
	sum, squares, count, worst := 0.0, 0.0, 0.0, 1.0
	for w := firstRegularWorkspace; w < workspaces; w++ {
		if m.requested[w] == 0 {
			continue
		}
		share := min(m.started[w]/m.requested[w], 1)
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
