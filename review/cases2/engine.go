package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// eventTime is the time between two events of a stream, prefillRate how many prompt tokens are read in a millisecond.
	eventTime   = 30 * time.Millisecond
	prefillRate = 14
	copyTime    = 20 * time.Millisecond
	// heartbeat is the time between two entries of a replica, and silentBeats how many of them are missed until its entry goes.
	heartbeat   = 1200 * time.Millisecond
	silentBeats = 3
	// restartTime is how long a crashed replica is down.
	restartTime = 2500 * time.Millisecond
)

type (
	// engine is a model replica. Its place (address and zone) stays; each start has a new id.
	engine struct {
		lab      *lab
		fleet    *engines
		index    int
		address  string
		zone     string
		mu       sync.Mutex
		id       string
		born     int64
		up       bool
		listener net.Listener
		conns    map[net.Conn]bool
		// held are the copies of other replicas' runs, by handle, with the number of events.
		held map[string]int
		runs map[string]*run
		seq  int
		// started counts the runs of all boots.
		started int
	}

	// engines are the replicas of the model service.
	engines struct {
		all []*engine
		mu  sync.Mutex
		// runs are all runs in the order in which they started.
		runs []*run
		// losesAnswer reports whether the replica loses the answer of a run, given which one of the replica's it is, and at which event.
		losesAnswer func(e *engine, number int) (event int, loses bool)
		// crashes reports whether a request crashes the replica that begins to run it.
		crashes func(r *http.Request) bool
		// arrivals are the requests that crash replicas, as they reached one.
		arrivals []arrival
		crashed  []arrival
	}

	arrival struct {
		at       time.Time
		attempt  string
		replica  string
		deadline string
	}

	// run is one run of a request at one replica. The lock of engines guards it.
	run struct {
		attempt, replica, from string
		first                  int
		started                time.Time
		lastWork               time.Time
		ended                  time.Time
		events                 int
		total                  int
		end                    string
		answerLost             time.Time
		engine                 *engine
		stop                   chan struct{}
		stopOnce               sync.Once
	}
)

// startEngines starts n model replicas.
func (l *lab) startEngines(n int) (*engines, error) {
	fleet := &engines{losesAnswer: func(*engine, int) (int, bool) { return 0, false }, crashes: func(*http.Request) bool { return false }}
	for i := range n {
		e := &engine{lab: l, fleet: fleet, index: i, address: fmt.Sprintf("%s%d:%d", l.subnet, 100+i, enginePort), zone: zones[i%len(zones)]}
		fleet.all = append(fleet.all, e)
		if err := e.start(); err != nil {
			return nil, err
		}
		go e.beat()
	}
	return fleet, nil
}

func (e *engine) start() error {
	var listener net.Listener
	var err error
	for range 20 {
		if listener, err = net.Listen("tcp4", e.address); err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.id, e.born, e.up, e.listener, e.conns = fmt.Sprintf("i-%02d-%08x", e.index, time.Now().UnixNano()&0xffffffff), time.Now().UnixMilli(), true, listener, map[net.Conn]bool{}
	e.held, e.runs = map[string]int{}, map[string]*run{}
	e.mu.Unlock()
	e.publish()
	go e.accept(listener)
	return nil
}

// beat publishes the entry of the replica while it is up, and removes it after some missed beats.
func (e *engine) beat() {
	published, missed := "", 0
	for range time.Tick(heartbeat) {
		e.mu.Lock()
		up, id := e.up, e.id
		e.mu.Unlock()
		if up {
			if published != "" && published != id {
				e.lab.store.Delete("servers/" + published)
			}
			e.publish()
			published, missed = id, 0
			continue
		}
		if missed++; missed == silentBeats && published != "" {
			e.lab.store.Delete("servers/" + published)
			published = ""
		}
	}
}

func (e *engine) publish() {
	e.mu.Lock()
	e.seq++
	id, entry := e.id, map[string]any{
		"service": "tagapayo", "address": e.address, "zone": e.zone, "version": "v1", "slots": 24, "state": "ready", "coldLeftMs": 0, "seq": e.seq, "born": e.born,
	}
	e.mu.Unlock()
	e.lab.publish("servers/"+id, entry)
}

// crash ends the process of the replica: its connections are reset, and it is back later with a new id.
func (e *engine) crash() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	_ = e.listener.Close()
	for c := range e.conns {
		reset(c)
	}
	runs := e.runs
	e.runs = map[string]*run{}
	e.mu.Unlock()
	for _, r := range runs {
		r.finish("the replica crashed")
	}
	time.AfterFunc(restartTime, func() {
		if err := e.start(); err != nil {
			e.lab.note("replica %d could not start again: %v", e.index, err)
		}
	})
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (e *engine) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if !e.up {
			reset(c)
		} else {
			e.conns[c] = true
			go e.serve(c)
		}
		e.mu.Unlock()
	}
}

