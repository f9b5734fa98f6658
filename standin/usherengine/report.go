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

	cacheEventsResponse struct {
		Incarnation int64        `json:"incarnation"`
		Events      []cacheEvent `json:"events"`
	}
)

func (s *state) report(at time.Time) report {
	load := s.model.Report(at)
	return report{
		Incarnation:      s.instance.Incarnation,
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

// recordReport records the current state for later reports, and drops the states that no later report can show.
func (e *Engine) recordReport(s *state, now time.Time) {
	s.reports = append(s.reports, s.report(now))
	visible := now.Add(-e.reportLag()).UnixMilli()
	for len(s.reports) > 1 && s.reports[1].TakenAtMS <= visible {
		s.reports = s.reports[1:]
	}
}

func (e *Engine) reportLag() time.Duration {
	if e.faults.ReportLagMS > 0 {
		return time.Duration(e.faults.ReportLagMS) * time.Millisecond
	}
	return e.config.ReportLag
}

// delayedReport returns the state at the time of the report lag ago, or at the start of the instance if that is later.
func (e *Engine) delayedReport(s *state, now time.Time) report {
	at := now.Add(-e.reportLag())
	if at.Before(s.instance.StartTime) {
		at = s.instance.StartTime
	}
	visible := s.reports[0]
	for _, later := range s.reports[1:] {
		if later.TakenAtMS <= at.UnixMilli() {
			visible = later
		}
	}
	visible.TakenAtMS = max(visible.TakenAtMS, at.UnixMilli())
	return visible
}

func (e *Engine) serveReport(w http.ResponseWriter, r *http.Request) {
	var visible report
	e.withState(r, func(s *state) {
		if e.faults.LoseReports {
			panic(http.ErrAbortHandler)
		}
		now := time.Now()
		visible = e.delayedReport(s, now)
		visible.AgeMS = now.UnixMilli() - visible.TakenAtMS
	})
	usherhttp.Reply(w, http.StatusOK, visible)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := usherhttp.QueryInt(r, "after")
	if err != nil {
		usherhttp.Refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	var response cacheEventsResponse
	e.withState(r, func(s *state) {
		until := time.Now().Add(-e.config.CacheEventLag)
		response = cacheEventsResponse{s.instance.Incarnation, s.cache.since(after, until, e.config.CacheEventLossInterval)}
	})
	usherhttp.Reply(w, http.StatusOK, response)
}
