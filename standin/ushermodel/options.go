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
	defaultRetainFinished     = 256

	defaultStepBase     = 10 * time.Millisecond
	defaultStepSequence = 60 * time.Microsecond
	defaultStepCached   = 120 * time.Nanosecond
	defaultStepPrompt   = 20 * time.Microsecond
	watermarkDivisor    = 100 // 1/100 of the memory is kept free when sequences are started
	stepTimeSmoothing   = 0.2 // weight of the latest step in the moving average
	firstIncarnation    = 1
)

// Options sets the capacity and the step times of an engine. Zero fields select defaults.
type Options struct {
	MemoryTokens    int // cache memory, in tokens
	PrefixTokens    int // memory of the prompt prefix cache, in tokens
	MaxRunning      int // maximum number of sequences in a step
	MaxPromptTokens int // maximum number of prompt tokens computed in a step

	StepBase           time.Duration // base time of a step
	StepSequence       time.Duration // additional time for each sequence
	StepCached         time.Duration // additional time for each cached token
	StepPrompt         time.Duration // additional time for each prompt token computed in the step
	Cold               bool          // the engine starts cold
	ColdCapacity       int           // maximum number of generations before a cold engine is overloaded
	ColdCrashThreshold int           // a cold engine with more generations than this crashes
	ColdSlowdown       int           // factor by which the steps of a cold engine take longer
	WarmTokens         int           // number of tokens after which a cold engine is warm
	RetainFinished     int           // number of finished generations retained for Lookup
	Completed          uint64        // initial value of LoadReport.Completed in the first incarnation
}

func (o Options) withDefaults() Options {
	o.MemoryTokens = valueOrDefault(o.MemoryTokens, defaultMemoryTokens)
	o.PrefixTokens = valueOrDefault(o.PrefixTokens, defaultPrefixTokens)
	o.MaxRunning = valueOrDefault(o.MaxRunning, defaultMaxRunning)
	o.MaxPromptTokens = valueOrDefault(o.MaxPromptTokens, defaultMaxPromptTokens)
	o.StepBase = valueOrDefault(o.StepBase, defaultStepBase)
	o.StepSequence = valueOrDefault(o.StepSequence, defaultStepSequence)
	o.StepCached = valueOrDefault(o.StepCached, defaultStepCached)
	o.StepPrompt = valueOrDefault(o.StepPrompt, defaultStepPrompt)
	o.ColdCapacity = valueOrDefault(o.ColdCapacity, defaultColdCapacity)
	o.ColdCrashThreshold = valueOrDefault(o.ColdCrashThreshold, defaultColdCrashThreshold)
	o.ColdSlowdown = valueOrDefault(o.ColdSlowdown, defaultColdSlowdown)
	o.WarmTokens = valueOrDefault(o.WarmTokens, defaultWarmTokens)
	o.RetainFinished = valueOrDefault(o.RetainFinished, defaultRetainFinished)
	return o
}

func valueOrDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}
