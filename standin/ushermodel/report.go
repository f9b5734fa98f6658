package ushermodel

import "time"

// LoadReport is what an engine publishes about itself.
type LoadReport struct {
	TakenAt      time.Time
	Incarnation  uint64
	Running      int
	Waiting      int
	MemoryUsed   int // tokens
	MemoryTokens int
	StepTime     time.Duration // smoothed over the last steps
	Preemptions  uint64        // since the start of the incarnation
	Completed    uint64        // since the start of the incarnation
}

// Report returns the engine's load at now.
func (e *Engine) Report(now time.Time) LoadReport {
	return LoadReport{
		TakenAt:      now,
		Incarnation:  e.incarnation,
		Running:      len(e.running),
		Waiting:      len(e.waiting),
		MemoryUsed:   e.used,
		MemoryTokens: e.options.MemoryTokens,
		StepTime:     e.stepTime,
		Preemptions:  e.preemptions,
		Completed:    e.completed,
	}
}
