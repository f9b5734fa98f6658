package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/samphireusher/samphireusher/platform/usherstandin"
)

// heartbeat is the interval at which a target writes its entry.
const heartbeat = 1200 * time.Millisecond

type (
	// behaviour is how a target handles one request. The zero value answers at once.
	behaviour struct {
		// full rejects the request without running it.
		full bool
		// loses runs the request and closes the connection without an answer.
		loses bool
		// crashes begins to run the request and then ends the target's process.
		crashes bool
		// dark begins to run the request and then makes the target silent.
		dark bool
		// work is the time until the answer of a plain call, or until the first event.
		work time.Duration
		// events is the number of events of a stream, interval the time between two of them.
		events   int
		interval time.Duration
		// serve, if set, handles the request in place of all of the above.
		serve func(w http.ResponseWriter, r *http.Request, attempt string)
	}

	// target is a stand-in of one server of the users.
	target struct {
		id, service, zone string
		address           string
		// published is the address in the target's entry, if another one than address.
		published string
		fleet     *fleet
		handle    func(t *target, r *http.Request) behaviour

		mu       sync.Mutex
		server   *http.Server
		listener net.Listener
		born     int64
		seq      int
		silent   bool
		released chan struct{}
	}
)

// start listens and begins to write the target's entry.
func (t *target) start() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	listener, err := net.Listen("tcp4", t.address)
	if err != nil {
		return err
	}
	t.server = &http.Server{Handler: t, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	t.born, t.released, t.silent = time.Now().UnixMilli(), make(chan struct{}), false
	t.listener = listener
	server, released := t.server, t.released
	go func() { _ = server.Serve(listener) }()
	go t.beat(released)
	return nil
}

// stop ends the target like a crash: its listener and connections are closed, and it writes nothing more.
func (t *target) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.silent {
		return
	}
	t.silent = true
	close(t.released)
	_ = t.server.Close()
}

// beat writes the target's entry at each heartbeat until the target ends.
func (t *target) beat(released <-chan struct{}) {
	for {
		t.write()
		select {
		case <-released:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (t *target) write() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.silent {
		return
	}
	t.seq++
	published := t.published
	if published == "" {
		published = t.address
	}
	t.fleet.store.PutJSON("servers/"+t.id, map[string]any{
		"service": t.service, "address": published, "zone": t.zone, "version": "v1", "slots": t.fleet.slots(t.service), "state": "ready",
		"coldLeftMs": 0, "seq": t.seq, "born": t.born,
	})
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("Replica-Id", t.id)
		return
	case "/report":
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"state": "ready"})
		return
	}
	if r.URL.Path == "/kv-move" || strings.HasPrefix(r.URL.Path, "/kv-handle/") {
		// No room for copies.
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if expected := r.Header.Get("Expected-Replica"); expected != "" && expected != t.id {
		t.fleet.record.add("server %s  421 to attempt %s, which is for %s; not run", t.id, attempt, expected)
		t.fleet.noteMisdirected(attempt)
		w.Header().Set("Replica-Id", t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	b := t.handle(t, r)
	if b.serve != nil {
		b.serve(w, r, attempt)
		return
	}
	if b.full || r.Header.Get("Kv-From") != "" {
		// The stand-in keeps no copies of memory.
		t.fleet.record.add("server %s  503 Not-Executed to attempt %s (full); not run", t.id, attempt)
		t.fleet.noteFull(attempt)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.run(w, r, attempt, b)
}

func (t *target) run(w http.ResponseWriter, r *http.Request, attempt string, b behaviour) {
	t.fleet.record.add("server %s  runs attempt %s %s %s", t.id, attempt, r.Method, r.RequestURI)
	t.fleet.noteRun(attempt, t.id)
	if b.crashes {
		t.fleet.record.add("server %s  crashes under attempt %s", t.id, attempt)
		t.fleet.crashed(t)
		panic(http.ErrAbortHandler)
	}
	if b.dark {
		t.fleet.record.add("server %s  goes dark under attempt %s", t.id, attempt)
		go t.goDark()
		t.hang(r)
	}
	if !t.wait(r, b.work) {
		t.fleet.record.add("server %s  attempt %s: the host closed the connection after %d events", t.id, attempt, 0)
		return
	}
	if b.loses {
		t.fleet.record.add("server %s  ran attempt %s; its answer is lost, the connection closes", t.id, attempt)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Server-Seal", t.id+"."+attempt)
	if b.events == 0 {
		_, _ = fmt.Fprintf(w, "%s by %s", attempt, t.id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for id := last + 1; id <= b.events; id++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", id, id, attempt)
		if control.Flush() != nil {
			return
		}
		if id < b.events && !t.wait(r, b.interval) {
			t.fleet.record.add("server %s  attempt %s: the host closed the connection after event %d of %d", t.id, attempt, id, b.events)
			return
		}
	}
	t.fleet.record.add("server %s  completed attempt %s", t.id, attempt)
}

// hang sends nothing more on the connection of a request, until the host closes it or the target starts again.
func (t *target) hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func (t *target) isSilent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.silent
}

// wait waits for d and reports whether the caller is still connected.
func (t *target) wait(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		if t.isSilent() {
			t.hang(r)
		}
		return true
	case <-r.Context().Done():
		return false
	}
}

// serveStore starts the store stand-in.
func serveStore(address string, store *usherstandin.Store) (*http.Server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: store, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}

func isStream(path string) bool {
	return strings.HasPrefix(path, "/lesson-draft/") || strings.HasPrefix(path, "/second-draft/") || strings.HasPrefix(path, "/condition-tag/")
}
