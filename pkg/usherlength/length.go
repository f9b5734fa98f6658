// Package usherlength estimates how long outputs will be.
//
// A Tracker learns, for each kind of request, how long outputs were and what callers' hints were worth. The estimate lies between the mean of
// the kind and the hint: the nearer to the hint the better hints have foretold lengths. All of it is done with logarithms, as hints err by
// factors. A workspace has an estimate of its own once it has enough samples; until then, that of its route is used.
//
// A Tracker does no I/O and reads no clock. Its zero value is ready to use. It is not safe for concurrent use.
//
// # Usage
//
//	var tracker usherlength.Tracker
//	kind := usherlength.Kind{Service: "appraiser", Route: "appraisal", Workspace: "weavers"}
//	tracker.Record(kind, usherlength.Call{Hint: 400, Max: 1200}, 520)
//	tokens := tracker.Estimate(kind, usherlength.Call{Hint: 300, Max: 1200})
package usherlength

import "math"

const (
	// maxKinds and maxNameBytes bound what is remembered.
	maxKinds     = 1024
	maxNameBytes = 256
	maxTokens    = 1 << 24
	// forgetting is the weight that earlier samples keep when one is added.
	forgetting = 0.99
	// minSamples is the weight of samples from which a kind is estimated, and minWorkspaceSamples that for a workspace.
	minSamples          = 8
	minWorkspaceSamples = 25
	// priorSamples is the weight of the prior that hints are right.
	priorSamples = 8
	// maxMeanFactor bounds the ratio of the mean to the median of lengths.
	maxMeanFactor = 1.5
)

type (
	// Kind identifies requests whose outputs have something in common.
	Kind struct {
		Service, Route, Workspace string
	}

	// Call is what a caller said of the output of a request, in tokens. Zero means that nothing was said.
	Call struct {
		Hint, Max int
	}

	// Tracker learns the lengths of outputs.
	Tracker struct {
		kinds map[Kind]*lengths
		// uses counts the samples, by which the kind that was used least recently is found.
		uses uint64
	}

	// lengths has the samples of a kind: those with a hint, as sums for a regression of the length on it, and all of them.
	lengths struct {
		hinted     regression
		all        moments
		lastSample uint64
	}

	moments struct{ weight, sum, squares float64 }

	regression struct {
		x, y     moments
		products float64
	}
)

// Hinted returns the length that the caller expects: the hint, limited by the maximum, or the maximum if there is no hint.
func (c Call) Hinted() int {
	if c.Hint > 0 && (c.Max == 0 || c.Hint < c.Max) {
		return c.Hint
	}
	return c.Max
}

// Record adds the length of a whole output, in tokens. What is out of bounds is ignored.
func (t *Tracker) Record(k Kind, c Call, tokens int) {
	if tokens <= 0 || tokens > maxTokens || c.Hint < 0 || c.Hint > maxTokens || max(len(k.Service), len(k.Route), len(k.Workspace)) > maxNameBytes {
		return
	}
	t.uses++
	y := math.Log(float64(tokens))
	for _, kind := range []Kind{k, k.route()} {
		l := t.lengths(kind)
		l.lastSample = t.uses
		l.all.add(y)
		if c.Hint > 0 {
			l.hinted.add(math.Log(float64(c.Hint)), y)
		}
		if k.Workspace == "" {
			break
		}
	}
}

// Estimate returns the expected length of an output in tokens. Without enough samples it is what the caller expects.
func (t *Tracker) Estimate(k Kind, c Call) int {
	l := t.kinds[k]
	if l == nil || l.all.weight < minWorkspaceSamples {
		l = t.kinds[k.route()]
	}
	if l == nil || l.all.weight < minSamples {
		return c.Hinted()
	}
	median, variance := l.all.mean(), l.all.variance()
	if c.Hint > 0 && l.hinted.y.weight >= minSamples {
		median, variance = l.hinted.predict(math.Log(float64(min(c.Hint, maxTokens))))
	}
	// Memory is needed for the mean of lengths, which is above their median.
	tokens := int(math.Round(math.Exp(median) * min(math.Exp(variance/2), maxMeanFactor)))
	if tokens = max(tokens, 1); c.Max > 0 {
		tokens = min(tokens, c.Max)
	}
	return tokens
}

func (k Kind) route() Kind { return Kind{Service: k.Service, Route: k.Route} }

func (t *Tracker) lengths(k Kind) *lengths {
	if l, known := t.kinds[k]; known {
		return l
	}
	if t.kinds == nil {
		t.kinds = map[Kind]*lengths{}
	}
	if len(t.kinds) >= maxKinds {
		t.dropOldest()
	}
	l := &lengths{}
	t.kinds[k] = l
	return l
}

func (t *Tracker) dropOldest() {
	var oldest Kind
	var at uint64 = math.MaxUint64
	for k, l := range t.kinds {
		if l.lastSample < at {
			oldest, at = k, l.lastSample
		}
	}
	delete(t.kinds, oldest)
}

func (m *moments) add(x float64) {
	m.weight = forgetting*m.weight + 1
	m.sum = forgetting*m.sum + x
	m.squares = forgetting*m.squares + x*x
}

func (m *moments) mean() float64 { return m.sum / m.weight }

func (m *moments) variance() float64 {
	return max(0, m.squares/m.weight-m.mean()*m.mean())
}

func (r *regression) add(x, y float64) {
	r.x.add(x)
	r.y.add(y)
	r.products = forgetting*r.products + x*y
}

// predict returns the mean and the variance of y, given x.
func (r *regression) predict(x float64) (mean, variance float64) {
	varianceX := r.x.variance()
	covariance := r.products/r.x.weight - r.x.mean()*r.y.mean()
	slope := 1.0
	if varianceX > 0 {
		slope = min(max(covariance/varianceX, 0), 1)
	}
	share := r.x.weight / (r.x.weight + priorSamples)
	slope = share*slope + 1 - share
	center := share*r.y.mean() + (1-share)*r.x.mean()
	rest := r.y.variance() - 2*slope*covariance + slope*slope*varianceX
	return center + slope*(x-r.x.mean()), max(0, rest)
}

// Len returns the number of kinds that are remembered.
func (t *Tracker) Len() int { return len(t.kinds) }
