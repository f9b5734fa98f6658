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
	// Admission decides whether a target can take another generation. Zero fields select defaults.
	Admission struct {
		RiskMargin        float64       // memory kept free, in standard deviations of the predicted demand
		MemoryShare       float64       // share of a target's memory that may be used
		MaxStepTime       time.Duration // maximum step time
		Step              StepTime
		HorizonsPerOctave int

		horizons []int
	}

	// StepTime is a linear model of the step time of an engine.
	StepTime struct {
		Base        time.Duration
		Sequence    time.Duration // per running generation
		CachedToken time.Duration // per token in the cache
		Prompt      time.Duration // for the maximum number of prompt tokens that an engine processes in one step
	}

	// demand describes the current and future memory demand of one generation.
	demand struct {
		prompt      int
		generated   int
		maxOutput   int // maximum number of output tokens; zero if unlimited
		knownOutput int // number of output tokens if known in advance, else zero
		lengths     *Distribution
	}

	// forecast is the total memory demand of a set of generations at each horizon, as mean and variance in tokens.
	forecast struct {
		mean, variance [maxHorizons]float64
		peak           float64 // maximum of mean
	}
)

func (a Admission) withDefaults() Admission {
	a.RiskMargin = orDefault(a.RiskMargin, defaultRiskMargin)
	a.MemoryShare = orDefault(a.MemoryShare, defaultMemoryShare)
	a.MaxStepTime = orDefault(a.MaxStepTime, defaultMaxStepTime)
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

// add adds the demand of one generation to a forecast.
func (a *Admission) add(f *forecast, d *demand) {
	bound, certain := d.outputBound()
	scale := 1 / max(d.lengths.survivalAt(d.generated), math.SmallestNonzeroFloat32)
	for i, ahead := range a.horizons {
		generated := d.generated + ahead
		if generated >= bound {
			break
		}
		probability := 1.0
		if !certain {
			probability = d.lengths.survivalAt(generated) * scale
		}
		if probability < negligibleProbability {
			break
		}
		tokens := float64(d.prompt + generated)
		expected := probability * tokens
		f.mean[i] += expected
		f.variance[i] += (1 - probability) * expected * tokens
		f.peak = max(f.peak, f.mean[i])
	}
}

// freeShare returns the share of the memory that stays free with both forecasts at the horizon with the highest demand,
// after deducting the risk margin.
func (a *Admission) freeShare(f, extra *forecast, memory int, risk float64) float64 {
	capacity := float64(memory) * a.MemoryShare
	lowest := capacity
	for i := range a.horizons {
		load := f.mean[i] + extra.mean[i] + risk*math.Sqrt(f.variance[i]+extra.variance[i])
		lowest = min(lowest, capacity-load)
	}
	return lowest / float64(memory)
}

// step returns the expected time of a step that includes prompt processing.
func (a *Admission) step(sequences int, cached, slowdown float64) time.Duration {
	step := float64(a.Step.Base+a.Step.Prompt) + float64(sequences)*float64(a.Step.Sequence) + cached*float64(a.Step.CachedToken)
	return time.Duration(step * slowdown)
}

// outputBound returns the maximum output length of the generation, and whether the generation is known to reach it.
func (d *demand) outputBound() (int, bool) {
	switch {
	case d.knownOutput > 0:
		return d.knownOutput, true
	case d.maxOutput > 0:
		return d.maxOutput, false
	}
	return math.MaxInt, false
}
