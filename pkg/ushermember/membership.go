// Package ushermember tracks, for one scheduler or gateway, which members of its cell it receives heartbeats from and
// which receive its own.
//
// Membership is derived from the published list and from heartbeats in both directions, without consensus. A member is
// alive while its heartbeats arrive and echo a recent heartbeat of this process, so if a link fails in one direction,
// both ends stop counting the other as alive. A restart shows as a new incarnation. A member announces that it is
// leaving by heartbeat or is published as leaving in the list. Total is the number of votes by which limits are
// divided: while an older list may still be in force elsewhere, it is the size of the larger list, and a member that
// has just started abstains until the list is settled.
//
// A Membership does no I/O and does not read a clock.
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
	sentWindow          = 64
	contactFraction     = 0.45 // of SettleAfter: half of it, with a margin for differing clock rates
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("ushermember").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrNotMember is the type of errors for heartbeats from another cell or from a member that isn't listed.
	ErrNotMember = Errors.NewType("foreign")
	// ErrStale is the type of errors for heartbeats that are not newer than the last one received.
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
		// SuspectAfter and DeadAfter are the times without a heartbeat, or without an echo of one of this process's
		// heartbeats, after which a member is suspect or dead.
		SuspectAfter time.Duration
		DeadAfter    time.Duration
		// PauseAfter is the time between two ticks above which the process counts as paused.
		PauseAfter time.Duration
		// SettleAfter is how long all members must have confirmed a list before older lists are dropped. It must be
		// longer than a lease, and longer than twice the time that a published list takes to reach all members.
		SettleAfter time.Duration
		// Bootstrap is how long a cell that has just started waits for listed members that don't send heartbeats.
		Bootstrap time.Duration
	}

	// Membership is one member's view of its cell. It isn't safe for concurrent use.
	Membership struct {
		options         Options
		key             Key
		list            List
		peers           map[Key]*peer
		lifecycle       lifecycle
		sequence        uint64
		sent            [sentWindow]time.Time
		lastTick        time.Time
		confirmed       bool
		probeSequence   uint64 // the first sequence sent since the last start or pause
		leaving         bool
		abstaining      bool
		settled         bool
		maxFormerLen    int    // size of the largest list that may still be in force elsewhere
		adoptedRevision uint64 // revision of the list that last changed the set of members, and when it was adopted
		adoptedAt       time.Time
		confirmedSince  time.Time    // since when all members have been confirming the list
		formerMembers   map[Key]bool // members of older lists that aren't in the current one
		voters          []Key        // members of all lists that may still be in force
	}

	peer struct {
		member         Member
		state          State
		incarnation    uint64
		sequence       uint64
		heardAt        time.Time
		echoSentAt     time.Time // when this process sent the last heartbeat that was echoed
		echoedSequence uint64
		listDigest     uint64
		revision       uint64
		fresh          bool
		total          int
		heard          []Key
	}
)

// New returns the Membership of a process that starts at now.
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
		options:       options,
		key:           KeyOf(options.ID),
		peers:         make(map[Key]*peer),
		formerMembers: make(map[Key]bool),
		lifecycle:     newLifecycle(),
		lastTick:      now,
		probeSequence: 1,
		abstaining:    true,
	}
}

// SetList adopts a published list unless its revision is lower than that of the current one.
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

// Tick updates the states of all members and reports whether the process was paused since the last Tick.
func (m *Membership) Tick(now time.Time) bool {
	paused := now.Sub(m.lastTick) > m.options.PauseAfter
	if paused {
		m.confirmed = false
		m.probeSequence = m.sequence + 1
	}
	m.lastTick = now
	for key, p := range m.peers {
		m.checkTimeouts(now, p)
		if !m.list.Contains(key) && now.Sub(p.heardAt) > m.options.DeadAfter {
			delete(m.peers, key)
			delete(m.formerMembers, key)
		}
	}
	m.settleIfConfirmed(now)
	m.updateConfirmed()
	return paused
}

// checkTimeouts makes a member suspect or dead after too long a silence in either direction.
func (m *Membership) checkTimeouts(now time.Time, p *peer) {
	last := p.heardAt
	if p.state != Joining && p.echoSentAt.Before(last) {
		last = p.echoSentAt
	}
	silence := now.Sub(last)
	if silence > m.options.SuspectAfter {
		p.state = m.lifecycle.next(p.state, eventMiss)
	}
	if silence > m.options.DeadAfter {
		p.state = m.lifecycle.next(p.state, eventExpire)
	}
}

// Leave marks this member as leaving, which its heartbeats announce.
func (m *Membership) Leave() {
	m.leaving = true
}

// CancelLeave reverts Leave.
func (m *Membership) CancelLeave() {
	m.leaving = false
}

// isHeard reports whether heartbeats of the member are being received.
func (m *Membership) isHeard(key Key) bool {
	if key == m.key {
		return true
	}
	p := m.peers[key]
	return p != nil && !p.heardAt.IsZero() && p.state != Unknown && p.state != Dead
}

// isCandidate reports whether votes may be lent to the member: heartbeats arrive in both directions and it isn't
// leaving.
func (m *Membership) isCandidate(key Key) bool {
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
