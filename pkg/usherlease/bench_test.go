package usherlease_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/samphireusher/samphireusher/pkg/usherlease"
	"github.com/samphireusher/samphireusher/pkg/ushermember"
)

// BenchmarkRound measures what a member spends on a round of heartbeats to and from all its peers, encoding included:
// the time and the bytes sent in a steady round, the memory held, the bytes in the largest round after a member has
// died, and the bytes while its targets are unlike those of its peers.
func BenchmarkRound(b *testing.B) {
	for _, members := range []int{9, 27, 90} {
		for _, targets := range []int{12, 100, 1200} {
			b.Run(fmt.Sprintf("peers=%d/targets=%d", members, targets), func(b *testing.B) {
				benchmarkRound(b, members, targets)
			})
		}
	}
}

func benchmarkRound(b *testing.B, members, targets int) {
	many := manyTargets(targets)
	before := heapBytes()
	c := newCell(members, many)
	c.settle()
	perMember := 1 / float64(members)
	memory := float64(heapBytes()-before) * perMember / 1024
	bytes := 0
	c.wire = func(h ushermember.Heartbeat) (decoded ushermember.Heartbeat) {
		encoded, err := cbor.Marshal(h)
		if err != nil {
			b.Fatal(err)
		}
		if err := cbor.Unmarshal(encoded, &decoded); err != nil {
			b.Fatal(err)
		}
		bytes += len(encoded)
		return decoded
	}
	for b.Loop() {
		bytes = 0
		c.round()
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)*perMember, "us/member")
	b.ReportMetric(float64(bytes)*perMember, "B/member")
	b.ReportMetric(memory, "KiB/member")
	largest := func(rounds int) float64 {
		most := 0
		for range rounds {
			bytes = 0
			c.round()
			most = max(most, bytes)
		}
		return float64(most) * perMember
	}
	c.ids = c.ids[1:]
	b.ReportMetric(largest(10), "B/takeover")
	for i, id := range c.ids {
		c.at(id).leases.SetTargets(many[:targets-i%2])
	}
	b.ReportMetric(largest(3), "B/unlike")
}

func manyTargets(count int) (many []usherlease.Target) {
	for i := range count {
		many = append(many, usherlease.Target{ID: fmt.Sprintf("appraiser-%04d", i), ColdCapacity: 2, WarmCapacity: 32})
	}
	return many
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
