// Package usherview maintains the configuration that is in force in one process.
//
// A Store adopts the highest version that it can verify, from the platform or from the stores of other processes, and
// never goes back to a lower one. It is a state machine without I/O: the time, messages and platform responses are
// passed in as arguments, and the messages to send and the keys to read are returned as Effects. A Store must be used
// by one goroutine only; the View that it returns is immutable and may be shared.
//
// A store is Starting until the platform and several peers have answered, Serving as long as a peer or the platform has
// confirmed its version recently, and Unconfirmed otherwise. Only a round trip confirms a version, and its age counts
// from the start of the round trip: a message that was queued while the process was paused can announce a newer version
// but does not confirm the current one.
//
// A few members of each data centre read the platform (see Readers), the others get new versions from their peers.
// Every store limits its own rate of calls to the platform, regardless of which other members it knows of.
//
// # Usage
//
//	store := usherview.New(usherview.Settings{Name: "kochi-gateway-1", DataCentre: "kochi", Seed: seed})
//	store.SetMembers(members)
//	for now := range ticks {
//		run(store.Tick(now)) // sends messages, reads keys; answers go to Receive and ReadDone
//	}
//	if e := store.Eligible(now, "appraiser-01"); e.OK {
//		call, err := store.View().Resolve(workspace, template, arguments)
//	}
package usherview

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/looplab/fsm"
	"golang.org/x/time/rate"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
)

// States of a Store.
const (
	Starting    = "starting"
	Serving     = "serving"
	Unconfirmed = "unconfirmed"

	serveEvent   = "serve"
	expireEvent  = "expire"
	confirmEvent = "confirm"

	// Platform is the source name of the platform; other sources are names of peers.
	Platform = "platform"
)

type (
	// Store tracks the configuration in force in one process.
	Store struct {
		settings     Settings
		stateMachine *fsm.FSM
		random       *rand.Rand
		readLimiter  *rate.Limiter
		newer        func(a, b usherconfig.Version) bool

		members  []Member // without this process
		reader   bool
		sequence uint64

		view       usherconfig.View
		adoptedAt  time.Time
		candidates []*candidate // highest version first
		rejected   []Rejected
		returned   map[string]time.Time // by data centre, target or host, prefixed with its kind

		startedAt            time.Time
		lastTick             time.Time
		resumedAt            time.Time // when the process last resumed after a pause
		nextPoll             time.Time
		nextRead             time.Time
		polls                map[uint64]pendingPoll
		reads                map[uint64]pendingRead
		confirmation         confirmation            // the latest one of the version in force
		pendingConfirmations map[string]confirmation // by source, of versions that are not in force yet
		answeredPeers        map[string]bool         // since the start
		versionRequestedAt   map[string]time.Time    // by peer, when RequireVersion last asked it for a version

		platformSeenAt   time.Time
		platformVersion  usherconfig.Version
		platformAnswered bool
		counts           Counts
	}

	// pendingPoll is a poll of a peer that has not been answered yet.
	pendingPoll struct {
		peer string
		at   time.Time
	}

	// pendingRead is a call to the platform that has not been answered yet.
	pendingRead struct {
		key string
		at  time.Time
	}

	// confirmation is the version that a source last reported and the time at which that round trip began.
	confirmation struct {
		source  string
		version usherconfig.Version
		at      time.Time
	}
)

// New returns a store in state Starting.
func New(settings Settings) *Store {
	settings = settings.withDefaults()
	random := rand.New(rand.NewPCG(settings.Seed, 0))
	return &Store{
		settings: settings,
		stateMachine: fsm.NewFSM(Starting, fsm.Events{
			{Name: serveEvent, Src: []string{Starting}, Dst: Serving},
			{Name: expireEvent, Src: []string{Serving}, Dst: Unconfirmed},
			{Name: confirmEvent, Src: []string{Unconfirmed}, Dst: Serving},
		}, nil),
		random:               random,
		readLimiter:          rate.NewLimiter(rate.Limit(settings.CallsPerSecond), 1),
		newer:                func(a, b usherconfig.Version) bool { return a.Compare(b) > 0 },
		reader:               true,
		sequence:             random.Uint64(),
		returned:             map[string]time.Time{},
		polls:                map[uint64]pendingPoll{},
		reads:                map[uint64]pendingRead{},
		pendingConfirmations: map[string]confirmation{},
		answeredPeers:        map[string]bool{},
		versionRequestedAt:   map[string]time.Time{},
	}
}

// SetMembers sets the members whose heartbeats are received. The list may include this process itself.
func (s *Store) SetMembers(members []Member) {
	self := Member{Name: s.settings.Name, DataCentre: s.settings.DataCentre}
	s.members = slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Name == self.Name })
	slices.SortFunc(s.members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	s.members = slices.CompactFunc(s.members, func(a, b Member) bool { return a.Name == b.Name })
	readers := Readers(append(slices.Clone(s.members), self), self.DataCentre, s.settings.ReadersPerDataCentre)
	s.reader = slices.Contains(readers, self.Name)
}

// View returns the configuration in force, or the zero View if no version has been verified yet.
func (s *Store) View() usherconfig.View {
	return s.view
}

// Version returns the version of the configuration in force.
func (s *Store) Version() usherconfig.Version {
	return s.view.Version()
}

// State returns Starting, Serving or Unconfirmed.
func (s *Store) State(now time.Time) string {
	s.updateState(now)
	return s.stateMachine.Current()
}

