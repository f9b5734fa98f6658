package main

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// doubleWork is how long the rule allows a server to work on a request that goes on at another one.
	doubleWork  = 400 * time.Millisecond
	draftEvents = 120
	eventGap    = 40 * time.Millisecond
	// preemptedAt is the event after which a crowded engine preempts a draft, preemption the time until it goes on.
	preemptedAt = 30
	preemption  = 4 * time.Second
)

// copies has the memory of runs that engines keep as backup copies, by address and attempt, and when runs worked.
type copies struct {
	mu      sync.Mutex
	held    map[string]bool
	resumed map[string]time.Time
	worked  map[string]time.Time
}

func (c *copies) add(address, attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[address+"/"+attempt] = true
}

// take uses a copy and reports whether it was there.
func (c *copies) take(key, attempt string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.held[key]
	delete(c.held, key)
	if held {
		c.resumed[attempt] = time.Now()
	}
	return held
}

// playTwice lets three crowded engines preempt a draft for four seconds. These engines don't drop a request when its connection
// closes.
func playTwice(f *fleet, root string, trouble bool) (bool, error) {
	c := &copies{held: map[string]bool{}, resumed: map[string]time.Time{}, worked: map[string]time.Time{}}
	f.declare(nil)
	crowded := []string{"i-01", "i-05", "i-09"}
	err := f.addTargets(func(t *target, r *http.Request) behaviour {
		if t.service == plainService {
			return behaviour{work: 15 * time.Millisecond}
		}
		return behaviour{serve: func(w http.ResponseWriter, r *http.Request, attempt string) {
			f.draft(c, t, w, r, attempt, trouble && slices.Contains(crowded, t.id))
		}}
	})
	if err != nil {
		return false, err
	}
	if err := f.addHosts(root); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	complete := 0
	for i := range 24 {
		clients.Go(func() {
			a := f.send(f.hosts[i%9], http.MethodPost, "/lesson-draft/x", "a draft", fmt.Sprintf("aa01:40,bb02:30,%04x:900", i), draftTime)
			mu.Lock()
			defer mu.Unlock()
			if a.complete(draftEvents) {
				complete++
			}
		})
		time.Sleep(60 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(3 * time.Second)
	c.mu.Lock()
	defer c.mu.Unlock()
	broken := 0
	for attempt, at := range c.resumed {
		if last, worked := c.worked[attempt]; worked && last.Sub(at) > doubleWork {
			broken++
			f.record.add("BROKEN: attempt %s went on at another engine, and %v still worked on it %d ms later", attempt, f.runsOf(attempt)[0], last.Sub(at).Milliseconds())
		}
	}
	f.record.add("-- 24 drafts, %d complete at their consumers; %d went on at another engine, %d of them while the first still worked on them", complete, len(c.resumed), broken)
	return broken > 0, nil
}

// draft runs a draft at an engine, or goes on with one from a copy.
func (f *fleet) draft(c *copies, t *target, w http.ResponseWriter, r *http.Request, attempt string, preempts bool) {
	from := r.Header.Get("Kv-From")
	if from != "" && !c.take(from, attempt) {
		f.record.add("server %s  503 Not-Executed to attempt %s: no copy", t.id, attempt)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	f.noteRun(attempt, t.id)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	f.record.add("server %s  runs attempt %s from event %d, Kv-From %q, Kv-Backup %q", t.id, attempt, last+1, from, r.Header.Get("Kv-Backup"))
	w.Header().Set("Server-Seal", t.id+"."+attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	closed := false
	for id := last + 1; id <= draftEvents; id++ {
		time.Sleep(eventGap)
		if backup := r.Header.Get("Kv-Backup"); backup != "" && !closed {
			c.add(backup, attempt)
		}
		if preempts && from == "" && id == preemptedAt {
			f.record.add("server %s  preempts attempt %s after event %d", t.id, attempt, id-1)
			time.Sleep(preemption)
			f.record.add("server %s  goes on with attempt %s", t.id, attempt)
		}
		if !closed {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", id, id, attempt)
			closed = control.Flush() != nil || r.Context().Err() != nil
		}
		if closed && !preempts {
			f.record.add("server %s  drops attempt %s: the connection is closed", t.id, attempt)
			return
		}
		if from == "" {
			c.mu.Lock()
			c.worked[attempt] = time.Now()
			c.mu.Unlock()
		}
	}
	f.record.add("server %s  made all events of attempt %s; its connection was closed before: %t", t.id, attempt, closed)
}
