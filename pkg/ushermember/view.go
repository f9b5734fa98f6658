package ushermember

import (
	"slices"
	"time"
)

type (
	// View is a snapshot of what one member knows about its cell. It is immutable.
	View struct {
		Cell        string
		Self        Key
		Incarnation uint64
		Revision    uint64
		Members     []MemberView
		// Candidates are the members that may be lent votes, in the order of the list. They include this member unless
		// it is leaving.
		Candidates []Key
		// Voters are the members whose votes count. Those of newly listed members count once the list has settled.
		Voters []Key
		// Total is the number of votes by which limits are divided.
		Total int
		// Abstain reports that this member may not lend its votes yet.
		Abstain bool
		// Confirmed reports that more than half of the listed members have answered since the last start or pause.
		Confirmed bool
		// CurrentUntil is the time until which the list counts as current: a majority confirmed recently that it has
		// the same list in force.
		CurrentUntil time.Time
		// Settled reports that every member has confirmed the list, so that no older one can be in force.
		Settled bool
	}

	// MemberView is the state of one member in a View.
	MemberView struct {
		Member      Member
		Key         Key
		State       State
		Incarnation uint64
		HeardAt     time.Time
		// Hears are the members whose heartbeats this member receives, as it reported last.
		Hears []Key
	}

	// Summary is the information about a cell that is sent to other cells.
	Summary struct {
		Cell     string `cbor:"1,keyasint"`
		From     Key    `cbor:"2,keyasint"`
		Revision uint64 `cbor:"3,keyasint"`
		Listed   int    `cbor:"4,keyasint"`
		Alive    int    `cbor:"5,keyasint"`
		Leaving  int    `cbor:"6,keyasint"`
		Digest   uint64 `cbor:"7,keyasint"`
	}
)

// View returns a snapshot of the cell at now.
func (m *Membership) View(now time.Time) View {
	v := View{
		Cell: m.options.Cell, Self: m.key, Incarnation: m.options.Incarnation, Revision: m.list.revision,
		Total: m.totalVotes(), Abstain: m.abstaining || !m.list.Contains(m.key),
		Confirmed: m.confirmed && now.Sub(m.lastTick) <= m.options.PauseAfter, Settled: m.settled, Voters: m.voters, CurrentUntil: m.currentUntil(),
		Members: make([]MemberView, 0, m.list.Len()), Candidates: make([]Key, 0, m.list.Len()),
	}
	for i, key := range m.list.keys {
		mv := MemberView{Member: m.list.members[i], Key: key, State: Alive, Incarnation: m.options.Incarnation, HeardAt: now}
		if p := m.peers[key]; p != nil {
			mv.State, mv.Incarnation, mv.HeardAt, mv.Hears = p.state, p.incarnation, p.heardAt, p.heard
		} else if !m.isCandidate(key) {
			mv.State = Leaving
		}
		v.Members = append(v.Members, mv)
		if m.isCandidate(key) {
			v.Candidates = append(v.Candidates, key)
		}
	}
	return v
}

// Digest returns a hash of the candidates.
func (v View) Digest() uint64 {
	return DigestOf(v.Candidates)
}

// IsVoter reports whether the member's votes count, that is, whether it is on all lists that may be in force.
func (v View) IsVoter(key Key) bool {
	return slices.Contains(v.Voters, key)
}

// Summary returns the summary of the view for other cells.
func (v View) Summary() Summary {
	s := Summary{Cell: v.Cell, From: v.Self, Revision: v.Revision, Listed: len(v.Members), Digest: v.Digest()}
	for _, mv := range v.Members {
		switch mv.State {
		case Alive:
			s.Alive++
		case Leaving:
			s.Leaving++
		}
	}
	return s
}
