package usheradmit

import "time"

const (
	defaultRisk            = 2.0
	defaultMemoryShare     = 0.985
	defaultStepTarget      = 36 * time.Millisecond
	defaultQueueCapacity   = 4_096
	defaultPatience        = 30 * time.Second
	defaultLookahead       = 8
	defaultRetryShare      = 0.1
	defaultColdLimit       = 4
	defaultWarmTokens      = 2_500
	defaultLightStep       = 11_500 * time.Microsecond
	negligible             = 1e-5
	promptTokensInOneStep  = 512
	promptTokenComputation = 20 * time.Microsecond
)

var defaultStep = StepTime{
	Base:        10 * time.Millisecond,
	Sequence:    60 * time.Microsecond,
	CachedToken: 120 * time.Nanosecond,
	Prompt:      promptTokensInOneStep * promptTokenComputation,
}

type (
	// Options sets the policy of a Scheduler. A field that is zero has its default.
	Options struct {
		Admission     Admission
		QueueCapacity int           // requests that may wait
		QueueTimeout  time.Duration // longest wait of a request that names none
		Lookahead     int           // workspaces whose first request is tried before the scheduler gives up for now
		RetryShare    float64       // retries as a share of the traffic
		ColdLimit     int           // generations on a target that has not proved itself warm
		WarmTokens    int           // tokens that a cold target makes before it counts as warm
		LightStep     time.Duration // longest step of a target that is kept light for interactive kinds
		Seed          uint64        // of the sample of targets
		Without       Features      // parts of the policy that are left out, to measure what they contribute
	}

	// Features names parts of the policy.
	Features struct {
		Templates   bool // one distribution for all templates
		Forgetting  bool // lengths are never forgotten
		LearnedRisk bool // the risk margin stays as set
		Fairness    bool // one first-in first-out queue
		Lookahead   bool // only the first request is tried
		Locality    bool // prefix caches don't count
		Corrections bool // load of others on a target doesn't count
		Warmth      bool // cold targets are treated like warm ones
		Light       bool // no target is kept light for interactive kinds
		Spreading   bool // targets that compute prompts are not avoided
	}
)

func (o Options) withDefaults() Options {
	o.Admission = o.Admission.withDefaults()
	o.QueueCapacity = orDefault(o.QueueCapacity, defaultQueueCapacity)
	o.QueueTimeout = orDefault(o.QueueTimeout, defaultPatience)
	o.Lookahead = orDefault(o.Lookahead, defaultLookahead)
	o.RetryShare = orDefault(o.RetryShare, defaultRetryShare)
	o.ColdLimit = orDefault(o.ColdLimit, defaultColdLimit)
	o.WarmTokens = orDefault(o.WarmTokens, defaultWarmTokens)
	o.LightStep = orDefault(o.LightStep, defaultLightStep)
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
