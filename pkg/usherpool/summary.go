package usherpool

import (
	"slices"
	"strings"
	"time"
)

// Summary describes a target for operators.
type Summary struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Accepts    bool   `json:"accepts"`
	Evacuated  bool   `json:"evacuated"`
	// Leaving reports that the target said itself that it is leaving, RestsForMs for how much longer it wants nothing from this
	// host.
	Leaving    bool  `json:"leaving"`
	RestsForMs int64 `json:"rests_for_ms"`
	// Limit is how many requests a second the target said that it takes from all hosts together; nil for no limit. TurnInMs is the time
	// until this host may send it the next one.
	Limit       *float64 `json:"limit,omitempty"`
	TurnInMs    int64    `json:"turn_in_ms,omitempty"`
	Cold        bool     `json:"cold"`
	Blocked     bool     `json:"blocked"`
	FailureRate string   `json:"failure_rate"`
	Own         Load     `json:"own"`
	All         Load     `json:"all"`
	AgeMs       int64    `json:"age_ms"`
	// Speed is the ratio of the target's times to those of a usual one, SpeedError the standard error of its logarithm, SpeedAgeMs the time
	// since the last observation (0 if there is none), and LongestPauseMs the longest pause that is expected of a long stream.
	Speed          float64 `json:"speed"`
	SpeedError     float64 `json:"speed_error"`
	SpeedAgeMs     int64   `json:"speed_age_ms"`
	LongestPauseMs int64   `json:"longest_pause_ms"`
}

// Summaries returns the summaries of all targets, sorted by id.
func (p *Pool) Summaries(now time.Time) []Summary {
	summaries := make([]Summary, 0, len(p.targets))
	for id, t := range p.targets {
		_, departed := p.departed[incarnationOf(t.entry)]
		summary := Summary{
			ID: id, Service: t.entry.Service, Address: t.entry.Address.String(), DataCentre: t.entry.DataCentre, Accepts: t.accepting,
			Evacuated: t.evacuated, Leaving: t.leaving || departed, RestsForMs: max(t.rest.until.Sub(now), 0).Milliseconds(), Cold: p.isCold(now, t), Blocked: t.health.blocked(now), FailureRate: percent(t.health.failureRate(now)),
			Own: t.own, All: p.totalLoad(now, t), AgeMs: now.Sub(t.learned).Milliseconds(),
		}
		speed := p.speed(now, t)
		summary.Speed, summary.SpeedError, summary.SpeedAgeMs = speed.Factor, speed.Error, speed.Age.Milliseconds()
		summary.LongestPauseMs = speed.LongestPause.Milliseconds()
		if t.limit != nil {
			perSecond := t.limit.perSecond
			summary.Limit = &perSecond
			if opens := p.opens(now, t.limit); !opens.IsZero() {
				summary.TurnInMs = opens.Sub(now).Milliseconds()
			}
		}
		summaries = append(summaries, summary)
	}
	slices.SortFunc(summaries, func(a, b Summary) int { return strings.Compare(a.ID, b.ID) })
	return summaries
}
