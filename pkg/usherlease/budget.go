package usherlease

import "time"

// Budget is how much a scheduler may have in progress on a target.
type Budget struct {
	Votes    int // held votes
	Proven   int // held votes that count, since what runs is known
	Total    int // votes there are
	Majority bool
	Capacity int // what the target bears, from all schedulers together
	Share    int // what it bears from this scheduler
	Used     int // what runs and counts against the share
	Room     int
	State    State
	Beyond   bool // whether a fresh report allows more than the share
}

// Budget returns what may be granted on the target at now; the zero value if there is no such target.
func (l *Leases) Budget(now time.Time, id string) Budget {
	t := l.byID[id]
	if t == nil {
		return Budget{}
	}
	all, total := l.held(now, t, false)
	proven, _ := l.held(now, t, true)
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
		Capacity: t.bearable(), Share: share(t.bearable(), counted, total), Used: t.used(),
		State: t.ramp.current(),
	}
	b.Room = max(b.Share-b.Used, 0)
	if warm && b.Majority && b.Room == 0 && t.load.fresh(now, l.options.Fresh) {
		b.Room = max(t.bearable()-t.ceiling(), 0)
		b.Beyond = b.Room > 0
	}
	if l.returning || t.load.incarnation == 0 {
		b.Room = 0
	}
	return b
}

// share returns the part of bearable that a holder of some of total votes may use. The sum of the shares of holders
// of different votes is at most bearable, because at most one of them rounds up.
func share(bearable, votes, total int) int {
	if votes == 0 || total == 0 {
		return 0
	}
	if isMajority(votes, total) {
		return min((bearable*votes+total-1)/total, bearable)
	}
	return bearable * votes / total
}

// needed returns the least number of votes with which the share is at least requests.
func needed(bearable, requests, total int) int {
	for votes := 1; votes <= total; votes++ {
		if share(bearable, votes, total) >= requests {
			return votes
		}
	}
	return total + 1
}
