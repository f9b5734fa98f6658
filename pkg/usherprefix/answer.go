package usherprefix

import (
	"math"
	"time"
)

const (
	// latenessWeight is the weight of a single answer in the usual lateness.
	latenessWeight = 0.05
	// minAnswers is how many answers must have been seen before one is compared with them.
	minAnswers = 10
	// minEvidence is how many times the usual deviation a saving must be, so that the time until the first event tells
	// whether it was made.
	minEvidence = 2
)

type (
	// Answer is how long a target took until the first event of a request.
	Answer struct {
		// Saving is the processing time that kept parts were expected to save; zero if none were expected.
		Saving time.Duration
		// Expected is the time until the first event, with the saving.
		Expected time.Duration
		Seen     time.Duration
	}

	// lateness is how much later than expected first events usually come, where no saving was expected.
	lateness struct {
		answers         int
		mean, deviation float64
	}
)

// Observe compares the time until a first event with the expectation, and reports whether it shows that the target did
// not keep the parts. Nothing is concluded from savings that are small compared with the usual error of expectations.
func (v *View) Observe(t Target, parts []Part, a Answer) (wrong bool) {
	late := float64(a.Seen - a.Expected)
	if a.Saving <= 0 {
		v.lateness.add(late)
		return false
	}
	known, ok := v.targets[t.ID]
	if !ok || known.incarnation != t.Incarnation || !v.lateness.shows(a.Saving) {
		return false
	}
	// Without the parts, the answer comes later by the whole saving.
	wrong = late-v.lateness.mean > float64(a.Saving)/2
	for _, p := range parts[:min(len(parts), MaxParts)] {
		k, ok := known.parts[p.ID]
		if !ok {
			continue
		}
		if !wrong {
			k.confidence = 1
		} else if k.confidence *= doubtFactor; k.confidence < minConfidence {
			delete(known.parts, p.ID)
		}
	}
	return wrong
}

func (l *lateness) add(late float64) {
	if l.answers < minAnswers {
		l.answers++
	}
	weight := max(latenessWeight, 1/float64(l.answers))
	l.deviation += weight * (math.Abs(late-l.mean) - l.deviation)
	l.mean += weight * (late - l.mean)
}

// shows reports whether a single answer can show that a saving was not made.
func (l *lateness) shows(saving time.Duration) bool {
	return l.answers >= minAnswers && float64(saving) >= minEvidence*l.deviation
}
