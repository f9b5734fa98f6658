package usherpool

import (
	"slices"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherroute"
	"github.com/samphireusher/samphireusher/pkg/usherspeed"
)

const (
	// lesserMemoryShare is the fraction of the usable memory that requests of a lower rank may fill. The rest is left for urgent ones and for
	// copies of generations whose engines are reclaimed.
	lesserMemoryShare = 0.875
	// lesserPromptShare is the fraction of the most urgent route's objective that the prompts before a new one may take,
	// if the last of them is of a lower rank.
	lesserPromptShare = 0.5
	// reportLag is how long the prompts that hosts report as queued are behind.
	reportLag = 500 * time.Millisecond
	// ownReservationLifetime is how long a choice for this host counts as load before its request is expected to count itself.
	ownReservationLifetime = 50 * time.Millisecond
)

// ErrNoRoom is the type of errors returned if targets accept the request but have no room for it now.
var ErrNoRoom = Errors.NewType("no_room")

// expectedPrompt is a prompt that hosts may report as queued until the given time.
type expectedPrompt struct {
	tokens int
	until  time.Time
}

// Room is how much of the targets' room a request may use.
type Room struct {
	usherroute.Contention
	// Whole allows a request of a lower rank what the most urgent ones may use.
	Whole bool
	// Beyond allows targets without room.
	Beyond bool
	// Kept is a target whose room is kept free for another request; empty for none.
	Kept string
}

// PlaceInRoom chooses like Place, among the targets that have room for r.
func (p *Pool) PlaceInRoom(now time.Time, r Request, room Room, own bool) (Choice, error) {
	r = p.estimateOutput(r)
	var best *target
	var choice Choice
	var plain plainChoice
	reason := ErrNoTarget
	for _, t := range p.shuffledCandidates(now, r) {
		load := p.roomLoad(now, t)
		if !room.Beyond && (t.entry.ID == room.Kept || !p.hasRoom(now, t, r, room, load)) {
			reason = ErrNoRoom
			continue
		}
		delay := p.delay(now, t, r, load)
		plain.consider(t, delay+p.kept(now, t, r, load).Saving)
		if best == nil || delay < choice.Delay {
			best, choice = t, Choice{Target: t.entry, Learned: t.learned, Delay: delay, Load: load}
		}
	}
	if best == nil {
		return Choice{}, reason.New("no target of service %q has room for the request", r.Service)
	}
	choice = plain.otherwise(p.estimatePrefill(now, best, r, choice))
	// What has waited for room need not be held back by engines once more.
	choice.Late = choice.Late && room.Beyond
	speed := p.speed(now, best)
	if own {
		// Several requests may be chosen before the first one is sent.
		load := Load{Streams: 1}
		if !choice.Late {
			load.Tokens = r.PromptTokens + r.OutputTokens
		}
		best.reserved = append(best.reserved, reservation{load: load, expires: now.Add(ownReservationLifetime)})
		choice = p.recordSend(now, best, r, choice)
	} else {
		p.recordParts(now, best, r, choice)
		best.reserve(now, r, choice, speed)
	}
	best.expected = append(best.expected, expectedPrompt{tokens: r.without(choice.Kept).PromptTokens, until: now.Add(reportLag + speed.Scale(PrefillTime(int(best.prompts.remaining(now, speed)))))})
	return choice, nil
}

// hasRoom reports whether the memory of t and the time until its queued prompts are processed leave room for r.
func (p *Pool) hasRoom(now time.Time, t *target, r Request, room Room, load Load) bool {
	if load.Streams+load.Copies >= t.entry.Slots {
		return false
	}
	urgent := room.Whole || r.Rank <= room.Rank
	memory := p.usableMemoryTokens(t)
	if !urgent {
		memory = int(lesserMemoryShare * float64(memory))
	}
	// A request that is larger than the memory goes to an empty target.
	if load.Streams+load.Copies > 0 && load.Tokens+load.CopyTokens+r.PromptTokens+r.OutputTokens > memory {
		return false
	}
	speed := p.speed(now, t)
	queued := t.queuedPrompts(now, load, speed)
	if queued == 0 {
		return true
	}
	wait := speed.Scale(PrefillTime(queued + r.PromptTokens))
	if urgent {
		return time.Duration(prefillWaitFactor*float64(wait)) <= room.Objective
	}
	return wait <= time.Duration(lesserPromptShare*float64(room.Objective))
}

// roomLoad returns the load on t. What peers report is summed up once for all requests that are placed at the same time.
func (p *Pool) roomLoad(now time.Time, t *target) Load {
	if p.peerSums == nil || !p.peerSumsAt.Equal(now) {
		p.peerSums, p.peerSumsAt = map[*target]Load{}, now
	}
	sum, summed := p.peerSums[t]
	if !summed {
		sum = p.totalLoad(now, t).plus(t.own.Negated()).plus(t.reservations(now).Negated())
		p.peerSums[t] = sum
	}
	return t.own.plus(sum).plus(t.reservations(now))
}

// queuedPrompts returns the prompt tokens that wait at t. Those placed lately are still reported after they were processed, and
// count as reported too many only once they should be gone.
func (t *target) queuedPrompts(now time.Time, load Load, speed usherspeed.Estimate) int {
	t.expected = slices.DeleteFunc(t.expected, func(e expectedPrompt) bool { return !now.Before(e.until) })
	overdue := load.Prefill
	for _, e := range t.expected {
		overdue -= e.tokens
	}
	return int(t.prompts.remaining(now, speed)) + max(overdue, 0)
}

// MostRoom returns the target with the most free memory for r and its load, or an empty string.
func (p *Pool) MostRoom(now time.Time, r Request) (string, Load) {
	best, most, bestLoad := "", 0, Load{}
	for _, t := range p.shuffledCandidates(now, r) {
		load := p.roomLoad(now, t)
		if free := p.usableMemoryTokens(t) - load.Tokens - load.CopyTokens; best == "" || free > most {
			best, most, bestLoad = t.entry.ID, free, load
		}
	}
	return best, bestLoad
}

// HasCandidate reports whether any target may be chosen for r, with or without room.
func (p *Pool) HasCandidate(now time.Time, r Request) bool {
	return len(p.shuffledCandidates(now, r)) > 0
}

// IsHalfFree reports whether half of the slots and half of the memory of a service's targets are unused.
func (p *Pool) IsHalfFree(now time.Time, service string) bool {
	slots, used, memory, tokens := 0, 0, 0, 0
	for _, t := range p.targets {
		if t.entry.Service != service || !t.accepting {
			continue
		}
		load := p.roomLoad(now, t)
		slots, used = slots+t.entry.Slots, used+load.Streams+load.Copies
		memory, tokens = memory+p.usableMemoryTokens(t), tokens+load.Tokens+load.CopyTokens
	}
	return 2*used <= slots && 2*tokens <= memory
}
