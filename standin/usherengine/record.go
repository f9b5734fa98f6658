package usherengine

import "time"

type (
	// Record holds what an engine has processed in all its incarnations.
	Record struct {
		Generations []GenerationRecord `json:"generations"`
		Crashes     []CrashRecord      `json:"deaths"`
		// PeakRunning is the maximum number of generations, running and waiting, at one time.
		PeakRunning int `json:"peak_running"`
		// PeakRunningCold is the maximum number at an arrival while the engine is cold, including the new generation.
		PeakRunningCold int `json:"peak_running_cold"`
	}

	// GenerationRecord records one start of a generation.
	GenerationRecord struct {
		GenerationID string `json:"generation_id"`
		Prompt       string `json:"prompt"`
		Incarnation  int64  `json:"incarnation"`
		StartedAtMS  int64  `json:"started_at_ms"`
		Isolated     bool   `json:"isolated"`
		Cold         bool   `json:"cold"`
		Finished     bool   `json:"finished"`
		Cancelled    bool   `json:"cancelled"`
		Tokens       int    `json:"tokens"`
		PeakRunning  int    `json:"peak_running"`
		Preemptions  int    `json:"preemptions"`
	}

	// CrashRecord records one crash of the engine.
	CrashRecord struct {
		Incarnation int64  `json:"incarnation"`
		AtMS        int64  `json:"at_ms"`
		Reason      string `json:"reason"`
	}

	// recorder collects a Record. It is protected by the lock of the engine.
	recorder struct {
		Record
	}
)

// Record returns a copy of the record.
func (e *Engine) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	record := e.recorder.Record
	record.Generations = append([]GenerationRecord{}, record.Generations...)
	record.Crashes = append([]CrashRecord{}, record.Crashes...)
	return record
}

func (c *recorder) generationStarted(s *state, g *generation, isolated bool) {
	count := s.generationCount()
	g.recordIndex = len(c.Generations)
	c.Generations = append(c.Generations, GenerationRecord{
		GenerationID: g.id,
		Prompt:       g.prompt,
		Incarnation:  s.instance.Incarnation,
		StartedAtMS:  time.Now().UnixMilli(),
		Isolated:     isolated,
		Cold:         s.model.Cold(),
	})
	c.PeakRunning = max(c.PeakRunning, count)
	if s.model.Cold() {
		c.PeakRunningCold = max(c.PeakRunningCold, count)
	}
	for _, other := range s.generations {
		if !other.finished {
			entry := &c.Generations[other.recordIndex]
			entry.PeakRunning = max(entry.PeakRunning, count)
		}
	}
}

func (c *recorder) tokensGenerated(g *generation) {
	c.Generations[g.recordIndex].Tokens = g.generatedTokens
}

func (c *recorder) generationPreempted(g *generation) {
	c.Generations[g.recordIndex].Preemptions++
}

func (c *recorder) generationFinished(g *generation) {
	c.Generations[g.recordIndex].Finished = true
}

func (c *recorder) generationCancelled(g *generation) {
	c.Generations[g.recordIndex].Cancelled = true
}

func (c *recorder) crashed(incarnation int64, reason string) {
	c.Crashes = append(c.Crashes, CrashRecord{incarnation, time.Now().UnixMilli(), reason})
}
