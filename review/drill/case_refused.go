package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// lostShare is the largest share of the requests of a server whose answer is lost, from the site file.
	lostShare = 0.05
	// reuseAfter is the time after which the address of a server that has ended may be used again, from the bounds.
	reuseAfter = 2 * time.Second
	draftTime  = 39 * time.Second
	tagTime    = 6 * time.Second
)

// lossy lets up to half of the engines lose the answer of at most lostShare of the requests that they run. It chooses those
// that another server has turned away before.
type lossy struct {
	mu   sync.Mutex
	on   bool
	ran  map[string]int
	lost map[string]int
}

func (l *lossy) loses(t *target, attempt string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran[t.id]++
	const half = 6
	if !l.on || len(l.lost) >= half && l.lost[t.id] == 0 || float64(l.lost[t.id]+1) > lostShare*float64(l.ran[t.id]) {
		return false
	}
	t.fleet.mu.Lock()
	turnedAway := t.fleet.misdirected[attempt] || t.fleet.full[attempt]
	t.fleet.mu.Unlock()
	if turnedAway {
		l.lost[t.id]++
	}
	return turnedAway
}

func (l *lossy) set(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.on = on
	clear(l.lost)
}

// playRefused loses some answers of engines while the address of one that is gone belongs to a server of another service.
func playRefused(f *fleet, root string, trouble bool) (bool, error) {
	losses := &lossy{ran: map[string]int{}, lost: map[string]int{}}
	f.declare(nil)
	err := f.addTargets(func(t *target, r *http.Request) behaviour {
		if t.service == plainService {
			return behaviour{work: 15 * time.Millisecond}
		}
		return behaviour{work: 60 * time.Millisecond, events: 8, interval: 30 * time.Millisecond, loses: losses.loses(t, r.Header.Get("Attempt-Id"))}
	})
	if err != nil {
		return false, err
	}
	if err := f.addHosts(root); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var answers []answer
	burst := func(path string, perHost int, gap time.Duration) {
		var clients sync.WaitGroup
		for range perHost {
			for _, h := range f.hosts {
				clients.Go(func() {
					a := f.send(h, http.MethodPost, path, "a draft", "aa01:40,bb02:30,cc03:900", draftTime)
					mu.Lock()
					defer mu.Unlock()
					answers = append(answers, a)
				})
			}
			time.Sleep(gap)
		}
		clients.Wait()
	}
	f.record.add("-- ordinary traffic")
	burst("/lesson-draft/x", 45, 120*time.Millisecond)

	answers = nil
	reused := f.targets[11]
	f.record.add("-- server %s ends for good; its entry stays until three heartbeats are missed", reused.id)
	// Its last heartbeat comes just before its end, so that its entry stays for three more.
	reused.write()
	reused.stop()
	time.Sleep(reuseAfter)
	f.record.add("-- the address of %s is used again, by a server of %s; answers lost: %t", reused.id, plainService, trouble)
	if err := f.addTarget("i-16", plainService, 2, reused.address, f.targets[0].handle); err != nil {
		return false, err
	}
	losses.set(trouble)
	burst("/lesson-draft/x", 10, 150*time.Millisecond)
	f.store.Delete("servers/" + reused.id)
	return f.countRefused(answers), nil
}

// countRefused reports whether a request that may run only once was answered with a promise that it has not run, although it
// has.
func (f *fleet) countRefused(answers []answer) bool {
	broken, statuses := 0, map[string]int{}
	for _, a := range answers {
		statuses[fmt.Sprint(a.status)]++
		promise := a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable || a.status == http.StatusRequestTimeout || a.status == http.StatusMisdirectedRequest
		if runs := f.runsOf(a.attempt); promise && len(runs) > 0 {
			broken++
			f.record.add("BROKEN: attempt %s was answered %d, which promises that it has not run, and ran at %s", a.attempt, a.status, strings.Join(runs, ", "))
		}
	}
	f.record.add("-- %d requests, answers by status %v, %d answered with a promise although they ran", len(answers), statuses, broken)
	return broken > 0
}
