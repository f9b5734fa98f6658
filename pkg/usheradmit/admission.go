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

// add counts one generation n times.
func (a *Admission) add(c *curve, d demand, n float64) {
	for i, ahead := range a.horizons {
		chance := d.survival(ahead)
		if chance < negligible {
			break
		}
		tokens := float64(d.prompt + d.made + ahead)
		c.mean[i] += n * chance * tokens
		c.variance[i] += n * chance * (1 - chance) * tokens * tokens
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

func (d *demand) survival(ahead int) float64 {
	made := d.made + ahead
	switch {
	case d.known > 0 && made >= d.known, d.longest > 0 && made >= d.longest:
		return 0
	case d.known > 0:
		return 1
	}
	return d.lengths.Survival(d.made, ahead)
}
