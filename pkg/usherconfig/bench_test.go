package usherconfig_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
)

// controlMemoryBytes is the memory budget of a daemon for control data.
const controlMemoryBytes = 32 << 20

// BenchmarkView measures the time and memory costs of a view for a growing number of workspaces.
func BenchmarkView(b *testing.B) {
	for _, count := range []int{10, 1_000, 47_000} {
		index, shards := render(manyWorkspaces(b, count))
		b.Run(fmt.Sprintf("assemble/%d", count), func(b *testing.B) {
			for b.Loop() {
				if _, err := usherconfig.Assemble(index, shards); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(index)), "index-bytes")
			b.ReportMetric(float64(len(shards)), "shards")
			view, size := measureView(b, manyWorkspaces(b, count))
			b.ReportMetric(float64(size)/float64(view.WorkspaceCount()), "bytes/workspace")
			b.ReportMetric(float64(size)/(1<<20), "view-MiB")
		})
		view, err := usherconfig.Assemble(index, shards)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("lookup-spread/%d", count), func(b *testing.B) {
			names := workspaceNames(count)
			for i := 0; b.Loop(); i++ {
				if _, found := view.Workspace(names[i*7919%count]); !found {
					b.Fatal("workspace is missing")
				}
			}
		})
		b.Run(fmt.Sprintf("lookup-repeated/%d", count), func(b *testing.B) {
			name := workspaceNames(1)[0]
			for b.Loop() {
				if _, found := view.Workspace(name); !found {
					b.Fatal("workspace is missing")
				}
			}
		})
		b.Run(fmt.Sprintf("advance-one-workspace/%d", count), func(b *testing.B) {
			snapshot := manyWorkspaces(b, count)
			next := snapshot.WithRevision(2).WithWorkspace(snapshot.Workspaces[0].WithValue("appraisal", "paragraphs", "7"))
			index, shards := render(next)
			for b.Loop() {
				if _, err := view.Advance(index, shards); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func TestManyWorkspacesFitTheMemoryBudget(t *testing.T) {
	view, size := measureView(t, manyWorkspaces(t, 47_000))
	t.Logf("%d workspaces in %.1f MiB", view.WorkspaceCount(), float64(size)/(1<<20))
	if size > controlMemoryBytes {
		t.Errorf("view holds %d bytes of heap, want at most %d", size, controlMemoryBytes)
	}
}

// measureView returns the view of a snapshot and the heap size of the view with its cache full.
func measureView(tb testing.TB, snapshot usherconfig.Snapshot) (usherconfig.View, uint64) {
	tb.Helper()
	before := heapBytes()
	view := assemble(tb, snapshot)
	for i := range min(len(snapshot.Workspaces), 2000) {
		if _, found := view.Workspace(snapshot.Workspaces[i].Name); !found {
			tb.Fatal("workspace is missing")
		}
	}
	size := heapBytes() - before
	runtime.KeepAlive(snapshot)
	return view, size
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func workspaceNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("workspace-%06d", i)
	}
	return names
}
