package usheradmit

import "time"

const (
	defaultRiskMargin      = 2.0
	defaultMemoryShare     = 0.985
	defaultMaxStepTime     = 36 * time.Millisecond
	defaultQueueCapacity   = 4_096
	defaultQueueTimeout    = 30 * time.Second
	defaultLookahead       = 8
	defaultRetryShare      = 0.1
	defaultColdLimit       = 4
	defaultWarmTokens      = 2_500
	defaultReservedMaxStep = 11_500 * time.Microsecond
	negligibleProbability  = 1e-5
	promptTokensPerStep    = 512
	prefillTimePerToken    = 20 * time.Microsecond
)

var defaultStep = StepTime{
	Base:        10 * time.Millisecond,
	Sequence:    60 * time.Microsecond,
	CachedToken: 120 * time.Nanosecond,
	Prompt:      promptTokensPerStep * prefillTimePerToken,
}

type (
	// Options configures a Scheduler. Zero fields select defaults.
	Options struct {
		Admission       Admission
		QueueCapacity   int           // maximum number of queued requests
		QueueTimeout    time.Duration // maximum wait of a request that sets none
		Lookahead       int           // number of workspaces whose first request is tried in one pass
		RetryShare      float64       // maximum share of retries in the traffic
		ColdLimit       int           // maximum number of generations on a cold target
		WarmTokens      int           // tokens that a cold target must generate to count as warm
		ReservedMaxStep time.Duration // maximum step time of a reserved target up to which interactive requests prefer it
		Seed            uint64        // seed for sampling targets
		Without         Features      // parts of the policy to switch off, to measure their contribution
	}

	// Features selects parts of the policy to switch off. Each comment describes the behaviour without the part.
	Features struct {
		Templates       bool // one distribution for all templates
		Decay           bool // observed lengths never decay
		LearnedRisk     bool // the risk margin is fixed
		Fairness        bool // a single first-in first-out queue
		Lookahead       bool // only the first request is tried
		Locality        bool // prefix caches are ignored
		ForeignLoad     bool // load from other schedulers is ignored
		WarmUp          bool // cold targets are treated as warm
		ReservedTargets bool // no target is reserved for interactive requests
		Spreading       bool // targets that are processing prompts are not avoided
	}
)

func (o Options) withDefaults() Options {
	o.Admission = o.Admission.withDefaults()
	o.QueueCapacity = orDefault(o.QueueCapacity, defaultQueueCapacity)
	o.QueueTimeout = orDefault(o.QueueTimeout, defaultQueueTimeout)
	o.Lookahead = orDefault(o.Lookahead, defaultLookahead)
	o.RetryShare = orDefault(o.RetryShare, defaultRetryShare)
	o.ColdLimit = orDefault(o.ColdLimit, defaultColdLimit)
	o.WarmTokens = orDefault(o.WarmTokens, defaultWarmTokens)
	o.ReservedMaxStep = orDefault(o.ReservedMaxStep, defaultReservedMaxStep)
	if o.Without.Lookahead {
		o.Lookahead = 1
	}
	return o
}

func orDefault[T int | float64 | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}
