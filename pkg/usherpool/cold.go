package usherpool

import "time"

type (
	// bucket is a token bucket for the requests of this host to a cold target. It holds at most one request, so that
	// hosts which all see an idle cold target do not send it several each.
	bucket struct {
		level float64
		at    time.Time
	}
)

// newBucket returns a bucket that is filled to level. Hosts start at different levels, so that they do not all send
// their first request at once.
func newBucket(now time.Time, level float64) bucket {
	return bucket{level: level, at: now}
}

// ready tells whether a request may be sent.
func (b *bucket) ready(now time.Time, perSecond float64) bool {
	b.level = min(1, b.level+now.Sub(b.at).Seconds()*perSecond)
	b.at = now
	return b.level >= 1
}

func (b *bucket) take() { b.level-- }

func (p *Pool) isCold(now time.Time, t *target) bool {
	return now.Before(t.coldUntil) && p.coldRate(t) > 0
}

// coldRate returns how many requests a second this host may send to a cold target.
func (p *Pool) coldRate(t *target) float64 {
	s, _ := p.service(t.entry.Service)
	return s.ColdRate / float64(p.hosts)
}

// MarkCold records that a target reported that it stays cold for the duration left.
func (p *Pool) MarkCold(now time.Time, id string, left time.Duration) {
	if t, known := p.targets[id]; known {
		t.coldUntil = now.Add(left)
	}
}
