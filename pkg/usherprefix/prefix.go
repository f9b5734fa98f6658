// Package usherprefix estimates which beginnings of prompts targets still hold in memory.
//
// Engines keep the parts of the prompts that they have processed until the memory is needed, and do not process a part
// again as long as it and all parts before it are kept. They do not report this with requests, so a View infers it from
// the prompts that were sent to them. A part counts as kept from the time at which its prompt is processed. It counts
// for less with the age of its last use, and with the prompts and the running requests that may have taken its memory
// since, as the least recently used parts yield first.
//
// A View does no I/O and reads no clock. Its memory is bounded. It is not safe for concurrent use, and the zero value is
// ready to use.
//
// # Usage
//
//	var view usherprefix.View
//	engine := usherprefix.Target{ID: "i-7f", Incarnation: 3}
//	memory := usherprefix.Memory{Used: 12000, Capacity: 34000}
//	view.Record(now, engine, usherprefix.Prompt{Parts: parts, Tokens: 3000, ReadAt: now.Add(400 * time.Millisecond)}, memory)
//	saved := view.Saved(later, engine, parts, memory)
//	wrong := view.Observe(later, engine, parts, usherprefix.Answer{Saving: 50 * time.Millisecond, Expected: expected, Seen: seen})
package usherprefix

import (
	"time"
)

const (
	// MaxParts is how many leading parts of a prompt are considered.
	MaxParts = 4
	// maxTargets and maxPartsPerTarget bound the memory of a view.
	maxTargets        = 2048
	maxPartsPerTarget = 32
	// maxIDBytes bounds the ids of parts.
	maxIDBytes = 64
	// maxAge is the time since its last use after which a part no longer counts as kept. A view does not learn of all
	// that may have taken a part's memory: requests of hosts that choose by themselves, copies, restarts.
	maxAge = 30 * time.Second
	// rereadChance is the chance of being kept below which a part that is used again is expected to be processed again.
	rereadChance = 0.5
	// doubtFactor is what remains of the confidence in a part after an answer that came too late for it.
	doubtFactor = 0.5
	// minConfidence is the confidence below which a part is forgotten.
	minConfidence = 0.2
)

type (
	// Part is a part of a prompt.
	Part struct {
		ID     string `cbor:"1,keyasint"`
		Tokens int    `cbor:"2,keyasint"`
	}

	// Target is one start of a target.
	Target struct {
		ID          string
		Incarnation int64
	}

	// Prompt is a prompt that was sent to a target.
	Prompt struct {
		// Parts are the leading parts that other prompts may share.
		Parts []Part
		// Tokens is the number of tokens that the target is expected to process.
		Tokens int
		// ReadAt is when it will have processed them.
		ReadAt time.Time
	}

	// Memory is that of a target, in tokens. Used is what cannot yield; a Capacity of zero means that it is unknown.
	Memory struct {
		Used, Capacity int
	}

	// View is what is believed of the parts that targets keep.
	View struct {
		targets  map[string]*target
		lateness lateness
	}

	// Summary is the size of a view.
	Summary struct {
		Targets int `json:"targets"`
		Parts   int `json:"parts"`
		Tokens  int `json:"tokens"`
	}

	target struct {
		incarnation int64
		used        time.Time
		// read is the number of prompt tokens sent to the target so far.
		read  int
		parts map[string]*part
	}

	part struct {
		tokens int
		// keptFrom is when the prompt that brought the part is processed.
		keptFrom time.Time
		used     time.Time
		// read is the target's read before the last use.
		read       int
		confidence float64
	}
)

