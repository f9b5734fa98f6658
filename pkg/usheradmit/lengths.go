package usheradmit

import (
	"math"
	"math/bits"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	linearBuckets    = 16 // each length below this has its own bucket
	bucketsPerOctave = 8
	octaves          = 13
	bucketCount      = linearBuckets + octaves*bucketsPerOctave
	maxTrackedLength = linearBuckets << octaves

	fastHalfLife     = 20 * time.Second
	slowHalfLife     = 15 * time.Minute
	refreshInterval  = time.Second
	fastShrinkage    = 20.0 // weight of the slow estimate, in observations, when combined with the fast counts
	slowShrinkage    = 4.0  // weight of the prior, in observations, when combined with the slow counts
	priorHazard      = 0.06
	minHazard        = 0.0002
	maxHazard        = 0.98
	shiftDeviations  = 5.0 // standard deviations beyond which the slow counts are discarded
	shiftMinVariance = 2.0 // minimum variance of a group of buckets to be included in the test
	largeWorkspace   = 300 // finished generations after which a workspace gets its own distribution
	maxWorkspaces    = 256
)

var bucketStarts = computeBucketStarts()

type (
	// Lengths estimates the length distribution of the generations of each template, and separately of each large
	// workspace. It estimates the hazard, that is the probability to end within each range of lengths, from the
	// generations that ended in the range and from those that passed it. Long generations thus count before they end. The
	// zero value is ready to use.
	Lengths struct {
		templates  map[string]*Distribution
		workspaces *lru.Cache[workspaceTemplate, *workspaceLengths]
		Pooled     bool // one distribution for all templates
		Static     bool // observations don't decay
	}

	// Distribution is an estimated length distribution. It combines two sets of counts with different half-lives: the fast
	// one follows changes, the slow one has more observations.
	Distribution struct {
		fast, slow  bucketCounts
		parent      *Distribution
		static      bool
		refreshedAt time.Time
		hazard      [bucketCount]float64
		survival    [bucketCount + 1]float64 // probability of reaching the start of each bucket
		decline     [bucketCount]float64     // decrease of the probability per token within each bucket
		mean        float64
	}

	// bucketCounts counts, for each bucket, the generations that ended in it, and as visits those that ended in or passed it.
	bucketCounts struct {
		ends, visits [bucketCount]float64
	}

	workspaceTemplate struct{ workspace, template string }

	workspaceLengths struct {
		finished     int
		distribution *Distribution // nil until the workspace is large
	}
)

// Of returns the distribution for the workspace's generations of the template: the workspace's own if it has one, else the
// template's.
func (l *Lengths) Of(now time.Time, workspace, template string) *Distribution {
	d := l.template(template)
	if own, known := l.workspace(workspace, template); known && own.distribution != nil {
		d = own.distribution
	}
	d.refresh(now)
	return d
}

// RecordProgress records that a generation grew from one length to another without ending.
func (l *Lengths) RecordProgress(workspace, template string, from, to int) {
	l.record(workspace, template, from, to, false)
}

// RecordEnd records that a generation whose last recorded length was from ended at length to.
func (l *Lengths) RecordEnd(workspace, template string, from, to int) {
	l.record(workspace, template, from, to, true)
	own, known := l.workspace(workspace, template)
	if !known {
		own = &workspaceLengths{}
		l.workspaces.Add(workspaceTemplate{workspace, template}, own)
	}
	if own.finished++; own.finished == largeWorkspace && !l.Pooled {
		own.distribution = &Distribution{parent: l.template(template), static: l.Static}
	}
}

func (l *Lengths) record(workspace, template string, from, to int, ended bool) {
	l.template(template).record(from, to, ended)
	if own, known := l.workspace(workspace, template); known && own.distribution != nil {
		own.distribution.record(from, to, ended)
	}
}

func (l *Lengths) template(template string) *Distribution {
	if l.Pooled {
		template = ""
	}
	d, known := l.templates[template]
	if !known {
		if l.templates == nil {
			l.templates = make(map[string]*Distribution)
		}
		d = &Distribution{static: l.Static}
		l.templates[template] = d
	}
	return d
}

func (l *Lengths) workspace(workspace, template string) (*workspaceLengths, bool) {
	if l.workspaces == nil {
		l.workspaces, _ = lru.New[workspaceTemplate, *workspaceLengths](maxWorkspaces) // fails only for a size below one
	}
	return l.workspaces.Get(workspaceTemplate{workspace, template})
}

// Survival returns the probability that a generation that has generated so many tokens generates more than ahead others.
func (d *Distribution) Survival(generated, ahead int) float64 {
	return d.survivalAt(generated+ahead) / max(d.survivalAt(generated), math.SmallestNonzeroFloat32)
}

