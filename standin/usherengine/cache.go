package usherengine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphireusher/samphireusher/standin/ushermodel"
)

const (
	// maxCacheEvents bounds the events that are remembered.
	maxCacheEvents = 4096
	// prefixDivisor is the part of a prompt that counts as its cacheable prefix.
	prefixDivisor = 2
)

type (
	// cacheLog remembers the changes of the prefix cache until they are late enough to be shown.
	cacheLog struct {
		keys   map[uint64]string
		events []cacheEvent
	}

	cacheEvent struct {
		Seq      uint64 `json:"seq"`
		AtMS     int64  `json:"at_ms"`
		Kind     string `json:"kind"`
		CacheKey string `json:"cache_key"`
		Tokens   int    `json:"tokens"`
	}
)

// prefix returns the identity of a cache key; that of an empty one is zero.
func (c *cacheLog) prefix(key string) uint64 {
	if key == "" {
		return 0
	}
	hash := xxhash.Sum64String(key)
	if c.keys == nil {
		c.keys = map[uint64]string{}
	}
	c.keys[hash] = key
	return hash
}

func (c *cacheLog) note(changes []ushermodel.CacheEvent, now time.Time) {
	for _, change := range changes {
		kind := "evicted"
		if change.Stored {
			kind = "stored"
		}
		event := cacheEvent{change.Sequence, now.UnixMilli(), kind, c.keys[change.Prefix], change.Tokens}
		c.events = append(c.events, event)
	}
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// since returns the events after seq that are older than until, but loses one in each gap.
func (c *cacheLog) since(seq int64, until time.Time, gap int) []cacheEvent {
	events := []cacheEvent{}
	for _, event := range c.events {
		lost := gap > 0 && event.Seq%uint64(gap) == 0
		if event.Seq > uint64(seq) && event.AtMS <= until.UnixMilli() && !lost {
			events = append(events, event)
		}
	}
	return events
}
