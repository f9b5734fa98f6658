package daemon_test

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

// oneWayLoss is for how long packets are lost before a change, and at most.
const oneWayLoss = time.Second

// Packets to the data centre of the host that reads the store are lost. Hosts whose connections to it got no response asked one of its hosts
// after the other for a change, and were on the old declarations for too long. Found by review/4, played with processes.
func TestProcessesBehindAOneWayLinkGetTheDeclarations(t *testing.T) {
	slowest := time.Duration(0)
	runFleet(t, 9, 2, func(f *processFleet) {
		reader := slices.Min(dataCentres)
		others := slices.DeleteFunc(slices.Clone(dataCentres), func(d string) bool { return d == reader })
		// Once in three rounds no other host can reach the reader.
		from := [][]string{others[:1], others[1:], others}[f.random.IntN(3)]
		f.loseOneWay(from, reader)
		time.Sleep(oneWayLoss + time.Duration(f.random.IntN(250))*time.Millisecond)
		f.declare()
		published := time.Now()
		var mu sync.Mutex
		last := map[string]time.Duration{}
		poll(published.Add(2*maxConfigDelay), f.hosts, func(h *fleetHost) {
			sent := time.Since(published)
			if status, _, err := h.get(0, versionPath(f.version)); status == http.StatusNotFound || err != nil {
				mu.Lock()
				defer mu.Unlock()
				last[h.name] = sent
			}
		})
		f.mendLinks()
		for name, at := range last {
			slowest = max(slowest, at)
			if at > maxConfigDelay {
				t.Errorf("%s refused a request sent %s after the change", name, at)
			}
		}
		t.Logf("links from %s: the last refusal was of a request sent %s after the change", from, slices.Max(append(durations(last), 0)))
		time.Sleep(oneWayLoss)
	})
	t.Logf("slowest: %s", slowest)
}

func durations(of map[string]time.Duration) (out []time.Duration) {
	for _, d := range of {
		out = append(out, d)
	}
	return out
}
