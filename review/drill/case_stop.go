package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	grace = 8 * time.Second
	// lateStart is the time after the SIGTERM up to which the rule excuses requests that the stop cuts off.
	lateStart = 3 * time.Second
)

// playStop stops one host with SIGTERM while it serves a long draft. Consumers whose answer of the directory is still good
// send it condition tags later than three seconds after the signal.
func playStop(f *fleet, root string, trouble bool) (bool, error) {
	f.declare(nil)
	err := f.addTargets(func(t *target, r *http.Request) behaviour {
		switch {
		case t.service == plainService:
			return behaviour{work: 15 * time.Millisecond}
		case isTag(r):
			// A crowded engine: the first event after 1.4 s, within the objective of 1.5 s, and the others without a long pause.
			return behaviour{work: 1400 * time.Millisecond, events: 10, interval: 170 * time.Millisecond}
		default:
			return behaviour{work: 400 * time.Millisecond, events: 235, interval: 60 * time.Millisecond}
		}
	})
	if err != nil {
		return false, err
	}
	if err := f.addHosts(root); err != nil {
		return false, err
	}
	h := f.hosts[1]
	var clients sync.WaitGroup
	clients.Go(func() {
		f.send(h, http.MethodPost, "/lesson-draft/x", "a draft", "aa01:40,bb02:30,cc03:900", draftTime)
	})
	time.Sleep(time.Second)
	directory, err := f.resolve(h)
	if err != nil {
		return false, err
	}
	f.record.add("client  asks the directory: %s; some consumers keep this for three times its lifetime of 2 s", directory)
	stop := time.Now()
	if trouble {
		f.record.add("-- SIGTERM to %s", h.name)
		if err := h.command.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	var mu sync.Mutex
	var answers []answer
	for _, at := range []time.Duration{4800, 5100, 5400, 5700} {
		time.Sleep(time.Until(stop.Add(at * time.Millisecond)))
		clients.Go(func() {
			a := f.send(h, http.MethodPost, "/condition-tag/x", "a tag", "dd04:200,ee05:140,ff06:900", tagTime)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
	clients.Wait()
	broken := 0
	for _, a := range answers {
		runs, after := f.runsOf(a.attempt), a.sentAt.Sub(stop)
		if len(runs) > 0 && a.err != nil && a.took < tagTime && after > lateStart && after < grace+time.Second {
			broken++
			f.record.add("BROKEN: attempt %s, sent %d ms after the SIGTERM, was passed on to %v; its connection ended after %d ms without a complete answer: %v",
				a.attempt, after.Milliseconds(), runs, a.took.Milliseconds(), a.err)
		}
	}
	f.record.add("-- %d of %d late requests were cut off", broken, len(answers))
	return broken > 0, nil
}

func isTag(r *http.Request) bool { return len(r.URL.Path) > 14 && r.URL.Path[:15] == "/condition-tag/" }
