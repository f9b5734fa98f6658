package usherpool_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
)

// A target whose address another one has can't be asked about its runs any more. The entry of one that was there before it must not
// look like its successor's.
func TestTargetIsReplacedOnlyByALaterOne(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:80")
	entry := func(id string, born int64) ushercatalog.Target {
		return ushercatalog.Target{ID: id, Service: "s", Address: address, Incarnation: born}
	}
	elsewhere := entry("b", 20)
	elsewhere.Address = netip.MustParseAddrPort("10.0.0.2:80")
	for _, c := range []struct {
		name    string
		entries []ushercatalog.Target
		// kept are targets whose entries are gone, and at which requests of this host still run.
		kept []ushercatalog.Target
		want bool
	}{
		{name: "only its own entry", entries: []ushercatalog.Target{entry("a", 10)}},
		{name: "no entry"},
		{name: "another address", entries: []ushercatalog.Target{elsewhere}},
		{name: "a successor beside its own entry", entries: []ushercatalog.Target{entry("a", 10), entry("b", 20)}, want: true},
		{name: "a predecessor beside its own entry", entries: []ushercatalog.Target{entry("a", 10), entry("b", 5)}},
		{name: "its own entry is gone", entries: []ushercatalog.Target{entry("b", 0)}, want: true},
		{name: "a later start with its id", entries: []ushercatalog.Target{entry("a", 20)}, want: true},
		{name: "its own entry and that of a predecessor are gone", kept: []ushercatalog.Target{entry("b", 5)}},
	} {
		pool := usherpool.New(usherpool.Options{Random: rand.New(rand.NewPCG(1, 1))})
		publish := func(targets []ushercatalog.Target) {
			var published []ushercatalog.KnownEntry
			for _, target := range targets {
				published = append(published, ushercatalog.KnownEntry{Entry: ushercatalog.Entry{Target: &target}, Learned: start})
			}
			pool.Update(start, published, noneEvacuated, table(), 1)
		}
		publish(c.kept)
		for _, target := range c.kept {
			pool.AddLoad(target.ID, usherpool.Load{Calls: 1})
		}
		publish(c.entries)
		if got := pool.Replaced(entry("a", 10)); got != c.want {
			t.Errorf("%s: replaced %t, want %t", c.name, got, c.want)
		}
	}
}
