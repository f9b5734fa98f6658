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
	defaultSettleAfter  = 5 * time.Second
	sentTimes           = 64
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("ushermember")
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
		// not be shorter than the longest lease.
		SettleAfter time.Duration
		// ListLag is the longest time in which the platform shows a change of the list to each process that runs.
		// Zero means that there is no bound: then a list settles only when all its members have confirmed it.
		ListLag time.Duration
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
		agreedAt  time.Time // since when all members have confirmed the list
		former    map[Key]bool
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
		settled     bool
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

// replaceVoters starts the time in which two lists count as in force.
func (m *Membership) replaceVoters(now time.Time, list List) {
	m.formerMax = max(m.formerMax, m.list.Len())
	m.settled = false
	m.agreedAt = time.Time{}
	m.adopted, m.adoptedAt = list.revision, now
	for _, key := range m.list.keys {
		if !list.Contains(key) && key != m.key {
			m.former[key] = true
		}
	}
	for _, key := range list.keys {
		delete(m.former, key)
	}
	if !m.list.Contains(m.key) {
		m.newcomer = true
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

// settle forgets older lists once every member of the list in force has confirmed it for long enough.
func (m *Membership) settle(now time.Time) {
	if m.settled || m.list.Len() == 0 {
		return
	}
	if !m.agreed(now) {
		m.agreedAt = time.Time{}
		return
	}
	if m.agreedAt.IsZero() {
		m.agreedAt = now
	}
	if now.Sub(m.agreedAt) < m.options.SettleAfter {
		return
	}
	m.markSettled()
}

func (m *Membership) markSettled() {
	m.settled = true
	m.newcomer = false
	m.formerMax = 0
	clear(m.former)
}

// agreed reports whether no process can have an older list in force: all listed members have confirmed this one and
// no removed member is heard with an older one, or the platform's bound on late lists has passed.
func (m *Membership) agreed(now time.Time) bool {
	if m.options.ListLag > 0 {
		return now.Sub(m.adoptedAt) >= m.options.ListLag
	}
	for key := range m.former {
		if p := m.peers[key]; p != nil && p.revision < m.adopted {
			return false
		}
	}
	for _, key := range m.list.keys {
		if p := m.peers[key]; p != nil && !p.confirms(m.list.digest, m.adopted) {
			return false
		}
	}
	return true
}

func (p *peer) confirms(digest, revision uint64) bool {
	return p.list == digest && p.revision >= revision
}

// confirm notes that more than half of the list has echoed a heartbeat sent since the last start or pause.
func (m *Membership) confirm() {
	if m.confirmed {
		return
	}
	count := 1
	for key, p := range m.peers {
		if m.list.Contains(key) && p.echoed >= m.probe {
			count++
		}
	}
	m.confirmed = 2*count > m.list.Len()
}

// Leave marks this member as leaving; its heartbeats give notice of it.
func (m *Membership) Leave() {
	m.leaving = true
}

// Return takes back Leave.
func (m *Membership) Return() {
	m.leaving = false
}

// Heartbeats returns one heartbeat for each peer that is listed. They count as sent at now.
func (m *Membership) Heartbeats(now time.Time) []Outgoing {
	m.sequence++
	m.sent[m.sequence%sentTimes] = now
	base := Heartbeat{
		Cell:        m.options.Cell,
		From:        m.key,
		Incarnation: m.options.Incarnation,
		Sequence:    m.sequence,
		List:        m.list.digest,
		Revision:    m.list.revision,
		Total:       m.total(),
		Settled:     m.settled,
		Leaving:     m.leaving,
	}
	candidates := m.list.encode(m.candidate)
	heard := m.list.encode(m.hears)
	outgoing := make([]Outgoing, 0, m.list.Len())
	for i, key := range m.list.keys {
		if key == m.key {
			continue
		}
		p := m.peers[key]
		h := base
		if !p.heardAt.IsZero() {
			h.Echo = Echo{Incarnation: p.incarnation, Sequence: p.sequence}
		}
		if p.list == m.list.digest {
			h.Heard, h.Candidates = heard, candidates
		} else {
			h.HeardKeys, h.CandidateKeys = m.list.decode(heard), m.list.decode(candidates)
		}
		outgoing = append(outgoing, Outgoing{
			To: m.list.members[i], Key: key, Incarnation: p.incarnation, EchoReceivedAt: p.heardAt, Heartbeat: h,
		})
	}
	return outgoing
}

// Receive takes in a heartbeat. It refuses those of other cells, of members that aren't listed, and old ones.
func (m *Membership) Receive(now time.Time, h Heartbeat) (Received, error) {
	p := m.peers[h.From]
	if h.Cell != m.options.Cell || p == nil {
		return Received{}, ErrForeign.New("heartbeat of member %x of cell %q", uint64(h.From), h.Cell)
	}
	if !p.accepts(h) {
		return Received{}, ErrStale.New("heartbeat %d of incarnation %d", h.Sequence, h.Incarnation)
	}
	if h.Incarnation != p.incarnation {
		*p = peer{member: p.member, state: Unknown, incarnation: h.Incarnation}
	}
	p.sequence, p.heardAt = h.Sequence, now
	p.list, p.revision, p.settled, p.total = h.List, h.Revision, h.Settled, h.Total
	candidates, heard := h.CandidateKeys, h.HeardKeys
	if h.List == m.list.digest && len(h.CandidateKeys)+len(h.HeardKeys) == 0 {
		candidates, heard = m.list.decode(h.Candidates), m.list.decode(h.Heard)
	}
	p.heard = heard
	sentAt := m.sentAt(h.Echo)
	if sentAt.After(p.echoedAt) {
		p.echoedAt, p.echoed = sentAt, h.Echo.Sequence
	}
	m.advance(now, p, h.Leaving)
	if h.Settled && h.List == m.list.digest && h.Revision >= m.adopted {
		m.markSettled()
	}
	return Received{
		From: p.member, Key: h.From, Incarnation: h.Incarnation, EchoSentAt: sentAt,
		Candidates: candidates, Total: h.Total, Ballot: h.Ballot,
	}, nil
}

// accepts reports whether a heartbeat is newer than those received. A smaller incarnation counts only once the
// larger one is dead, since a late datagram is likelier than a process whose number went down.
func (p *peer) accepts(h Heartbeat) bool {
	if h.Incarnation == p.incarnation {
		return h.Sequence > p.sequence
	}
	return h.Incarnation > p.incarnation || p.state == Dead
}

// advance moves the life cycle of a member that has just been heard.
func (m *Membership) advance(now time.Time, p *peer, leaving bool) {
	if leaving || p.member.Leaving {
		p.state = m.lifecycle.next(p.state, eventLeave)
		return
	}
	p.state = m.lifecycle.next(p.state, eventReturn)
	p.state = m.lifecycle.next(p.state, eventHear)
	if !p.echoedAt.IsZero() && now.Sub(p.echoedAt) <= m.options.SuspectAfter {
		p.state = m.lifecycle.next(p.state, eventJoin)
	}
}

// sentAt returns when this process sent the echoed heartbeat, or zero.
func (m *Membership) sentAt(echo Echo) time.Time {
	if echo.Incarnation != m.options.Incarnation || echo.Sequence == 0 || echo.Sequence > m.sequence {
		return time.Time{}
	}
	if m.sequence-echo.Sequence >= sentTimes {
		return time.Time{}
	}
	return m.sent[echo.Sequence%sentTimes]
}

// total returns the number of votes that budgets divide by.
func (m *Membership) total() int {
	total := max(m.list.Len(), m.formerMax)
	if m.settled {
		return total
	}
	for _, p := range m.peers {
		total = max(total, p.total)
	}
	return total
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
