package usherengine

import (
	"math"
	"time"

	"github.com/samphireusher/samphireusher/standin/ushermodel"
)

// Defaults for Config fields that are zero.
const (
	defaultMaxWaiting             = 256
	defaultReportLag              = 200 * time.Millisecond
	defaultCacheEventLag          = 500 * time.Millisecond
	defaultCacheEventLossInterval = 8
	defaultRetention              = 30 * time.Second
	defaultRestartAfter           = 2 * time.Second
	defaultLoadTime               = time.Second
	defaultLengthMu               = 5.9
	defaultLengthSigma            = 1.1
	defaultModel                  = "appraiser-1"
)

// Config configures an engine. Zero fields select defaults; the zero Config is a warm engine with memory for 60,000
// tokens.
type Config struct {
	// Options sets the capacity and the step times. A restarted engine is always cold. A new generation above
	// ColdCapacity crashes a cold engine. ColdCrashThreshold is unlimited if it is zero.
	Options ushermodel.Options
	// Model is the name of the model that is loaded at startup.
	Model string
	// Incarnation is the first incarnation. Each restart increments it.
	Incarnation int64
	// MaxWaiting is the maximum length of the queue. If the queue is full, new generations are refused.
	MaxWaiting int
	// RefuseWhenCold makes a cold engine refuse generations above its cold capacity instead of crashing.
	RefuseWhenCold bool

	// ReportLag and CacheEventLag are the delays until a change is visible in the reports and the cache events.
	ReportLag, CacheEventLag time.Duration
	// CacheEventLossInterval makes every nth cache event get lost. A negative value disables the loss.
	CacheEventLossInterval int
	// Retention is the time for which a generation without a reader is kept.
	Retention time.Duration
	// RestartAfter is the time from a crash to the restart.
	RestartAfter time.Duration
	// LoadTime is the time for which an order to load a model makes the engine refuse generations.
	LoadTime time.Duration
	// EnforceFencing makes the engine refuse orders with an outdated fencing token.
	EnforceFencing bool

	// LengthMu and LengthSigma are the parameters of the log-normal distribution of the answer lengths.
	LengthMu, LengthSigma float64
	// Texts are the sources of the answers. If empty, DefaultTexts is used.
	Texts []Text
}

func (c Config) withDefaults() Config {
	setDefault(&c.Options.ColdCrashThreshold, math.MaxInt)
	setDefault(&c.Model, defaultModel)
	setDefault(&c.MaxWaiting, defaultMaxWaiting)
	setDefault(&c.ReportLag, defaultReportLag)
	setDefault(&c.CacheEventLag, defaultCacheEventLag)
	setDefault(&c.CacheEventLossInterval, defaultCacheEventLossInterval)
	setDefault(&c.Retention, defaultRetention)
	setDefault(&c.RestartAfter, defaultRestartAfter)
	setDefault(&c.LoadTime, defaultLoadTime)
	setDefault(&c.LengthMu, defaultLengthMu)
	setDefault(&c.LengthSigma, defaultLengthSigma)
	if len(c.Texts) == 0 {
		c.Texts = DefaultTexts()
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
