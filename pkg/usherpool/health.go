package usherpool

import (
	"math"
	"strconv"
	"time"
)

const (
	// Answered is a complete answer of the target, whatever its status below 500.
	Answered Result = iota
	// Failed is a complete answer with a status of 500 or above that the target made itself.
	Failed
	// Full is a refusal by the target that says it did not run the request.
	Full
	// Unreachable is a connection that could not be opened.
	Unreachable
	// Broken is a connection that ended before the answer was complete, or an answer that was none.
	Broken
	// TimedOut is a request that got no answer in time.
	TimedOut
	// Replaced is an answer that says the address belongs to another target now.
	Replaced

	// failureMemory is how fast the failure rate of a target fades: about the length of the disturbances to detect.
	failureMemory = 3 * time.Second
	// failureWeight is what one result adds to the failure rate.
	failureWeight = 0.15
	// fullPause is how long a full target is passed over: a few steps of an engine.
	fullPause = 60 * time.Millisecond
	// firstPause is how long a target is passed over after a first failure to reach it. It doubles with each further
	// one up to longestPause.
	firstPause   = 250 * time.Millisecond
	longestPause = 4 * time.Second
	// replacedPause keeps work from an address that has a new owner until the entry is removed.
	replacedPause = 30 * time.Second
)

type (
	// Result is how one send to a target ended.
	Result uint8

	// health is what this host's own sends tell of a target.
	health struct {
		rate         float64
		at           time.Time
		unreachable  int
		blockedUntil time.Time
	}
)

// Observe takes in how a send to a target ended.
func (p *Pool) Observe(now time.Time, id string, r Result) {
	if t, known := p.targets[id]; known {
		t.health.observe(now, r)
	}
}

func (h *health) observe(now time.Time, r Result) {
	rate := h.failureRate(now)
	h.at = now
	switch r {
	case Answered:
		h.rate = rate * (1 - failureWeight)
		h.unreachable = 0
	case Full:
		h.rate = rate
		h.block(now, fullPause)
	case Replaced:
		h.block(now, replacedPause)
	case Failed, Broken:
		h.rate = rate + (1-rate)*failureWeight
	case Unreachable, TimedOut:
		h.rate = rate + (1-rate)*2*failureWeight
		h.block(now, min(firstPause<<min(h.unreachable, 8), longestPause))
		h.unreachable++
	}
}

func (h *health) block(now time.Time, pause time.Duration) {
	if until := now.Add(pause); until.After(h.blockedUntil) {
		h.blockedUntil = until
	}
}

func (h *health) blocked(now time.Time) bool { return now.Before(h.blockedUntil) }

// failureRate returns the share of failures, which fades with time so that a target is tried again.
func (h *health) failureRate(now time.Time) float64 {
	return h.rate * math.Exp(-float64(now.Sub(h.at))/float64(failureMemory))
}

func percent(share float64) string {
	return strconv.Itoa(int(math.Round(share*100))) + "%"
}
