package usherengine

import "time"

// Faults are the switches of an engine. Die, Cold and FreezeMS act once, when they are set; the rest stay.
type Faults struct {
	// Die drops all connections and state; the engine comes back cold after RestartAfterMS; zero leaves
	// the engine's own time.
	Die            bool  `json:"die"`
	RestartAfterMS int64 `json:"restart_after_ms"`
	// Cold turns the engine cold.
	Cold bool `json:"cold"`
	// FreezeMS stops everything for a time.
	FreezeMS int64 `json:"freeze_ms"`
	// DelayMS makes each answer and each event late.
	DelayMS int64 `json:"delay_ms"`
	// CutAfterTokens breaks each stream after that many tokens.
	CutAfterTokens int `json:"cut_after_tokens"`
	// Duplicate sends each token twice.
	Duplicate bool `json:"duplicate"`
	// Crosstalk sends a token of another generation before each token.
	Crosstalk bool `json:"cross"`
	// Refuse refuses each new generation as overloaded.
	Refuse bool `json:"refuse"`
	// LoseReports drops the connection of each call for a report.
	LoseReports bool `json:"lose_reports"`
	// ReportLagMS changes the lag of the reports; zero leaves the engine's own.
	ReportLagMS int64 `json:"report_lag_ms"`
	// Poison lets a prompt that contains "poison" kill the engine.
	Poison bool `json:"poison"`
}

// Faults returns the switches as they stand.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults sets all switches at once.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	die, cold, freeze := faults.Die, faults.Cold, faults.FreezeMS
	faults.Die, faults.Cold, faults.FreezeMS = false, false, 0
	e.faults = faults
	e.gate.SetDelay(time.Duration(faults.DelayMS) * time.Millisecond)
	if freeze > 0 {
		e.gate.Freeze(time.Duration(freeze) * time.Millisecond)
	}
	if cold {
		e.state.model.MarkCold()
		e.noteReport(e.state, time.Now())
	}
	if die {
		e.die(deathSwitched, e.restartAfter())
	}
}
