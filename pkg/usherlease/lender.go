package usherlease

import (
	"encoding/binary"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushermember"
)

const (
	lentBytes     = 6 // a hash that names a lent target; two targets must not share it
	lentShift     = 64 - 8*lentBytes
	withheldBytes = 2 // a hash that names a withheld target; sharing it withholds one vote too many
	withheldShift = 64 - 8*withheldBytes
	ballotBytes   = 720 // the most that a ballot adds to a datagram
)

type (
	// loan is a vote that this member has lent.
	loan struct {
		holder holder
		until  time.Time
	}

	// holder is one process; a restarted member is another holder.
	holder struct {
		key         ushermember.Key
		incarnation uint64
	}
)

// FillBallots fills the ballots of a round of heartbeats, which must be sent at now, and renews the loan to itself.
func (l *Leases) FillBallots(now time.Time, view ushermember.View, outgoing []ushermember.Outgoing) {
	l.view = view
	if l.returning {
		l.giveBackSelf(now)
	}
	l.expireLoans(now)
	abstain := view.Abstain || now.Before(l.abstainUntil)
	assigned := l.assign(view.Candidates)
	for i := range outgoing {
		out := &outgoing[i]
		out.Heartbeat.Ballot = ushermember.Ballot{Targets: l.digest, Abstain: true, Returned: l.returned(now)}
		until := out.EchoReceivedAt.Add(l.lenderLease())
		if abstain || out.EchoReceivedAt.IsZero() || !now.Before(until) {
			continue
		}
		to := holder{key: out.Key, incarnation: out.Incarnation}
		out.Heartbeat.Ballot.Abstain = false
		if l.peers[out.Key] == l.digest {
			l.lendImplied(now, until, to, assigned.byMember[out.Key], &out.Heartbeat.Ballot)
		} else {
			l.lendExplicit(now, until, to, assigned.byMember[out.Key], out.Heartbeat.Sequence, &out.Heartbeat.Ballot)
		}
	}
	if !abstain && !l.returning {
		l.lendSelf(now, assigned.byMember[view.Self])
	}
}

// lendImplied lends all of the targets but those that are lent elsewhere, which it names.
func (l *Leases) lendImplied(now, until time.Time, to holder, targets []*target, ballot *ushermember.Ballot) {
	for _, t := range targets {
		if !l.lendable(now, to, t) {
			ballot.Withheld = binary.BigEndian.AppendUint16(ballot.Withheld, uint16(t.hash>>withheldShift))
		}
	}
	if len(ballot.Withheld) > ballotBytes {
		ballot.Withheld, ballot.Abstain = nil, true
		return
	}
	for _, t := range targets {
		l.lend(now, until, to, t)
	}
}

// lendExplicit lends as many of the targets as it can name, others in each round.
func (l *Leases) lendExplicit(now, until time.Time, to holder, targets []*target, round uint64, ballot *ushermember.Ballot) {
	ballot.Explicit = true
	most := ballotBytes / lentBytes
	start := 0
	if len(targets) > most {
		start = int(round) * most % len(targets)
	}
	for i := range targets {
		t := targets[(start+i)%len(targets)]
		if len(ballot.Lent) >= most*lentBytes {
			return
		}
		if l.lend(now, until, to, t) {
			var buf [8]byte
			binary.BigEndian.PutUint64(buf[:], t.hash)
			ballot.Lent = append(ballot.Lent, buf[:lentBytes]...)
		}
	}
}

// lendSelf lends votes to this member.
func (l *Leases) lendSelf(now time.Time, targets []*target) {
	self := holder{key: l.view.Self, incarnation: l.view.Incarnation}
	for _, t := range targets {
		if l.lend(now, now.Add(l.lenderLease()), self, t) {
			t.hold(now, now.Add(l.holderLease()), self.key, l.view.Total)
		}
	}
}

// lendable reports whether the vote on the target isn't lent to another holder.
func (l *Leases) lendable(now time.Time, to holder, t *target) bool {
	current, ok := l.loans[t.hash]
	return !ok || current.holder == to || !now.Before(current.until)
}

// lend lends the vote on the target if it can, and reports whether it did.
func (l *Leases) lend(now, until time.Time, to holder, t *target) bool {
	if !l.lendable(now, to, t) {
		return false
	}
	if current, ok := l.loans[t.hash]; ok && current.holder == to && current.until.After(until) {
		return true
	}
	l.loans[t.hash] = loan{holder: to, until: until}
	return true
}

// expireLoans forgets loans of targets that were taken away.
func (l *Leases) expireLoans(now time.Time) {
	if len(l.loans) <= len(l.targets) {
		return
	}
	for hash, current := range l.loans {
		if !now.Before(current.until) {
			delete(l.loans, hash)
		}
	}
}

// freeLoans ends the loans to a holder that has given them back.
func (l *Leases) freeLoans(from holder) {
	for hash, current := range l.loans {
		if current.holder == from {
			delete(l.loans, hash)
		}
	}
}

// ReturnVotes stops granting. Votes go back with the first round of heartbeats after the last grant has run out.
func (l *Leases) ReturnVotes(now time.Time) {
	if l.returning {
		return
	}
	l.returning = true
	l.returnAt = now
	for _, a := range l.attempts {
		if a.expires.After(l.returnAt) {
			l.returnAt = a.expires
		}
	}
}

// Resume takes votes again after ReturnVotes.
func (l *Leases) Resume(now time.Time) {
	if l.returning {
		l.returning, l.acceptAfter = false, now
	}
}

// returned reports whether all votes have been given back.
func (l *Leases) returned(now time.Time) bool {
	return l.returning && !now.Before(l.returnAt)
}

// giveBackSelf ends the loans of this member to itself and drops the votes that it holds.
func (l *Leases) giveBackSelf(now time.Time) {
	if !l.returned(now) {
		return
	}
	l.freeLoans(holder{key: l.view.Self, incarnation: l.view.Incarnation})
	for _, t := range l.targets {
		t.votes = nil
	}
}
