package usheradmit

import (
	"math"
	"math/bits"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	linearBuckets    = 16 // lengths below this have a bucket each
	bucketsPerOctave = 8
	octaves          = 13
	bucketCount      = linearBuckets + octaves*bucketsPerOctave
	longestTracked   = linearBuckets << octaves

	fastHalfLife    = 20 * time.Second
	slowHalfLife    = 15 * time.Minute
	refreshInterval = time.Second
	fastShrinkage   = 20.0 // observations of slow evidence that weigh as much as the fast ones
	slowShrinkage   = 4.0
	priorHazard     = 0.06
	minHazard       = 0.0002
	maxHazard       = 0.98
	shiftDeviations = 5.0 // standard deviations beyond which old evidence is dropped
	shiftMinimum    = 2.0 // variance that a group of buckets needs to count
	largeWorkspace  = 300 // finished generations after which a workspace has its own lengths
	maxWorkspaces   = 256
)

var bucketStarts = starts()

type (
	// Lengths learns how long the generations of each template run, and those of large workspaces by themselves.
	// It estimates the hazard, the chance to end in each range of lengths, from finished generations and from those that
	// outlived the range, so that long ones count before they end. The zero value is ready to use.
	Lengths struct {
		templates  map[string]*Distribution
		workspaces *lru.Cache[workspaceTemplate, *workspaceLengths]
		Pooled     bool // one distribution for all templates
		Static     bool // never forgets
	}

	// Distribution is the distribution of lengths of one kind of generation.
	Distribution struct {
		fast, slow  evidence
		parent      *Distribution
		static      bool
		refreshed   time.Time
		hazard      [bucketCount]float64
		survival    [bucketCount + 1]float64 // chance to reach the start of each bucket
		decline     [bucketCount]float64     // of the chance, for each token in a bucket
		expectation float64
	}

	evidence struct {
		ends, visits [bucketCount]float64
	}

	workspaceTemplate struct{ workspace, template string }

	workspaceLengths struct {
		finished     int
		distribution *Distribution // nil until the workspace is large
	}
)

// Of returns the distribution that fits the workspace's generations of the template best.
func (l *Lengths) Of(now time.Time, workspace, template string) *Distribution {
	d := l.template(template)
	if own, known := l.workspace(workspace, template); known && own.distribution != nil {
		d = own.distribution
	}
	d.refresh(now)
	return d
}

// Advance learns that a generation grew from one length to another without ending.
func (l *Lengths) Advance(workspace, template string, from, to int) {
	l.learn(workspace, template, from, to, false)
}

// End learns that a generation that was last seen at length from ended at length to.
func (l *Lengths) End(workspace, template string, from, to int) {
	l.learn(workspace, template, from, to, true)
	own, known := l.workspace(workspace, template)
	if !known {
		own = &workspaceLengths{}
		l.workspaces.Add(workspaceTemplate{workspace, template}, own)
	}
	if own.finished++; own.finished == largeWorkspace && !l.Pooled {
		own.distribution = &Distribution{parent: l.template(template), static: l.Static}
	}
}

func (l *Lengths) learn(workspace, template string, from, to int, ended bool) {
	l.template(template).learn(from, to, ended)
	if own, known := l.workspace(workspace, template); known && own.distribution != nil {
		own.distribution.learn(from, to, ended)
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

// Survival returns the chance that a generation of made tokens makes more than ahead others.
func (d *Distribution) Survival(made, ahead int) float64 {
	return d.reach(made+ahead) / max(d.reach(made), math.SmallestNonzeroFloat32)
}

// Mean returns the expected length.
func (d *Distribution) Mean() float64 { return d.expectation }

// reach returns the chance that a generation makes so many tokens.
func (d *Distribution) reach(tokens int) float64 {
	b := bucketOf(tokens)
	return d.survival[b] - d.decline[b]*float64(min(tokens, longestTracked)-bucketStarts[b])
}

func (d *Distribution) learn(from, to int, ended bool) {
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
	elapsed := now.Sub(d.refreshed)
	if !d.refreshed.IsZero() && elapsed < refreshInterval {
		return
	}
	if !d.refreshed.IsZero() && !d.static {
		d.fast.decay(elapsed, fastHalfLife)
		d.slow.decay(elapsed, slowHalfLife)
		if d.shifted() {
			d.slow = d.fast
		}
	}
	d.refreshed = now
	if d.parent != nil {
		d.parent.refresh(now)
	}
	d.survival[0] = 1
	d.expectation = 0
	for b := range bucketCount {
		hazard := blend(&d.slow, b, d.prior(b), slowShrinkage)
		if !d.static {
			hazard = blend(&d.fast, b, hazard, fastShrinkage)
		}
		d.hazard[b] = min(max(hazard, minHazard), maxHazard)
		d.survival[b+1] = d.survival[b] * (1 - d.hazard[b])
		width := float64(bucketStarts[b+1] - bucketStarts[b])
		d.decline[b] = (d.survival[b] - d.survival[b+1]) / width
		d.expectation += width * (d.survival[b] + d.survival[b+1]) / 2
	}
}

func (d *Distribution) prior(bucket int) float64 {
	if d.parent != nil {
		return d.parent.hazard[bucket]
	}
	return priorHazard
}

// shifted reports whether recent ends are too far from what older evidence predicts.
func (d *Distribution) shifted() bool {
	groups, square := 0.0, 0.0
	for first := 0; first < bucketCount; first += bucketsPerOctave {
		difference, variance := 0.0, 0.0
		for b := first; b < min(first+bucketsPerOctave, bucketCount); b++ {
			hazard := min(max(blend(&d.slow, b, d.prior(b), slowShrinkage), minHazard), maxHazard)
			difference += d.fast.ends[b] - d.fast.visits[b]*hazard
			variance += d.fast.visits[b] * hazard * (1 - hazard)
		}
		if variance >= shiftMinimum {
			groups++
			square += difference * difference / variance
		}
	}
	return square > groups+shiftDeviations*math.Sqrt(2*groups)
}

func (e *evidence) decay(elapsed, halfLife time.Duration) {
	factor := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	for b := range bucketCount {
		e.ends[b] *= factor
		e.visits[b] *= factor
	}
}

func blend(e *evidence, bucket int, prior, shrinkage float64) float64 {
	return (e.ends[bucket] + shrinkage*prior) / (e.visits[bucket] + shrinkage)
}

// bucketOf returns the bucket of a length: one each for short lengths, then eight for each doubling.
func bucketOf(tokens int) int {
	if tokens < linearBuckets {
		return max(tokens, 0)
	}
	octave := bits.Len(uint(tokens)) - bits.Len(linearBuckets)
	within := tokens>>(octave+1) - bucketsPerOctave
	return min(linearBuckets+octave*bucketsPerOctave+within, bucketCount-1)
}

// starts returns the first length of each bucket, and of the one after the last.
func starts() [bucketCount + 1]int {
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
