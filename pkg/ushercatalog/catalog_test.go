package ushercatalog_test

import (
	"cmp"
	"flag"
	"os"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
)

const defaultSeed = "1"

func useSeed(t *testing.T) {
	t.Helper()
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("USHER_SEED"), defaultSeed)); err != nil {
		t.Fatal(err)
	}
}

func replica(id string, revision uint64, leaving bool) ushercatalog.Entry {
	return ushercatalog.Entry{
		Key: ushercatalog.Key{Kind: ushercatalog.TargetEntry, Name: id}, Revision: revision, Target: &ushercatalog.Target{ID: id, Leaving: leaving},
	}
}

func removal(id string, revision uint64) ushercatalog.Entry {
	return ushercatalog.Entry{Key: ushercatalog.Key{Kind: ushercatalog.TargetEntry, Name: id}, Revision: revision, Removed: true}
}

func declarations(revision uint64, version int64) ushercatalog.Entry {
	return ushercatalog.Entry{
		Key: ushercatalog.Key{Kind: ushercatalog.Declaration}, Revision: revision, Declarations: &ushercatalog.Declarations{Version: version},
	}
}

func ids(c *ushercatalog.Catalog) []string {
	names := []string{}
	for _, k := range c.Targets() {
		names = append(names, k.Target.ID)
	}
	return names
}

// Hosts learn entries from the store and from several peers, in any order and more than once.
func TestMergeIsIndependentOfOrderAndRepetition(t *testing.T) {
	useSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		var entries []ushercatalog.Entry
		for revision := uint64(1); revision <= 20; revision++ {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			switch rapid.IntRange(0, 3).Draw(t, "change") {
			case 0:
				entries = append(entries, removal(id, revision))
			case 1:
				entries = append(entries, declarations(revision, int64(revision)))
			default:
				entries = append(entries, replica(id, revision, rapid.Bool().Draw(t, "leaving")))
			}
		}
		var inOrder, shuffled ushercatalog.Catalog
		now := time.Time{}
		inOrder.Merge(now, entries...)
		version := int64(0)
		for range 3 {
			for _, e := range rapid.Permutation(entries).Draw(t, "order") {
				shuffled.Merge(now, e)
				if table := shuffled.Table(); table != nil {
					if table.Version() < version {
						t.Fatalf("version decreased from %d to %d", version, table.Version())
					}
					version = table.Version()
				}
			}
		}
		if !reflect.DeepEqual(inOrder.Entries(), shuffled.Entries()) {
			t.Fatalf("in order %v, shuffled %v", inOrder.Entries(), shuffled.Entries())
		}
	})
}

func TestFullListRemovesMissingButNotNewerEntries(t *testing.T) {
	var c ushercatalog.Catalog
	now := time.Time{}
	c.Merge(now, replica("gone", 3, false), replica("same", 4, false), replica("newer", 12, false), replica("edge", 10, false), declarations(2, 1))
	c.ApplyFullList(now, []ushercatalog.Entry{replica("same", 4, false)}, 10)
	if got, want := ids(&c), []string{"newer", "same"}; !reflect.DeepEqual(got, want) {
		t.Errorf("targets %v, want %v", got, want)
	}
	if c.Table() == nil {
		t.Error("declarations were removed by a full list")
	}
	if c.Revision() != 10 {
		t.Errorf("revision %d, want 10", c.Revision())
	}
	// An older view of a peer must not restore a removed target.
	c.Merge(now, replica("gone", 9, false))
	if got, want := ids(&c), []string{"newer", "same"}; !reflect.DeepEqual(got, want) {
		t.Errorf("after an older view: targets %v, want %v", got, want)
	}
	c.Merge(now, replica("gone", 11, false))
	if got, want := ids(&c), []string{"gone", "newer", "same"}; !reflect.DeepEqual(got, want) {
		t.Errorf("after a newer entry: targets %v, want %v", got, want)
	}
}

func TestUndecodableEntryYieldsNoTarget(t *testing.T) {
	var c ushercatalog.Catalog
	c.Merge(time.Time{}, replica("a", 1, false), replica("b", 2, false))
	c.Merge(time.Time{}, ushercatalog.Entry{Key: ushercatalog.Key{Kind: ushercatalog.TargetEntry, Name: "a"}, Revision: 3})
	if got, want := ids(&c), []string{"b"}; !reflect.DeepEqual(got, want) {
		t.Errorf("targets %v, want %v", got, want)
	}
}

func TestSweepDeletesOldRemovals(t *testing.T) {
	var c ushercatalog.Catalog
	start := time.Time{}
	c.Merge(start, removal("a", 1), replica("b", 2, false))
	c.Sweep(start.Add(ushercatalog.RemovalRetention))
	if len(c.Entries()) != 2 {
		t.Error("a removal was deleted too early")
	}
	c.Sweep(start.Add(ushercatalog.RemovalRetention + time.Second))
	if len(c.Entries()) != 1 {
		t.Error("an old removal was not deleted")
	}
}

// The store was unavailable, and the entries of live targets expired in the meantime.
func TestEntriesExpiredDuringOutageAreKeptOnce(t *testing.T) {
	var c ushercatalog.Catalog
	now := time.Unix(1000, 0)
	leaving := replica("leaving", 3, false)
	leaving.Target = &ushercatalog.Target{ID: "leaving", Leaving: true}
	live := replica("live", 4, false)
	live.Target = &ushercatalog.Target{ID: "live"}
	c.Merge(now, leaving, live)
	changed, kept := c.ApplyFullListAfterOutage(now, nil, 10)
	if !kept || len(changed) != 1 || changed[0].Key.Name != "leaving" || len(c.Targets()) != 1 {
		t.Errorf("changed %v, kept %t, targets %v", changed, kept, c.Targets())
	}
	if changed := c.ApplyFullList(now, nil, 12); len(changed) != 1 || len(c.Targets()) != 0 {
		t.Errorf("the second list removed %v, remaining targets %v", changed, c.Targets())
	}
}