// Tick performs the periodic work that is due. It must be called several times within the shortest interval of the
// settings.
func (s *Store) Tick(now time.Time) Effects {
	if s.startedAt.IsZero() {
		s.startedAt, s.lastTick = now, now
		s.nextRead = now.Add(s.jitter(s.settings.StartJitter))
	}
	s.detectPause(now)
	s.lastTick = now
	var effects Effects
	effects.add(s.pollIfDue(now))
	effects.add(s.readIndexIfDue(now))
	effects.add(s.fetchMissing(now))
	s.removeExpired(now)
	s.updateState(now)
	return effects
}

// RequireVersion reports whether the version in force is at least the one under which a request was admitted. If it is
// not, the effects request that version from the sender of the request. A version with a zero digest stands for any
// version of its revision.
func (s *Store) RequireVersion(now time.Time, version usherconfig.Version, from string) (bool, Effects) {
	s.updateState(now)
	if s.Version().Compare(version) >= 0 {
		return true, Effects{}
	}
	if now.Sub(s.versionRequestedAt[from]) < s.settings.FetchTimeout {
		return false, Effects{}
	}
	s.versionRequestedAt[from] = now
	return false, Effects{Send: []Message{{From: s.settings.Name, To: from, FetchRequest: &FetchRequest{Index: true}}}}
}

// updateState moves the state machine to the state that holds at now.
func (s *Store) updateState(now time.Time) {
	s.detectPause(now)
	_, confirmedAt := s.Confirmed()
	confirmed := !confirmedAt.IsZero() && now.Sub(confirmedAt) <= s.settings.ConfirmationMaxAge
	switch {
	case s.stateMachine.Is(Starting) && s.startComplete(now):
		s.triggerEvent(serveEvent)
	case s.stateMachine.Is(Serving) && !confirmed:
		s.triggerEvent(expireEvent)
	case s.stateMachine.Is(Unconfirmed) && confirmed:
		s.triggerEvent(confirmEvent)
	}
}

// detectPause invalidates all earlier confirmations if the process has not run for longer than PauseThreshold.
func (s *Store) detectPause(now time.Time) {
	if s.lastTick.IsZero() || now.Sub(s.lastTick) <= s.settings.PauseThreshold {
		return
	}
	s.lastTick, s.resumedAt = now, now
	s.nextPoll, s.nextRead = now, minTime(s.nextRead, now.Add(s.jitter(s.settings.StartJitter)))
	s.counts.Pauses++
}

// startComplete reports whether the platform and several peers have answered and the highest version among theirs is in
// force, or StartTimeout has passed with some version in force.
func (s *Store) startComplete(now time.Time) bool {
	if s.startedAt.IsZero() || s.Version().Revision == 0 || s.isFetching(now) {
		return false
	}
	if s.platformAnswered && len(s.answeredPeers) >= min(s.settings.StartPeers, len(s.members)) {
		return true
	}
	return now.Sub(s.startedAt) >= s.settings.StartTimeout
}

// isFetching reports whether a higher version is being fetched. A version that a source announces but does not deliver
// does not count.
func (s *Store) isFetching(now time.Time) bool {
	return slices.ContainsFunc(s.candidates, func(c *candidate) bool {
		return now.Sub(c.progressAt) <= s.settings.StallTimeout
	})
}

// Confirmed returns the source that last confirmed the version in force and the time at which that round trip began. A
// pause of the process invalidates earlier confirmations.
func (s *Store) Confirmed() (source string, at time.Time) {
	if s.confirmation.at.Before(s.resumedAt) {
		return "", time.Time{}
	}
	return s.confirmation.source, s.confirmation.at
}

// confirm records the version that a source reported. It confirms the version in force if the reported one is not
// newer; otherwise it is kept until that version is in force or rejected.
func (s *Store) confirm(c confirmation) {
	if s.newer(c.version, s.Version()) && !s.isRejected(c.version) {
		s.pendingConfirmations[c.source] = c
		return
	}
	delete(s.pendingConfirmations, c.source)
	if c.at.After(s.confirmation.at) {
		s.confirmation = c
	}
}

// applyPendingConfirmations retries the confirmations of versions that were not in force when they arrived.
func (s *Store) applyPendingConfirmations() {
	for _, c := range s.pendingConfirmations {
		s.confirm(c)
	}
}

func (s *Store) triggerEvent(event string) {
	if err := s.stateMachine.Event(context.Background(), event); err != nil {
		panic(err) // updateState only triggers events that are valid in the current state
	}
}

// removeExpired drops polls, reads, confirmations, requests and returns that have exceeded their time limit.
func (s *Store) removeExpired(now time.Time) {
	for sequence, p := range s.polls {
		if now.Sub(p.at) > s.settings.ConfirmationMaxAge {
			delete(s.polls, sequence)
		}
	}
	for id, r := range s.reads {
		if now.Sub(r.at) > s.settings.CandidateTimeout {
			delete(s.reads, id)
		}
	}
	for source, c := range s.pendingConfirmations {
		if now.Sub(c.at) > s.settings.ConfirmationMaxAge {
			delete(s.pendingConfirmations, source)
		}
	}
	for peer, at := range s.versionRequestedAt {
		if now.Sub(at) > s.settings.FetchTimeout {
			delete(s.versionRequestedAt, peer)
		}
	}
	for name, at := range s.returned {
		if now.Sub(at) > s.settings.ReturnRetention {
			delete(s.returned, name)
		}
	}
}

func (s *Store) jitter(span time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(span) + 1))
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
