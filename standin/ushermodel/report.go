package ushermodel

import "time"

// LoadReport is the load that an engine reports.
type LoadReport struct {
	TakenAt      time.Time
	Incarnation  uint64
	Running      int
	Waiting      int
	MemoryUsed   int // tokens
	MemoryTokens int
	StepTime     time.Duration // exponential moving average over the last steps
	Preemptions  uint64        // since the start of the incarnation
	Completed    uint64        // since the start of the incarnation
}

// Report returns the current load. TakenAt is set to now.
func (e *Engine) Report(now time.Time) LoadReport {
	return LoadReport{
		TakenAt:      now,
		Incarnation:  e.incarnation,
		Running:      len(e.running),
		Waiting:      len(e.waiting),
		MemoryUsed:   e.memoryUsed,
		MemoryTokens: e.options.MemoryTokens,
		StepTime:     e.stepTime,
		Preemptions:  e.preemptions,
		Completed:    e.completed,
	}
}
