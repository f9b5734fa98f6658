package usherplain

import "time"

// Faults holds the fault switches of a plain service. Crash and FreezeMS act once, when they are set. CrashBefore and
// CrashAfter act once, at the next call. The others stay in effect until they are set again.
type Faults struct {
	// Crash makes the service crash, which drops all connections. The service restarts after RestartAfterMS, or after
	// Config.RestartAfter if it is zero.
	Crash          bool  `json:"die"`
	RestartAfterMS int64 `json:"restart_after_ms"`
	// CrashBefore makes the service crash before it executes the next call, CrashAfter after it executes the call but
	// before it responds.
	CrashBefore bool `json:"die_before"`
	CrashAfter  bool `json:"die_after"`
	// FreezeMS suspends the service for this number of milliseconds.
	FreezeMS int64 `json:"freeze_ms"`
	// DelayMS delays each response by this number of milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// LoseAnswers executes each call and closes its connection without a response.
	LoseAnswers bool `json:"lose_answers"`
	// Crosstalk makes each response carry the id of another call.
	Crosstalk bool `json:"cross"`
	// Refuse refuses each call with the reason "overloaded".
	Refuse bool `json:"refuse"`
}

// Faults returns the current fault switches.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces all fault switches.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	crash, freeze := faults.Crash, faults.FreezeMS
	faults.Crash, faults.FreezeMS = false, 0
	s.faults = faults
	s.gate.SetDelay(time.Duration(faults.DelayMS) * time.Millisecond)
	if freeze > 0 {
		s.gate.Freeze(time.Duration(freeze) * time.Millisecond)
	}
	if crash {
		s.crash()
	}
}
