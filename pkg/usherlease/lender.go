package usherlease

import (
	"encoding/binary"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushermember"
)

const (
	lentBytes     = 6 // length of the hash that identifies a lent target; it must be unique among the targets
	lentShift     = 64 - 8*lentBytes
	withheldBytes = 2 // length of the hash that identifies a withheld target; a collision only withholds one more vote
	withheldShift = 64 - 8*withheldBytes
	ballotBytes   = 720 // maximum size that a ballot adds to a datagram
)

type (
	// loan is a vote that this member has lent.
	loan struct {
		holder holder
		until  time.Time
	}

	// holder identifies one process; a restarted member is a different holder.
	holder struct {
		key         ushermember.Key
		incarnation uint64
	}
)

// FillBallots sets the ballots of a round of heartbeats, which must be sent at now, and renews the loans of this member
// to itself.
func (l *Leases) FillBallots(now time.Time, view ushermember.View, outgoing []ushermember.Outgoing) {
	l.view = view
	if l.returning {
		l.returnOwnVotes(now)
	}
	l.dropExpiredLoans(now)
	abstain := view.Abstain || now.Before(l.abstainUntil)
	assigned := l.assign(view.Candidates)
	for i := range outgoing {
		out := &outgoing[i]
		out.Heartbeat.Ballot = ushermember.Ballot{Targets: l.digest, Abstain: true, Returned: l.votesReturned(now)}
		until := out.EchoReceivedAt.Add(l.lenderLease())
		if abstain || out.EchoReceivedAt.IsZero() || !now.Before(until) {
			continue
		}
		to := holder{key: out.Key, incarnation: out.Incarnation}
		out.Heartbeat.Ballot.Abstain = false
		if l.peerDigests[out.Key] == l.digest {
			l.lendImplied(now, until, to, assigned.byMember[out.Key], &out.Heartbeat.Ballot)
		} else {
			l.lendExplicit(now, until, to, assigned.byMember[out.Key], out.Heartbeat.Sequence, &out.Heartbeat.Ballot)
		}
	}
	if !abstain && !l.returning {
		l.lendSelf(now, assigned.byMember[view.Self])
	}
}

// lendImplied lends the votes on all of the targets except those that are lent to another holder, which the ballot lists
// as withheld.
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

// lendExplicit lends the votes on as many of the targets as the ballot can list, starting with different ones in each
// round.
func (l *Leases) lendExplicit(now, until time.Time, to holder, targets []*target, round uint64, ballot *ushermember.Ballot) {
	ballot.Explicit = true
	limit := ballotBytes / lentBytes
	start := 0
	if len(targets) > limit {
		start = int(round) * limit % len(targets)
	}
	for i := range targets {
		t := targets[(start+i)%len(targets)]
		if len(ballot.Lent) >= limit*lentBytes {
			return
		}
		if l.lend(now, until, to, t) {
			var buf [8]byte
			binary.BigEndian.PutUint64(buf[:], t.hash)
			ballot.Lent = append(ballot.Lent, buf[:lentBytes]...)
		}
	}
}

// lendSelf lends this member its own votes on the targets.
func (l *Leases) lendSelf(now time.Time, targets []*target) {
	self := holder{key: l.view.Self, incarnation: l.view.Incarnation}
	for _, t := range targets {
		if l.lend(now, now.Add(l.lenderLease()), self, t) {
			t.recordVote(now, now.Add(l.holderLease()), self.key, l.view.Total)
		}
	}
}

// lendable reports whether the vote on the target isn't lent to another holder.
func (l *Leases) lendable(now time.Time, to holder, t *target) bool {
	current, ok := l.loans[t.hash]
	return !ok || current.holder == to || !now.Before(current.until)
}

// lend lends the vote on the target unless another holder has it, and reports whether it did.
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

// dropExpiredLoans removes expired loans if there are more loans than targets, since those on removed targets are not
// renewed.
func (l *Leases) dropExpiredLoans(now time.Time) {
	if len(l.loans) <= len(l.targets) {
		return
	}
	for hash, current := range l.loans {
		if !now.Before(current.until) {
			delete(l.loans, hash)
		}
	}
}

// endLoans ends the loans to a holder that has returned them.
func (l *Leases) endLoans(from holder) {
	for hash, current := range l.loans {
		if current.holder == from {
			delete(l.loans, hash)
		}
	}
}

// ReturnVotes stops granting. The votes are returned with the first round of heartbeats after the last grant has expired.
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

// Resume accepts votes again after ReturnVotes.
func (l *Leases) Resume(now time.Time) {
	if l.returning {
		l.returning, l.acceptAfter = false, now
	}
}

// votesReturned reports whether all votes have been returned.
func (l *Leases) votesReturned(now time.Time) bool {
	return l.returning && !now.Before(l.returnAt)
}

// returnOwnVotes ends the loans of this member to itself and discards the votes that it holds, if the last grant has
// expired.
func (l *Leases) returnOwnVotes(now time.Time) {
	if !l.votesReturned(now) {
		return
	}
	l.endLoans(holder{key: l.view.Self, incarnation: l.view.Incarnation})
	for _, t := range l.targets {
		t.votes = nil
	}
}
