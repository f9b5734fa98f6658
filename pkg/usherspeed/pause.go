package usherspeed

import (
	"math"
	"time"
)

const (
	// longRunEvents is the number of events of a run whose longest pause counts.
	longRunEvents = 32
	// pauseForgetting is the weight that earlier pauses keep when one is added.
	pauseForgetting = 0.99
	// minPauses is the weight of pauses from which they are used.
	minPauses = 4
	// priorSlope is the growth of pauses with the factor, as logarithms, before it is learned; priorWeight is the weight of that.
	priorSlope         = 1
	priorWeight        = 0.5
	minSlope, maxSlope = 0.5, 3
	minPauseDeviation  = 0.25
)

// pauseModel is a linear regression of the logarithm of a long run's longest pause on that of its target's relative factor.
type pauseModel struct {
	weight, sumX, sumY, sumXX, sumXY, sumYY float64
}

func (m *pauseModel) add(x, y float64) {
	for _, sum := range []*float64{&m.weight, &m.sumX, &m.sumY, &m.sumXX, &m.sumXY, &m.sumYY} {
		*sum *= pauseForgetting
	}
	m.weight++
	m.sumX += x
	m.sumY += y
	m.sumXX += x * x
	m.sumXY += x * y
	m.sumYY += y * y
}

// pauseLine is the regression line of a model.
type pauseLine struct {
	intercept, slope, deviation float64
	known                       bool
}

// pauseEstimate is the distribution of the logarithm of the longest pause in seconds at a target, with the mean at a target of usual speed.
type pauseEstimate struct {
	mean, usual, deviation float64
}

func (m *pauseModel) line() pauseLine {
	if m.weight < minPauses {
		return pauseLine{}
	}
	meanX, meanY := m.sumX/m.weight, m.sumY/m.weight
	varianceX, covariance := m.sumXX-m.weight*meanX*meanX, m.sumXY-m.weight*meanX*meanY
	slope := min(max((covariance+priorWeight*priorSlope)/(varianceX+priorWeight), minSlope), maxSlope)
	rest := (m.sumYY - m.weight*meanY*meanY - 2*slope*covariance + slope*slope*varianceX) / m.weight
	return pauseLine{intercept: meanY - slope*meanX, slope: slope, deviation: math.Sqrt(max(rest, minPauseDeviation*minPauseDeviation)), known: true}
}

// estimate sets what the line says of the target of an estimate.
func (l pauseLine) estimate(e *Estimate) {
	if !l.known {
		return
	}
	e.pause = pauseEstimate{mean: l.intercept + l.slope*e.relative, usual: l.intercept, deviation: l.deviation}
	e.LongestPause = time.Duration(math.Exp(e.pause.mean) * float64(time.Second))
}

// PauseRisk returns by how much a long run at the target is more likely to have a pause over a bound than one at a target with the median
// speed of its service; it is not negative.
func (e Estimate) PauseRisk(bound time.Duration) float64 {
	if bound <= 0 || e.pause.mean <= e.pause.usual {
		return 0
	}
	limit := math.Log(bound.Seconds())
	return max(0, exceeds(e.pause.mean, e.pause.deviation, limit)-exceeds(e.pause.usual, e.pause.deviation, limit))
}

// exceeds returns the probability that a normally distributed value is above a limit.
func exceeds(mean, deviation, limit float64) float64 {
	return math.Erfc((limit-mean)/(deviation*math.Sqrt2)) / 2
}
