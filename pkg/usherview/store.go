// Package usherview keeps the configuration that is in force in one process.
//
// A Store takes the highest version that it can verify, from the platform and from the stores of other processes, and
// never goes back to a lower one. It is an aggregate without I/O: time, messages and what the platform answered come in
// as arguments, and what is to be sent or read goes out as Effects. A store belongs to one goroutine; the View that it
// returns is immutable and may be shared.
//
// A store is starting until it has heard the platform and several peers, then serving as long as some peer or the
// platform has confirmed its version a short while ago, and unconfirmed otherwise. What confirms is a round trip,
// counted from when it began: a message that waited while the process was paused is news, but confirms nothing.
//
// A few members of each data centre read the platform (Readers), the others hear from peers. Every store has a budget
// of calls to the platform that holds whatever it believes about the others.
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

// States of a store.
const (
	Starting    = "starting"
	Serving     = "serving"
	Unconfirmed = "unconfirmed"

	serveEvent   = "serve"
	expireEvent  = "expire"
	confirmEvent = "confirm"

	// Platform names the platform where a source is named.
	Platform = "platform"
)

type (
	// Store is the configuration in force in one process.
	Store struct {
		settings Settings
		machine  *fsm.FSM
		random   *rand.Rand
		budget   *rate.Limiter
		newer    func(a, b usherconfig.Version) bool

		members  []Member // without the store's own
		reader   bool
		sequence uint64

		view       usherconfig.View
		adoptedAt  time.Time
		candidates []*candidate // highest version first
		rejected   []Rejected
		returned   map[string]time.Time // by data centre, target or host, with its kind

		startedAt    time.Time
		lastTick     time.Time
		wokenAt      time.Time // when the process last ran again after a pause
		nextPoll     time.Time
		nextRead     time.Time
		polls        map[uint64]poll
		reads        map[uint64]read
		confirmation confirmation            // the freshest of the version in force
		ahead        map[string]confirmation // by source, of versions that are not in force yet
		heard        map[string]bool         // peers that answered since the start
		neededAt     map[string]time.Time    // when a peer was last asked for what work from it needs

		platformSeen    time.Time
		platformVersion usherconfig.Version
		platformHeard   bool
		counts          Counts
	}

	// poll is a round trip to a peer that has begun.
	poll struct {
		peer string
		at   time.Time
	}

	// read is a call to the platform that has begun.
	read struct {
		key string
		at  time.Time
	}

	// confirmation is what a source said last, and when that round trip began.
	confirmation struct {
		source  string
		version usherconfig.Version
		at      time.Time
	}
)

// New returns a store that is starting.
func New(settings Settings) *Store {
	settings = settings.withDefaults()
	random := rand.New(rand.NewPCG(settings.Seed, 0))
	return &Store{
		settings: settings,
		machine: fsm.NewFSM(Starting, fsm.Events{
			{Name: serveEvent, Src: []string{Starting}, Dst: Serving},
			{Name: expireEvent, Src: []string{Serving}, Dst: Unconfirmed},
			{Name: confirmEvent, Src: []string{Unconfirmed}, Dst: Serving},
		}, nil),
		random:   random,
		budget:   rate.NewLimiter(rate.Limit(settings.CallsPerSecond), 1),
		newer:    func(a, b usherconfig.Version) bool { return a.Compare(b) > 0 },
		reader:   true,
		sequence: random.Uint64(),
		returned: map[string]time.Time{},
		polls:    map[uint64]poll{},
		reads:    map[uint64]read{},
		ahead:    map[string]confirmation{},
		heard:    map[string]bool{},
		neededAt: map[string]time.Time{},
	}
}

// SetMembers tells the store which members are heard. It may be among them itself.
func (s *Store) SetMembers(members []Member) {
	self := Member{Name: s.settings.Name, DataCentre: s.settings.DataCentre}
	s.members = slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Name == self.Name })
	slices.SortFunc(s.members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	s.members = slices.CompactFunc(s.members, func(a, b Member) bool { return a.Name == b.Name })
	readers := Readers(append(slices.Clone(s.members), self), self.DataCentre, s.settings.ReadersPerDataCentre)
	s.reader = slices.Contains(readers, self.Name)
}

// View returns the configuration in force. It is the zero View until the first has been verified.
func (s *Store) View() usherconfig.View {
	return s.view
}

// Version returns the version in force.
func (s *Store) Version() usherconfig.Version {
	return s.view.Version()
}

// State returns Starting, Serving or Unconfirmed.
func (s *Store) State(now time.Time) string {
	s.evaluate(now)
	return s.machine.Current()
}

