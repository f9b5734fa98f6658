package usherspeed

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// refreshInterval is the time between two calculations of what the targets of a service have in common.
	refreshInterval = 100 * time.Millisecond
	// decay is the time constant with which samples lose their weight.
	decay = 15 * time.Second
	// hostVariance is the variance between hosts in how they see the same target, which bounds the weight of one host.
	hostVariance = 0.25 * 0.25
	// sameHostVariance takes its place where all samples are of one host, which sees all targets in the same way.
	sameHostVariance = 0.05 * 0.05
	// maxHosts bounds the hosts that are remembered for a target.
	maxHosts = 12
	// maxHostWeight bounds the samples that a host's mean is of, so that it follows changes.
	maxHostWeight = 20
	// maxDeviation is how far a host's mean may be from the median of three or more hosts.
	maxDeviation = 0.7
	// initialVariance is the variance of the samples of one target before it is learned, varianceRate the weight of one sample in it.
	initialVariance = 0.35 * 0.35
	minVariance     = 0.1 * 0.1
	varianceRate    = 0.02
	// waitingWeight is the weight of calls that take longer than usual, against the others.
	waitingWeight = 0.25
	// minSpread is the standard deviation between targets from which a service counts as uneven. Forecasts err by as much.
	minSpread = 0.25
	// minScale is the least deviation of the service's median from the forecast that is corrected.
	minScale = 0.1
	// minMeasured is the weight of samples from which a target counts in the spread.
	minMeasured = 1.5
)

type (
	// service has the targets of a service and what they have in common.
	service struct {
		targets   map[targetKey]*record
		refreshed time.Time
		changed   bool
		// variance is that of the samples of one target, by measure.
		variance [measureCount]float64
		// median is that of the targets, by measure.
		median [measureCount]float64
		// spread is the variance between targets; uneven reports whether it is more than what errors explain.
		spread float64
		uneven bool
		pauses pauseModel
		line   pauseLine
		// host is the host whose samples came first; manyHosts reports whether others have reported too.
		host      string
		manyHosts bool
		// unknown is the estimate of targets without samples.
		unknown Estimate
	}

	record struct {
		hosts   [measureCount][]hostMean
		updated time.Time
		// mean and precision are of the hosts' means, by measure.
		mean, precision [measureCount]float64
		// stale is set if mean, precision and estimate have to be calculated again.
		stale    bool
		estimate Estimate
	}

	// hostMean is the mean of the samples of one host.
	hostMean struct {
		host   string
		mean   float64
		weight float64
		at     time.Time
	}
)

func newService() *service {
	s := &service{targets: map[targetKey]*record{}, unknown: Estimate{Factor: 1}}
	for m := range measureCount {
		s.variance[m] = initialVariance
	}
	return s
}

// observe adds a value of a measure.
func (s *service) observe(now time.Time, r *record, m int, sample Sample, x float64) {
	host := sample.Host
	if s.host == "" {
		s.host = host
	}
	s.manyHosts = s.manyHosts || host != s.host
	s.recalculate(now, r)
	if r.precision[m] > 0 {
		weight := 1 / (1 + 1/(r.precision[m]*s.variance[m]))
		deviation := min(math.Abs(x-r.mean[m]), 3*math.Sqrt(s.variance[m]))
		s.variance[m] = max(minVariance, s.variance[m]+varianceRate*(deviation*deviation*weight-s.variance[m]))
	}
	i := slices.IndexFunc(r.hosts[m], func(h hostMean) bool { return h.host == host })
	if i < 0 {
		if len(r.hosts[m]) == maxHosts {
			oldest := slices.MinFunc(r.hosts[m], func(a, b hostMean) int { return a.at.Compare(b.at) })
			r.hosts[m] = slices.DeleteFunc(r.hosts[m], func(h hostMean) bool { return h.host == oldest.host })
		}
		r.hosts[m] = append(r.hosts[m], hostMean{host: host, mean: x, at: now})
		i = len(r.hosts[m]) - 1
	}
	h := &r.hosts[m][i]
	h.weight = min(h.weightAt(now)+1, maxHostWeight)
	change := (x - h.mean) / h.weight
	if sample.Call && change > 0 {
		change *= waitingWeight
	}
	h.mean += change
	h.at = now
	r.stale, s.changed = true, true
}

func (h hostMean) weightAt(now time.Time) float64 {
	return h.weight * math.Exp(-float64(max(now.Sub(h.at), 0))/float64(decay))
}

