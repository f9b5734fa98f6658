package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// leavers is one in how many consumers leaves: a share of 0.2.
	leavers      = 5
	requestsSent = 100
)

// leaveRequest is a request of the sheet with the time after which a consumer that leaves does so: within half the objective.
type leaveRequest struct {
	method, path string
	budget       time.Duration
	leavesAfter  time.Duration
}

var leaveRequests = []leaveRequest{
	{http.MethodPost, "/loan-checkout/x", time.Second, 20 * time.Millisecond},
	{http.MethodGet, "/stock-lookup/x", time.Second, 20 * time.Millisecond},
	{http.MethodPost, "/condition-tag/x", tagTime, 300 * time.Millisecond},
	{http.MethodPost, "/lesson-draft/x", draftTime, 300 * time.Millisecond},
}

// playLeave lets one in five consumers leave before the answer: they close their side of the connection and read what still
// comes, until the host closes its side too.
func playLeave(f *fleet, root string, trouble bool) (bool, error) {
	f.declare(nil)
	err := f.addTargets(func(t *target, r *http.Request) behaviour {
		if t.service == plainService {
			return behaviour{work: 60 * time.Millisecond}
		}
		return behaviour{work: 600 * time.Millisecond, events: 4, interval: 30 * time.Millisecond}
	})
	if err != nil {
		return false, err
	}
	if err := f.addHosts(root); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	left, broken := 0, 0
	for i := range requestsSent {
		clients.Go(func() {
			leaves := trouble && i%leavers == 0
			request := leaveRequests[i/leavers%len(leaveRequests)]
			a := f.sendAndLeave(f.hosts[i%len(f.hosts)], request, leaves)
			mu.Lock()
			defer mu.Unlock()
			if leaves {
				left++
			}
			if a.err == nil && a.status/100 == 2 && a.header.Get("Server-Seal") == "" {
				broken++
				f.record.add("BROKEN: attempt %s (%s) got status %d with %d bytes and no Server-Seal; it ran at %v", a.attempt, request.path, a.status, len(a.body), f.runsOf(a.attempt))
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	clients.Wait()
	f.record.add("-- %d requests; %d consumers left early; %d got a success that no server gave", requestsSent, left, broken)
	return broken > 0, nil
}

// sendAndLeave sends a request on a connection of its own and reads the answer. A consumer that leaves closes its side of the
// connection first.
func (f *fleet) sendAndLeave(h *host, request leaveRequest, leaves bool) answer {
	a := answer{attempt: fmt.Sprintf("%016x", f.attempts.Add(1)), sentAt: time.Now()}
	conn, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", h.ip, callerPort), time.Second)
	if err != nil {
		a.err = err
		f.record.add("client  attempt %s: no connection to %s: %v", a.attempt, h.name, err)
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(request.budget))
	prompt := ""
	if isStream(request.path) {
		prompt = "Model: m\r\nToken-Counts: 3000,40\r\nPrompt-Prefix: dd04:40,ee05:30,ff06:900\r\n"
	}
	body := ""
	if request.method == http.MethodPost {
		body = "Content-Length: 6\r\n\r\na loan"
	} else {
		body = "\r\n"
	}
	f.record.add("client  sends attempt %s to %s: %s %s", a.attempt, h.name, request.method, request.path)
	_, a.err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: %s\r\n%s%s",
		request.method, request.path, callerHost, a.attempt, request.budget.Milliseconds(), apiKey, prompt, body)
	if a.err == nil && leaves {
		time.Sleep(request.leavesAfter)
		f.record.add("client  attempt %s: leaves: closes its side of the connection", a.attempt)
		a.err = conn.(*net.TCPConn).CloseWrite()
	}
	if a.err != nil {
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: request.method})
	if err != nil {
		a.err = err
		f.record.add("client  attempt %s: the connection ends without an answer: %v", a.attempt, err)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	a.status, a.header, a.body, a.err, a.took = response.StatusCode, response.Header, string(data), err, time.Since(a.sentAt)
	f.record.add("client  attempt %s: status %d, Server-Seal %q, %d bytes after %d ms, error: %v", a.attempt, a.status, a.header.Get("Server-Seal"), len(a.body), a.took.Milliseconds(), err)
	return a
}