// Record records that a prompt was sent to a target with the given memory. Another incarnation of the target has
// forgotten all parts.
func (v *View) Record(now time.Time, t Target, prompt Prompt, m Memory) {
	known, ok := v.targets[t.ID]
	if !ok || known.incarnation != t.Incarnation {
		delete(v.targets, t.ID)
		if len(prompt.Parts) == 0 {
			return
		}
		known = v.add(t)
	}
	known.used = now
	for _, p := range prompt.Parts[:min(len(prompt.Parts), MaxParts)] {
		if p.ID == "" || len(p.ID) > maxIDBytes || p.Tokens <= 0 {
			break
		}
		known.record(now, p, prompt.ReadAt, m)
	}
	known.read += max(prompt.Tokens, 0)
}

func (v *View) add(t Target) *target {
	if v.targets == nil {
		v.targets = map[string]*target{}
	}
	if len(v.targets) >= maxTargets {
		dropOldest(v.targets, func(t *target) time.Time { return t.used })
	}
	known := &target{incarnation: t.Incarnation, parts: map[string]*part{}}
	v.targets[t.ID] = known
	return known
}

func (t *target) record(now time.Time, p Part, readAt time.Time, m Memory) {
	known, ok := t.parts[p.ID]
	if !ok && len(t.parts) >= maxPartsPerTarget {
		dropOldest(t.parts, func(p *part) time.Time { return p.used })
	}
	if !ok || known.tokens != p.Tokens || known.chance(now, t.read-known.read, m) < rereadChance {
		known = &part{tokens: p.Tokens, keptFrom: readAt, confidence: 1}
		t.parts[p.ID] = known
	}
	if readAt.Before(known.keptFrom) {
		known.keptFrom = readAt
	}
	known.used, known.read = now, t.read
}

// dropOldest removes the entry that was used least recently.
func dropOldest[T any](entries map[string]T, used func(T) time.Time) {
	oldest, since := "", time.Time{}
	for id, e := range entries {
		if at := used(e); oldest == "" || at.Before(since) {
			oldest, since = id, at
		}
	}
	delete(entries, oldest)
}

// Saved returns the number of tokens at the beginning of a prompt that a target is expected not to process again. Only
// parts whose preceding parts are kept as well count.
func (v *View) Saved(now time.Time, t Target, parts []Part, m Memory) int {
	known, ok := v.targets[t.ID]
	if !ok || known.incarnation != t.Incarnation {
		return 0
	}
	saved, chance := 0.0, 1.0
	for _, p := range parts[:min(len(parts), MaxParts)] {
		k, ok := known.parts[p.ID]
		if !ok || k.tokens != p.Tokens || now.Before(k.keptFrom) {
			break
		}
		// A part is of use only with those before it, so the least certain one decides.
		chance = min(chance, k.chance(now, known.read-k.read, m))
		saved += chance * float64(p.Tokens)
	}
	return int(saved)
}

// chance returns the probability that the part is still kept after the given number of tokens was sent to the target,
// counted from the prompt that used the part last.
func (p *part) chance(now time.Time, sent int, m Memory) float64 {
	chance := p.confidence * (1 - float64(now.Sub(p.used))/float64(maxAge))
	if m.Capacity > 0 {
		chance = min(chance, m.chance(sent))
	}
	return max(chance, 0)
}

// chance returns the probability that a part was not evicted for the tokens that were sent to its target since its last
// use, and for the memory in use. Some of these tokens are in use themselves, so that the memory taken is at least the
// larger of both numbers and at most their sum.
func (m Memory) chance(sent int) float64 {
	least, most := max(sent, m.Used), sent+m.Used
	switch {
	case most <= m.Capacity:
		return 1
	case least >= m.Capacity:
		return 0
	default:
		return float64(m.Capacity-least) / float64(most-least)
	}
}

// Summary returns the size of the view, without what is too old to count.
func (v *View) Summary(now time.Time) Summary {
	var s Summary
	for _, t := range v.targets {
		parts := s.Parts
		for _, p := range t.parts {
			if now.Sub(p.used) < maxAge {
				s.Parts++
				s.Tokens += p.tokens
			}
		}
		if s.Parts > parts {
			s.Targets++
		}
	}
	return s
}
