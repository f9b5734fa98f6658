package usherengine

import "time"

// Faults holds the fault switches of an engine. Crash, Cold and FreezeMS act once, when they are set. The others stay
// in effect until they are set again.
type Faults struct {
	// Crash makes the engine crash, which drops all connections and state. The engine restarts cold after RestartAfterMS,
	// or after Config.RestartAfter if it is zero.
	Crash          bool  `json:"die"`
	RestartAfterMS int64 `json:"restart_after_ms"`
	// Cold makes the engine cold.
	Cold bool `json:"cold"`
	// FreezeMS suspends the engine for this number of milliseconds.
	FreezeMS int64 `json:"freeze_ms"`
	// DelayMS delays each response and each event by this number of milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// CutAfterTokens closes the connection of each stream after this number of tokens.
	CutAfterTokens int `json:"cut_after_tokens"`
	// Duplicate sends each token twice.
	Duplicate bool `json:"duplicate"`
	// Crosstalk sends a token of another generation before each token.
	Crosstalk bool `json:"cross"`
	// Refuse refuses each new generation with the reason "overloaded".
	Refuse bool `json:"refuse"`
	// LoseReports closes the connection of each request for a report without a response.
	LoseReports bool `json:"lose_reports"`
	// ReportLagMS overrides Config.ReportLag, in milliseconds; zero keeps it.
	ReportLagMS int64 `json:"report_lag_ms"`
	// Poison makes the engine crash on a prompt that contains "poison".
	Poison bool `json:"poison"`
}

// Faults returns the current fault switches.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces all fault switches.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	crash, cold, freeze := faults.Crash, faults.Cold, faults.FreezeMS
	faults.Crash, faults.Cold, faults.FreezeMS = false, false, 0
	e.faults = faults
	e.gate.SetDelay(time.Duration(faults.DelayMS) * time.Millisecond)
	if freeze > 0 {
		e.gate.Freeze(time.Duration(freeze) * time.Millisecond)
	}
	if cold {
		e.state.model.MarkCold()
		e.recordReport(e.state, time.Now())
	}
	if crash {
		e.crash(crashFaultSwitch, e.restartDelay())
	}
}
