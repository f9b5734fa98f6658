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
	// hostsPeriod is how often each reader of a data centre reads the list of hosts. Readers don't take turns: they have no
	// clock in common, and one of them may be gone.
	hostsPeriod = 2 * time.Second
	// postedLeaving is how many names of leaving hosts fit a datagram beside the rest of a message.
	postedLeaving = 24
	// pollMemory is how long the answer to a poll counts.
	pollMemory = 10 * time.Second
)

type (
	// hostStates is the platform's list of hosts as this process knows it.
	hostStates struct {
		leaving map[string]bool
		// takenAt is before which no reader can have read the list, by this process's clock.
		takenAt time.Time
		due     time.Time
		reading bool
		// reader says that this process is one of its data centre's readers.
		reader bool
		// polls are the times at which peers were asked, by sequence number.
		polls map[uint64]time.Time
	}

	// hostsNews tells peers all hosts that are leaving, and how old that is.
	hostsNews struct {
		_         struct{} `cbor:",toarray"`
		AgeMillis int64
		Leaving   []string
	}
)

// refreshHosts reads the list if this process is one of its data centre's readers and a reading is due.
func (f *Feed) refreshHosts(now time.Time) {
	f.mu.Lock()
	due := f.hosts.reader && !f.hosts.reading && !now.Before(f.hosts.due)
	if due {
		f.hosts.reading = true
		f.hosts.due = now.Add(hostsPeriod)
	}
	f.mu.Unlock()
	if due {
		f.background(func() { f.readHosts(now) })
	}
}

func (f *Feed) readHosts(asked time.Time) {
	hosts, err := f.options.Platform.Hosts(f.ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts.reading = false
	if err != nil {
		f.options.Log.Debug("host list not read", "error", err)
		return
	}
	leaving := map[string]bool{}
	for _, h := range hosts {
		if h.Leaving {
			leaving[h.Name] = true
		}
	}
	f.hosts.adopt(asked, leaving)
}

// hostsNews is what peers are told; nil before anything is known.
func (f *Feed) hostsNews(now time.Time) *hostsNews {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hosts.takenAt.IsZero() {
		return nil
	}
	names := slices.Sorted(maps.Keys(f.hosts.leaving))
	return &hostsNews{AgeMillis: (now.Sub(f.hosts.takenAt) + time.Millisecond).Milliseconds(), Leaving: names}
}

// notePoll remembers when a peer was asked.
func (f *Feed) notePoll(now time.Time, sequence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for old, at := range f.hosts.polls {
		if now.Sub(at) > pollMemory {
			delete(f.hosts.polls, old)
		}
	}
	if f.hosts.polls == nil {
		f.hosts.polls = map[uint64]time.Time{}
	}
	f.hosts.polls[sequence] = now
}

// hearHosts takes the news that came with the answer to a poll. Their age counts from the poll and not from now: the
// answer may have been long under way, or this process may have been paused.
func (f *Feed) hearHosts(sequence uint64, news hostsNews) {
	f.mu.Lock()
	defer f.mu.Unlock()
	asked, known := f.hosts.polls[sequence]
	if !known || news.AgeMillis < 0 {
		return
	}
	delete(f.hosts.polls, sequence)
	leaving := map[string]bool{}
	for _, name := range news.Leaving {
		leaving[name] = true
	}
	f.hosts.adopt(asked.Add(-time.Duration(news.AgeMillis)*time.Millisecond), leaving)
}

// adopt takes a list that is newer than the one known.
func (h *hostStates) adopt(takenAt time.Time, leaving map[string]bool) {
	if takenAt.After(h.takenAt) {
		h.takenAt, h.leaving = takenAt, leaving
	}
}

// readsHosts reports whether the process at self is one of its data centre's readers.
func readsHosts(self, dataCentre string, members []usherview.Member) bool {
	here := append(slices.Clone(members), usherview.Member{Name: self, DataCentre: dataCentre})
	slices.SortFunc(here, func(a, b usherview.Member) int { return cmp.Compare(a.Name, b.Name) })
	return slices.Contains(usherview.Readers(slices.Compact(here), dataCentre, readersPerPlace), self)
}

// nearest returns the count members that are first by rendezvous hash for name.
func nearest(name string, members []usherview.Member, count int) []usherview.Member {
	score := func(m usherview.Member) uint64 { return xxhash.Sum64String(name + " " + m.Name) }
	slices.SortFunc(members, func(a, b usherview.Member) int { return cmp.Compare(score(a), score(b)) })
	return members[:min(count, len(members))]
}
