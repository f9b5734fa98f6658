package ushermodel

import "slices"

type (
	// CacheEvent is one change of the prefix cache.
	CacheEvent struct {
		Sequence uint64 // counts from one in each incarnation; a gap is a lost event
		Prefix   uint64
		Tokens   int
		Stored   bool // false: evicted
	}

	// prefixCache keeps the most recently used prompt prefixes. Few fit, so a slice serves as its list.
	prefixCache struct {
		capacity int
		used     int
		entries  []prefixEntry // least recently used first
		events   []CacheEvent
		sequence uint64
	}

	prefixEntry struct {
		prefix uint64
		tokens int
	}
)

// CacheEvents returns the changes of the prefix cache since the last call.
func (e *Engine) CacheEvents() []CacheEvent {
	events := e.prefixes.events
	e.prefixes.events = nil
	return events
}

// use returns how many tokens of the prefix are cached and stores it if none are.
func (c *prefixCache) use(prefix uint64, tokens int) int {
	if prefix == 0 || tokens > c.capacity {
		return 0
	}
	if i := slices.IndexFunc(c.entries, func(e prefixEntry) bool { return e.prefix == prefix }); i >= 0 {
		entry := c.entries[i]
		c.entries = append(slices.Delete(c.entries, i, i+1), entry)
		return min(entry.tokens, tokens)
	}
	for c.used+tokens > c.capacity {
		oldest := c.entries[0]
		c.entries = slices.Delete(c.entries, 0, 1)
		c.used -= oldest.tokens
		c.record(oldest, false)
	}
	entry := prefixEntry{prefix: prefix, tokens: tokens}
	c.entries = append(c.entries, entry)
	c.used += tokens
	c.record(entry, true)
	return 0
}

func (c *prefixCache) record(entry prefixEntry, stored bool) {
	c.sequence++
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Prefix: entry.prefix, Tokens: entry.tokens, Stored: stored})
}
