package daemon_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/service/usherhost"
)

// lostHostTime is how long after hosts were lost other hosts may still name them to callers, from the users' pages.
const lostHostTime = 6 * time.Second

// Hosts stand still just before a data centre loses power, and go on seconds later. Datagrams of the lost hosts had waited in
// their sockets; they took them for news and told all others, so callers were sent to hosts without power. Found by review/5.
func TestHostsThatStoodStillDoNotBringLostHostsBack(t *testing.T) {
	// pausedAt is when the machines of the two were suspended, or zero.
	var pausedAt atomic.Int64
	started, begin := 0, time.Time{}
	o := options{hosts: 12, plainTargets: 3, editPlatform: func(p *usherhost.Platform) {
		stands := started == 1 || started == 4
		if started == 0 {
			begin = time.Now().Add(-time.Hour)
		}
		started++
		p.Uptime = func() time.Duration {
			// A stand-in's process goes on in virtual time, so only the clock of the machine shows that it stood still.
			if at := pausedAt.Load(); stands && at > 0 {
				return time.Duration(at)
			}
			return time.Since(begin)
		}
	}}
	withTestbed(t, o, func(t *testing.T, b *testbed) {
		pausedAt.Store(int64(time.Since(begin)))
		for _, i := range []int{1, 4} {
			b.network.Pause(mustAddr(hostIP(i)))
		}
		time.Sleep(100 * time.Millisecond)
		lost := time.Now()
		for _, i := range []int{2, 5, 8, 11} {
			b.network.Pause(mustAddr(hostIP(i)))
		}
		time.Sleep(4 * time.Second)
		pausedAt.Store(0)
		for _, i := range []int{1, 4} {
			b.network.Resume(mustAddr(hostIP(i)))
		}
		time.Sleep(time.Until(lost.Add(lostHostTime)))
		for time.Since(lost) < 2*lostHostTime {
			for _, i := range []int{0, 1, 3, 4} {
				list := b.resolvedAddresses(b.hosts[i])
				for _, gone := range []int{2, 5, 8, 11} {
					if strings.Contains(list, fmt.Sprint(hostIP(gone), ":")) {
						t.Fatalf("%s names %s %s after it was lost", b.hosts[i].name, b.hosts[gone].name, time.Since(lost))
					}
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		if n := b.logBuffer.count("process stood still"); n != 2 {
			t.Errorf("%d standstills noticed, want 2", n)
		}
	})
}
