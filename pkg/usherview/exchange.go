package usherview

import (
	"bytes"
	"slices"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
)

// Receive handles a message of another store.
func (s *Store) Receive(now time.Time, m Message) Effects {
	s.noticePause(now)
	var effects Effects
	switch {
	case m.Poll != nil:
		s.notice(now, m.Poll.Version, m.From)
		effects.Send = append(effects.Send, s.summary(now, m.From, m.Poll.Sequence))
	case m.Summary != nil:
		s.receiveSummary(now, m.From, *m.Summary)
	case m.Want != nil:
		effects.Send = append(effects.Send, s.answer(m.From, *m.Want))
	case m.Have != nil:
		effects.add(s.receiveHave(now, m.From, *m.Have))
	}
	effects.add(s.fetch(now))
	s.evaluate(now)
	return effects
}

// ReadDone handles the platform's answer to a Read.
func (s *Store) ReadDone(now time.Time, id uint64, data []byte, err error) Effects {
	s.noticePause(now)
	r, found := s.reads[id]
	if !found {
		return Effects{}
	}
	delete(s.reads, id)
	var effects Effects
	switch {
	case err != nil:
		s.counts.FailedReads++
	case r.key == usherconfig.IndexKey:
		effects.add(s.receivePlatformIndex(now, r.at, data))
	default:
		effects.add(s.receiveShards(now, [][]byte{data}))
	}
	effects.add(s.fetch(now))
	s.evaluate(now)
	return effects
}

// pollDue polls a few peers, and while starting all that have not answered.
func (s *Store) pollDue(now time.Time) Effects {
	if now.Before(s.nextPoll) || len(s.members) == 0 {
		return Effects{}
	}
	s.nextPoll = now.Add(s.settings.PollInterval)
	fanout := s.settings.PollFanout
	if s.machine.Is(Starting) {
		s.nextPoll = now.Add(s.settings.PollInterval / 4)
		fanout = max(fanout, s.settings.StartPeers)
	}
	var effects Effects
	for _, peer := range s.peersToPoll(fanout) {
		s.sequence++
		s.polls[s.sequence] = poll{peer: peer, at: now}
		body := &Poll{Sequence: s.sequence, Version: s.Version()}
		effects.Send = append(effects.Send, Message{From: s.settings.Name, To: peer, Poll: body})
	}
	return effects
}

// readDue reads the index if this store is a reader, starts, or has had no news of the platform for long.
func (s *Store) readDue(now time.Time) Effects {
	if now.Before(s.nextRead) {
		return Effects{}
	}
	forsaken := now.Sub(s.platformSeen) > s.settings.EscalateAfter
	if !s.reader && !s.machine.Is(Starting) && !forsaken {
		return Effects{}
	}
	interval := s.settings.ReadInterval
	s.nextRead = now.Add(interval - interval/20 + s.jitter(interval/10))
	return s.read(now, usherconfig.IndexKey)
}

// read asks for a key if the budget allows it.
func (s *Store) read(now time.Time, key string) Effects {
	if !s.budget.AllowN(now, 1) {
		return Effects{}
	}
	s.sequence++
	s.reads[s.sequence] = read{key: key, at: now}
	s.counts.Reads++
	return Effects{Reads: []Read{{ID: s.sequence, Key: key}}}
}

func (s *Store) summary(now time.Time, to string, echo uint64) Message {
	age := unknownAge
	if !s.platformSeen.IsZero() {
		age = now.Sub(s.platformSeen)
	}
	body := &Summary{Echo: echo, Version: s.Version(), PlatformAge: age}
	return Message{From: s.settings.Name, To: to, Summary: body}
}

func (s *Store) receiveSummary(now time.Time, from string, summary Summary) {
	s.notice(now, summary.Version, from)
	p, found := s.polls[summary.Echo]
	if !found || p.peer != from {
		return
	}
	delete(s.polls, summary.Echo)
	s.heard[from] = true
	s.confirm(confirmation{source: from, version: summary.Version, at: p.at})
	if summary.PlatformAge >= 0 && !s.newer(summary.Version, s.Version()) {
		s.seePlatform(p.at.Add(-summary.PlatformAge))
	}
}

func (s *Store) receivePlatformIndex(now, readAt time.Time, data []byte) Effects {
	s.platformHeard = true
	index, err := usherconfig.DecodeIndex(data)
	if err != nil {
		version := usherconfig.Version{Digest: usherconfig.DigestOf(data)}
		s.reject(now, version, err)
		s.confirm(confirmation{source: Platform, version: version, at: readAt})
		s.seePlatform(readAt)
		return Effects{}
	}
	s.platformVersion = index.Version
	s.confirm(confirmation{source: Platform, version: index.Version, at: readAt})
	effects := s.learnIndex(now, index, data, Platform)
	if !s.newer(index.Version, s.Version()) || s.isRejected(index.Version) {
		s.seePlatform(readAt)
	}
	return effects
}

func (s *Store) seePlatform(at time.Time) {
	if at.After(s.platformSeen) {
		s.platformSeen = at
	}
}

// answer brings a peer what it wants, from the view in force and from what is being fetched.
func (s *Store) answer(to string, want FetchRequest) Message {
	have := &FetchResponse{Version: s.Version()}
	if want.Index {
		have.Index = s.view.Index()
	}
	size := len(have.Index)
	for _, digest := range want.Shards[:min(len(want.Shards), maxWantedShards)] {
		data, found := s.shard(digest)
		if found && (size == 0 || size+len(data) <= maxHaveBytes) {
			size += len(data)
			have.Shards = append(have.Shards, data)
		}
	}
	return Message{From: s.settings.Name, To: to, Have: have}
}

func (s *Store) receiveHave(now time.Time, from string, have FetchResponse) Effects {
	var effects Effects
	s.notice(now, have.Version, from)
	if len(have.Index) > 0 {
		index, err := usherconfig.DecodeIndex(have.Index)
		if err != nil {
			s.reject(now, usherconfig.Version{Revision: have.Version.Revision, Digest: usherconfig.DigestOf(have.Index)}, err)
		} else {
			effects.add(s.learnIndex(now, index, bytes.Clone(have.Index), from))
		}
	}
	effects.add(s.receiveShards(now, have.Shards))
	return effects
}

// peersToPoll returns up to count peers at random; while starting, such as have not been
// heard, and one of all.
func (s *Store) peersToPoll(count int) []string {
	if !s.machine.Is(Starting) {
		return s.randomPeers(count)
	}
	peers := make([]string, 0, count)
	start := s.random.IntN(len(s.members))
	for i := 0; i < len(s.members) && len(peers) < count; i++ {
		if name := s.members[(start+i)%len(s.members)].Name; !s.heard[name] {
			peers = append(peers, name)
		}
	}
	return append(peers, s.randomPeers(1)...)
}

// randomPeers returns up to count different peers.
func (s *Store) randomPeers(count int) []string {
	count = min(count, len(s.members))
	peers := make([]string, 0, count)
	for len(peers) < count {
		name := s.members[s.random.IntN(len(s.members))].Name
		if !slices.Contains(peers, name) {
			peers = append(peers, name)
		}
	}
	return peers
}
