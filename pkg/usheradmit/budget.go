package usheradmit

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	retryHalfLife = 10 * time.Second
	retryMinimum  = 1.5 // allows one retry per half-life if there is too little traffic for a share of it
	quotaBurst    = time.Second
)

type (
	// RetryBudget limits retries to a share of the traffic. Share must be set; the zero value allows only about one retry per
	// half-life.
	RetryBudget struct {
		Share float64

		traffic, retries decayingSum
	}

	// Quota limits the request rate of each workspace to this scheduler's share of the published rate. The zero value sets
	// no limits.
	Quota struct {
		limiters map[string]*rate.Limiter
	}

	// decayingSum is a sum that decays exponentially with time.
	decayingSum struct {
		sum float64
		at  time.Time
	}
)

// RecordRequest counts one request that is not a retry.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.traffic.add(now, 1, retryHalfLife)
}

// Take takes one retry from the budget and returns true. If the budget is used up, it takes nothing and returns false and
// the time until a retry is allowed.
func (b *RetryBudget) Take(now time.Time) (time.Duration, bool) {
	allowed := b.Share * (b.traffic.value(now, retryHalfLife) + b.retries.value(now, retryHalfLife))
	if used := b.retries.value(now, retryHalfLife); used+1 > max(allowed, retryMinimum) {
		return time.Duration(math.Log2((used+1)/max(allowed, retryMinimum)) * float64(retryHalfLife)), false
	}
	b.retries.add(now, 1, retryHalfLife)
	return 0, true
}

// Set limits a workspace to this scheduler's share, between zero and one, of a rate of requests per second. A rate of zero
// or less removes the limit.
func (q *Quota) Set(now time.Time, workspace string, perSecond, share float64) {
	if perSecond <= 0 {
		delete(q.limiters, workspace)
		return
	}
	limit := perSecond * share
	burst := max(1, int(math.Ceil(limit*quotaBurst.Seconds())))
	if limiter, known := q.limiters[workspace]; known {
		limiter.SetLimitAt(now, rate.Limit(limit))
		limiter.SetBurstAt(now, burst)
		return
	}
	if q.limiters == nil {
		q.limiters = make(map[string]*rate.Limiter)
	}
	q.limiters[workspace] = rate.NewLimiter(rate.Limit(limit), burst)
}

// Take takes one request from the workspace's quota and returns true. If the quota is used up, it takes nothing and
// returns false and the time until a request is allowed.
func (q *Quota) Take(now time.Time, workspace string) (time.Duration, bool) {
	limiter, bounded := q.limiters[workspace]
	if !bounded {
		return 0, true
	}
	reservation := limiter.ReserveN(now, 1)
	if delay := reservation.DelayFrom(now); delay > 0 {
		reservation.CancelAt(now)
		return delay, false
	}
	return 0, true
}

func (d *decayingSum) value(now time.Time, halfLife time.Duration) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.sum * math.Exp2(-now.Sub(d.at).Seconds()/halfLife.Seconds())
}

func (d *decayingSum) add(now time.Time, amount float64, halfLife time.Duration) {
	d.sum = d.value(now, halfLife) + amount
	d.at = now
}

// rate returns the amount added per second, assuming that the sum grows at a constant rate.
func (d *decayingSum) rate(now time.Time, halfLife time.Duration) float64 {
	return d.value(now, halfLife) * math.Ln2 / halfLife.Seconds()
}
