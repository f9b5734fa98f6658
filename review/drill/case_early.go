package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// slowHead is how long a consumer takes for the head of its request. The configuration allows headerTimeoutMs = 3,000.
const slowHead = time.Second

// playEarly stops an idle host with SIGTERM. Consumers whose answer of the directory is still good connect within three
// seconds and complete the head of their request a second later.
func playEarly(f *fleet, root string, trouble bool) (bool, error) {
	f.declare(nil)
	err := f.addTargets(func(t *target, r *http.Request) behaviour {
		if t.service == plainService {
			return behaviour{work: 15 * time.Millisecond}
		}
		// The first event after 0.6 s, within the objective of 1.5 s, and the others without a long pause.
		return behaviour{work: 600 * time.Millisecond, events: 5, interval: 150 * time.Millisecond}
	})
	if err != nil {
		return false, err
	}
	if err := f.addHosts(root); err != nil {
		return false, err
	}
	h := f.hosts[1]
	directory, err := f.resolve(h)
	if err != nil {
		return false, err
	}
	f.record.add("client  asks the directory: %s; some consumers keep this for three times its lifetime of 2 s", directory)
	stop := time.Now()
	if trouble {
		f.record.add("-- SIGTERM to %s, which serves nothing at the moment", h.name)
		if err := h.command.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	broken, late := 0, 0
	for _, at := range []time.Duration{2300, 2500, 2700, 2900} {
		time.Sleep(time.Until(stop.Add(at * time.Millisecond)))
		clients.Go(func() {
			a := f.sendSlowly(h, "/condition-tag/x")
			runs, after := f.runsOf(a.attempt), a.sentAt.Sub(stop)
			mu.Lock()
			defer mu.Unlock()
			late++
			if len(runs) > 0 && a.err != nil && a.took < tagTime && after > lateStart {
				broken++
				f.record.add("BROKEN: attempt %s, sent until %d ms after the SIGTERM, was passed on to %v; its connection ended %d ms later without a complete answer: %v",
					a.attempt, after.Milliseconds(), runs, a.took.Milliseconds(), a.err)
			}
		})
	}
	clients.Wait()
	f.record.add("-- %d of %d requests were cut off", broken, late)
	return broken > 0, nil
}

// sendSlowly sends a request whose head takes slowHead. The answer's sentAt is when its last byte was sent.
func (f *fleet) sendSlowly(h *host, path string) answer {
	a := answer{attempt: fmt.Sprintf("%016x", f.attempts.Add(1))}
	conn, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", h.ip, callerPort), time.Second)
	if err != nil {
		f.record.add("client  attempt %s: no connection to %s: %v", a.attempt, h.name, err)
		a.err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	f.record.add("client  connects to %s for attempt %s and sends the first lines of its head", h.name, a.attempt)
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n", path, callerHost, a.attempt)
	time.Sleep(slowHead)
	_, _ = fmt.Fprintf(conn, "Deadline-Ms: %d\r\nApi-Key: %s\r\nModel: m\r\nToken-Counts: 3000,40\r\nPrompt-Prefix: dd04:200,ee05:140,ff06:900\r\nContent-Length: 5\r\n\r\na tag",
		tagTime.Milliseconds(), apiKey)
	a.sentAt = time.Now()
	f.record.add("client  sends the rest of attempt %s", a.attempt)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		a.status, a.body = response.StatusCode, string(data)
		_ = response.Body.Close()
	}
	a.err, a.took = err, time.Since(a.sentAt)
	f.record.add("client  attempt %s: status %d, %d bytes, error: %v", a.attempt, a.status, len(a.body), err)
	return a
}
