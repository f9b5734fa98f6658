package main

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// contact is the time after which machines count as in touch, from the bounds.
	contact = 3 * time.Second
	// maxLateRetries is the number of retries that the rule allows after a request has crashed its third server.
	maxLateRetries = 3
	deadlyPath     = "/condition-tag/deadly"
)

// goDark makes a target silent like one that has lost power: its connections stay open and carry nothing, new ones are not
// accepted, and it writes no entry. It starts again after restartTime.
func (t *target) goDark() {
	t.mu.Lock()
	if t.silent {
		t.mu.Unlock()
		return
	}
	t.silent = true
	close(t.released)
	listener, server := t.listener, t.server
	t.mu.Unlock()
	_ = listener.Close()
	reopen, err := unreachable(t.address)
	if err != nil {
		t.fleet.record.add("server %s  cannot be made silent: %v", t.id, err)
	}
	time.Sleep(restartTime)
	reopen()
	_ = server.Close()
	if err := t.start(); err != nil {
		t.fleet.record.add("server %s  could not start again: %v", t.id, err)
	}
	t.fleet.record.add("server %s  is back", t.id)
}

// unreachable makes an address accept no connections: a listener that accepts none, with a full queue, drops the opening
// packets.
func unreachable(address string) (reopen func(), err error) {
	var conns []net.Conn
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	reopen = func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
		_ = syscall.Close(fd)
	}
	if err != nil {
		return func() {}, err
	}
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return reopen, err
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return reopen, err
	}
	bound := &syscall.SockaddrInet4{Port: tcp.Port}
	copy(bound.Addr[:], tcp.IP.To4())
	if err := syscall.Bind(fd, bound); err != nil {
		return reopen, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return reopen, err
	}
	for {
		conn, err := net.DialTimeout("tcp4", address, 30*time.Millisecond)
		if err != nil {
			return reopen, nil
		}
		conns = append(conns, conn)
	}
}

// playSilent repeats a request that takes down, without a word, each engine that begins to run it.
func playSilent(f *fleet, root string, trouble bool) (bool, error) {
	f.declare(nil)
	var mu sync.Mutex
	var ran []time.Time
	err := f.addTargets(func(t *target, r *http.Request) behaviour {
		switch {
		case t.service == plainService:
			return behaviour{work: 15 * time.Millisecond}
		case r.URL.Path != deadlyPath:
			return behaviour{work: 400 * time.Millisecond, events: 100, interval: 60 * time.Millisecond}
		}
		mu.Lock()
		defer mu.Unlock()
		ran = append(ran, time.Now())
		if trouble {
			return behaviour{dark: true}
		}
		return behaviour{work: 300 * time.Millisecond, events: 3, interval: 30 * time.Millisecond}
	})
	if err != nil {
		return false, err
	}
	if err := f.addHosts(root); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	var drafts []answer
	for i := range 14 {
		clients.Go(func() {
			f.send(f.hosts[i*4%9], http.MethodPost, deadlyPath, "deadly", "aa01:40,bb02:30,dead:900", tagTime)
		})
		for range 2 {
			clients.Go(func() {
				a := f.send(f.hosts[(i*5+2)%9], http.MethodPost, "/lesson-draft/x", "a draft", "dd04:40,ee05:30,ff06:900", 15*time.Second)
				mu.Lock()
				defer mu.Unlock()
				drafts = append(drafts, a)
			})
		}
		time.Sleep(2500 * time.Millisecond)
	}
	clients.Wait()
	lost := 0
	for _, a := range drafts {
		if !a.complete(100) {
			lost++
		}
	}
	late := 0
	for i, at := range ran {
		if i >= 3 && at.Sub(ran[2]) > contact {
			late++
		}
	}
	f.record.add("-- the request ran at %d engines; %d of these runs began later than %s after the third crash; %d of %d drafts of others were lost", len(ran), late, contact, lost, len(drafts))
	f.record.add("-- what host %s blames: %s", f.hosts[0].name, strings.TrimSpace(blamed(f.dump(f.hosts[0]))))
	return trouble && late > maxLateRetries, nil
}
