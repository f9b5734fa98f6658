package ushershare

import "time"

const (
	// holdTime is how long a level of pressure lasts at least before it falls by one. Each change makes some callers drop or
	// open connections.
	holdTime = 2 * time.Second
	// minBusy is the number of requests in progress below which a host is not under pressure because of them: the parts of few
	// requests differ by chance.
	minBusy = 16
)

// The signs from which on a host is at each level of pressure. With delays that are distributed exponentially around the last
// of them, one event of a stream in twenty is passed on more than 120 ms late.
var (
	delayLevels  = [MaxPressure]time.Duration{5 * time.Millisecond, 15 * time.Millisecond, 40 * time.Millisecond}
	memoryLevels = [MaxPressure]float64{0.75, 0.85, 0.93}
	busyLevels   = [MaxPressure]float64{2, 4, 8}
)

type (
	// Signs show how close a host is to what it can carry.
	Signs struct {
		// Delay is the mean time by which timers have fired late: a process without processor time left is woken late.
		Delay time.Duration `json:"delay_ns"`
		// Memory is the part of the allowed memory that is in use; zero if there is no limit.
		Memory float64 `json:"memory"`
		// InProgress is the number of requests in progress at this host, and Part how many of the fleet's would be if they were
		// divided by capacity.
		InProgress int     `json:"in_progress"`
		Part       float64 `json:"part"`
	}

	// Gauge tells the level of pressure of a host. The zero value is a host without pressure. It is not safe for concurrent use.
	Gauge struct {
		level int
		// seenAt is when signs of the current level, or of a higher one, were last seen.
		seenAt time.Time
	}
)

// Update processes new signs and returns the level. A level rises at once, and falls by one after some time without its signs.
func (g *Gauge) Update(now time.Time, s Signs) int {
	switch level := s.level(); {
	case level >= g.level:
		g.level, g.seenAt = level, now
	case now.Sub(g.seenAt) >= holdTime:
		g.level, g.seenAt = g.level-1, now
	}
	return g.level
}

func (s Signs) level() int {
	level := 0
	for i := range MaxPressure {
		busy := s.InProgress >= minBusy && float64(s.InProgress) >= busyLevels[i]*s.Part
		if s.Delay >= delayLevels[i] || s.Memory >= memoryLevels[i] || busy {
			level = i + 1
		}
	}
	return level
}

// Part returns the part of the fleet's capacity that a host has, or zero if it is not among the hosts.
func Part(hosts []Host, name string) float64 {
	if len(hosts) == 0 {
		return 0
	}
	candidates, _ := partition(hosts, "")
	own, total := 0.0, 0.0
	for i, share := range shares(candidates) {
		total += share
		if candidates[i].Name == name {
			own = share
		}
	}
	return own / total
}
