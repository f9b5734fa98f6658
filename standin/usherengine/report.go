package usherengine

import (
	"net/http"
	"time"

	"github.com/samphireusher/samphireusher/standin/internal/usherhttp"
)

type (
	report struct {
		Incarnation      int64   `json:"incarnation"`
		TakenAtMS        int64   `json:"taken_at_ms"`
		AgeMS            int64   `json:"age_ms"`
		Running          int     `json:"running"`
		Waiting          int     `json:"waiting"`
		MemoryUsedTokens int     `json:"memory_used_tokens"`
		MemoryTokens     int     `json:"memory_tokens"`
		StepTimeMS       float64 `json:"step_time_ms"`
		Preemptions      uint64  `json:"preemptions"`
		Completed        uint64  `json:"completed"`
		Model            string  `json:"model"`
		Warm             bool    `json:"warm"`
	}

	cacheEventsAnswer struct {
		Incarnation int64        `json:"incarnation"`
		Events      []cacheEvent `json:"events"`
	}
)

func (s *state) report(at time.Time) report {
	load := s.model.Report(at)
	return report{
		Incarnation:      s.life.Incarnation,
		TakenAtMS:        at.UnixMilli(),
		Running:          load.Running,
		Waiting:          load.Waiting,
		MemoryUsedTokens: load.MemoryUsed,
		MemoryTokens:     load.MemoryTokens,
		StepTimeMS:       float64(load.StepTime) / float64(time.Millisecond),
		Preemptions:      load.Preemptions,
		Completed:        load.Completed,
		Model:            s.orders.Model,
		Warm:             !s.model.Cold(),
	}
}

// noteReport remembers the state for later reports and forgets what no report will show any more.
func (e *Engine) noteReport(s *state, now time.Time) {
	s.reports = append(s.reports, s.report(now))
	shown := now.Add(-e.reportLag()).UnixMilli()
	for len(s.reports) > 1 && s.reports[1].TakenAtMS <= shown {
		s.reports = s.reports[1:]
	}
}

func (e *Engine) reportLag() time.Duration {
	if e.faults.ReportLagMS > 0 {
		return time.Duration(e.faults.ReportLagMS) * time.Millisecond
	}
	return e.config.ReportLag
}

// laggingReport returns the state as it was a lag ago, but not before the start.
func (e *Engine) laggingReport(s *state, now time.Time) report {
	at := now.Add(-e.reportLag())
	if at.Before(s.life.StartTime) {
		at = s.life.StartTime
	}
	shown := s.reports[0]
	for _, later := range s.reports[1:] {
		if later.TakenAtMS <= at.UnixMilli() {
			shown = later
		}
	}
	shown.TakenAtMS = max(shown.TakenAtMS, at.UnixMilli())
	return shown
}

func (e *Engine) serveReport(w http.ResponseWriter, r *http.Request) {
	var shown report
	e.locked(r, func(s *state) {
		if e.faults.LoseReports {
			panic(http.ErrAbortHandler)
		}
		now := time.Now()
		shown = e.laggingReport(s, now)
		shown.AgeMS = now.UnixMilli() - shown.TakenAtMS
	})
	usherhttp.Reply(w, http.StatusOK, shown)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := usherhttp.QueryInt(r, "after")
	if err != nil {
		usherhttp.Refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	var answer cacheEventsAnswer
	e.locked(r, func(s *state) {
		until := time.Now().Add(-e.config.CacheEventLag)
		answer = cacheEventsAnswer{s.life.Incarnation, s.cache.since(after, until, e.config.CacheGap)}
	})
	usherhttp.Reply(w, http.StatusOK, answer)
}
