package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

type (
	// replica is a server of a plain service. It runs each request once and answers with its id.
	replica struct {
		lab     *lab
		id      string
		service string
		address string
		zone    string
		work    time.Duration
		mu      sync.Mutex
		runs    []plainRun
	}

	plainRun struct {
		at      time.Time
		attempt string
		method  string
		path    string
		tenant  string
		bytes   int
	}

	// plainResult is what a consumer saw of a call.
	plainResult struct {
		attempt, host, method string
		began                 time.Time
		status                int
		seal                  string
		body                  string
		err                   error
	}
)

// startReplica starts a server of a plain service, which publishes nothing by itself.
func (l *lab) startReplica(index int, id, service string, work time.Duration) (*replica, error) {
	r := &replica{lab: l, id: id, service: service, address: fmt.Sprintf("%s%d:%d", l.subnet, 200+index, plainPort), zone: zones[index%len(zones)], work: work}
	listener, err := net.Listen("tcp4", r.address)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, r) }()
	return r, nil
}

// entry returns the whole entry of the replica.
func (r *replica) entry(seq int) map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0, "seq": seq, "born": r.lab.began.UnixMilli(),
	}
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/healthz" {
		w.Header().Set("Replica-Id", r.id)
		return
	}
	attempt := request.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if expected := request.Header.Get("Expected-Replica"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.mu.Lock()
	r.runs = append(r.runs, plainRun{at: time.Now(), attempt: attempt, method: request.Method, path: request.RequestURI, tenant: request.Header.Get("Tenant"), bytes: len(body)})
	r.mu.Unlock()
	time.Sleep(r.work)
	w.Header().Set("Server-Seal", r.id+"."+attempt)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "%s %s run by %s of %s", request.Method, request.RequestURI, r.id, r.service)
}

func (r *replica) ran() []plainRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]plainRun(nil), r.runs...)
}

// call sends one call to a host, on a connection of its own.
func call(h *hostProcess, attempt, method, path, body string, deadline time.Duration) plainResult {
	return callWithKey(h, attempt, method, path, body, deadline, apiKey)
}

// callWithKey is call with a key, or without one if it is empty.
func callWithKey(h *hostProcess, attempt, method, path, body string, deadline time.Duration, key string) plainResult {
	result := plainResult{attempt: attempt, host: h.name, method: method, began: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.front()+path, strings.NewReader(body))
	if err != nil {
		result.err = err
		return result
	}
	request.Host = "loans.example"
	request.Header.Set("Attempt-Id", attempt)
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		request.Header.Set("Api-Key", key)
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}).Do(request)
	if err != nil {
		result.err = err
		return result
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	result.status, result.seal, result.body, result.err = response.StatusCode, response.Header.Get("Server-Seal"), string(text), err
	return result
}
