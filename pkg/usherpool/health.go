package usherpool

import (
	"math"
	"strconv"
	"time"
)

const (
	// Answered is a complete response with a status below 500.
	Answered Result = iota
	// Failed is a complete response with a status of 500 or above that comes from the target itself.
	Failed
	// Full is a rejection by the target, which states that it did not execute the request.
	Full
	// Unreachable is a connection that could not be opened.
	Unreachable
	// Broken is a connection that closed before the response was complete, or an invalid response.
	Broken
	// TimedOut is a request that got no response in time.
	TimedOut
	// Withdrawn is a request that was not sent, as its target left or asked for a rest after it was chosen.
	Withdrawn
	// Replaced is a response stating that the address now belongs to another target.
	Replaced

	// failureDecay is the time constant with which a target's failure rate decays. It is about the length of the
	// disturbances to detect.
	failureDecay = 3 * time.Second
	// failureWeight is the weight of a single result in the failure rate.
	failureWeight = 0.15
	// fullBackoff is how long a full target is skipped: a few engine steps.
	fullBackoff = 60 * time.Millisecond
	// initialBackoff is how long a target is skipped after the first failure to reach it. The time doubles with each
	// further failure, up to maxBackoff.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// replacedBackoff is how long an address with a new owner is skipped. It lasts until the entry is removed.
	replacedBackoff = 30 * time.Second
)

type (
	// Result is the outcome of one request sent to a target.
	Result uint8

	// health is what this host learned of a target from its own requests.
	health struct {
		rate             float64
		updated          time.Time
		timesUnreachable int
		blockedUntil     time.Time
	}
)

// RecordResult records the outcome of a request sent to a target.
func (p *Pool) RecordResult(now time.Time, id string, r Result) {
	if t, known := p.targets[id]; known {
		t.health.record(now, r)
		if r == Answered {
			t.rest.answered(now)
		}
	}
}

func (h *health) record(now time.Time, r Result) {
	rate := h.failureRate(now)
	h.updated = now
	switch r {
	case Answered:
		h.rate = rate * (1 - failureWeight)
		h.timesUnreachable = 0
	case Full:
		h.rate = rate
		h.block(now, fullBackoff)
	case Replaced:
		h.block(now, replacedBackoff)
	case Failed, Broken:
		h.rate = rate + (1-rate)*failureWeight
	case Unreachable, TimedOut:
		h.rate = rate + (1-rate)*2*failureWeight
		h.block(now, min(initialBackoff<<min(h.timesUnreachable, 8), maxBackoff))
		h.timesUnreachable++
	}
}

func (h *health) block(now time.Time, pause time.Duration) {
	if until := now.Add(pause); until.After(h.blockedUntil) {
		h.blockedUntil = until
	}
}

func (h *health) blocked(now time.Time) bool { return now.Before(h.blockedUntil) }

// failureRate returns the fraction of failures. It decays over time so that a failing target is tried again.
func (h *health) failureRate(now time.Time) float64 {
	return h.rate * math.Exp(-float64(now.Sub(h.updated))/float64(failureDecay))
}

func percent(share float64) string {
	return strconv.Itoa(int(math.Round(share*100))) + "%"
}
