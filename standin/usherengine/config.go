package usherengine

import (
	"math"
	"time"

	"github.com/samphireusher/samphireusher/standin/ushermodel"
)

// Defaults of a Config whose field is zero.
const (
	defaultMaxWaiting    = 256
	defaultReportLag     = 200 * time.Millisecond
	defaultCacheEventLag = 500 * time.Millisecond
	defaultCacheGap      = 8
	defaultKeep          = 30 * time.Second
	defaultRestartAfter  = 2 * time.Second
	defaultLoadTime      = time.Second
	defaultLengthMu      = 5.9
	defaultLengthSigma   = 1.1
	defaultModel         = "appraiser-1"
)

// Config describes an engine. Zero fields have defaults; the zero Config is a warm engine of 60,000 tokens.
type Config struct {
	// Options sets what the engine bears. A restarted engine is always cold. An arrival beyond ColdCapacity kills a cold
	// engine; ColdCrashThreshold is unlimited if it is zero.
	Options ushermodel.Options
	// Model is the name of the model that is loaded at the start.
	Model string
	// Incarnation is the first incarnation; it rises by one at each restart.
	Incarnation int64
	// MaxWaiting bounds the queue; beyond it a generation is refused.
	MaxWaiting int
	// ColdRefuses makes a cold engine refuse what it cannot bear instead of dying of it.
	ColdRefuses bool

	// ReportLag and CacheEventLag are the ages of what the reports and the cache events show.
	ReportLag, CacheEventLag time.Duration
	// CacheGap loses one in that many cache events; a negative one loses none.
	CacheGap int
	// Keep is how long a generation without a reader is kept.
	Keep time.Duration
	// RestartAfter is how long the engine stays dead.
	RestartAfter time.Duration
	// LoadTime is how long an order to load a model keeps the engine from taking work.
	LoadTime time.Duration
	// ChecksFences makes the engine refuse orders with an old fencing number.
	ChecksFences bool

	// LengthMu and LengthSigma shape the log-normal lengths of the answers.
	LengthMu, LengthSigma float64
	// Texts are what the answers are made of; none means a small default.
	Texts []Text
}

func (c Config) withDefaults() Config {
	orDefault(&c.Options.ColdCrashThreshold, math.MaxInt)
	orDefault(&c.Model, defaultModel)
	orDefault(&c.MaxWaiting, defaultMaxWaiting)
	orDefault(&c.ReportLag, defaultReportLag)
	orDefault(&c.CacheEventLag, defaultCacheEventLag)
	orDefault(&c.CacheGap, defaultCacheGap)
	orDefault(&c.Keep, defaultKeep)
	orDefault(&c.RestartAfter, defaultRestartAfter)
	orDefault(&c.LoadTime, defaultLoadTime)
	orDefault(&c.LengthMu, defaultLengthMu)
	orDefault(&c.LengthSigma, defaultLengthSigma)
	if len(c.Texts) == 0 {
		c.Texts = DefaultTexts()
	}
	return c
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
