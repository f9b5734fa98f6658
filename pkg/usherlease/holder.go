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
	since  time.Time // from when it has been held without a break
	until  time.Time
	total  int // the votes that there are by the lender's list
}

// Receive takes in the ballot of an accepted heartbeat.
func (l *Leases) Receive(now time.Time, received ushermember.Received) {
	ballot := received.Ballot
	l.peers[received.Key] = ballot.Targets
	if ballot.Returned {
		l.freeLoans(holder{key: received.Key, incarnation: received.Incarnation})
	}
	until := received.EchoSentAt.Add(l.holderLease())
	if ballot.Abstain || received.EchoSentAt.IsZero() || !now.Before(until) {
		return
	}
	if l.returning || !l.acceptAfter.IsZero() && !received.EchoSentAt.After(l.acceptAfter) {
		return
	}
	if ballot.Explicit {
		l.holdLent(now, until, received)
		return
	}
	if ballot.Targets != l.digest {
		return
	}
	withheld := decodeWithheld(ballot.Withheld)
	for _, t := range l.assign(received.Candidates).byMember[l.view.Self] {
		if !slices.Contains(withheld, uint16(t.hash>>withheldShift)) {
			t.hold(now, until, received.Key, received.Total)
		}
	}
}

func (l *Leases) holdLent(now, until time.Time, received ushermember.Received) {
	var buf [8]byte
	for lent := received.Ballot.Lent; len(lent) >= lentBytes; lent = lent[lentBytes:] {
		copy(buf[:], lent[:lentBytes])
		if t := l.byHash[binary.BigEndian.Uint64(buf[:])>>lentShift]; t != nil {
			t.hold(now, until, received.Key, received.Total)
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

// hold notes a vote until the given time, or prolongs it.
func (t *target) hold(now, until time.Time, lender ushermember.Key, total int) {
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

// held returns when the votes of listed members that count at now run out, latest first, and the number of votes
// there are. With proven it counts only those that were held when the last load report was asked for.
func (l *Leases) held(now time.Time, t *target, proven bool) (untils []time.Time, total int) {
	total = l.view.Total
	t.votes = slices.DeleteFunc(t.votes, func(v vote) bool { return !now.Before(v.until) })
	for _, v := range t.votes {
		if !l.view.IsVoter(v.lender) || proven && !l.proves(t.load.askedAt, v) {
			continue
		}
		untils = append(untils, v.until)
		total = max(total, v.total)
	}
	slices.SortFunc(untils, func(a, b time.Time) int { return b.Compare(a) })
	return untils, total
}

// MajorityTargets returns the ids of the targets on which a majority of votes is held.
func (l *Leases) MajorityTargets(now time.Time) []string {
	var ids []string
	for _, t := range l.targets {
		if untils, total := l.held(now, t, false); isMajority(len(untils), total) {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

func isMajority(votes, total int) bool {
	return 2*votes > total
}