// Mean returns the expected length.
func (d *Distribution) Mean() float64 { return d.mean }

// survivalAt returns the probability that a generation generates this number of tokens.
func (d *Distribution) survivalAt(tokens int) float64 {
	b := bucketOf(tokens)
	return d.survival[b] - d.decline[b]*float64(min(tokens, maxTrackedLength)-bucketStarts[b])
}

func (d *Distribution) record(from, to int, ended bool) {
	first, last := bucketOf(from), bucketOf(to)
	for b := first; b < last; b++ {
		d.fast.visits[b]++
		d.slow.visits[b]++
	}
	if ended {
		d.fast.visits[last]++
		d.slow.visits[last]++
		d.fast.ends[last]++
		d.slow.ends[last]++
	}
}

func (d *Distribution) refresh(now time.Time) {
	elapsed := now.Sub(d.refreshedAt)
	if !d.refreshedAt.IsZero() && elapsed < refreshInterval {
		return
	}
	if !d.refreshedAt.IsZero() && !d.static {
		d.fast.decay(elapsed, fastHalfLife)
		d.slow.decay(elapsed, slowHalfLife)
		if d.hasShifted() {
			d.slow = d.fast
		}
	}
	d.refreshedAt = now
	if d.parent != nil {
		d.parent.refresh(now)
	}
	d.survival[0] = 1
	d.mean = 0
	for b := range bucketCount {
		hazard := estimateHazard(&d.slow, b, d.prior(b), slowShrinkage)
		if !d.static {
			hazard = estimateHazard(&d.fast, b, hazard, fastShrinkage)
		}
		d.hazard[b] = min(max(hazard, minHazard), maxHazard)
		d.survival[b+1] = d.survival[b] * (1 - d.hazard[b])
		width := float64(bucketStarts[b+1] - bucketStarts[b])
		d.decline[b] = (d.survival[b] - d.survival[b+1]) / width
		d.mean += width * (d.survival[b] + d.survival[b+1]) / 2
	}
}

func (d *Distribution) prior(bucket int) float64 {
	if d.parent != nil {
		return d.parent.hazard[bucket]
	}
	return priorHazard
}

// hasShifted reports whether the recent ends deviate significantly from the hazard that the slow counts predict. It is a
// chi-squared test over groups of buckets.
func (d *Distribution) hasShifted() bool {
	groups, statistic := 0.0, 0.0
	for first := 0; first < bucketCount; first += bucketsPerOctave {
		deviation, variance := 0.0, 0.0
		for b := first; b < min(first+bucketsPerOctave, bucketCount); b++ {
			hazard := min(max(estimateHazard(&d.slow, b, d.prior(b), slowShrinkage), minHazard), maxHazard)
			deviation += d.fast.ends[b] - d.fast.visits[b]*hazard
			variance += d.fast.visits[b] * hazard * (1 - hazard)
		}
		if variance >= shiftMinVariance {
			groups++
			statistic += deviation * deviation / variance
		}
	}
	return statistic > groups+shiftDeviations*math.Sqrt(2*groups)
}

func (c *bucketCounts) decay(elapsed, halfLife time.Duration) {
	factor := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	for b := range bucketCount {
		c.ends[b] *= factor
		c.visits[b] *= factor
	}
}

// estimateHazard returns the hazard of a bucket, shrunk towards the prior.
func estimateHazard(c *bucketCounts, bucket int, prior, shrinkage float64) float64 {
	return (c.ends[bucket] + shrinkage*prior) / (c.visits[bucket] + shrinkage)
}

// bucketOf returns the bucket of a length. Short lengths have a bucket each; above, there are eight buckets per doubling.
func bucketOf(tokens int) int {
	if tokens < linearBuckets {
		return max(tokens, 0)
	}
	octave := bits.Len(uint(tokens)) - bits.Len(linearBuckets)
	within := tokens>>(octave+1) - bucketsPerOctave
	return min(linearBuckets+octave*bucketsPerOctave+within, bucketCount-1)
}

// computeBucketStarts returns the first length of each bucket, and the first length beyond the last bucket.
func computeBucketStarts() [bucketCount + 1]int {
	var table [bucketCount + 1]int
	for b := range table {
		table[b] = b
		if b >= linearBuckets {
			octave, within := (b-linearBuckets)/bucketsPerOctave, (b-linearBuckets)%bucketsPerOctave
			table[b] = (bucketsPerOctave + within) << (octave + 1)
		}
	}
	return table
}
