package usherview

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
)

type (
	// candidate is a version above the one in force, as far as it has been fetched.
	candidate struct {
		version    usherconfig.Version
		index      []byte // nil until it is known
		missing    []usherconfig.Shard
		shards     map[usherconfig.Digest][]byte
		sources    []string // peers at which the version is in force
		published  bool     // the platform has shown it
		progressAt time.Time
		firstAt    time.Time
		askedAt    map[string]time.Time             // by peer, for the index
		wantedAt   map[usherconfig.Digest]time.Time // by shard
	}

	// Rejected is a version that was refused, and why.
	Rejected struct {
		Version string    `json:"version"`
		Reason  string    `json:"reason"`
		At      time.Time `json:"at"`

		version usherconfig.Version
	}
)

// notice remembers that a version is in force at a peer.
func (s *Store) notice(now time.Time, version usherconfig.Version, source string) {
	if c := s.candidate(now, version); c != nil && source != Platform && !slices.Contains(c.sources, source) {
		c.sources = append(c.sources, source)
	}
}

// candidate returns what is being fetched of a version; nil if the version is not wanted.
func (s *Store) candidate(now time.Time, version usherconfig.Version) *candidate {
	if !s.newer(version, s.Version()) || s.isRejected(version) {
		return nil
	}
	for _, c := range s.candidates {
		if c.version == version {
			return c
		}
	}
	c := &candidate{
		version: version, progressAt: now, firstAt: now, shards: map[usherconfig.Digest][]byte{},
		askedAt: map[string]time.Time{}, wantedAt: map[usherconfig.Digest]time.Time{},
	}
	s.candidates = append(s.candidates, c)
	slices.SortStableFunc(s.candidates, func(a, b *candidate) int { return b.version.Compare(a.version) })
	if len(s.candidates) > s.settings.MaxCandidates {
		least := s.leastUseful()
		s.candidates = slices.DeleteFunc(s.candidates, func(other *candidate) bool { return other == least })
		if least == c {
			return nil
		}
	}
	return c
}

// leastUseful returns the lowest candidate whose index is not known, or else the lowest.
func (s *Store) leastUseful() *candidate {
	for _, c := range slices.Backward(s.candidates) {
		if c.index == nil {
			return c
		}
	}
	return s.candidates[len(s.candidates)-1]
}

// learnIndex begins to fetch the shards of an index.
func (s *Store) learnIndex(now time.Time, index usherconfig.Index, data []byte, source string) Effects {
	c := s.candidate(now, index.Version)
	if c == nil {
		return Effects{}
	}
	c.published = c.published || source == Platform
	if source != Platform {
		s.notice(now, index.Version, source)
	}
	if c.index != nil {
		return Effects{}
	}
	c.index, c.progressAt = data, now
	c.missing = index.Shards()
	return s.complete(now, c)
}

// receiveShards gives shards to the candidates that lack them.
func (s *Store) receiveShards(now time.Time, shards [][]byte) Effects {
	var effects Effects
	for _, data := range shards {
		digest := usherconfig.DigestOf(data)
		used := false
		for _, c := range slices.Clone(s.candidates) {
			if c.lacks(digest) {
				c.shards[digest], c.progressAt, used = bytes.Clone(data), now, true
				effects.add(s.complete(now, c))
			}
		}
		if !used {
			s.counts.UnusedShards++
		}
	}
	return effects
}

// complete puts a candidate in force if nothing of it is missing.
func (s *Store) complete(now time.Time, c *candidate) Effects {
	c.missing = slices.DeleteFunc(c.missing, func(shard usherconfig.Shard) bool {
		if data, inForce := s.view.Shard(shard.Digest); inForce {
			c.shards[shard.Digest] = data // the view in force may be another when all is there
		}
		_, fetched := c.shards[shard.Digest]
		return fetched
	})
	if c.index == nil || len(c.missing) > 0 {
		return Effects{}
	}
	view, err := s.view.Advance(c.index, c.shards)
	if err != nil {
		s.reject(now, c.version, err)
		return Effects{}
	}
	return s.adopt(now, view)
}

// adopt puts a view in force and tells a few peers.
func (s *Store) adopt(now time.Time, view usherconfig.View) Effects {
	if !s.newer(view.Version(), s.Version()) {
		return Effects{}
	}
	s.noteReturns(now, view.Snapshot())
	s.view, s.adoptedAt = view, now
	s.counts.Adopted++
	s.confirmAhead()
	s.candidates = slices.DeleteFunc(s.candidates, func(c *candidate) bool { return !s.newer(c.version, s.Version()) })
	var effects Effects
	for _, peer := range s.randomPeers(s.settings.SummariesOnChange) {
		effects.Send = append(effects.Send, s.summary(now, peer, 0))
	}
	return effects
}

