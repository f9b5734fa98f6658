package daemon_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/samphireusher/samphireusher/platform/usherstandin"
)

const (
	soakRest = 1500 * time.Millisecond
	// restSlack is how long after its request for a rest a target may still get requests, and restStrays how many may reach it
	// between that and the end of the rest, from the users' pages.
	restSlack  = 500 * time.Millisecond
	restStrays = 2
	// excuseTime covers the time between a fault and its effect on a request that was in progress.
	excuseTime = time.Second
)

type (
	// soakNotices is what hosts passed on of what targets said of themselves, and when faults excused them.
	soakNotices struct {
		// hostOf and sentAt have the host and the time of each attempt.
		hostOf map[string]string
		sentAt map[string]time.Time
		// passedOn has when a host first passed on that a target leaves, by host and target.
		passedOn map[[2]string]time.Time
		faults   []soakFault
	}

	// soakFault is a time in which a host was killed, paused or stopped, or a connection to a target disturbed.
	soakFault struct {
		// who is a host's address or a target's id.
		who        string
		begin, end time.Time
	}
)

func newSoakNotices() soakNotices {
	return soakNotices{hostOf: map[string]string{}, sentAt: map[string]time.Time{}, passedOn: map[[2]string]time.Time{}}
}

// disturb runs a fault and records its time.
func (s *soak) disturb(who string, fault func()) {
	begin := time.Now()
	fault()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notices.faults = append(s.notices.faults, soakFault{who: who, begin: begin, end: time.Now()})
}

// excused reports whether a host or the path to a target was disturbed at some time in a span.
func (n *soakNotices) excused(from, to time.Time, who ...string) bool {
	for _, f := range n.faults {
		for _, name := range who {
			if f.who == name && f.begin.Before(to.Add(excuseTime)) && f.end.After(from.Add(-excuseTime)) {
				return true
			}
		}
	}
	return false
}

// noteSent records a request before it is sent.
func (s *soak) noteSent(attempt, host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notices.hostOf[attempt], s.notices.sentAt[attempt] = host, time.Now()
}

// notePassedOn records what a response says of its target.
func (s *soak) notePassedOn(attempt, host string, header http.Header) {
	s.notePassedOnLimit(attempt, host, header)
	target := strings.TrimSuffix(header.Get("Server-Seal"), "."+attempt)
	if header.Get("Server-Leaving") != "1" || target == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if key := [2]string{host, target}; s.notices.passedOn[key].IsZero() {
		s.notices.passedOn[key] = time.Now()
	}
}

// injectNotice lets a target ask for a rest, or say that it is leaving and go some time later.
func (s *soak) injectNotice(ctx context.Context, random *rand.Rand) {
	s.mu.Lock()
	target := s.targets["i-"+strconv.Itoa(random.IntN(s.nextID))]
	retire := random.IntN(2) == 0 && !target.reclaimed
	target.reclaimed = target.reclaimed || retire
	s.mu.Unlock()
	if !retire {
		target.AskForRest(strconv.FormatFloat(soakRest.Seconds(), 'f', 1, 64))
		sleepFor(ctx, 200*time.Millisecond)
		target.AskForRest()
		sleepFor(ctx, soakRest)
		return
	}
	key, _ := target.Entry("ready")
	s.addTarget(target.engine)
	target.SayLeaving(true)
	sleepFor(ctx, 3*time.Second)
	s.remove(target, key)
}

// checkNotices compares what reached targets with what they had said of themselves.
func (s *soak) checkNotices() {
	n := &s.notices
	rests, checked, late := 0, 0, 0
	for id, target := range s.targets {
		arrivals := target.Arrivals()
		for _, asked := range arrivals {
			if host := n.hostOf[asked.Attempt]; asked.Rested && host != "" {
				rests++
				if s.checkRest(id, host, asked.At, arrivals) {
					checked++
				}
			}
		}
		for _, a := range arrivals {
			host, sent := n.hostOf[a.Attempt], n.sentAt[a.Attempt]
			said := n.passedOn[[2]string{host, id}]
			if !said.IsZero() && sent.After(said.Add(drainTime)) {
				late++
			}
			if !said.IsZero() && sent.After(said.Add(drainTime)) && !n.excused(said, a.At, host) {
				s.fail("%s reached %s from %s, sent %s after that host had passed on that it is leaving", a.Attempt, id, host, sent.Sub(said))
			}
		}
	}
	s.t.Logf("%d requests for a rest, %d of them checked; %d times a host passed on that a target leaves, %d late requests with the excused ones", rests, checked, len(n.passedOn), late)
}

// checkRest checks that few requests of a host reach a target after it has asked that host for a rest, and reports whether no
// fault excuses them.
func (s *soak) checkRest(id, host string, asked time.Time, arrivals []usherstandin.Arrival) bool {
	n := &s.notices
	if n.excused(asked, asked.Add(soakRest), host, id) {
		return false
	}
	strays := 0
	for _, a := range arrivals {
		if n.hostOf[a.Attempt] == host && a.At.After(asked.Add(restSlack)) && a.At.Before(asked.Add(soakRest)) {
			strays++
		}
	}
	if strays > restStrays {
		s.fail("%d requests of %s reached %s in the rest that it had asked for", strays, host, id)
	}
	return true
}