// serve reads the requests of one connection, one after the other.
func (e *engine) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !e.handle(c, reader, r, body) || r.Close {
			return
		}
	}
}

// handle serves a request and reports whether the connection stays open.
func (e *engine) handle(c net.Conn, reader *bufio.Reader, r *http.Request, body []byte) bool {
	switch {
	case r.URL.Path == "/healthz":
		return e.answer(c, http.StatusOK, "Replica-Id: "+e.id+"\r\n", "")
	case r.URL.Path == "/report":
		return e.report(c)
	case r.URL.Path == "/kv-move":
		return e.move(c, body)
	case strings.HasPrefix(r.URL.Path, "/kv-handle/"):
		e.mu.Lock()
		delete(e.held, strings.TrimPrefix(r.URL.Path, "/kv-handle/"))
		e.mu.Unlock()
		return e.answer(c, http.StatusOK, "", "{}")
	}
	return e.execute(c, reader, r)
}

func (e *engine) answer(c net.Conn, status int, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
	return err == nil
}

func (e *engine) report(c net.Conn) bool {
	e.mu.Lock()
	runs := []any{}
	tokens := 0
	for attempt, r := range e.runs {
		e.fleet.mu.Lock()
		runs = append(runs, []any{attempt, 3000 + 4*r.events, r.events, 5})
		tokens += 3000 + 4*r.events
		e.fleet.mu.Unlock()
	}
	text, err := json.Marshal(map[string]any{
		"stage": "hybrid", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "seq": 0, "queued": 0, "running": len(runs),
		"kvUsed": tokens, "kvTotal": 34313, "handles": len(e.held), "state": "ready", "runs": runs, "born": e.born,
	})
	e.mu.Unlock()
	if err != nil {
		return false
	}
	return e.answer(c, http.StatusOK, "", string(text))
}

// move copies the memory of a run to another replica, and stops the run before if the call says so.
func (e *engine) move(c net.Conn, body []byte) bool {
	var call struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		return e.answer(c, http.StatusBadRequest, "", "{}")
	}
	e.mu.Lock()
	r := e.runs[call.ID]
	e.mu.Unlock()
	if r == nil {
		return e.answer(c, http.StatusNotFound, "", "{}")
	}
	if call.Last {
		r.finish("stopped by an order")
	}
	time.Sleep(copyTime)
	e.fleet.mu.Lock()
	events := r.events
	e.fleet.mu.Unlock()
	handle := "h-" + call.ID
	e.mu.Lock()
	e.held[handle] = events
	e.mu.Unlock()
	status := http.StatusServiceUnavailable
	if to := e.fleet.at(call.To); to != nil && to.keep(handle, events) {
		status = http.StatusOK
	}
	text, _ := json.Marshal(map[string]any{"handle": handle, "created": events})
	return e.answer(c, status, "", string(text))
}

func (f *engines) at(address string) *engine {
	for _, e := range f.all {
		if e.address == address {
			return e
		}
	}
	return nil
}

// keep stores a copy of another replica's run.
func (e *engine) keep(handle string, events int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return false
	}
	e.held[handle] = events
	return true
}

// take uses a copy up and reports whether there was one.
func (e *engine) take(handle string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, held := e.held[handle]
	delete(e.held, handle)
	return held
}

func (r *run) finish(end string) {
	r.stopOnce.Do(func() {
		r.engine.fleet.mu.Lock()
		r.ended, r.end = time.Now(), end
		r.engine.fleet.mu.Unlock()
		close(r.stop)
		r.engine.mu.Lock()
		if r.engine.runs[r.attempt] == r {
			delete(r.engine.runs, r.attempt)
		}
		r.engine.mu.Unlock()
	})
}

