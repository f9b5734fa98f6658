package usherengine

import "time"

type (
	// Record is what an engine saw over all its lives.
	Record struct {
		Generations []GenerationRecord `json:"generations"`
		Deaths      []DeathRecord      `json:"deaths"`
		// PeakRunning is the most generations, running and waiting, at one time.
		PeakRunning int `json:"peak_running"`
		// PeakRunningCold is the most that an arrival found, itself included, while the engine was cold.
		PeakRunningCold int `json:"peak_running_cold"`
	}

	// GenerationRecord is one start of a generation.
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

	// DeathRecord is one death of the engine.
	DeathRecord struct {
		Incarnation int64  `json:"incarnation"`
		AtMS        int64  `json:"at_ms"`
		Reason      string `json:"reason"`
	}

	// recorder collects a Record under the lock of the engine.
	recorder struct {
		Record
	}
)

// Record returns what the engine has seen.
func (e *Engine) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	seen := e.record.Record
	seen.Generations = append([]GenerationRecord{}, seen.Generations...)
	seen.Deaths = append([]DeathRecord{}, seen.Deaths...)
	return seen
}

func (c *recorder) started(s *state, g *generation, isolated bool) {
	load := s.load()
	g.record = len(c.Generations)
	c.Generations = append(c.Generations, GenerationRecord{
		GenerationID: g.id,
		Prompt:       g.prompt,
		Incarnation:  s.life.Incarnation,
		StartedAtMS:  time.Now().UnixMilli(),
		Isolated:     isolated,
		Cold:         s.model.Cold(),
	})
	c.PeakRunning = max(c.PeakRunning, load)
	if s.model.Cold() {
		c.PeakRunningCold = max(c.PeakRunningCold, load)
	}
	for _, open := range s.generations {
		if !open.finished {
			entry := &c.Generations[open.record]
			entry.PeakRunning = max(entry.PeakRunning, load)
		}
	}
}

func (c *recorder) made(g *generation) {
	c.Generations[g.record].Tokens = g.made
}

func (c *recorder) preempted(g *generation) {
	c.Generations[g.record].Preemptions++
}

func (c *recorder) finished(g *generation) {
	c.Generations[g.record].Finished = true
}

func (c *recorder) cancelled(g *generation) {
	c.Generations[g.record].Cancelled = true
}

func (c *recorder) died(incarnation int64, reason string) {
	c.Deaths = append(c.Deaths, DeathRecord{incarnation, time.Now().UnixMilli(), reason})
}
