package usherplain

import "time"

// Faults are the switches of a plain service. Die and FreezeMS act once, when they are set, DieBefore and DieAfter at
// the next call; the rest stay.
type Faults struct {
	// Die drops all connections; the service comes back after RestartAfterMS; zero leaves
	// the service's own time.
	Die            bool  `json:"die"`
	RestartAfterMS int64 `json:"restart_after_ms"`
	// DieBefore kills the service before it executes the next call, DieAfter before it answers it.
	DieBefore bool `json:"die_before"`
	DieAfter  bool `json:"die_after"`
	// FreezeMS stops everything for a time.
	FreezeMS int64 `json:"freeze_ms"`
	// DelayMS makes each answer late.
	DelayMS int64 `json:"delay_ms"`
	// LoseAnswers executes each call and drops its connection.
	LoseAnswers bool `json:"lose_answers"`
	// Crosstalk answers under the id of another call.
	Crosstalk bool `json:"cross"`
	// Refuse refuses each call as overloaded.
	Refuse bool `json:"refuse"`
}

// Faults returns the switches as they stand.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults sets all switches at once.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	die, freeze := faults.Die, faults.FreezeMS
	faults.Die, faults.FreezeMS = false, 0
	s.faults = faults
	s.gate.SetDelay(time.Duration(faults.DelayMS) * time.Millisecond)
	if freeze > 0 {
		s.gate.Freeze(time.Duration(freeze) * time.Millisecond)
	}
	if die {
		s.die()
	}
}
