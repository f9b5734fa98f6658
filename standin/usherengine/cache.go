package usherengine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphireusher/samphireusher/standin/ushermodel"
)

const (
	// maxCacheEvents is the maximum number of events that are kept.
	maxCacheEvents = 4096
	// prefixDivisor sets the length of the cacheable prefix: one half of the prompt.
	prefixDivisor = 2
)

type (
	// cacheLog keeps the changes of the prefix cache, so that they can be reported with a delay.
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

// register returns the hash of a cache key and keeps the key for later events. The hash of an empty key is zero.
func (c *cacheLog) register(key string) uint64 {
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

func (c *cacheLog) record(changes []ushermodel.CacheEvent, now time.Time) {
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

// since returns the events after seq that happened no later than until, without those whose sequence number is a
// multiple of lossInterval.
func (c *cacheLog) since(seq int64, until time.Time, lossInterval int) []cacheEvent {
	events := []cacheEvent{}
	for _, event := range c.events {
		lost := lossInterval > 0 && event.Seq%uint64(lossInterval) == 0
		if event.Seq > uint64(seq) && event.AtMS <= until.UnixMilli() && !lost {
			events = append(events, event)
		}
	}
	return events
}
