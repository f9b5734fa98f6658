// Package ushermember tells one scheduler or gateway which members of its cell it hears and which hear it.
//
// Membership follows from the published list and from heartbeats in both directions; nothing is agreed. A member
// is alive while it is heard and echoes a heartbeat that was sent to it lately, so a link cut in one direction
// makes both ends drop the member. A restart shows as a new incarnation, a leaving notice comes by heartbeat or by
// the list. Total is the number of votes that budgets divide by: while an older list may be in force somewhere it is
// the larger of the sizes, and a member that has just started abstains until the list is settled.
//
// A Membership does no I/O and reads no clock.
//
// # Usage
//
//	m := ushermember.New(now, ushermember.Options{Cell: "kochi", ID: "kochi-1", Incarnation: incarnation})
//	m.SetList(now, list)
//	m.Tick(now) // every Options.Interval
//	for _, out := range m.Heartbeats(now) {
//		send(out.To.Address, out.Heartbeat)
//	}
//	received, err := m.Receive(now, heartbeat)
//	view := m.View(now)
package ushermember

import (
	"time"

	"github.com/joomcode/errorx"
)

const (
	defaultInterval     = time.Second
	defaultSuspectAfter = 2500 * time.Millisecond
	defaultDeadAfter    = 4 * time.Second
	defaultSettleAfter  = 8 * time.Second
	defaultBootstrap    = 15 * time.Second
	sentTimes           = 64
	contactFraction     = 0.45 // of SettleAfter: half of it, with room for clock rates
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("ushermember").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrForeign is the type of errors on heartbeats from another cell or from a member that isn't listed.
	ErrForeign = Errors.NewType("foreign")
	// ErrStale is the type of errors on heartbeats that are older than what has been received.
	ErrStale = Errors.NewType("stale")
)

type (
	// Options configures a Membership. Zero durations stand for defaults.
	Options struct {
		Cell        string
		ID          string
		Incarnation uint64
		// Interval is the time between two rounds of heartbeats.
		Interval time.Duration
		// SuspectAfter and DeadAfter are the times without a heartbeat, or without an echo of an own one.
		SuspectAfter time.Duration
		DeadAfter    time.Duration
		// PauseAfter is the time between two ticks from which the process counts as paused.
		PauseAfter time.Duration
		// SettleAfter is how long all members must have confirmed a list before older ones are forgotten. It must
		// be longer than a lease and than twice the time in which all members see a published list.
		SettleAfter time.Duration
		// Bootstrap is how long a cell that has just started waits for listed members that aren't heard.
		Bootstrap time.Duration
	}

	// Membership is one member's knowledge of its cell. It isn't safe for concurrent use.
	Membership struct {
		options   Options
		key       Key
		list      List
		peers     map[Key]*peer
		lifecycle lifecycle
		sequence  uint64
		sent      [sentTimes]time.Time
		lastTick  time.Time
		confirmed bool
		probe     uint64 // the first sequence that was sent after a start or a pause
		leaving   bool
		newcomer  bool
		settled   bool
		formerMax int    // the largest list that may still be in force elsewhere
		adopted   uint64 // the revision and time at which the voters last changed
		adoptedAt time.Time
		agreedAt  time.Time    // since when all members have confirmed the list
		former    map[Key]bool // members of older lists only
		voters    []Key        // members of all lists that may be in force
	}

	peer struct {
		member      Member
		state       State
		incarnation uint64
		sequence    uint64
		heardAt     time.Time
		echoedAt    time.Time // when the last echoed heartbeat had been sent
		echoed      uint64
		list        uint64
		revision    uint64
		fresh       bool
		total       int
		heard       []Key
	}
)

// New returns the membership of a process that started at now.
func New(now time.Time, options Options) *Membership {
	if options.Interval == 0 {
		options.Interval = defaultInterval
	}
	if options.SuspectAfter == 0 {
		options.SuspectAfter = defaultSuspectAfter
	}
	if options.DeadAfter == 0 {
		options.DeadAfter = defaultDeadAfter
	}
	if options.PauseAfter == 0 {
		options.PauseAfter = 2 * options.Interval
	}
	if options.SettleAfter == 0 {
		options.SettleAfter = defaultSettleAfter
	}
	if options.Bootstrap == 0 {
		options.Bootstrap = defaultBootstrap
	}
	return &Membership{
		options:   options,
		key:       KeyOf(options.ID),
		peers:     make(map[Key]*peer),
		former:    make(map[Key]bool),
		lifecycle: newLifecycle(),
		lastTick:  now,
		probe:     1,
		newcomer:  true,
	}
}

// SetList adopts a published list unless it is older than the one in force.
func (m *Membership) SetList(now time.Time, list List) {
	if list.revision < m.list.revision {
		return
	}
	if list.digest != m.list.digest {
		m.replaceVoters(now, list)
	}
	m.list = list
	for _, member := range list.members {
		key := member.Key()
		if key == m.key {
			continue
		}
		p := m.peers[key]
		if p == nil {
			p = &peer{state: Unknown}
			m.peers[key] = p
		}
		p.member = member
		if member.Leaving {
			p.state = m.lifecycle.next(p.state, eventLeave)
		}
	}
}

// Tick moves life cycles on and notices that the process was paused. It reports whether it was.
func (m *Membership) Tick(now time.Time) bool {
	paused := now.Sub(m.lastTick) > m.options.PauseAfter
	if paused {
		m.confirmed = false
		m.probe = m.sequence + 1
	}
	m.lastTick = now
	for key, p := range m.peers {
		m.age(now, p)
		if !m.list.Contains(key) && now.Sub(p.heardAt) > m.options.DeadAfter {
			delete(m.peers, key)
			delete(m.former, key)
		}
	}
	m.settle(now)
	m.confirm()
	return paused
}

// age lets a member become suspect or dead by silence in either direction.
func (m *Membership) age(now time.Time, p *peer) {
	last := p.heardAt
	if p.state != Joining && p.echoedAt.Before(last) {
		last = p.echoedAt
	}
	silence := now.Sub(last)
	if silence > m.options.SuspectAfter {
		p.state = m.lifecycle.next(p.state, eventMiss)
	}
	if silence > m.options.DeadAfter {
		p.state = m.lifecycle.next(p.state, eventExpire)
	}
}

// Leave marks this member as leaving; its heartbeats give notice of it.
func (m *Membership) Leave() {
	m.leaving = true
}

// CancelLeave takes back Leave.
func (m *Membership) CancelLeave() {
	m.leaving = false
}

// hears reports whether the member is heard.
func (m *Membership) hears(key Key) bool {
	if key == m.key {
		return true
	}
	p := m.peers[key]
	return p != nil && !p.heardAt.IsZero() && p.state != Unknown && p.state != Dead
}

// candidate reports whether votes may be lent to the member: each hears the other and it isn't leaving.
func (m *Membership) candidate(key Key) bool {
	if key == m.key {
		return !m.leaving && !m.listedAsLeaving()
	}
	p := m.peers[key]
	return p != nil && (p.state == Alive || p.state == Suspect)
}

func (m *Membership) listedAsLeaving() bool {
	for i, key := range m.list.keys {
		if key == m.key {
			return m.list.members[i].Leaving
		}
	}
	return false
}
