package usherpool

import "time"

type (
	// RetryBudget bounds this host's retries to one service, so that all hosts together stay within what operators
	// allow in any window. Each host keeps to its own requests and an even part of the fixed allowance; nothing has to
	// be agreed. The zero value allows nothing.
	RetryBudget struct {
		// Ratio is how many repeats are allowed for each request.
		Ratio float64
		// Allowance is how many repeats all hosts together may send beyond that.
		Allowance float64
		Window    time.Duration

		requests []time.Time
		repeats  []time.Time
	}
)

// budgetShare is the part of the allowance that is used. The rest covers hosts that do not know of each other yet.
const budgetShare = 0.8

// RecordRequest counts a caller's request.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.requests = append(b.expired(now, b.requests), now)
}

// AllowRetry reports whether a retry is within the budget when it is divided among hosts, and counts it if so.
func (b *RetryBudget) AllowRetry(now time.Time, hosts int) bool {
	b.requests = b.expired(now, b.requests)
	b.repeats = b.expired(now, b.repeats)
	allowed := b.Ratio*float64(len(b.requests)) + budgetShare*b.Allowance/float64(max(hosts, 1))
	if float64(len(b.repeats)+1) > allowed {
		return false
	}
	b.repeats = append(b.repeats, now)
	return true
}

func (b *RetryBudget) expired(now time.Time, times []time.Time) []time.Time {
	i := 0
	for i < len(times) && now.Sub(times[i]) > b.Window {
		i++
	}
	return times[i:]
}
