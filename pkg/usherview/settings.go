package usherview

import "time"

// Settings of a store. Every zero field but the first three stands for its default.
type Settings struct {
	Name       string
	DataCentre string
	Seed       uint64 // must differ for each start of a process

	PollInterval         time.Duration // between polls of peers
	PollFanout           int           // peers that are polled, or told of a new version, at once
	ReadInterval         time.Duration // between a reader's reads of the index
	StartJitter          time.Duration // over which the first reads of a fleet are spread
	StartPeers           int           // peers that a start hears before it serves
	StartDeadline        time.Duration // after which a start makes do with fewer
	ConfirmBound         time.Duration // age at which a view is no longer confirmed
	PauseBound           time.Duration // time without Tick after which the process counts as paused
	SettleTime           time.Duration // after a pause, before an unconfirmed view is used at all
	EscalateAfter        time.Duration // without news of the platform, after which anyone reads it
	FetchTimeout         time.Duration // for an answer to a FetchRequest or a Read
	StallTime            time.Duration // without progress, after which a start no longer waits for a version
	CandidateTimeout     time.Duration // without progress, after which a version is given up
	CallsPerSecond       float64       // to the platform
	ReadersPerDataCentre int           // readers in each data centre
	MaxRejected          int           // refused versions that are remembered
	MaxCandidates        int           // versions that are fetched at once
	ReturnMemory         time.Duration // for which a return to service is remembered
	ShardsPerWant        int           // shards that are asked of one peer at once
	SummariesOnChange    int           // peers told at once when a version comes in force
}

// withDefaults returns a copy of s with each zero field filled.
func (s Settings) withDefaults() Settings {
	setDefault(&s.PollInterval, 500*time.Millisecond)
	setDefault(&s.PollFanout, 2)
	setDefault(&s.ReadInterval, 2*time.Second)
	setDefault(&s.StartJitter, time.Second)
	setDefault(&s.StartPeers, 3)
	setDefault(&s.StartDeadline, 3*time.Second)
	setDefault(&s.ConfirmBound, 3*time.Second)
	setDefault(&s.PauseBound, time.Second)
	setDefault(&s.SettleTime, time.Second)
	setDefault(&s.EscalateAfter, 4*time.Second)
	setDefault(&s.FetchTimeout, 500*time.Millisecond)
	setDefault(&s.StallTime, 2*time.Second)
	setDefault(&s.CandidateTimeout, 5*time.Second)
	setDefault(&s.CallsPerSecond, 4)
	setDefault(&s.ReadersPerDataCentre, 3)
	setDefault(&s.MaxRejected, 16)
	setDefault(&s.MaxCandidates, 4)
	setDefault(&s.ReturnMemory, 10*time.Minute)
	setDefault(&s.ShardsPerWant, 32)
	setDefault(&s.SummariesOnChange, 4)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
