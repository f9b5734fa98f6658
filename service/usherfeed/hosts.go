package usherfeed

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphireusher/samphireusher/pkg/usherview"
)

const (
	// hostsReadInterval is the interval at which each reader of a data centre reads the list of hosts. Readers do not take
	// turns, because they share no clock and one of them may be down.
	hostsReadInterval = 2 * time.Second
	// maxDatagramLeaving is the number of leaving hosts' names that fit in a datagram with the rest of a message.
	maxDatagramLeaving = 24
	// pollRetention is how long a poll is remembered; a later response to it is ignored.
	pollRetention = 10 * time.Second
)

type (
	// hostStates is this process's copy of the platform's list of hosts.
	hostStates struct {
		leaving map[string]bool
		// asOf is the earliest time, by this process's clock, at which a reader can have read the list.
		asOf     time.Time
		nextRead time.Time
		reading  bool
		// reader is true if this process is one of its data centre's readers.
		reader bool
		// polls holds the times at which peers were polled, by sequence number.
		polls map[uint64]time.Time
	}

	// hostsUpdate lists all leaving hosts for a peer, with the age of the list.
	hostsUpdate struct {
		_         struct{} `cbor:",toarray"`
		AgeMillis int64
		Leaving   []string
	}
)

// refreshHosts reads the list if this process is one of its data centre's readers and the next read is due.
func (f *Feed) refreshHosts(now time.Time) {
	f.mu.Lock()
	due := f.hosts.reader && !f.hosts.reading && !now.Before(f.hosts.nextRead)
	if due {
		f.hosts.reading = true
		f.hosts.nextRead = now.Add(hostsReadInterval)
	}
	f.mu.Unlock()
	if due {
		f.background(func() { f.readHosts(now) })
	}
}

func (f *Feed) readHosts(requestedAt time.Time) {
	hosts, err := f.options.Platform.Hosts(f.ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts.reading = false
	if err != nil {
		f.options.Log.Debug("failed to read host list", "error", err)
		return
	}
	leaving := map[string]bool{}
	for _, h := range hosts {
		if h.Leaving {
			leaving[h.Name] = true
		}
	}
	f.hosts.update(requestedAt, leaving)
}

// hostsUpdate returns the update to send to peers, or nil if this process has no list yet. The age is rounded up, so that
// a receiver never takes the list for newer than it is.
func (f *Feed) hostsUpdate(now time.Time) *hostsUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hosts.asOf.IsZero() {
		return nil
	}
	names := slices.Sorted(maps.Keys(f.hosts.leaving))
	return &hostsUpdate{AgeMillis: (now.Sub(f.hosts.asOf) + time.Millisecond).Milliseconds(), Leaving: names}
}

// recordPoll records when a peer was polled, and drops expired polls.
func (f *Feed) recordPoll(now time.Time, sequence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for old, at := range f.hosts.polls {
		if now.Sub(at) > pollRetention {
			delete(f.hosts.polls, old)
		}
	}
	if f.hosts.polls == nil {
		f.hosts.polls = map[uint64]time.Time{}
	}
	f.hosts.polls[sequence] = now
}

// receiveHosts applies an update received with the response to a poll. Its age is relative to the time of the poll, not to
// the present: the response may have been delayed, or this process may have been paused.
func (f *Feed) receiveHosts(sequence uint64, update hostsUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	polledAt, known := f.hosts.polls[sequence]
	if !known || update.AgeMillis < 0 {
		return
	}
	delete(f.hosts.polls, sequence)
	leaving := map[string]bool{}
	for _, name := range update.Leaving {
		leaving[name] = true
	}
	f.hosts.update(polledAt.Add(-time.Duration(update.AgeMillis)*time.Millisecond), leaving)
}

// update replaces the list if the given one is newer.
func (h *hostStates) update(asOf time.Time, leaving map[string]bool) {
	if asOf.After(h.asOf) {
		h.asOf, h.leaving = asOf, leaving
	}
}

// isReader reports whether the process at self is one of its data centre's readers.
func isReader(self, dataCentre string, members []usherview.Member) bool {
	candidates := append(slices.Clone(members), usherview.Member{Name: self, DataCentre: dataCentre})
	slices.SortFunc(candidates, func(a, b usherview.Member) int { return cmp.Compare(a.Name, b.Name) })
	return slices.Contains(usherview.Readers(slices.Compact(candidates), dataCentre, readersPerDataCentre), self)
}

// rendezvousSelect returns the first count members in the order of their rendezvous hash with name.
func rendezvousSelect(name string, members []usherview.Member, count int) []usherview.Member {
	score := func(m usherview.Member) uint64 { return xxhash.Sum64String(name + " " + m.Name) }
	slices.SortFunc(members, func(a, b usherview.Member) int { return cmp.Compare(score(a), score(b)) })
	return members[:min(count, len(members))]
}