func (s *Store) reject(now time.Time, version usherconfig.Version, err error) {
	s.candidates = slices.DeleteFunc(s.candidates, func(c *candidate) bool { return c.version == version })
	if s.isRejected(version) {
		return
	}
	r := Rejected{Version: version.String(), Reason: err.Error(), At: now, version: version}
	s.rejected = append(s.rejected, r)
	if len(s.rejected) > s.settings.MaxRejected {
		s.rejected = slices.Delete(s.rejected, 0, 1)
	}
	s.confirmAhead()
}

func (s *Store) isRejected(version usherconfig.Version) bool {
	return slices.ContainsFunc(s.rejected, func(r Rejected) bool { return r.version == version })
}

// fetch asks for what is missing, and gives up versions that nobody brings.
func (s *Store) fetch(now time.Time) Effects {
	s.candidates = slices.DeleteFunc(s.candidates, func(c *candidate) bool {
		return now.Sub(c.progressAt) > s.settings.CandidateTimeout
	})
	var effects Effects
	for _, c := range slices.Clone(s.candidates) {
		if c.index == nil {
			effects.add(s.fetchIndex(now, c))
			continue
		}
		effects.add(s.complete(now, c)) // a version adopted meanwhile may have brought the rest
		effects.add(s.fetchFromPeer(now, c))
		effects.add(s.fetchFromPlatform(now, c))
	}
	return effects
}

func (s *Store) fetchIndex(now time.Time, c *candidate) Effects {
	for _, peer := range c.sources {
		if now.Sub(c.askedAt[peer]) < s.settings.FetchTimeout {
			return Effects{}
		}
	}
	if len(c.sources) == 0 {
		return Effects{}
	}
	peer := c.sources[s.random.IntN(len(c.sources))]
	c.askedAt[peer] = now
	return Effects{Send: []Message{{From: s.settings.Name, To: peer, Want: &FetchRequest{Index: true}}}}
}

// fetchFromPeer asks one peer for some missing shards: one that has the version, or any that may be fetching it too.
func (s *Store) fetchFromPeer(now time.Time, c *candidate) Effects {
	peers := c.sources
	if len(peers) == 0 {
		peers = s.randomPeers(1)
	}
	if len(peers) == 0 {
		return Effects{}
	}
	var digests []usherconfig.Digest
	start := 0
	if len(c.missing) > 0 {
		start = s.random.IntN(len(c.missing))
	}
	for i := range c.missing {
		digest := c.missing[(start+i)%len(c.missing)].Digest
		if len(digests) < s.settings.ShardsPerWant && now.Sub(c.wantedAt[digest]) >= s.settings.FetchTimeout {
			c.wantedAt[digest] = now
			digests = append(digests, digest)
		}
	}
	if len(digests) == 0 {
		return Effects{}
	}
	peer := peers[s.random.IntN(len(peers))]
	return Effects{Send: []Message{{From: s.settings.Name, To: peer, Want: &FetchRequest{Shards: digests}}}}
}

// fetchFromPlatform reads missing shards within the budget, if this store is a reader or no peer has the version.
// Each reader begins with other shards, so that together they soon have them all.
func (s *Store) fetchFromPlatform(now time.Time, c *candidate) Effects {
	lonely := len(c.sources) == 0 && now.Sub(c.firstAt) > s.settings.FetchTimeout
	if !c.published || !s.reader && !lonely || s.budget.TokensAt(now) < 1 {
		return Effects{}
	}
	var effects Effects
	for _, shard := range s.inOwnOrder(c.missing) {
		if s.isReading(shard.Key) {
			continue
		}
		step := s.read(now, shard.Key)
		if len(step.Reads) == 0 {
			break
		}
		effects.add(step)
	}
	return effects
}

func (s *Store) inOwnOrder(shards []usherconfig.Shard) []usherconfig.Shard {
	score := func(shard usherconfig.Shard) uint64 { return xxhash.Sum64String(s.settings.Name + " " + shard.Key) }
	return slices.SortedFunc(slices.Values(shards), func(a, b usherconfig.Shard) int {
		return cmp.Compare(score(a), score(b))
	})
}

func (s *Store) isReading(key string) bool {
	for _, r := range s.reads {
		if r.key == key {
			return true
		}
	}
	return false
}

// shard returns a shard of the view in force or of a candidate.
func (s *Store) shard(digest usherconfig.Digest) ([]byte, bool) {
	if data, found := s.view.Shard(digest); found {
		return data, true
	}
	for _, c := range s.candidates {
		if data, found := c.shards[digest]; found {
			return data, true
		}
	}
	return nil, false
}

func (c *candidate) lacks(digest usherconfig.Digest) bool {
	return slices.ContainsFunc(c.missing, func(shard usherconfig.Shard) bool { return shard.Digest == digest })
}
