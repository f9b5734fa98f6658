package usheradmit

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	retryHalfLife = 10 * time.Second
	retryMinimum  = 1.5 // allows one retry each half-life when there is hardly any traffic to take a share of
	quotaBurst    = time.Second
)

type (
	// RetryBudget bounds retries to a share of the traffic. The zero value allows a single retry now and then; set Share.
	RetryBudget struct {
		Share float64

		traffic, retries decayed
	}

	// Quota bounds the rate of each workspace to this scheduler's share of what is published for it.
	// The zero value bounds nothing.
	Quota struct {
		limiters map[string]*rate.Limiter
	}

	// decayed is a sum that halves with time.
	decayed struct {
		sum float64
		at  time.Time
	}
)

// Count counts one request that is not a retry.
func (b *RetryBudget) Count(now time.Time) {
	b.traffic.add(now, 1, retryHalfLife)
}

// Take takes one retry from the budget, or reports that there is none left and when there will be. A refused one takes nothing.
func (b *RetryBudget) Take(now time.Time) (time.Duration, bool) {
	allowed := b.Share * (b.traffic.value(now, retryHalfLife) + b.retries.value(now, retryHalfLife))
	if used := b.retries.value(now, retryHalfLife); used+1 > max(allowed, retryMinimum) {
		return time.Duration(math.Log2((used+1)/max(allowed, retryMinimum)) * float64(retryHalfLife)), false
	}
	b.retries.add(now, 1, retryHalfLife)
	return 0, true
}

// Set gives a workspace a rate of requests a second, of which this scheduler has a share between zero and one.
// A rate of zero or less bounds nothing.
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

// Take takes one request from the workspace's quota, or reports that there is none left and when there will be.
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

func (d *decayed) value(now time.Time, halfLife time.Duration) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.sum * math.Exp2(-now.Sub(d.at).Seconds()/halfLife.Seconds())
}

func (d *decayed) add(now time.Time, amount float64, halfLife time.Duration) {
	d.sum = d.value(now, halfLife) + amount
	d.at = now
}

// rate returns the amount a second of a sum that grows steadily.
func (d *decayed) rate(now time.Time, halfLife time.Duration) float64 {
	return d.value(now, halfLife) * math.Ln2 / halfLife.Seconds()
}
