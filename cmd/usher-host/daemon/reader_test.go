package daemon_test

import (
	"fmt"
	"testing"
	"time"
)

// The data centre of the reader loses power. A host that notices it late leaves too little of the time in which a change must be in force.
func TestAnotherHostReadsTheStoreSoonAfterTheReaderIsLost(t *testing.T) {
	for _, hosts := range []int{9, 12, 24} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			withTestbed(t, options{hosts: hosts, plainTargets: 1}, func(t *testing.T, b *testbed) {
				lost := dataCentreOf(b, b.storeReader())
				b.publish("plain-0", "draining")
				time.Sleep(50 * time.Millisecond)
				before, reads := b.store.Calls(), false
				for i := lost; i < hosts; i += len(dataCentres) {
					b.network.Pause(address(b.hosts[i]))
				}
				time.Sleep(maxConfigDelay / 2)
				for i, h := range b.hosts {
					reads = reads || i%len(dataCentres) != lost && b.store.Calls()[h.ip] > before[h.ip]
				}
				if !reads {
					t.Errorf("no other host has read the store %s after the reader was lost", maxConfigDelay/2)
				}
			})
		})
	}
}
