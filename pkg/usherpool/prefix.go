package usherpool

import (
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherprefix"
)

type (
	// Kept is what a target is expected to keep of the prompt of a request.
	Kept struct {
		// Tokens are not processed again, which saves the time Saving.
		Tokens int           `cbor:"1,keyasint,omitempty"`
		Saving time.Duration `cbor:"2,keyasint,omitempty"`
		// Otherwise is the target that would have been chosen if none kept a part; empty if none does.
		Otherwise string `cbor:"3,keyasint,omitempty"`
	}

	// KeptOutcome is what the target of a run was expected to keep of its prompt.
	KeptOutcome struct {
		Parts  []Part        `cbor:"1,keyasint"`
		Saving time.Duration `cbor:"2,keyasint"`
	}

	// plainChoice is the best target if kept parts do not count.
	plainChoice struct {
		id    string
		delay time.Duration
	}
)

// kept returns what t is expected to keep of the prompt of r. The saving is the time in which t would process these
// tokens, so it never counts for more than it is worth against the other parts of the delay.
func (p *Pool) kept(now time.Time, t *target, r Request, load Load) Kept {
	if !p.weighsParts(r) {
		return Kept{}
	}
	k := Kept{Tokens: p.prefixes.Saved(now, prefixTarget(t), r.Parts, p.memory(t, load))}.boundedTo(r)
	k.Saving = p.speed(now, t).Scale(PrefillTime(k.Tokens))
	return k
}

// recordParts records that a prompt is sent to t.
func (p *Pool) recordParts(now time.Time, t *target, r Request, c Choice) {
	if p.options.WeighParts && !r.Copy {
		prompt := usherprefix.Prompt{Parts: r.Parts, Tokens: r.without(c.Kept).PromptTokens, ReadAt: now.Add(c.PrefillTime)}
		p.prefixes.Record(now, prefixTarget(t), prompt, p.memory(t, c.Load))
	}
}

// observeParts compares the time until the first event of a run with what is expected of its target, and reports whether it shows
// that the target had not kept the parts that it was expected to keep.
func (p *Pool) observeParts(now time.Time, t *target, o Outcome) (wrong bool) {
	if !p.options.WeighParts || t.service.Engine == nil || o.Base <= 0 || o.FirstEvent <= 0 {
		return false
	}
	answer := usherprefix.Answer{Expected: p.speedOf(now, t).Scale(o.Base), Seen: o.FirstEvent}
	if o.Kept == nil {
		return p.prefixes.Observe(prefixTarget(t), nil, answer)
	}
	answer.Saving = o.Kept.Saving
	return p.prefixes.Observe(prefixTarget(t), o.Kept.Parts, answer)
}

// KeptParts returns the size of what targets are believed to keep.
func (p *Pool) KeptParts(now time.Time) usherprefix.Summary { return p.prefixes.Summary(now) }

// preferKept moves the candidate that saves most to the front, as Choose compares only the first ones.
func (p *Pool) preferKept(now time.Time, candidates []*target, r Request) {
	best, most := 0, 0
	if p.weighsParts(r) {
		for i, t := range candidates {
			if tokens := p.prefixes.Saved(now, prefixTarget(t), r.Parts, usherprefix.Memory{}); tokens > most {
				best, most = i, tokens
			}
		}
	}
	if most > 0 {
		candidates[0], candidates[best] = candidates[best], candidates[0]
	}
}

// boundedTo returns what may be kept of the prompt of r. The last part belongs to the request itself.
func (k Kept) boundedTo(r Request) Kept {
	k.Tokens = max(min(k.Tokens, r.PromptTokens-1), 0)
	k.Saving = max(k.Saving, 0)
	return k
}

func (p *Pool) weighsParts(r Request) bool {
	return p.options.WeighParts && !r.Copy && len(r.Parts) > 0
}

// memory returns the memory of t as far as its service declares it.
func (p *Pool) memory(t *target, load Load) usherprefix.Memory {
	m := usherprefix.Memory{Used: load.Tokens + load.CopyTokens}
	if t.service.Engine != nil {
		m.Capacity = t.service.Engine.MemoryTokens
	}
	return m
}

// consider compares a target with the delay that it has without the saving of kept parts.
func (p *plainChoice) consider(t *target, delay time.Duration) {
	if p.id == "" || delay < p.delay {
		p.id, p.delay = t.entry.ID, delay
	}
}

// otherwise adds the target that would have been chosen without kept parts to a choice that they count for.
func (p *plainChoice) otherwise(c Choice) Choice {
	if c.Kept.Tokens > 0 {
		c.Kept.Otherwise = p.id
	}
	return c
}

// without returns the request without the part of its prompt that is kept.
func (r Request) without(k Kept) Request {
	r.PromptTokens -= k.boundedTo(r).Tokens
	return r
}

func prefixTarget(t *target) usherprefix.Target {
	return usherprefix.Target{ID: t.entry.ID, Incarnation: t.entry.Incarnation}
}
