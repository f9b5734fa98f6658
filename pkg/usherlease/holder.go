package usherlease

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushermember"
)

// vote is a vote on a target that this member holds.
type vote struct {
	lender ushermember.Key
	since  time.Time // start of the time for which it has been held without interruption
	until  time.Time
	total  int // number of votes according to the lender's member list
}

// Receive applies the ballot of an accepted heartbeat.
func (l *Leases) Receive(now time.Time, received ushermember.Received) {
	ballot := received.Ballot
	l.peerDigests[received.Key] = ballot.Targets
	if ballot.Returned {
		l.endLoans(holder{key: received.Key, incarnation: received.Incarnation})
	}
	until := received.EchoSentAt.Add(l.holderLease())
	if ballot.Abstain || received.EchoSentAt.IsZero() || !now.Before(until) {
		return
	}
	if l.returning || !l.acceptAfter.IsZero() && !received.EchoSentAt.After(l.acceptAfter) {
		return
	}
	if ballot.Explicit {
		l.recordExplicit(now, until, received)
		return
	}
	if ballot.Targets != l.digest {
		return
	}
	withheld := decodeWithheld(ballot.Withheld)
	for _, t := range l.assign(received.Candidates).byMember[l.view.Self] {
		if !slices.Contains(withheld, uint16(t.hash>>withheldShift)) {
			t.recordVote(now, until, received.Key, received.Total)
		}
	}
}

func (l *Leases) recordExplicit(now, until time.Time, received ushermember.Received) {
	var buf [8]byte
	for lent := received.Ballot.Lent; len(lent) >= lentBytes; lent = lent[lentBytes:] {
		copy(buf[:], lent[:lentBytes])
		if t := l.byHash[binary.BigEndian.Uint64(buf[:])>>lentShift]; t != nil {
			t.recordVote(now, until, received.Key, received.Total)
		}
	}
}

func decodeWithheld(encoded []byte) []uint16 {
	withheld := make([]uint16, 0, len(encoded)/withheldBytes)
	for ; len(encoded) >= withheldBytes; encoded = encoded[withheldBytes:] {
		withheld = append(withheld, binary.BigEndian.Uint16(encoded))
	}
	return withheld
}

// recordVote records a vote that is held until the given time, or extends it.
func (t *target) recordVote(now, until time.Time, lender ushermember.Key, total int) {
	for i := range t.votes {
		v := &t.votes[i]
		if v.lender != lender {
			continue
		}
		if !now.Before(v.until) {
			v.since = now
		}
		if until.After(v.until) {
			v.until = until
		}
		v.total = total
		return
	}
	t.votes = append(t.votes, vote{lender: lender, since: now, until: until, total: total})
}

// heldVotes returns the expiry times of the votes that count at now, latest first, and the total number of votes. Votes
// of members that are not voters in the current view do not count. With proven set, only votes count that were already
// held when the last load report was requested.
func (l *Leases) heldVotes(now time.Time, t *target, proven bool) (expiries []time.Time, total int) {
	total = l.view.Total
	t.votes = slices.DeleteFunc(t.votes, func(v vote) bool { return !now.Before(v.until) })
	for _, v := range t.votes {
		if !l.view.IsVoter(v.lender) || proven && !l.proves(t.load.requestedAt, v) {
			continue
		}
		expiries = append(expiries, v.until)
		total = max(total, v.total)
	}
	slices.SortFunc(expiries, func(a, b time.Time) int { return b.Compare(a) })
	return expiries, total
}

// MajorityTargets returns the IDs of the targets on which this member holds a majority of the votes.
func (l *Leases) MajorityTargets(now time.Time) []string {
	var ids []string
	for _, t := range l.targets {
		if expiries, total := l.heldVotes(now, t, false); isMajority(len(expiries), total) {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

func isMajority(votes, total int) bool {
	return 2*votes > total
}
