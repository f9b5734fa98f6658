package usherpool

import "time"

type (
	// tokenBucket limits the rate of this host's requests to a cold target. Its capacity is one request, so that hosts
	// that all see an idle cold target do not send it several requests each.
	tokenBucket struct {
		level    float64
		refilled time.Time
	}
)

// newTokenBucket returns a bucket filled to level. Hosts start at different levels, so that they do not all send their
// first request at the same time.
func newTokenBucket(now time.Time, level float64) tokenBucket {
	return tokenBucket{level: level, refilled: now}
}

// ready refills the bucket and reports whether a request may be sent.
func (b *tokenBucket) ready(now time.Time, perSecond float64) bool {
	b.level = min(1, b.level+now.Sub(b.refilled).Seconds()*perSecond)
	b.refilled = now
	return b.level >= 1
}

func (b *tokenBucket) take() { b.level-- }

func (p *Pool) isCold(now time.Time, t *target) bool {
	return now.Before(t.coldUntil) && p.coldRate(t) > 0
}

// coldRate returns how many requests per second this host may send to a cold target.
func (p *Pool) coldRate(t *target) float64 {
	return t.service.ColdRate / float64(p.hosts)
}

// MarkCold records that a target reported that it stays cold for the remaining time.
func (p *Pool) MarkCold(now time.Time, id string, remaining time.Duration) {
	if t, known := p.targets[id]; known {
		t.coldUntil = now.Add(remaining)
	}
}
