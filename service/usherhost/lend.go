package usherhost

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/ushercluster"
)

const (
	// lendTimeout bounds how long callers wait for the responses of other hosts.
	lendTimeout = 50 * time.Millisecond
	// minLendInterval is the least time between two questions of a host about the targets of one service. Each host adds
	// lendIntervalPerHost, as all may ask the same one, up to maxLendInterval, within which a spare turn is open.
	minLendInterval     = 50 * time.Millisecond
	lendIntervalPerHost = 5 * time.Millisecond
	maxLendInterval     = 400 * time.Millisecond
	// maxLendTargets bounds the targets in one question, maxLenders the hosts that get it.
	maxLendTargets = 12
	maxLenders     = 4
)

type (
	// lending lets hosts use each other's turns at targets that name a limit, and learn from each other that a limit has ended. A
	// host asks before it refuses a request for want of a turn.
	lending struct {
		state *sharedState
		peers *peers

		mu     sync.Mutex
		lastID uint64
		// questions are the latest ones, by service.
		questions map[string]*lendQuestion

		asked    metrics.Counter
		borrowed metrics.Counter
		lent     metrics.Counter
		ends     metrics.Counter
	}

	// lendQuestion is a question to other hosts.
	lendQuestion struct {
		id      uint64
		at      time.Time
		targets []ushercatalog.Target
		// lenders are the hosts that were asked, unanswered those of them that have not responded.
		lenders    map[string]netip.AddrPort
		unanswered int
		datagram   datagramWire
		// done is closed when there is a turn, a limit has ended, or no other host has either.
		done  chan struct{}
		close func()
	}

	lendQuestionWire struct {
		ID      uint64           `cbor:"1,keyasint"`
		Targets []lendTargetWire `cbor:"2,keyasint"`
	}

	lendTargetWire struct {
		Target      string         `cbor:"1,keyasint"`
		Incarnation int64          `cbor:"2,keyasint,omitempty"`
		Address     netip.AddrPort `cbor:"3,keyasint"`
		// PerSecond is the limit that the target has named to the sender.
		PerSecond float64 `cbor:"4,keyasint,omitempty"`
	}

	lendReplyWire struct {
		ID uint64 `cbor:"1,keyasint"`
		// Lent is the position, from 1, of the target in the question for which the sender lends its turn; 0 for none.
		Lent int `cbor:"2,keyasint,omitempty"`
		// Ends are the limits that have ended as far as the sender knows.
		Ends []limitEndWire `cbor:"3,keyasint,omitempty"`
	}
)

func newLending(s *sharedState, p *peers, registry metrics.Registry) *lending {
	return &lending{
		state: s, peers: p, questions: map[string]*lendQuestion{},
		asked: metrics.NewRegisteredCounter("limits.asked", registry), borrowed: metrics.NewRegisteredCounter("limits.borrowed", registry),
		lent: metrics.NewRegisteredCounter("limits.lent", registry), ends: metrics.NewRegisteredCounter("limits.ends_told", registry),
	}
}

// await asks other hosts for a turn if this host has none at any target of a service, and waits for the first that helps. Requests that
// come meanwhile wait for the same responses.
func (l *lending) await(ctx context.Context, service string) {
	targets := l.state.heldOff(service)
	if len(targets) == 0 {
		return
	}
	select {
	case <-l.ask(service, targets).done:
	case <-ctx.Done():
	}
}

