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
		want    bool
	}{
		{"only its own entry", []ushercatalog.Target{entry("a", 10)}, false},
		{"no entry", nil, false},
		{"another address", []ushercatalog.Target{elsewhere}, false},
		{"a successor beside its own entry", []ushercatalog.Target{entry("a", 10), entry("b", 20)}, true},
		{"a predecessor beside its own entry", []ushercatalog.Target{entry("a", 10), entry("b", 5)}, false},
		{"its own entry is gone", []ushercatalog.Target{entry("b", 0)}, true},
		{"a later start with its id", []ushercatalog.Target{entry("a", 20)}, true},
	} {
		pool := usherpool.New(usherpool.Options{Random: rand.New(rand.NewPCG(1, 1))})
		var published []ushercatalog.KnownEntry
		for _, target := range c.entries {
			published = append(published, ushercatalog.KnownEntry{Entry: ushercatalog.Entry{Target: &target}, Learned: start})
		}
		pool.Update(start, published, noneEvacuated, table(), 1)
		if got := pool.Replaced(entry("a", 10)); got != c.want {
			t.Errorf("%s: replaced %t, want %t", c.name, got, c.want)
		}
	}
}
