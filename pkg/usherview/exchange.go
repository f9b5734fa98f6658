package usherview

import (
	"bytes"
	"slices"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
)

// Receive handles a message from another store.
func (s *Store) Receive(now time.Time, m Message) Effects {
	s.detectPause(now)
	var effects Effects
	switch {
	case m.Poll != nil:
		s.addSource(now, m.Poll.Version, m.From)
		effects.Send = append(effects.Send, s.summary(now, m.From, m.Poll.Sequence))
	case m.Summary != nil:
		s.receiveSummary(now, m.From, *m.Summary)
	case m.FetchRequest != nil:
		effects.Send = append(effects.Send, s.respond(m.From, *m.FetchRequest))
	case m.FetchResponse != nil:
		effects.add(s.receiveFetchResponse(now, m.From, *m.FetchResponse))
	}
	effects.add(s.fetchMissing(now))
	s.updateState(now)
	return effects
}

// ReadDone handles the platform's response to a Read.
func (s *Store) ReadDone(now time.Time, id uint64, data []byte, err error) Effects {
	s.detectPause(now)
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
	effects.add(s.fetchMissing(now))
	s.updateState(now)
	return effects
}

// pollIfDue polls a few peers if the interval has passed. While starting it polls more often, and first the peers that
// have not answered yet.
func (s *Store) pollIfDue(now time.Time) Effects {
	if now.Before(s.nextPoll) || len(s.members) == 0 {
		return Effects{}
	}
	s.nextPoll = now.Add(s.settings.PollInterval)
	fanout := s.settings.PollFanout
	if s.stateMachine.Is(Starting) {
		s.nextPoll = now.Add(s.settings.PollInterval / 4)
		fanout = max(fanout, s.settings.StartPeers)
	}
	var effects Effects
	for _, peer := range s.peersToPoll(fanout) {
		s.sequence++
		s.polls[s.sequence] = pendingPoll{peer: peer, at: now}
		body := &Poll{Sequence: s.sequence, Version: s.Version()}
		effects.Send = append(effects.Send, Message{From: s.settings.Name, To: peer, Poll: body})
	}
	return effects
}

// readIndexIfDue reads the index if this store is a reader, is starting, or has had no news of the platform for longer
// than EscalateAfter.
func (s *Store) readIndexIfDue(now time.Time) Effects {
	if now.Before(s.nextRead) {
		return Effects{}
	}
	platformSilent := now.Sub(s.platformSeenAt) > s.settings.EscalateAfter
	if !s.reader && !s.stateMachine.Is(Starting) && !platformSilent {
		return Effects{}
	}
	interval := s.settings.ReadInterval
	s.nextRead = now.Add(interval - interval/20 + s.jitter(interval/10))
	return s.readKey(now, usherconfig.IndexKey)
}

// readKey requests a read of a key if the rate limit allows it.
func (s *Store) readKey(now time.Time, key string) Effects {
	if !s.readLimiter.AllowN(now, 1) {
		return Effects{}
	}
	s.sequence++
	s.reads[s.sequence] = pendingRead{key: key, at: now}
	s.counts.Reads++
	return Effects{Reads: []Read{{ID: s.sequence, Key: key}}}
}

func (s *Store) summary(now time.Time, to string, echo uint64) Message {
	age := unknownAge
	if !s.platformSeenAt.IsZero() {
		age = now.Sub(s.platformSeenAt)
	}
	body := &Summary{Echo: echo, Version: s.Version(), PlatformAge: age}
	return Message{From: s.settings.Name, To: to, Summary: body}
}

func (s *Store) receiveSummary(now time.Time, from string, summary Summary) {
	s.addSource(now, summary.Version, from)
	p, found := s.polls[summary.Echo]
	if !found || p.peer != from {
		return
	}
	delete(s.polls, summary.Echo)
	s.answeredPeers[from] = true
	s.confirm(confirmation{source: from, version: summary.Version, at: p.at})
	if summary.PlatformAge >= 0 && !s.newer(summary.Version, s.Version()) {
		s.advancePlatformSeenAt(p.at.Add(-summary.PlatformAge))
	}
}

func (s *Store) receivePlatformIndex(now, readAt time.Time, data []byte) Effects {
	s.platformAnswered = true
	index, err := usherconfig.DecodeIndex(data)
	if err != nil {
		version := usherconfig.Version{Digest: usherconfig.DigestOf(data)}
		s.reject(now, version, err)
		s.confirm(confirmation{source: Platform, version: version, at: readAt})
		s.advancePlatformSeenAt(readAt)
		return Effects{}
	}
	s.platformVersion = index.Version
	s.confirm(confirmation{source: Platform, version: index.Version, at: readAt})
	effects := s.receiveIndex(now, index, data, Platform)
	if !s.newer(index.Version, s.Version()) || s.isRejected(index.Version) {
		s.advancePlatformSeenAt(readAt)
	}
	return effects
}

func (s *Store) advancePlatformSeenAt(at time.Time) {
	if at.After(s.platformSeenAt) {
		s.platformSeenAt = at
	}
}

// respond returns the requested index and shards from the view in force and from the candidates being fetched.
func (s *Store) respond(to string, request FetchRequest) Message {
	response := &FetchResponse{Version: s.Version()}
	if request.Index {
		response.Index = s.view.Index()
	}
	size := len(response.Index)
	for _, digest := range request.Shards[:min(len(request.Shards), maxShardsPerRequest)] {
		data, found := s.shard(digest)
		if found && (size == 0 || size+len(data) <= maxResponseBytes) {
			size += len(data)
			response.Shards = append(response.Shards, data)
		}
	}
	return Message{From: s.settings.Name, To: to, FetchResponse: response}
}

func (s *Store) receiveFetchResponse(now time.Time, from string, response FetchResponse) Effects {
	var effects Effects
	s.addSource(now, response.Version, from)
	if len(response.Index) > 0 {
		index, err := usherconfig.DecodeIndex(response.Index)
		if err != nil {
			s.reject(now, usherconfig.Version{Revision: response.Version.Revision, Digest: usherconfig.DigestOf(response.Index)}, err)
		} else {
			effects.add(s.receiveIndex(now, index, bytes.Clone(response.Index), from))
		}
	}
	effects.add(s.receiveShards(now, response.Shards))
	return effects
}

// peersToPoll returns up to count random peers. While starting it returns peers that have not answered yet, plus one
// chosen from all peers.
func (s *Store) peersToPoll(count int) []string {
	if !s.stateMachine.Is(Starting) {
		return s.randomPeers(count)
	}
	peers := make([]string, 0, count)
	start := s.random.IntN(len(s.members))
	for i := 0; i < len(s.members) && len(peers) < count; i++ {
		if name := s.members[(start+i)%len(s.members)].Name; !s.answeredPeers[name] {
			peers = append(peers, name)
		}
	}
	return append(peers, s.randomPeers(1)...)
}

// randomPeers returns up to count distinct peers.
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
