package usherhost

import (
	"context"
	"sync"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercluster"
)

const (
	// pulseInterval is the mean time between two checks of a host that it has not stood still, and standstillTime the gap between
	// two checks from which it has: scheduling and throttling delay a check for less.
	pulseInterval  = 100 * time.Millisecond
	standstillTime = time.Second
	// settleTime is how long after a standstill a host knows too little of the others to name them to callers: a round of
	// reports.
	settleTime = 300 * time.Millisecond
	// discardTime is how long a host reads and drops datagrams after a standstill: what its socket has kept is read within.
	discardTime = 20 * time.Millisecond
	// unknownTime is how long after a standstill datagrams of unknown hosts are dropped as well: a quota of processor time may end while
	// what has waited is read. A host that runs sends the next one soon.
	unknownTime = time.Second
)

type (
	// standstill detects that the process, or the whole machine, stood still: by the steady clock, and by one that also counts
	// the time in which a machine is suspended.
	standstill struct {
		mu sync.Mutex
		// uptime returns the time of the second clock; nil if there is none.
		uptime     func() time.Duration
		last       time.Time
		lastUptime time.Duration
		// settled is when the process has been running for long enough to know the other hosts again, discardUntil when its socket has
		// nothing left that waited, dropUnknownUntil when not even a process that is short of processor time has. They are set with the check
		// that finds the gap: other goroutines see no moment between.
		settled          time.Time
		discardUntil     time.Time
		dropUnknownUntil time.Time
	}

	// gap is a time in which the process stood still. missed is the part of it that the steady clock has not counted.
	gap struct {
		length, missed time.Duration
	}
)

func newStandstill(uptime func() time.Duration) *standstill {
	s := &standstill{uptime: uptime, last: time.Now()}
	if uptime != nil {
		s.lastUptime = uptime()
	}
	return s
}

// check returns the gap since the last check if the process stood still.
func (s *standstill) check() (gap, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	g := gap{length: now.Sub(s.last)}
	s.last = now
	if s.uptime != nil {
		uptime := s.uptime()
		g.missed = max(uptime-s.lastUptime-g.length, 0)
		g.length += g.missed
		s.lastUptime = uptime
	}
	if g.length < standstillTime {
		return gap{}, false
	}
	s.settled, s.discardUntil, s.dropUnknownUntil = now.Add(settleTime), now.Add(discardTime), now.Add(unknownTime)
	return g, true
}

// isSettled reports whether the process has been running for long enough to know the other hosts again.
func (s *standstill) isSettled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !time.Now().Before(s.settled)
}

// isDiscarding reports whether what is read from the socket may have waited there.
func (s *standstill) isDiscarding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.discardUntil)
}

// isDroppingUnknown reports whether datagrams of unknown hosts may have waited in the socket.
func (s *standstill) isDroppingUnknown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.dropUnknownUntil)
}

// runPulse checks for standstills until ctx ends, and reports by how much the checks came late. The times between them vary, as
// a quota of processor time may end in the same part of each period.
func (p *peers) runPulse(ctx context.Context, recordDelay func(now time.Time, delay time.Duration)) {
	for ctx.Err() == nil {
		interval := pulseInterval/2 + time.Duration(p.state.randomFraction()*float64(pulseInterval))
		start := time.Now()
		sleep(ctx, interval)
		now := time.Now()
		// A standstill is no sign of pressure. The goroutine that receives datagrams may have noticed it first.
		if delay := now.Sub(start) - interval; !p.checkStandstill() && delay < standstillTime-2*pulseInterval && ctx.Err() == nil {
			recordDelay(now, delay)
		}
	}
}

// checkStandstill corrects what this host believes if it stood still, and reports whether it did.
func (p *peers) checkStandstill() bool {
	g, stood := p.standstill.check()
	if !stood {
		return false
	}
	if g.missed > 0 {
		p.state.forgetLimitEnds()
	}
	p.log.Warn("process stood still; dropping the datagrams that have waited", "duration_ms", g.length.Milliseconds(), "missed_ms", g.missed.Milliseconds())
	return true
}

// isStale reports whether a datagram that has just been read may have waited while the process stood still.
func (p *peers) isStale() bool {
	p.checkStandstill()
	return p.standstill.isDiscarding()
}

// mayHaveWaited reports whether a datagram of an unknown host may have waited while the process stood still. Beats show that for the
// others.
func (p *peers) mayHaveWaited(r ushercluster.Report) bool {
	return p.standstill.isDroppingUnknown() && !p.state.knows(r.From)
}

// knows reports whether a beat of this start of a host has been heard.
func (s *sharedState) knows(m ushercluster.Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cluster.Knows(m)
}

// forgetLimitEnds forgets the limits that have ended, as their times would seem later than they are once the process's clock has missed
// some.
func (s *sharedState) forgetLimitEnds() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.limitEnds)
}
