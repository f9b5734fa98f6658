package usherplain

import "time"

// Faults holds the fault switches of a plain service. Die and FreezeMS act once, when they are set. DieBefore and
// DieAfter act once, at the next call. The others stay in effect until they are set again.
type Faults struct {
	// Die crashes the service, which drops all connections. The service restarts after RestartAfterMS, or after
	// Config.RestartAfter if it is zero.
	Die            bool  `json:"die"`
	RestartAfterMS int64 `json:"restart_after_ms"`
	// DieBefore crashes the service before it executes the next call, DieAfter after it executes the call but before it
	// responds.
	DieBefore bool `json:"die_before"`
	DieAfter  bool `json:"die_after"`
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
	crash, freeze := faults.Die, faults.FreezeMS
	faults.Die, faults.FreezeMS = false, 0
	s.faults = faults
	s.gate.SetDelay(time.Duration(faults.DelayMS) * time.Millisecond)
	if freeze > 0 {
		s.gate.Freeze(time.Duration(freeze) * time.Millisecond)
	}
	if crash {
		s.crash()
	}
}
