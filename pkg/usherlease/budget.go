package usherlease

import "time"

// Budget is the number of requests that a scheduler may have in progress on a target, and its derivation.
type Budget struct {
	Votes        int // held votes
	Proven       int // held votes followed by a load report, which shows what still runs on the target
	Total        int // all votes on the target
	Majority     bool
	Capacity     int // requests that the target can run, from all schedulers together
	Share        int // part of Capacity that this scheduler may use
	Used         int // requests that may be running and count against Share
	FreeCapacity int // requests that may be granted now
	State        State
	BeyondShare  bool // whether FreeCapacity exceeds the share because a recent load report shows unused capacity
}

// Budget returns the budget for the target at now, or the zero value if the target is unknown.
func (l *Leases) Budget(now time.Time, id string) Budget {
	t := l.byID[id]
	if t == nil {
		return Budget{}
	}
	all, total := l.heldVotes(now, t, false)
	proven, _ := l.heldVotes(now, t, true)
	counted := len(proven)
	warm := t.ramp.current() == Warm
	if warm {
		counted = len(all)
	}
	if !warm && !isMajority(counted, total) && !now.Before(l.view.CurrentUntil) {
		counted = 0
	}
	b := Budget{
		Votes: len(all), Proven: len(proven), Total: total, Majority: isMajority(len(all), total),
		Capacity: t.capacity(), Share: share(t.capacity(), counted, total), Used: t.used(),
		State: t.ramp.current(),
	}
	b.FreeCapacity = max(b.Share-b.Used, 0)
	if warm && b.Majority && b.FreeCapacity == 0 && t.load.isFresh(now, l.options.MaxReportAge) {
		b.FreeCapacity = max(t.capacity()-t.ceiling(), 0)
		b.BeyondShare = b.FreeCapacity > 0
	}
	if l.returning || t.load.incarnation == 0 {
		b.FreeCapacity = 0
	}
	return b
}

// share returns the part of capacity that a scheduler holding votes out of total may use. Only the holder of a majority
// rounds up, so the shares of holders of disjoint votes add up to at most capacity.
func share(capacity, votes, total int) int {
	if votes == 0 || total == 0 {
		return 0
	}
	if isMajority(votes, total) {
		return min((capacity*votes+total-1)/total, capacity)
	}
	return capacity * votes / total
}

// votesNeeded returns the smallest number of votes whose share is at least requests, or total+1 if there is none.
func votesNeeded(capacity, requests, total int) int {
	for votes := 1; votes <= total; votes++ {
		if share(capacity, votes, total) >= requests {
			return votes
		}
	}
	return total + 1
}
