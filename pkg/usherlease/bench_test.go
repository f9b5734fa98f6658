package usherlease_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/samphireusher/samphireusher/pkg/usherlease"
	"github.com/samphireusher/samphireusher/pkg/ushermember"
)

// BenchmarkRound measures the cost per member of a round of heartbeats to and from all peers, encoding included: the time
// and the bytes sent in a steady round, the memory in use, the bytes of the largest round after a member has failed, and
// the bytes of the largest round while the member's targets differ from those of its peers.
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
	declared := manyTargets(targets)
	before := heapBytes()
	c := newCell(members, declared)
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
		peak := 0
		for range rounds {
			bytes = 0
			c.round()
			peak = max(peak, bytes)
		}
		return float64(peak) * perMember
	}
	c.ids = c.ids[1:]
	b.ReportMetric(largest(10), "B/takeover")
	for i, id := range c.ids {
		c.at(id).leases.SetTargets(declared[:targets-i%2])
	}
	b.ReportMetric(largest(3), "B/unlike")
}

func manyTargets(count int) (targets []usherlease.Target) {
	for i := range count {
		targets = append(targets, usherlease.Target{ID: fmt.Sprintf("appraiser-%04d", i), ColdCapacity: 2, WarmCapacity: 32})
	}
	return targets
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
