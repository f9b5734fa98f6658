package usheradmit

import (
	"math"
	"time"
)

const (
	maxHorizons      = 160
	lastHorizon      = 1 << 14
	firstHorizon     = 8
	defaultPerOctave = 2
)

type (
	// Admission decides whether a target has room for another generation. The zero value has the default risk.
	Admission struct {
		Risk              float64       // standard deviations of memory kept free
		MemoryShare       float64       // share of the memory that may be filled
		StepTarget        time.Duration // longest step
		Step              StepTime
		HorizonsPerOctave int

		horizons []int
	}

	// StepTime says how the time of a step grows with what is in it.
	StepTime struct {
		Base        time.Duration
		Sequence    time.Duration
		CachedToken time.Duration
		Prompt      time.Duration // of the most prompt tokens that an engine computes in one step
	}

	// demand is the memory that one generation takes now and later.
	demand struct {
		prompt  int
		made    int
		longest int // most tokens that it may make; zero if unbounded
		known   int // length if it is known, else zero
		lengths *Distribution
	}

	// curve is the sum of the memory demands of generations at each horizon, as mean and variance.
	curve struct {
		mean, variance [maxHorizons]float64
		peak           float64 // largest mean
	}
)

func (a Admission) withDefaults() Admission {
	a.Risk = orDefault(a.Risk, defaultRisk)
	a.MemoryShare = orDefault(a.MemoryShare, defaultMemoryShare)
	a.StepTarget = orDefault(a.StepTarget, defaultStepTarget)
	if a.Step == (StepTime{}) {
		a.Step = defaultStep
	}
	a.HorizonsPerOctave = orDefault(a.HorizonsPerOctave, defaultPerOctave)
	a.horizons = []int{0}
	ratio := math.Exp2(1 / float64(a.HorizonsPerOctave))
	for h := float64(firstHorizon); h <= lastHorizon && len(a.horizons) < maxHorizons; h *= ratio {
		a.horizons = append(a.horizons, int(h))
	}
	return a
}

// add counts one generation.
func (a *Admission) add(c *curve, d *demand) {
	end, certain := d.end()
	scale := 1 / max(d.lengths.reach(d.made), math.SmallestNonzeroFloat32)
	for i, ahead := range a.horizons {
		made := d.made + ahead
		if made >= end {
			break
		}
		chance := 1.0
		if !certain {
			chance = d.lengths.reach(made) * scale
		}
		if chance < negligible {
			break
		}
		tokens := float64(d.prompt + made)
		held := chance * tokens
		c.mean[i] += held
		c.variance[i] += (1 - chance) * held * tokens
		c.peak = max(c.peak, c.mean[i])
	}
}

// spare returns the share of the memory that stays free at the tightest horizon with both curves, after the risk margin.
func (a *Admission) spare(c, extra *curve, memory int, risk float64) float64 {
	capacity := float64(memory) * a.MemoryShare
	worst := capacity
	for i := range a.horizons {
		load := c.mean[i] + extra.mean[i] + risk*math.Sqrt(c.variance[i]+extra.variance[i])
		worst = min(worst, capacity-load)
	}
	return worst / float64(memory)
}

// step returns the likely time of a step with prompts in it.
func (a *Admission) step(sequences int, cached, slowdown float64) time.Duration {
	step := float64(a.Step.Base+a.Step.Prompt) + float64(sequences)*float64(a.Step.Sequence) + cached*float64(a.Step.CachedToken)
	return time.Duration(step * slowdown)
}

// end returns the length that the generation does not reach, and whether that is its length for certain.
func (d *demand) end() (int, bool) {
	switch {
	case d.known > 0:
		return d.known, true
	case d.longest > 0:
		return d.longest, false
	}
	return math.MaxInt, false
}
