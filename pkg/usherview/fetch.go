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
	// candidate is a version higher than the one in force that is being fetched.
	candidate struct {
		version          usherconfig.Version
		index            []byte // nil until received
		missing          []usherconfig.Shard
		shards           map[usherconfig.Digest][]byte
		sources          []string // peers where the version is in force
		onPlatform       bool     // read from the platform
		progressAt       time.Time
		createdAt        time.Time
		indexRequestedAt map[string]time.Time             // by peer, for the index
		shardRequestedAt map[usherconfig.Digest]time.Time // by shard
	}

	// Rejected is a version that failed verification, and why.
	Rejected struct {
		Version string    `json:"version"`
		Reason  string    `json:"reason"`
		At      time.Time `json:"at"`

		version usherconfig.Version
	}
)

// addSource records that a version is in force at a peer.
func (s *Store) addSource(now time.Time, version usherconfig.Version, source string) {
	if c := s.candidate(now, version); c != nil && source != Platform && !slices.Contains(c.sources, source) {
		c.sources = append(c.sources, source)
	}
}

// candidate returns the candidate for a version, adding one if needed. It returns nil if the version is not newer than
// the one in force, was rejected, or has a lower priority than MaxCandidates others.
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
		version: version, progressAt: now, createdAt: now, shards: map[usherconfig.Digest][]byte{},
		indexRequestedAt: map[string]time.Time{}, shardRequestedAt: map[usherconfig.Digest]time.Time{},
	}
	s.candidates = append(s.candidates, c)
	slices.SortStableFunc(s.candidates, func(a, b *candidate) int { return b.version.Compare(a.version) })
	if len(s.candidates) > s.settings.MaxCandidates {
		lowest := s.lowestPriority()
		s.candidates = slices.DeleteFunc(s.candidates, func(other *candidate) bool { return other == lowest })
		if lowest == c {
			return nil
		}
	}
	return c
}

// lowestPriority returns the lowest candidate whose index is missing, or the lowest of all if none is.
func (s *Store) lowestPriority() *candidate {
	for _, c := range slices.Backward(s.candidates) {
		if c.index == nil {
			return c
		}
	}
	return s.candidates[len(s.candidates)-1]
}

// receiveIndex starts fetching the shards of an index.
func (s *Store) receiveIndex(now time.Time, index usherconfig.Index, data []byte, source string) Effects {
	c := s.candidate(now, index.Version)
	if c == nil {
		return Effects{}
	}
	c.onPlatform = c.onPlatform || source == Platform
	if source != Platform {
		s.addSource(now, index.Version, source)
	}
	if c.index != nil {
		return Effects{}
	}
	c.index, c.progressAt = data, now
	c.missing = index.Shards()
	return s.adoptIfComplete(now, c)
}

// receiveShards adds shards to the candidates that are missing them.
func (s *Store) receiveShards(now time.Time, shards [][]byte) Effects {
	var effects Effects
	for _, data := range shards {
		digest := usherconfig.DigestOf(data)
		used := false
		for _, c := range slices.Clone(s.candidates) {
			if c.isMissing(digest) {
				c.shards[digest], c.progressAt, used = bytes.Clone(data), now, true
				effects.add(s.adoptIfComplete(now, c))
			}
		}
		if !used {
			s.counts.UnusedShards++
		}
	}
	return effects
}

// adoptIfComplete puts a candidate into force if its index and all its shards have been received.
func (s *Store) adoptIfComplete(now time.Time, c *candidate) Effects {
	c.missing = slices.DeleteFunc(c.missing, func(shard usherconfig.Shard) bool {
		if data, inForce := s.view.Shard(shard.Digest); inForce {
			c.shards[shard.Digest] = data // the view in force may have changed by the time all shards are present
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

// adopt puts a view into force and announces it to a few peers.
func (s *Store) adopt(now time.Time, view usherconfig.View) Effects {
	if !s.newer(view.Version(), s.Version()) {
		return Effects{}
	}
	s.recordReturns(now, view.Snapshot())
	s.view, s.adoptedAt = view, now
	s.counts.Adopted++
	s.applyPendingConfirmations()
	s.candidates = slices.DeleteFunc(s.candidates, func(c *candidate) bool { return !s.newer(c.version, s.Version()) })
	var effects Effects
	for _, peer := range s.randomPeers(s.settings.AnnounceFanout) {
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
	s.applyPendingConfirmations()
}

func (s *Store) isRejected(version usherconfig.Version) bool {
	return slices.ContainsFunc(s.rejected, func(r Rejected) bool { return r.version == version })
}

// fetchMissing requests missing indexes and shards, and abandons versions without progress.
func (s *Store) fetchMissing(now time.Time) Effects {
	s.candidates = slices.DeleteFunc(s.candidates, func(c *candidate) bool {
		return now.Sub(c.progressAt) > s.settings.CandidateTimeout
	})
	var effects Effects
	for _, c := range slices.Clone(s.candidates) {
		if c.index == nil {
			effects.add(s.fetchIndex(now, c))
			continue
		}
		effects.add(s.adoptIfComplete(now, c)) // a version adopted in the meantime may contain the remaining shards
		effects.add(s.fetchFromPeer(now, c))
		effects.add(s.fetchFromPlatform(now, c))
	}
	return effects
}

func (s *Store) fetchIndex(now time.Time, c *candidate) Effects {
	for _, peer := range c.sources {
		if now.Sub(c.indexRequestedAt[peer]) < s.settings.FetchTimeout {
			return Effects{}
		}
	}
	if len(c.sources) == 0 {
		return Effects{}
	}
	peer := c.sources[s.random.IntN(len(c.sources))]
	c.indexRequestedAt[peer] = now
	return Effects{Send: []Message{{From: s.settings.Name, To: peer, FetchRequest: &FetchRequest{Index: true}}}}
}

// fetchFromPeer requests missing shards from a peer that has the version in force or, if none is known, from a random
// peer, which may be fetching the same version.
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
		if len(digests) < s.settings.ShardsPerRequest && now.Sub(c.shardRequestedAt[digest]) >= s.settings.FetchTimeout {
			c.shardRequestedAt[digest] = now
			digests = append(digests, digest)
		}
	}
	if len(digests) == 0 {
		return Effects{}
	}
	peer := peers[s.random.IntN(len(peers))]
	return Effects{Send: []Message{{From: s.settings.Name, To: peer, FetchRequest: &FetchRequest{Shards: digests}}}}
}

// fetchFromPlatform reads missing shards within the rate limit, if this store is a reader or no peer has the version.
// Each reader starts with different shards, so that together the readers cover all shards sooner.
func (s *Store) fetchFromPlatform(now time.Time, c *candidate) Effects {
	noSources := len(c.sources) == 0 && now.Sub(c.createdAt) > s.settings.FetchTimeout
	if !c.onPlatform || !s.reader && !noSources || s.readLimiter.TokensAt(now) < 1 {
		return Effects{}
	}
	var effects Effects
	for _, shard := range s.inReaderOrder(c.missing) {
		if s.isReading(shard.Key) {
			continue
		}
		step := s.readKey(now, shard.Key)
		if len(step.Reads) == 0 {
			break
		}
		effects.add(step)
	}
	return effects
}

func (s *Store) inReaderOrder(shards []usherconfig.Shard) []usherconfig.Shard {
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

// shard returns a shard from the view in force or from a candidate.
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

func (c *candidate) isMissing(digest usherconfig.Digest) bool {
	return slices.ContainsFunc(c.missing, func(shard usherconfig.Shard) bool { return shard.Digest == digest })
}