// ask returns the question about a service that is under way, or a new one unless the latest was asked just before.
func (l *lending) ask(service string, targets []ushercatalog.Target) *lendQuestion {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if latest := l.questions[service]; latest != nil && now.Sub(latest.at) < l.state.lendInterval() {
		return latest
	}
	q := &lendQuestion{at: now, targets: targets, lenders: l.state.lenders(now, targets), done: make(chan struct{})}
	q.close = sync.OnceFunc(func() { close(q.done) })
	l.lastID++
	q.id, l.questions[service] = l.lastID, q
	if len(q.lenders) == 0 || l.state.lendToSelf(targets) {
		q.close()
		return q
	}
	l.asked.Inc(1)
	time.AfterFunc(lendTimeout, q.close)
	d := l.state.statusDatagram()
	d.LendQuestion = &lendQuestionWire{ID: q.id}
	for _, t := range targets {
		perSecond, _ := l.state.limitOf(t)
		d.LendQuestion.Targets = append(d.LendQuestion.Targets, lendTargetWire{Target: t.ID, Incarnation: t.Incarnation, Address: t.Address, PerSecond: perSecond})
	}
	q.datagram, q.unanswered = d, len(q.lenders)
	for _, to := range q.lenders {
		l.peers.send(d, to)
	}
	return q
}

// askAlso asks one more host, once.
func (l *lending) askAlso(q *lendQuestion, host ushercluster.Member) {
	if _, asked := q.lenders[host.Name]; asked || len(q.lenders) >= 2*maxLenders {
		return
	}
	q.lenders[host.Name] = host.Address
	q.unanswered++
	l.peers.send(q.datagram, host.Address)
}

// handleQuestion responds to the question of another host.
func (l *lending) handleQuestion(from ushercluster.Member, w lendQuestionWire) {
	d := l.state.statusDatagram()
	reply := l.state.lend(w.Targets[:min(len(w.Targets), maxLendTargets)])
	reply.ID, d.LendReply = w.ID, &reply
	if reply.Lent > 0 {
		l.lent.Inc(1)
	}
	l.peers.send(d, from.Address)
}

// handleReply takes what another host lends and knows.
func (l *lending) handleReply(from ushercluster.Member, w lendReplyWire) {
	q, expected := l.expect(from.Name, w.ID)
	if !expected {
		return
	}
	ended, sources, borrowed := l.state.takeReply(from.Name, q, w)
	if borrowed {
		l.borrowed.Inc(1)
	}
	if len(ended) > 0 {
		l.ends.Inc(int64(len(ended)))
		l.peers.logLimitEnds(from.Name, ended)
		l.peers.reportNow()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, host := range sources {
		l.askAlso(q, host)
	}
	if borrowed || len(ended) > 0 || q.unanswered == 0 {
		q.close()
	}
}

// expect returns the question with an id that a host has not responded to yet. What is lent later than lendTimeout lapses.
func (l *lending) expect(host string, id uint64) (*lendQuestion, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, q := range l.questions {
		if to := q.lenders[host]; to.IsValid() && q.id == id && time.Since(q.at) <= lendTimeout {
			q.lenders[host] = netip.AddrPort{}
			q.unanswered--
			return q, true
		}
	}
	return nil, false
}

func (s *sharedState) heldOff(service string) []ushercatalog.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.pool.HeldOff(time.Now(), service)
	s.random.Shuffle(len(held), func(i, j int) { held[i], held[j] = held[j], held[i] })
	return held[:min(len(held), maxLendTargets)]
}

// limitOf returns the limit that a target has named, if any.
func (s *sharedState) limitOf(t ushercatalog.Target) (perSecond float64, limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.LimitOf(t)
}

func (s *sharedState) lendInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(minLendInterval+time.Duration(len(s.roster))*lendIntervalPerHost, maxLendInterval)
}

// updateRoster keeps the hosts in the order of their places. Hosts that are lost from sight keep theirs.
func (s *sharedState) updateRoster(hosts int) {
	alive := s.cluster.Alive(s.clock.now())
	if len(alive)+1 < hosts && len(s.roster) == hosts {
		return
	}
	s.roster = append(alive, s.cluster.Self())
	slices.SortFunc(s.roster, func(a, b ushercluster.Member) int { return strings.Compare(a.Name, b.Name) })
}

