package ushersuspect

import (
	"cmp"
	"slices"
	"time"
)

// knownCrash is a crash with the request that was in progress.
type knownCrash struct {
	content Fingerprint
	target  Target
	crash   *crash
}

// Changes returns the crash reports that have changed since cursor, up to the limit of one message, and the cursor for
// the next call. The cursor for a peer starts at 0, and is reset to 0 after a message to it was lost.
func (t *Tracker) Changes(now time.Time, cursor uint64) (Message, uint64) {
	return t.ChangesUpTo(now, cursor, MaxCrashReports)
}

// ChangesUpTo is like Changes, with a limit on the changes in the message.
func (t *Tracker) ChangesUpTo(now time.Time, cursor uint64, limit int) (Message, uint64) {
	t.advanceClock(now)
	type change struct {
		number uint64
		add    func(*Message)
	}
	var changes []change
	for _, c := range t.knownCrashes() {
		if c.crash.changed > cursor {
			changes = append(changes, change{c.crash.changed, func(m *Message) { t.addCrash(m, c) }})
		}
	}
	for trait, answer := range t.answers {
		if answer.changed > cursor {
			changes = append(changes, change{answer.changed, func(m *Message) { m.Answers = append(m.Answers, Sighting{trait, t.clock.Sub(answer.at)}) }})
		}
	}
	for trait, probe := range t.probes {
		if probe.changed > cursor {
			changes = append(changes, change{probe.changed, func(m *Message) { m.Probes = append(m.Probes, Sighting{trait, t.clock.Sub(probe.at)}) }})
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Compare(a.number, b.number) })
	message := Message{Version: MessageVersion}
	for _, c := range changes[:min(len(changes), limit)] {
		c.add(&message)
		cursor = c.number
	}
	return message, cursor
}

// Evidence returns a message with what explains the current blames: up to limit each of crashes, answers and probes. If
// the blames are too many for it, each call goes on with the next ones. It is for processes that may have missed changes,
// and empty if nothing is blamed.
func (t *Tracker) Evidence(now time.Time, limit int) Message {
	t.advanceClock(now)
	message := Message{Version: MessageVersion}
	blames, known := t.currentBlames(), t.knownCrashes()
	for range blames {
		b := blames[t.nextEvidence%len(blames)]
		crashes := t.evidenceFor(b, known)
		if len(message.CrashReports) > 0 && len(message.CrashReports)+len(crashes) > limit {
			break
		}
		t.nextEvidence++
		for _, c := range crashes[:min(len(crashes), limit)] {
			t.addCrash(&message, c)
		}
		if probe, tried := t.probes[b.traits[0]]; tried && len(message.Probes) < limit {
			message.Probes = append(message.Probes, Sighting{b.traits[0], t.clock.Sub(probe.at)})
		}
	}
	for _, r := range message.Requests {
		for _, trait := range r.sharedTraits() {
			added := slices.ContainsFunc(message.Answers, func(s Sighting) bool { return s.Trait == trait })
			if answer := t.answers[trait]; !answer.at.IsZero() && !added && len(message.Answers) < limit {
				message.Answers = append(message.Answers, Sighting{trait, t.clock.Sub(answer.at)})
			}
		}
	}
	return message
}

// evidenceFor returns the crashes that are enough to blame b: the latest CrashesToBlame of them that count, in different
// combinations as far as there are some, and the first one, which tells for how long they have gone on.
func (t *Tracker) evidenceFor(b blame, known []knownCrash) []knownCrash {
	var crashes, chosen []knownCrash
	for _, c := range known {
		r := t.records[c.content]
		if !c.crash.cleared && (c.content == b.traits[0] || r.hasTrait(b.traits[0])) {
			crashes = append(crashes, c)
		}
	}
	slices.SortFunc(crashes, func(a, b knownCrash) int { return b.crash.seenAt.Compare(a.crash.seenAt) })
	for _, differ := range []bool{true, false} {
		for _, c := range crashes {
			together := func(other knownCrash) bool { return other.crash.seenAt.Sub(c.crash.seenAt).Abs() < jointCrashTime }
			sameCombination := func(other knownCrash) bool {
				return t.records[other.content].combination == t.records[c.content].combination
			}
			if len(chosen) < CrashesToBlame && !slices.ContainsFunc(chosen, together) && !(differ && slices.ContainsFunc(chosen, sameCombination)) {
				chosen = append(chosen, c)
			}
		}
	}
	if len(crashes) > 0 && !slices.Contains(chosen, crashes[len(crashes)-1]) {
		chosen = append(chosen, crashes[len(crashes)-1])
	}
	return chosen
}

// IsEmpty reports whether a message tells nothing.
func (m Message) IsEmpty() bool {
	return len(m.CrashReports) == 0 && len(m.Answers) == 0 && len(m.Probes) == 0
}

// knownCrashes returns the crashes that have not expired.
func (t *Tracker) knownCrashes() []knownCrash {
	var crashes []knownCrash
	for content, r := range t.records {
		for target, c := range r.crashes {
			if t.clock.Sub(c.seenAt) < t.crashTTL() {
				crashes = append(crashes, knownCrash{content, target, c})
			}
		}
	}
	return crashes
}

func (t *Tracker) addCrash(m *Message, c knownCrash) {
	m.CrashReports = append(m.CrashReports, CrashReport{c.content, c.target.Name, c.target.Incarnation, t.clock.Sub(c.crash.seenAt), c.crash.cleared})
	if r := t.records[c.content]; len(r.parts) > 0 && !slices.ContainsFunc(m.Requests, func(known Request) bool { return known.Content == c.content }) {
		m.Requests = append(m.Requests, Request{Content: c.content, Parts: r.parts})
	}
}
