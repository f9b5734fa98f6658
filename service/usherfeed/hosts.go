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
	// hostsPeriod is how often the list of hosts is read in a data centre, by its readers in turn.
	hostsPeriod = 2 * time.Second
	// maxLeaving bounds the names in a message.
	maxLeaving = 24
)

type (
	// hostStates is the platform's list of hosts as this process knows it.
	hostStates struct {
		leaving map[string]bool
		// takenAt is before which no reader can have read the list, by this process's clock.
		takenAt time.Time
		due     time.Time
		reading bool
		// readers is how many processes of the data centre read the list in turn; zero if this one does not.
		readers int
	}

	// hostsNews tells peers which hosts are leaving, and how old that is.
	hostsNews struct {
		_         struct{} `cbor:",toarray"`
		AgeMillis int64
		Leaving   []string
	}
)

// refreshHosts reads the list if this process is one of its data centre's readers and it is its turn.
func (f *Feed) refreshHosts(now time.Time) {
	f.mu.Lock()
	due := f.hosts.readers > 0 && !f.hosts.reading && !now.Before(f.hosts.due)
	if due {
		f.hosts.reading = true
		f.hosts.due = now.Add(hostsPeriod * time.Duration(f.hosts.readers))
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
	return &hostsNews{AgeMillis: now.Sub(f.hosts.takenAt).Milliseconds(), Leaving: names[:min(len(names), maxLeaving)]}
}

func (f *Feed) hearHosts(now time.Time, news hostsNews) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if news.AgeMillis < 0 {
		return
	}
	leaving := map[string]bool{}
	for _, name := range news.Leaving {
		leaving[name] = true
	}
	f.hosts.adopt(now.Add(-time.Duration(news.AgeMillis)*time.Millisecond), leaving)
}

// adopt takes a list that is newer than the one known.
func (h *hostStates) adopt(takenAt time.Time, leaving map[string]bool) {
	if takenAt.After(h.takenAt) {
		h.takenAt, h.leaving = takenAt, leaving
	}
}

// turns returns how many processes of a data centre read the list in turn, or zero if the one at self does not.
func turns(self, dataCentre string, members []usherview.Member) int {
	here := append(slices.Clone(members), usherview.Member{Name: self, DataCentre: dataCentre})
	slices.SortFunc(here, func(a, b usherview.Member) int { return cmp.Compare(a.Name, b.Name) })
	readers := usherview.Readers(slices.Compact(here), dataCentre, readersPerPlace)
	if !slices.Contains(readers, self) {
		return 0
	}
	return len(readers)
}

// nearest returns the count members that are first by rendezvous hash for name.
func nearest(name string, members []usherview.Member, count int) []usherview.Member {
	score := func(m usherview.Member) uint64 { return xxhash.Sum64String(name + " " + m.Name) }
	slices.SortFunc(members, func(a, b usherview.Member) int { return cmp.Compare(score(a), score(b)) })
	return members[:min(count, len(members))]
}
