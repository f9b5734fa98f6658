package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// doubleWork is how long the rule allows a server to work on a request that goes on at another one.
	doubleWork = 400 * time.Millisecond
	// draftEvents is the mean of the sheet.
	draftEvents = 235
	eventGap    = 45 * time.Millisecond
	// drafts is the number of drafts, one each draftGap. draftsAtHost of them run at the disturbed host.
	drafts       = 18
	draftsAtHost = 8
	draftGap     = 100 * time.Millisecond
)

type (
	// copies has the memory of runs that engines keep as backup copies, by address and attempt, and when runs worked.
	copies struct {
		mu      sync.Mutex
		held    map[string]bool
		resumed map[string]time.Time
		worked  map[string]time.Time
	}

	// relay passes the connections to one engine on. Silent ones carry nothing any more, in neither direction, and their ends
	// aren't told; new connections work.
	relay struct {
		listener net.Listener
		engine   string
		silences *silences
	}

	// silences has the flags of the open connections, by the attempt that they carry.
	silences struct {
		mu    sync.Mutex
		flags map[string][]*atomic.Bool
		// conns keeps the connections reachable, as the runtime would close them otherwise.
		conns []net.Conn
	}
)

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

func (s *silences) add(attempt string, flag *atomic.Bool, conns ...net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, conns...)
	s.flags[attempt] = append(s.flags[attempt], flag)
}

// begin silences the connections that carry an attempt now.
func (s *silences) begin(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, flag := range s.flags[attempt] {
		flag.Store(true)
	}
}

// playTwice lets half of one host's connections to engines go silent while drafts run on them.
func playTwice(f *fleet, root string, trouble bool) (bool, error) {
	c := &copies{held: map[string]bool{}, resumed: map[string]time.Time{}, worked: map[string]time.Time{}}
	f.declare(nil)
	s := &silences{flags: map[string][]*atomic.Bool{}}
	handle := func(t *target, r *http.Request) behaviour {
		if t.service == plainService {
			return behaviour{work: 15 * time.Millisecond}
		}
		return behaviour{serve: func(w http.ResponseWriter, r *http.Request, attempt string) { f.draft(c, t, w, r, attempt) }}
	}
	if err := f.addRelayedTargets(handle, s); err != nil {
		return false, err
	}
	if err := f.addHosts(root); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	complete := 0
	var atHost []string
	for i := range drafts {
		h := f.hosts[1+i%8]
		if i < draftsAtHost {
			h = f.hosts[0]
			atHost = append(atHost, fmt.Sprintf("%016x", i+1))
		}
		clients.Go(func() {
			a := f.send(h, http.MethodPost, "/lesson-draft/x", "a draft", fmt.Sprintf("aa01:40,bb02:30,%04x:900", i), draftTime)
			mu.Lock()
			defer mu.Unlock()
			if a.complete(draftEvents) {
				complete++
			}
		})
		time.Sleep(draftGap)
	}
	time.Sleep(time.Second)
	silentSince := time.Now()
	if trouble {
		for _, attempt := range atHost[:draftsAtHost/2] {
			s.begin(attempt)
			f.record.add("-- the connection of %s to %v for attempt %s goes silent; new ones work", f.hosts[0].name, f.runsOf(attempt), attempt)
		}
	}
	clients.Wait()
	time.Sleep(3 * time.Second)
	c.mu.Lock()
	defer c.mu.Unlock()
	broken := 0
	for attempt, at := range c.resumed {
		if last, worked := c.worked[attempt]; worked && last.Sub(at) > doubleWork {
			broken++
			f.record.add("BROKEN: attempt %s went on at another engine %d ms after its connection had gone silent, and %v still worked on it %d ms later",
				attempt, at.Sub(silentSince).Milliseconds(), f.runsOf(attempt)[0], last.Sub(at).Milliseconds())
		}
	}
	f.record.add("-- %d drafts, %d complete at their consumers; %d went on at another engine, %d of them while the first still worked on them", drafts, complete, len(c.resumed), broken)
	return broken > 0, nil
}

// addRelayedTargets starts the servers of the sheet with a relay before each engine.
func (f *fleet) addRelayedTargets(handle func(t *target, r *http.Request) behaviour, s *silences) error {
	for i := range 15 {
		id, zone, address := fmt.Sprintf("i-%02d", i+1), i%3, f.address(100+i, targetPort)
		if i >= 12 {
			if err := f.addTarget(id, plainService, zone, address, handle); err != nil {
				return err
			}
			continue
		}
		own := f.address(100+i, targetPort+1)
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			return err
		}
		f.listeners = append(f.listeners, listener)
		go (&relay{listener: listener, engine: own, silences: s}).run()
		t := &target{id: id, service: engineService, zone: zones[zone], address: own, published: address, fleet: f, handle: handle}
		if err := t.start(); err != nil {
			return err
		}
		f.targets = append(f.targets, t)
	}
	return nil
}

func (p *relay) run() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(conn)
	}
}

// pass passes one connection on until it ends or goes silent.
func (p *relay) pass(conn net.Conn) {
	engine, err := net.Dial("tcp4", p.engine)
	if err != nil {
		_ = conn.Close()
		return
	}
	silent := new(atomic.Bool)
	copyTo := func(to, from net.Conn, look bool) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			if look {
				if _, rest, found := strings.Cut(string(buffer[:n]), "Attempt-Id: "); found {
					attempt, _, _ := strings.Cut(rest, "\r\n")
					p.silences.add(attempt, silent, from, to)
				}
			}
			if silent.Load() {
				// Neither bytes nor the end of a side reach the other one.
				return
			}
			if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
				_ = to.Close()
				_ = from.Close()
				return
			}
		}
	}
	go copyTo(conn, engine, false)
	copyTo(engine, conn, true)
}

// draft runs a draft at an engine, or goes on with one from a copy. An engine drops a draft when its connection closes.
func (f *fleet) draft(c *copies, t *target, w http.ResponseWriter, r *http.Request, attempt string) {
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
	for id := last + 1; id <= draftEvents; id++ {
		time.Sleep(eventGap)
		if r.Context().Err() != nil {
			f.record.add("server %s  drops attempt %s before event %d: the connection is closed", t.id, attempt, id)
			return
		}
		if backup := r.Header.Get("Kv-Backup"); backup != "" {
			c.add(backup, attempt)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", id, id, attempt); err != nil {
			return
		}
		_ = control.Flush()
		if from == "" {
			c.mu.Lock()
			c.worked[attempt] = time.Now()
			c.mu.Unlock()
		}
	}
	f.record.add("server %s  made all events of attempt %s", t.id, attempt)
}
