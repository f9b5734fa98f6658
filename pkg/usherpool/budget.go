package usherpool

import "time"

type (
	// RetryBudget bounds this host's retries to one service, so that all hosts together stay within the operators'
	// limit in any window. Each host counts only its own requests and gets an equal share of the fixed allowance, so
	// hosts do not have to coordinate. The zero value allows no retries.
	RetryBudget struct {
		// Ratio is the number of retries allowed per request.
		Ratio float64
		// Allowance is the number of retries that all hosts together may send in addition.
		Allowance float64
		Window    time.Duration

		requests []time.Time
		retries  []time.Time
	}
)

// allowanceShare is the fraction of the allowance that is used. The rest covers hosts that do not know of each other
// yet.
const allowanceShare = 0.8

// RecordRequest counts a caller's request.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.requests = append(b.withinWindow(now, b.requests), now)
}

// AllowRetry reports whether a retry is within the budget when the allowance is divided among hosts, and counts it if
// so.
func (b *RetryBudget) AllowRetry(now time.Time, hosts int) bool {
	b.requests = b.withinWindow(now, b.requests)
	b.retries = b.withinWindow(now, b.retries)
	allowed := b.Ratio*float64(len(b.requests)) + allowanceShare*b.Allowance/float64(max(hosts, 1))
	if float64(len(b.retries)+1) > allowed {
		return false
	}
	b.retries = append(b.retries, now)
	return true
}

func (b *RetryBudget) withinWindow(now time.Time, times []time.Time) []time.Time {
	i := 0
	for i < len(times) && now.Sub(times[i]) > b.Window {
		i++
	}
	return times[i:]
}
