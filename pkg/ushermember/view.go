package ushermember

import (
	"slices"
	"time"
)

type (
	// View is what one member knows of its cell at one moment. It is immutable.
	View struct {
		Cell        string
		Self        Key
		Incarnation uint64
		Revision    uint64
		Members     []MemberView
		// Candidates are the members that may be lent votes, sorted as the list is; this member is one of them
		// unless it leaves.
		Candidates []Key
		// Voters are the members whose votes count; newly listed ones do once the list has settled.
		Voters []Key
		// Total is the number of votes that budgets divide by.
		Total int
		// Abstain tells that this member may not lend its votes yet.
		Abstain bool
		// Confirmed tells that more than half of the list has answered since the last start or pause.
		Confirmed bool
		// CurrentUntil is until when a majority is known to have had the same list in force not long ago.
		CurrentUntil time.Time
		// Settled tells that every member has confirmed the list.
		Settled bool
	}

	// MemberView is the state of one member in a view.
	MemberView struct {
		Member      Member
		Key         Key
		State       State
		Incarnation uint64
		HeardAt     time.Time
		Hears       []Key
	}

	// Summary is all that other cells are told of a cell.
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

// View returns what is known at now.
func (m *Membership) View(now time.Time) View {
	v := View{
		Cell: m.options.Cell, Self: m.key, Incarnation: m.options.Incarnation, Revision: m.list.revision,
		Total: m.total(), Abstain: m.newcomer || !m.list.Contains(m.key),
		Confirmed: m.confirmed && now.Sub(m.lastTick) <= m.options.PauseAfter, Settled: m.settled, Voters: m.voters, CurrentUntil: m.currentUntil(),
		Members: make([]MemberView, 0, m.list.Len()), Candidates: make([]Key, 0, m.list.Len()),
	}
	for i, key := range m.list.keys {
		mv := MemberView{Member: m.list.members[i], Key: key, State: Alive, Incarnation: m.options.Incarnation, HeardAt: now}
		if p := m.peers[key]; p != nil {
			mv.State, mv.Incarnation, mv.HeardAt, mv.Hears = p.state, p.incarnation, p.heardAt, p.heard
		} else if !m.candidate(key) {
			mv.State = Leaving
		}
		v.Members = append(v.Members, mv)
		if m.candidate(key) {
			v.Candidates = append(v.Candidates, key)
		}
	}
	return v
}

// Digest identifies the candidates of the view.
func (v View) Digest() uint64 {
	return DigestOf(v.Candidates)
}

// IsVoter reports whether votes of the member count: it is on all lists that may be in force.
func (v View) IsVoter(key Key) bool {
	return slices.Contains(v.Voters, key)
}

// Summary returns what other cells are told.
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