// refresh calculates what the targets have in common, if it is out of date.
func (s *service) refresh(now time.Time) {
	age := now.Sub(s.refreshed)
	if age < refreshInterval || !s.changed && age < 10*refreshInterval {
		return
	}
	s.refreshed, s.changed = now, false
	var means [measureCount][]float64
	maps.DeleteFunc(s.targets, func(_ targetKey, r *record) bool { return now.Sub(r.updated) > retention })
	for _, r := range s.targets {
		r.stale = true
		s.recalculate(now, r)
		for m := range measureCount {
			if r.precision[m] > 0 {
				means[m] = append(means[m], r.mean[m])
			}
		}
	}
	for m := range measureCount {
		s.median[m] = median(means[m])
	}
	s.calculateSpread()
	s.line = s.pauses.line()
	s.unknown = s.newEstimate(0, 0)
	for _, r := range s.targets {
		r.estimate = s.newEstimate(s.deviation(r))
	}
}

// calculateSpread compares the variance of the targets' means with that which their errors explain.
func (s *service) calculateSpread() {
	var sum, squares, errors, n float64
	for _, r := range s.targets {
		x, precision := s.deviation(r)
		if precision*(s.betweenHosts()+initialVariance) < minMeasured {
			continue
		}
		n++
		sum += x
		squares += x * x
		errors += 1 / precision
	}
	s.spread, s.uneven = 0, false
	if n < 2 {
		return
	}
	variance := (squares - sum*sum/n) / (n - 1)
	s.spread = max(0, variance-errors/n)
	s.uneven = variance > errors/n*chanceFactor(n-1) && s.spread > minSpread*minSpread
}

// chanceFactor returns the ratio of a variance with the given degrees of freedom to the true one that chance exceeds once in 10,000 times, by
// the approximation of Wilson and Hilferty.
func chanceFactor(degrees float64) float64 {
	const quantile = 3.72
	d := 2 / (9 * degrees)
	return math.Pow(1-d+quantile*math.Sqrt(d), 3)
}

// deviation returns the mean deviation of a target from the medians, and its precision.
func (s *service) deviation(r *record) (x, precision float64) {
	for m := range measureCount {
		x += r.precision[m] * (r.mean[m] - s.median[m])
		precision += r.precision[m]
	}
	if precision == 0 {
		return 0, 0
	}
	return x / precision, precision
}

// estimate returns what is known of a target, but for its age.
func (s *service) estimate(now time.Time, r *record) Estimate {
	if r.stale {
		s.recalculate(now, r)
		r.estimate = s.newEstimate(s.deviation(r))
	}
	return r.estimate
}

// newEstimate returns the estimate of a target with a mean deviation from the medians, of the given precision.
func (s *service) newEstimate(deviation, known float64) Estimate {
	e := Estimate{Factor: 1, Error: math.Sqrt(s.spread), uneven: s.uneven}
	if s.uneven {
		precision := 1/s.spread + known
		e.Error = math.Sqrt(1 / precision)
		if e.relative = deviation * known / precision; math.Abs(e.relative) < e.Error/2 {
			e.relative = 0
		}
		scale := s.median[start]
		if math.Abs(scale) < minScale {
			scale = 0
		}
		e.Factor, e.scale = math.Exp(scale+e.relative), scale
	}
	s.line.estimate(&e)
	return e
}

// recalculate combines the means of the hosts.
func (s *service) recalculate(now time.Time, r *record) {
	if !r.stale {
		return
	}
	r.stale = false
	for m := range measureCount {
		r.mean[m], r.precision[m] = combine(now, r.hosts[m], s.variance[m], s.betweenHosts())
	}
}

// betweenHosts returns the variance between hosts.
func (s *service) betweenHosts() float64 {
	if s.manyHosts {
		return hostVariance
	}
	return sameHostVariance
}

func combine(now time.Time, hosts []hostMean, variance, betweenHosts float64) (mean, precision float64) {
	lowest, highest := math.Inf(-1), math.Inf(1)
	if len(hosts) >= 3 {
		means := make([]float64, len(hosts))
		for i, h := range hosts {
			means[i] = h.mean
		}
		middle := median(means)
		lowest, highest = middle-maxDeviation, middle+maxDeviation
	}
	for _, h := range hosts {
		weight := h.weightAt(now)
		if weight < 0.01 {
			continue
		}
		p := 1 / (betweenHosts + variance/weight)
		mean += p * min(max(h.mean, lowest), highest)
		precision += p
	}
	if precision == 0 {
		return 0, 0
	}
	return mean / precision, precision
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.SortFunc(values, cmp.Compare)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}
