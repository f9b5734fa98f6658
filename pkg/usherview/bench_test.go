package usherview_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/samphireusher/samphireusher/pkg/usherview"
)

// BenchmarkEligible measures the cost of one Eligible call for different numbers of targets.
func BenchmarkEligible(b *testing.B) {
	for _, count := range []int{12, 1_200} {
		snapshot := newSnapshot(1, 1, true)
		for i := range count - len(snapshot.Targets) {
			target := snapshot.Targets[0]
			target.Name = fmt.Sprintf("appraiser-%04d", i)
			target.Address = netip.AddrPortFrom(target.Address.Addr(), uint16(22000+i))
			snapshot = snapshot.WithTarget(target)
		}
		f := newFleet(seed, 3, nil)
		f.publish(snapshot)
		mustRun(b, f, 4*time.Second)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				if e := f.processes[0].store.Eligible(f.now, "appraiser-kozhikode"); !e.OK {
					b.Fatal(e.Reason)
				}
			}
		})
	}
}

// BenchmarkControl measures the messages, bytes and CPU time of one member per second of virtual time without
// configuration changes. Bytes count messages encoded with full field names. The stores run in steps of 50 ms.
func BenchmarkControl(b *testing.B) {
	for _, count := range []int{9, 27, 90, 350} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			f := newFleet(seed, count, nil)
			f.skipInvariants = true
			f.publish(newSnapshot(1, 1, true))
			mustRun(b, f, 6*time.Second)
			messages, bytes := 0, 0
			f.onSend = func(m usherview.Message) {
				data, err := cbor.Marshal(m)
				if err != nil {
					b.Fatal(err)
				}
				messages, bytes = messages+1, bytes+len(data)
			}
			mustRun(b, f, 4*time.Second)
			f.onSend = nil
			perMember := 1 / float64(4*count)
			runs := 0
			for b.Loop() {
				mustRun(b, f, time.Second)
				runs++
			}
			b.ReportMetric(float64(messages)*perMember, "messages/s")
			b.ReportMetric(float64(bytes)*perMember, "bytes/s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(runs*count), "ns/member-s")
		})
	}
}
