package ushermodel

import "slices"

type (
	// CacheEvent is a change of the prefix cache.
	CacheEvent struct {
		Sequence uint64 // starts at one in each incarnation; a gap means that an event was lost
		Prefix   uint64
		Tokens   int
		Stored   bool // false: evicted
	}

	// prefixCache is an LRU cache of prompt prefixes. It has few entries, so a slice is used instead of a linked list.
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

// CacheEvents returns the changes of the prefix cache since the previous call.
func (e *Engine) CacheEvents() []CacheEvent {
	events := e.prefixes.events
	e.prefixes.events = nil
	return events
}

// lookupOrStore returns the number of cached tokens of the prefix. If none are cached, it stores the prefix and evicts
// the least recently used ones as needed.
func (c *prefixCache) lookupOrStore(prefix uint64, tokens int) int {
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
		c.addEvent(oldest, false)
	}
	entry := prefixEntry{prefix: prefix, tokens: tokens}
	c.entries = append(c.entries, entry)
	c.used += tokens
	c.addEvent(entry, true)
	return 0
}

func (c *prefixCache) addEvent(entry prefixEntry, stored bool) {
	c.sequence++
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Prefix: entry.prefix, Tokens: entry.tokens, Stored: stored})
}