func (s *sharedState) rosterMember(name string) (ushercluster.Member, bool) {
	i, known := slices.BinarySearchFunc(s.roster, name, func(m ushercluster.Member, name string) int { return strings.Compare(m.Name, name) })
	if !known {
		return ushercluster.Member{}, false
	}
	return s.roster[i], true
}

// lenders returns the hosts to ask for a turn at one of the targets: those that have seen the end of a limit, those whose turn it is, and
// the collector, which hears most.
func (s *sharedState) lenders(now time.Time, targets []ushercatalog.Target) map[string]netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen, self := map[string]netip.AddrPort{}, s.cluster.Self().Name
	add := func(m ushercluster.Member) {
		if m.Name != self && m.Address.IsValid() && len(chosen) < maxLenders {
			chosen[m.Name] = m.Address
		}
	}
	for _, t := range targets {
		named, _ := s.pool.LimitNamed(t)
		if m, known := s.rosterMember(s.limitEnds[limitKeyOf(t)].seenBy); known && s.limitEnds[limitKeyOf(t)].sent.After(named) {
			add(m)
		}
	}
	for _, t := range targets {
		for _, place := range s.pool.Lenders(now, t) {
			if place < len(s.roster) {
				add(s.roster[place])
			}
		}
	}
	add(s.cluster.Collector(s.clock.now()))
	return chosen
}

// lendToSelf makes up for a turn of this host itself, and reports whether that was possible.
func (s *sharedState) lendToSelf(targets []ushercatalog.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, t := range targets {
		if perSecond, _ := s.pool.LimitOf(t); s.pool.Lend(now, t, perSecond) {
			s.pool.Borrow(now, t)
			return true
		}
	}
	return false
}

// lend returns what this host knows of the targets in a question, with a turn at one of them.
func (s *sharedState) lend(targets []lendTargetWire) (reply lendReplyWire) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for i, w := range targets {
		key := limitKey{target: w.Target, address: w.Address, incarnation: w.Incarnation}
		_, limited := s.pool.LimitNamed(key.entry())
		end, told := s.limitEnds[key]
		if !limited && told {
			reply.Ends = append(reply.Ends, end.wire(key, now, s.cluster.Self().Name))
		}
		switch {
		case reply.Lent > 0:
		case s.pool.Lend(now, key.entry(), w.PerSecond), s.pool.LendUnlimited(now, &s.lentTurns, key.entry(), w.PerSecond):
			reply.Lent = i + 1
		}
	}
	return reply
}

// takeReply records what another host lends and knows. It returns the targets whose limits have ended by that, and the hosts that know
// when, if this one cannot tell whether that was before the target named its limit.
func (s *sharedState) takeReply(from string, q *lendQuestion, w lendReplyWire) (ended []ushercatalog.Target, sources []ushercluster.Member, borrowed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if w.Lent > 0 && w.Lent <= len(q.targets) {
		s.pool.Borrow(now, q.targets[w.Lent-1])
		borrowed = true
	}
	for _, e := range w.Ends[:min(len(w.Ends), maxLendTargets)] {
		if e.Age < 0 || e.Age > limitEndRetention {
			continue
		}
		// The sender took the age after the question was asked. If another host told it, the age leaves out the time that took.
		key, sent := limitKey{target: e.Target, address: e.Address, incarnation: e.Incarnation}, q.at.Add(-e.Age)
		latest := sent
		if e.SeenBy != from {
			latest = sent.Add(-limitEndMargin)
		}
		named, limited := s.pool.LimitNamed(key.entry())
		switch {
		case !limited:
		case s.pool.Unlimit(key.entry(), latest):
			end := s.limitEnds[key]
			end.sent, end.seenBy, end.renewedUntil = sent, e.SeenBy, now.Add(limitEndLifetime)
			s.limitEnds[key] = end
			ended = append(ended, key.entry())
		case sent.After(named):
			if m, known := s.rosterMember(e.SeenBy); known && e.SeenBy != from {
				sources = append(sources, m)
			}
		}
	}
	return ended, sources, borrowed
}