// execute runs a request and streams its events.
func (e *engine) execute(c net.Conn, reader *bufio.Reader, r *http.Request) bool {
	attempt := r.Header.Get("Attempt-Id")
	if expected := r.Header.Get("Expected-Replica"); expected != "" && expected != e.id {
		return e.answer(c, http.StatusMisdirectedRequest, "Attempt-Id: "+attempt+"\r\nReplica-Id: "+e.id+"\r\n", "")
	}
	if e.fleet.crashes(r) {
		e.fleet.mu.Lock()
		a := arrival{at: time.Now(), attempt: attempt, replica: e.id}
		e.fleet.arrivals = append(e.fleet.arrivals, a)
		e.fleet.mu.Unlock()
		// It crashes the replica as soon as its prompt has been read and the run begins.
		time.Sleep(prefillTime(r))
		e.mu.Lock()
		up := e.up && e.id == a.replica
		e.mu.Unlock()
		if up {
			e.fleet.mu.Lock()
			e.fleet.crashed = append(e.fleet.crashed, arrival{at: time.Now(), attempt: attempt, replica: a.replica})
			e.fleet.mu.Unlock()
			e.lab.note("replica %s begins to run %s and crashes", a.replica, attempt)
			e.crash()
		}
		return false
	}
	from := ""
	if v := r.Header.Get("Kv-From"); v != "" {
		_, handle, _ := strings.Cut(v, "/")
		if !e.take(handle) {
			return e.answer(c, http.StatusServiceUnavailable, "Attempt-Id: "+attempt+"\r\nNot-Executed: 1\r\n", "")
		}
		from = v
	}
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	total, _ := strconv.Atoi(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
	now := time.Now()
	x := &run{attempt: attempt, replica: e.id, from: from, first: first + 1, started: now, lastWork: now, events: first, total: total, engine: e, stop: make(chan struct{})}
	e.mu.Lock()
	e.started++
	number := e.started
	e.runs[attempt] = x
	e.mu.Unlock()
	e.fleet.mu.Lock()
	e.fleet.runs = append(e.fleet.runs, x)
	e.fleet.mu.Unlock()
	loseAt, loses := 0, false
	if from == "" {
		loseAt, loses = e.fleet.losesAnswer(e, number)
	}
	if from == "" {
		x.wait(prefillTime(r))
	}
	if !loses {
		// The run ends when the connection closes.
		go func() {
			if _, err := reader.Peek(1); err != nil && !errors.Is(err, bufio.ErrBufferFull) {
				x.finish("the connection closed")
			}
		}()
	}
	send := func(text string) bool { _, err := io.WriteString(c, text); return err == nil }
	open := send(fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s.%s\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", attempt, e.id, attempt))
	backup := e.fleet.at(r.Header.Get("Kv-Backup"))
	for id := first + 1; id <= total; id++ {
		if !x.wait(eventTime) {
			return false
		}
		e.fleet.mu.Lock()
		x.events, x.lastWork = id, time.Now()
		e.fleet.mu.Unlock()
		if backup != nil {
			backup.keep(attempt, id)
		}
		if loses && id == loseAt {
			e.fleet.mu.Lock()
			x.answerLost = time.Now()
			e.fleet.mu.Unlock()
			e.lab.note("replica %s loses the answer of %s after event %d: its connection closes, the run goes on", x.replica, attempt, id)
			_ = c.Close()
			open = false
		}
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", id, id, attempt)
		if open && !send(fmt.Sprintf("%x\r\n%s\r\n", len(event), event)) {
			open = false
			if !loses {
				x.finish("the connection closed")
				return false
			}
		}
	}
	if open {
		open = send("0\r\n\r\n")
	}
	if backup != nil && open {
		backup.take(attempt)
	}
	x.finish("complete")
	return open
}

// wait waits and reports whether the run goes on.
func (r *run) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.stop:
		return false
	}
}

func prefillTime(r *http.Request) time.Duration {
	in, _, _ := strings.Cut(r.Header.Get("Token-Counts"), ",")
	tokens, _ := strconv.Atoi(in)
	return time.Duration(tokens/prefillRate) * time.Millisecond
}
