package daemon_test

import (
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

// oneWayLoss is for how long packets are lost before a change, and at most.
const oneWayLoss = time.Second

// Packets to the data centre of the host that reads the store are lost. Hosts whose connections to it got no response asked one of its hosts
// after the other for a change, and were on the old declarations for too long. Found by review/4, played with processes.
func TestProcessesBehindAOneWayLinkGetTheDeclarations(t *testing.T) {
	runFleet(t, 9, 2, func(f *processFleet) {
		reader := slices.Min(dataCentres)
		others := slices.DeleteFunc(slices.Clone(dataCentres), func(d string) bool { return d == reader })
		// Once in three rounds no other host can reach the reader.
		from := [][]string{others[:1], others[1:], others}[f.random.IntN(3)]
		f.loseOneWay(from, reader)
		time.Sleep(oneWayLoss + time.Duration(f.random.IntN(250))*time.Millisecond)
		f.declare()
		latest := f.checkDeclared(time.Now(), f.hosts)
		f.mendLinks()
		t.Logf("links from %s: the last refusal was of a request sent %s after the change", from, latest)
		time.Sleep(oneWayLoss)
	})
}

// The data centre of the host that reads the store loses power just before or after a change. The others had it at the last moment. Found by the
// second review, with 1.99 s of 2 s.
func TestProcessesGetTheDeclarationsOfALostReader(t *testing.T) {
	runFleet(t, 12, 2, func(f *processFleet) {
		lost := f.in(slices.Min(dataCentres))
		running := slices.DeleteFunc(slices.Clone(f.hosts), func(h *fleetHost) bool { return slices.Contains(lost, h) })
		killedAfter := time.Duration(f.random.IntN(300)-150) * time.Millisecond
		kill := func() {
			for _, h := range lost {
				h.signal(syscall.SIGKILL)
			}
		}
		if killedAfter < 0 {
			kill()
			time.Sleep(-killedAfter)
		}
		f.declare()
		published := time.Now()
		if killedAfter >= 0 {
			time.AfterFunc(killedAfter, kill)
		}
		latest := f.checkDeclared(published, running)
		t.Logf("loss of %s %s after the change: the last refusal was of a request sent %s after the change", lost[0].dataCentre, killedAfter, latest)
		for _, h := range lost {
			f.restart(h)
		}
		f.awaitFleet()
		time.Sleep(time.Duration(f.random.IntN(1000)) * time.Millisecond)
	})
}

// checkDeclared checks that hosts have the latest declarations in time, and returns how long after their publication the last request was sent
// that was refused.
func (f *processFleet) checkDeclared(published time.Time, hosts []*fleetHost) time.Duration {
	var mu sync.Mutex
	latest := time.Duration(0)
	poll(published.Add(maxConfigDelay+time.Second), hosts, func(h *fleetHost) {
		sent := time.Since(published)
		status, _, err := h.get(0, versionPath(f.version))
		mu.Lock()
		defer mu.Unlock()
		switch {
		case err != nil:
			f.t.Errorf("%s: %v", h.name, err)
		case status == http.StatusNotFound:
			latest = max(latest, sent)
			if sent > maxConfigDelay {
				f.t.Errorf("%s refused a request sent %s after the change", h.name, sent)
			}
		}
	})
	return latest
}
