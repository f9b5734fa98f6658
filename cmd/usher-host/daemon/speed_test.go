package daemon_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/service/usherhost"
)

// speeds returns the speed of each target as a host knows it.
func (b *testbed) speeds(h *host) map[string]float64 {
	b.t.Helper()
	var dump struct {
		Targets []struct {
			ID    string  `json:"id"`
			Speed float64 `json:"speed"`
		} `json:"targets"`
	}
	if err := json.Unmarshal([]byte(b.getAt(h, adminPort, usherhost.DumpPath).body), &dump); err != nil {
		b.t.Fatal(err)
	}
	speeds := map[string]float64{}
	for _, target := range dump.Targets {
		speeds[target.ID] = target.Speed
	}
	return speeds
}

// Unequal speeds: two of six engines take four times as long for an event, and as long as the others to read a prompt. The placer learns it from other hosts' streams, and so does its
// successor, which goes on without what the placer has learned when that one restarts.
func TestPlacerAndSuccessorLearnSpeeds(t *testing.T) {
	withTestbed(t, options{hosts: 6, engines: 4}, func(t *testing.T, b *testbed) {
		b.addSlowEngine("slow-1", 10, 100*time.Millisecond)
		b.addSlowEngine("slow-2", 11, 100*time.Millisecond)
		time.Sleep(time.Second)
		for range 12 {
			for _, h := range []*host{b.hosts[1], b.hosts[2], b.hosts[4], b.hosts[5]} {
				b.startStream(h, "/appraisal/60")
			}
			time.Sleep(time.Second)
		}
		// Hosts 0 and 3 are in the data centre that is first by name.
		for _, h := range []*host{b.hosts[0], b.hosts[3]} {
			speeds := b.speeds(h)
			for id, speed := range speeds {
				if ratio := speed / speeds["engine-0"]; strings.HasPrefix(id, "slow") != (ratio > 1.25) {
					t.Errorf("%s: speed %v of %s, %v of engine-0", h.name, speed, id, speeds["engine-0"])
				}
			}
		}
		time.Sleep(5 * time.Second)
	})
}

// Unequal speeds: one of three plain servers takes four times as long. All hosts know it within seconds of the first calls, also one that has made
// none itself.
func TestSlowPlainServerIsKnownToAllHosts(t *testing.T) {
	withTestbed(t, options{hosts: 6, plainTargets: 1}, func(t *testing.T, b *testbed) {
		// All in the same data centre, as hosts prefer those of their own.
		b.addTarget("plain-1", plainService, 3)
		b.options.serviceTime = 60 * time.Millisecond
		b.addTarget("slow", plainService, 6)
		time.Sleep(time.Second)
		for range 60 {
			for _, h := range b.hosts[:5] {
				go b.get(h, "/status/1")
			}
			time.Sleep(50 * time.Millisecond)
		}
		for _, h := range b.hosts {
			if speeds := b.speeds(h); speeds["slow"] < 1.5*max(speeds["plain-0"], speeds["plain-1"]) {
				t.Errorf("%s does not know the slow server: %v", h.name, speeds)
			}
		}
		if h := b.hosts[5]; b.speeds(h)["slow"] == 1 {
			t.Errorf("%s knows nothing of the servers", h.name)
		}
		time.Sleep(time.Second)
	})
}
