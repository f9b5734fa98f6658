package ushermodel

import "time"

const (
	defaultMemoryTokens       = 60_000
	defaultPrefixTokens       = 20_000
	defaultMaxRunning         = 256
	defaultMaxPromptTokens    = 512
	defaultColdCapacity       = 4
	defaultColdCrashThreshold = 16
	defaultColdSlowdown       = 2
	defaultWarmTokens         = 2_000
	defaultRetained           = 256

	defaultStepBase       = 10 * time.Millisecond
	defaultStepSequence   = 60 * time.Microsecond
	defaultStepCached     = 120 * time.Nanosecond
	defaultStepPrompt     = 20 * time.Microsecond
	watermarkDivisor      = 100
	stepTimeSmoothing     = 0.2
	incarnationAfterStart = 1
)

// Options sets what an engine bears. A field that is zero has its default.
type Options struct {
	MemoryTokens    int // cache memory
	PrefixTokens    int // memory of the prompt prefix cache
	MaxRunning      int // most sequences in one step
	MaxPromptTokens int // most prompt tokens computed in one step

	StepBase           time.Duration // time of an empty step
	StepSequence       time.Duration // added by each sequence
	StepCached         time.Duration // added by each cached token
	StepPrompt         time.Duration // added by each prompt token computed in the step
	Cold               bool          // the engine starts cold
	ColdCapacity       int           // generations that a cold engine bears
	ColdCrashThreshold int           // a cold engine with more generations than this dies
	ColdSlowdown       int           // factor of the step time of a cold engine
	WarmTokens         int           // tokens after which a cold engine is warm
	RetainFinished     int           // finished generations that Lookup still knows
	Completed          uint64        // generations that an engine that starts warm has completed before
}

func (o Options) withDefaults() Options {
	o.MemoryTokens = orDefault(o.MemoryTokens, defaultMemoryTokens)
	o.PrefixTokens = orDefault(o.PrefixTokens, defaultPrefixTokens)
	o.MaxRunning = orDefault(o.MaxRunning, defaultMaxRunning)
	o.MaxPromptTokens = orDefault(o.MaxPromptTokens, defaultMaxPromptTokens)
	o.StepBase = orDefault(o.StepBase, defaultStepBase)
	o.StepSequence = orDefault(o.StepSequence, defaultStepSequence)
	o.StepCached = orDefault(o.StepCached, defaultStepCached)
	o.StepPrompt = orDefault(o.StepPrompt, defaultStepPrompt)
	o.ColdCapacity = orDefault(o.ColdCapacity, defaultColdCapacity)
	o.ColdCrashThreshold = orDefault(o.ColdCrashThreshold, defaultColdCrashThreshold)
	o.ColdSlowdown = orDefault(o.ColdSlowdown, defaultColdSlowdown)
	o.WarmTokens = orDefault(o.WarmTokens, defaultWarmTokens)
	o.RetainFinished = orDefault(o.RetainFinished, defaultRetained)
	return o
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}