// Tick does what is due. It must be called several times within the shortest interval of the settings.
func (s *Store) Tick(now time.Time) Effects {
	if s.startedAt.IsZero() {
		s.startedAt, s.lastTick = now, now
		s.nextRead = now.Add(s.jitter(s.settings.StartJitter))
	}
	s.noticePause(now)
	s.lastTick = now
	var effects Effects
	effects.add(s.pollDue(now))
	effects.add(s.readDue(now))
	effects.add(s.fetch(now))
	s.forget(now)
	s.evaluate(now)
	return effects
}

// RequireVersion reports whether a version is in force that is no lower than the one work was admitted under. If not, the
// effects ask the sender of the work for it. A version of zero digest stands for any of its revision.
func (s *Store) RequireVersion(now time.Time, version usherconfig.Version, from string) (bool, Effects) {
	s.evaluate(now)
	if s.Version().Compare(version) >= 0 {
		return true, Effects{}
	}
	if now.Sub(s.neededAt[from]) < s.settings.FetchTimeout {
		return false, Effects{}
	}
	s.neededAt[from] = now
	return false, Effects{Send: []Message{{From: s.settings.Name, To: from, Want: &FetchRequest{Index: true}}}}
}

// evaluate moves the life cycle to the state that the time demands.
func (s *Store) evaluate(now time.Time) {
	s.noticePause(now)
	_, confirmedAt := s.Confirmed()
	confirmed := !confirmedAt.IsZero() && now.Sub(confirmedAt) <= s.settings.ConfirmBound
	switch {
	case s.machine.Is(Starting) && s.startComplete(now):
		s.transit(serveEvent)
	case s.machine.Is(Serving) && !confirmed:
		s.transit(expireEvent)
	case s.machine.Is(Unconfirmed) && confirmed:
		s.transit(confirmEvent)
	}
}

// noticePause distrusts all earlier confirmations if the process did not run for a while.
func (s *Store) noticePause(now time.Time) {
	if s.lastTick.IsZero() || now.Sub(s.lastTick) <= s.settings.PauseBound {
		return
	}
	s.lastTick, s.wokenAt = now, now
	s.nextPoll, s.nextRead = now, minTime(s.nextRead, now.Add(s.jitter(s.settings.StartJitter)))
	s.counts.Pauses++
}

// startComplete reports whether a start has heard the platform and several peers and has the highest of what they had,
// or has waited long enough with what it has.
func (s *Store) startComplete(now time.Time) bool {
	if s.startedAt.IsZero() || s.Version().Revision == 0 || s.isFetching(now) {
		return false
	}
	if s.platformHeard && len(s.heard) >= min(s.settings.StartPeers, len(s.members)) {
		return true
	}
	return now.Sub(s.startedAt) >= s.settings.StartDeadline
}

// isFetching reports whether a higher version is under way. One that its source names but does not bring is not.
func (s *Store) isFetching(now time.Time) bool {
	return slices.ContainsFunc(s.candidates, func(c *candidate) bool {
		return now.Sub(c.progressAt) <= s.settings.StallTime
	})
}

// Confirmed returns who last confirmed the version in force, and when that round trip began. A process that has been
// paused since has no confirmation.
func (s *Store) Confirmed() (source string, at time.Time) {
	if s.confirmation.at.Before(s.wokenAt) {
		return "", time.Time{}
	}
	return s.confirmation.source, s.confirmation.at
}

// confirm takes what a source said. It confirms the version in force if that is no older, and else waits until it is.
func (s *Store) confirm(c confirmation) {
	if s.newer(c.version, s.Version()) && !s.isRejected(c.version) {
		s.ahead[c.source] = c
		return
	}
	delete(s.ahead, c.source)
	if c.at.After(s.confirmation.at) {
		s.confirmation = c
	}
}

// confirmAhead confirms anew what had named a version that was not in force.
func (s *Store) confirmAhead() {
	for _, c := range s.ahead {
		s.confirm(c)
	}
}

func (s *Store) transit(event string) {
	if err := s.machine.Event(context.Background(), event); err != nil {
		panic(err) // evaluate asks for no transition that the machine lacks
	}
}

// forget drops what is too old to matter.
func (s *Store) forget(now time.Time) {
	for sequence, p := range s.polls {
		if now.Sub(p.at) > s.settings.ConfirmBound {
			delete(s.polls, sequence)
		}
	}
	for id, r := range s.reads {
		if now.Sub(r.at) > s.settings.CandidateTimeout {
			delete(s.reads, id)
		}
	}
	for source, c := range s.ahead {
		if now.Sub(c.at) > s.settings.ConfirmBound {
			delete(s.ahead, source)
		}
	}
	for peer, at := range s.neededAt {
		if now.Sub(at) > s.settings.FetchTimeout {
			delete(s.neededAt, peer)
		}
	}
	for name, at := range s.returned {
		if now.Sub(at) > s.settings.ReturnMemory {
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
