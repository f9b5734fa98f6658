package daemon_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/platform/usherstandin"
)

// uploadsOfARound is the number of requests that get the same response.
const uploadsOfARound = 5

// uploadPlay is a fleet of processes with targets that respond before they have read a request.
type uploadPlay struct {
	*processFleet
	client *http.Client
	early  *earlyResponder
	sent   int

	mu       sync.Mutex
	response earlyResponse
}

// On real sockets, the write of an upload mostly gets the error of a reset, and the read an ordinary end. Found with processes: callers got
// parts of responses as the whole.
func TestProcessesTakeNoResponseResetDuringAnUploadForWhole(t *testing.T) {
	runFleet(t, 1, 1, func(f *processFleet) {
		p := &uploadPlay{processFleet: f, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
		defer p.serveTargets()()
		p.version++
		d := declarations()
		d["version"] = p.version
		acceptUploads(d)
		p.store.PutJSON("op/config", d)
		p.awaitFleet()
		p.awaitTargets("/allotment/", "/status/", "/appraisal/20", "/eligibility/20")

		part, stream := earlyResponse{name: "reset", body: partialBody, end: resetDuringUpload}, "Content-Type: text/event-stream\r\n"
		brokenStream := earlyResponse{name: "reset after 5 events", fields: stream, body: someEvents(5), end: resetDuringUpload}
		p.expectBroken(http.MethodPost, "/allotment/", part)
		p.expectBroken(http.MethodPut, "/status/", part)
		p.expectBroken(http.MethodPost, "/allotment/", earlyResponse{name: "reset after a long part", body: strings.Repeat("p", longPart), end: resetDuringUpload})
		p.expectBroken(http.MethodPost, "/appraisal/20", brokenStream)
		p.expectBroken(http.MethodPost, "/eligibility/20", brokenStream)
		for _, whole := range wholeResponses() {
			p.expectWhole("/allotment/", whole, func(string) string { return wholeBody })
		}
		p.expectWhole("/appraisal/20", earlyResponse{name: "sending side closed", fields: stream, body: someEvents(20), end: halfCloseAndRead}, func(attempt string) string {
			return strings.ReplaceAll(someEvents(20), "ATTEMPT", attempt)
		})
	})
}

// serveTargets starts and publishes targets. It returns a function that stops them.
func (p *uploadPlay) serveTargets() (stop func()) {
	var servers []*http.Server
	copies := usherstandin.NewCopyRegistry()
	p.early = &earlyResponder{respond: func(int64) (earlyResponse, bool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.response, true
	}}
	for i, service := range []string{plainService, plainService, engineService, engineService} {
		id, address := fmt.Sprint("target-", i), fmt.Sprintf("%s%d:%d", p.subnet, 100+i, fleetPort)
		target := usherstandin.NewTarget(usherstandin.TargetOptions{ID: id, Service: service, Address: address, DataCentre: dataCentres[0], Engine: service == engineService}, copies)
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			p.t.Fatal(err)
		}
		server := &http.Server{Handler: p.early.wrap(id, target), ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
		servers = append(servers, server)
		go func() { _ = server.Serve(listener) }()
		key, entry := target.Entry("ready")
		p.store.PutJSON(key, entry)
	}
	return func() {
		for _, server := range servers {
			_ = server.Close()
		}
	}
}

// awaitTargets waits until the host sends requests with the given paths to targets.
func (p *uploadPlay) awaitTargets(paths ...string) {
	p.t.Helper()
	whole := earlyResponse{fields: "Content-Length: 0\r\n", end: readUploadAndClose}
	deadline := time.Now().Add(fleetStart)
	for _, path := range paths {
		for got := p.upload(http.MethodPost, path, whole); got.status != http.StatusOK; got = p.upload(http.MethodPost, path, whole) {
			if time.Now().After(deadline) {
				p.t.Fatalf("%s: status %d, error %v %s after the start; want 200", path, got.status, got.err, fleetStart)
			}
			time.Sleep(pollInterval)
		}
	}
}

// upload sends a request with a long body, to which targets respond with response.
func (p *uploadPlay) upload(method, path string, response earlyResponse) result {
	p.mu.Lock()
	p.response = response
	p.mu.Unlock()
	p.sent++
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", p.hosts[0].ip, fleetPort, path), strings.NewReader(strings.Repeat("u", uploadBytes)))
	if err != nil {
		p.t.Fatal(err)
	}
	r.Host = hostName
	for name, value := range map[string]string{"Attempt-Id": fmt.Sprintf("%016x", p.sent), "Deadline-Ms": "30000", "Api-Key": apiKey, "Model": "m", "Token-Counts": "3000,900"} {
		r.Header.Set(name, value)
	}
	return doWith(p.client, r)
}

// expectBroken checks that callers do not get a part of a response as the whole.
func (p *uploadPlay) expectBroken(method, path string, response earlyResponse) {
	for range uploadsOfARound {
		before := p.early.requests.Load()
		if got := p.upload(method, path, response); got.err == nil && got.status == http.StatusOK {
			p.t.Errorf("%s, %s: status %d and %d bytes as a complete response", path, response.name, got.status, len(got.body))
		} else if p.early.requests.Load() == before {
			p.t.Errorf("%s, %s: status %d, error %v, and no target got the request", path, response.name, got.status, got.err)
		}
	}
}

// expectWhole checks that callers get a complete response as the target has sent it.
func (p *uploadPlay) expectWhole(path string, response earlyResponse, want func(attempt string) string) {
	for range uploadsOfARound {
		got := p.upload(http.MethodPost, path, response)
		if got.err != nil || got.status != max(response.status, http.StatusOK) || got.body != want(got.attempt) {
			p.t.Errorf("%s, %s: status %d, %d bytes, error %v; want the complete response", path, response.name, got.status, len(got.body), got.err)
		}
	}
}
