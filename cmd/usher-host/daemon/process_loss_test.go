package daemon_test

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Two hosts stand still just before a data centre loses power, and go on seconds later. After that, directories named the lost hosts
// again. Found by review/5, played with processes.
func TestProcessesThatStoodStillDoNotNameLostHosts(t *testing.T) {
	runFleet(t, 12, 2, func(f *processFleet) {
		order := f.random.Perm(len(dataCentres))
		standing, lost := f.in(dataCentres[order[0]])[:2], f.in(dataCentres[order[1]])
		for _, h := range standing {
			h.stand()
		}
		time.Sleep(100 * time.Millisecond)
		for _, h := range lost {
			h.signal(syscall.SIGKILL)
		}
		lostAt := time.Now()
		back := []time.Duration{8 * time.Second, 11 * time.Second}[f.random.IntN(2)]
		wake := time.AfterFunc(3900*time.Millisecond, func() {
			for _, h := range standing {
				h.goOn()
			}
		})
		defer wake.Stop()
		var running []*fleetHost
		for _, h := range f.hosts {
			if h.dataCentre != lost[0].dataCentre {
				running = append(running, h)
			}
		}
		time.Sleep(time.Until(lostAt.Add(lostHostTime - time.Second)))
		var mu sync.Mutex
		named, last := map[string]int{}, time.Duration(0)
		poll(lostAt.Add(back), running, func(h *fleetHost) {
			sent := time.Since(lostAt)
			_, body, err := h.get(2, "/resolve?name="+hostName+"&zone=kochi")
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				t.Errorf("%s: %v", h.name, err)
				return
			}
			for _, gone := range lost {
				if strings.Contains(string(body), fmt.Sprint(gone.ip, ":")) {
					last = max(last, sent)
					if sent > lostHostTime {
						named[h.name]++
					}
				}
			}
		})
		if len(named) > 0 {
			t.Errorf("later than %s after the loss of %s these named its hosts, last after %s: %v", lostHostTime, lost[0].dataCentre, last, named)
		} else if last > 0 {
			t.Logf("hosts of %s were last named %s after they were lost", lost[0].dataCentre, last)
		}
		for _, h := range lost {
			f.restart(h)
		}
		f.awaitFleet()
	})
}
