package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	oddCalls = 240
	oddPause = 50 * time.Millisecond
)

// foreignService is the service of the other writer's servers. No configuration names it.
const foreignService = "trial-desk"

// oddEntry checks that an entry of another writer, in which fields are missing or of another type, names no replica to use. The servers that
// such entries name belong to a service to which no configuration lets a request go.
func oddEntry(record string, trouble bool) (bool, error) {
	l, err := newLab(record, 284)
	if err != nil {
		return false, err
	}
	defer l.close()
	l.publish("op/config", configuration(7))
	var replicas []*replica
	for i := range 3 {
		r, err := l.startReplica(i, fmt.Sprintf("i-7f3a91c%d", i), "hiraman-desk", 15*time.Millisecond)
		if err != nil {
			return false, err
		}
		l.keepPublished("servers/"+r.id, r.entry)
		replicas = append(replicas, r)
	}
	// These two are no replicas of the installation: another writer has published them.
	missing, err := l.startReplica(10, "x-trial-1", foreignService, 5*time.Millisecond)
	if err != nil {
		return false, err
	}
	mistyped, err := l.startReplica(11, "x-trial-2", foreignService, 5*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := l.startHosts(9); err != nil {
		return false, err
	}
	if trouble {
		l.keepPublished("servers/x-trial-1", func(int) map[string]any {
			return map[string]any{"service": "hiraman-desk", "address": missing.address, "zone": missing.zone, "slots": 6, "state": "ready", "born": l.began.UnixMilli()}
		})
		l.keepPublished("servers/x-trial-2", func(seq int) map[string]any {
			return map[string]any{
				"service": "hiraman-desk", "address": mistyped.address, "zone": mistyped.zone, "version": 3, "slots": 6, "state": "ready", "coldLeftMs": 0,
				"seq": fmt.Sprint(seq), "born": l.began.UnixMilli(),
			}
		})
		l.note("another writer publishes servers/x-trial-1 (version, coldLeftMs and seq are missing) and servers/x-trial-2 (version is a number, seq a text)")
	}
	time.Sleep(2 * time.Second)
	results := make([]plainResult, oddCalls)
	var wait sync.WaitGroup
	for i := range oddCalls {
		wait.Go(func() {
			attempt, h := fmt.Sprintf("%016x", 0x5500000000+i), l.hosts[i%len(l.hosts)]
			if i%4 == 3 {
				results[i] = call(h, attempt, http.MethodGet, fmt.Sprintf("/lookup/%d", i), "", time.Second)
			} else {
				results[i] = call(h, attempt, http.MethodPost, fmt.Sprintf("/checkout/%d", i), fmt.Sprintf("recorder %d to school %d", i, i%7), time.Second)
			}
		})
		time.Sleep(oddPause)
	}
	wait.Wait()
	answered, foreign := 0, 0
	for _, r := range results {
		l.note("consumer: %s %s at %s: status %d, seal %q, body %q, error %v", r.attempt, r.method, r.host, r.status, r.seal, r.body, r.err)
		if r.status == http.StatusOK {
			answered++
		}
	}
	for _, r := range replicas {
		l.note("replica %s ran %d requests", r.id, len(r.ran()))
	}
	unsafe := 0
	for _, r := range []*replica{missing, mistyped} {
		for _, run := range r.ran() {
			foreign++
			if run.method == http.MethodPost {
				unsafe++
			}
			l.note("ROUTE: %s %s %s ran at %s of service %s, for tenant %s", run.attempt, run.method, run.path, r.id, r.service, run.tenant)
		}
		l.say("the server %s of service %s ran %d requests of consumers", r.id, r.service, len(r.ran()))
	}
	l.say("%d calls, %d answered with 200; %d ran at servers of a service that no configuration names, %d of them loan checkouts", oddCalls, answered, foreign, unsafe)
	if answered < oddCalls*9/10 {
		return false, fmt.Errorf("only %d of %d calls were answered", answered, oddCalls)
	}
	return foreign > 0, nil
}
