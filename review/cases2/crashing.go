package main

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	// copies is how often a consumer that repeats at once sends a request: once and three times more.
	copies = 4
	// returnTime is the time after which the consumer comes again, rounds how often it comes.
	returnTime = 6 * time.Second
	rounds     = 5
	// crashesUntilKnown and lateRetries are the rule's bound: later than contactTime after the third crash, the request reaches replicas
	// in no more than three retries.
	crashesUntilKnown = 3
	lateRetries       = 3
	badPart           = "0badbad0"
	badTokens         = 700
)

// crashingRequest checks that a request that crashes the replicas that run it is kept from them. Its consumer repeats at once, and comes again
// some seconds later.
func crashingRequest(record string, trouble bool) (bool, error) {
	l, err := newLab(record, 284)
	if err != nil {
		return false, err
	}
	defer l.close()
	l.publish("op/config", configuration(7))
	fleet, err := l.startEngines(12)
	if err != nil {
		return false, err
	}
	if trouble {
		fleet.crashes = func(r *http.Request) bool {
			return r.Method == http.MethodPost && r.URL.Path == "/tag/3" && r.Header.Get("Prompt-Prefix") == badPrefix
		}
	}
	if err := l.startHosts(9); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var others sync.WaitGroup
	var mu sync.Mutex
	lost, served := 0, 0
	others.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			others.Go(func() {
				r := stream(context.Background(), l.hosts[i%len(l.hosts)], fmt.Sprintf("%016x", 0x7700000000+i), "/draft/60", 700, 60, 39*time.Second, "a lesson plan", fmt.Sprintf("%08x:600,%08x:100", i%20, i+1000))
				mu.Lock()
				defer mu.Unlock()
				l.note("other consumer: %s at %s from %.3f: status %d, %d events, complete %v, error %v", r.attempt, r.host, l.since(r.began), r.status, r.events, r.complete, r.err)
				if r.complete {
					served++
				} else {
					lost++
				}
			})
			time.Sleep(220 * time.Millisecond)
		}
	})
	time.Sleep(2 * time.Second)
	for round := range rounds {
		l.note("round %d: the consumer sends its request and repeats it three times at once", round+1)
		var sending sync.WaitGroup
		for i := range copies {
			sending.Go(func() {
				attempt := fmt.Sprintf("%016x", 0xbad0000000+round*16+i)
				h := l.hosts[(round+2*i)%len(l.hosts)]
				r := stream(context.Background(), h, attempt, "/tag/3", badTokens, 3, 6*time.Second, "a photograph of a recorder", badPrefix)
				l.note("consumer: %s at %s from %.3f to %.3f: status %d, %d events, complete %v, error %v", attempt, r.host, l.since(r.began), l.since(time.Now()), r.status, r.events, r.complete, r.err)
			})
		}
		sending.Wait()
		time.Sleep(returnTime)
	}
	cancel()
	others.Wait()
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if !trouble {
		l.say("without the crashes: %d other streams complete, %d not", served, lost)
		return false, nil
	}
	sort.Slice(fleet.crashed, func(i, j int) bool { return fleet.crashed[i].at.Before(fleet.crashed[j].at) })
	if len(fleet.crashed) < crashesUntilKnown {
		return false, fmt.Errorf("only %d replicas crashed", len(fleet.crashed))
	}
	known := fleet.crashed[crashesUntilKnown-1].at
	late := 0
	for _, a := range fleet.arrivals {
		if a.at.After(known.Add(contactTime)) {
			late++
			l.note("late: %s reaches %s at %.3f", a.attempt, a.replica, l.since(a.at))
		}
	}
	l.say("the request crashed %d replicas, the third at %.3f; later than 3 s after that it reached replicas %d times, at most %d are allowed; of the other streams %d were complete and %d lost",
		len(fleet.crashed), l.since(known), late, lateRetries, served, lost)
	return late > lateRetries, nil
}

const badPrefix = "5c1e07a2:400,91bd3f06:200," + badPart + ":100"
