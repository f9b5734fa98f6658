package usherview

import "time"

// Settings configures a Store. Zero values stand for the default, except in the first three fields.
type Settings struct {
	Name       string
	DataCentre string
	Seed       uint64 // must differ between any two starts of a process

	PollInterval         time.Duration // between two rounds of polling peers
	PollFanout           int           // number of peers polled in one round
	ReadInterval         time.Duration // between two reads of the index by a reader
	StartJitter          time.Duration // period over which the first reads of a fleet are spread
	StartPeers           int           // number of peers that must answer before a starting store serves
	StartTimeout         time.Duration // after which a starting store serves even if fewer have answered
	ConfirmationMaxAge   time.Duration // age above which a confirmation no longer counts
	PauseThreshold       time.Duration // time without a Tick above which the process counts as paused
	SettleTime           time.Duration // after a pause, during which an unconfirmed view is not used at all
	EscalateAfter        time.Duration // without news of the platform, after which every member reads it
	FetchTimeout         time.Duration // for the response to a FetchRequest or a Read
	StallTimeout         time.Duration // without progress, after which a starting store no longer waits for a version
	CandidateTimeout     time.Duration // without progress, after which fetching a version is abandoned
	CallsPerSecond       float64       // limit on calls to the platform
	ReadersPerDataCentre int
	MaxRejected          int           // limit on the rejected versions that are remembered
	MaxCandidates        int           // limit on the versions that are fetched at the same time
	ReturnRetention      time.Duration // how long a return to service is remembered
	ShardsPerRequest     int           // limit on the shards in one FetchRequest
	AnnounceFanout       int           // number of peers that are sent a Summary when a version comes into force
}

// withDefaults returns a copy of s with zero fields set to their defaults.
func (s Settings) withDefaults() Settings {
	setDefault(&s.PollInterval, 500*time.Millisecond)
	setDefault(&s.PollFanout, 2)
	setDefault(&s.ReadInterval, 2*time.Second)
	setDefault(&s.StartJitter, time.Second)
	setDefault(&s.StartPeers, 3)
	setDefault(&s.StartTimeout, 3*time.Second)
	setDefault(&s.ConfirmationMaxAge, 3*time.Second)
	setDefault(&s.PauseThreshold, time.Second)
	setDefault(&s.SettleTime, time.Second)
	setDefault(&s.EscalateAfter, 4*time.Second)
	setDefault(&s.FetchTimeout, 500*time.Millisecond)
	setDefault(&s.StallTimeout, 2*time.Second)
	setDefault(&s.CandidateTimeout, 5*time.Second)
	setDefault(&s.CallsPerSecond, 4)
	setDefault(&s.ReadersPerDataCentre, 3)
	setDefault(&s.MaxRejected, 16)
	setDefault(&s.MaxCandidates, 4)
	setDefault(&s.ReturnRetention, 10*time.Minute)
	setDefault(&s.ShardsPerRequest, 32)
	setDefault(&s.AnnounceFanout, 4)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
