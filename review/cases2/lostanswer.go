package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// lostShare is the part of the replicas that lose answers, and lostEvery the number of runs of which one loses its answer.
	lostEvery  = 20
	lostNumber = 10
	lostEvent  = 20
	// overlapTime is how long after a request has gone on elsewhere its replica before may still work on it.
	overlapTime = 400 * time.Millisecond
	streams     = 260
	streamPause = 70 * time.Millisecond
	streamTotal = 80
)

// lostAnswer checks that a stream goes on at another replica only once the one before does not work on it any more. Half of the replicas lose
// the answer of one in twenty of the requests that they run: the connection is reset, the run goes on.
func lostAnswer(record string, trouble bool) (bool, error) {
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
		fleet.losesAnswer = func(e *engine, number int) (int, bool) {
			return lostEvent, e.index%2 == 0 && number%lostEvery == lostNumber
		}
	}
	if err := l.startHosts(9); err != nil {
		return false, err
	}
	l.note("hosts ready; %d streams of %d events follow", streams, streamTotal)
	results := make([]streamResult, streams)
	var wait sync.WaitGroup
	for i := range streams {
		wait.Go(func() {
			attempt := fmt.Sprintf("%016x", 0x1c41d07b00000000+i)
			results[i] = stream(context.Background(), l.hosts[i%len(l.hosts)], attempt, fmt.Sprintf("/draft/%d", streamTotal), 700, streamTotal, 39*time.Second, "a lesson plan", fmt.Sprintf("%08x:600,%08x:100", i%20, i+1000))
		})
		time.Sleep(streamPause)
	}
	wait.Wait()
	time.Sleep(time.Second)
	return l.checkRuns(fleet, results)
}

// checkRuns checks all runs of the streams.
func (l *lab) checkRuns(fleet *engines, results []streamResult) (bool, error) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	complete, lost := 0, 0
	for _, r := range results {
		l.note("consumer: %s at %s from %.3f: status %d, %d events, complete %v, error %v %v", r.attempt, r.host, l.since(r.began), r.status, r.events, r.complete, r.err, r.faults)
		if r.complete {
			complete++
		}
	}
	byAttempt := map[string][]*run{}
	for _, r := range fleet.runs {
		l.note("run: %s at %s from %.3f, events %d to %d, last work %.3f, ended %.3f: %s, continued from %q", r.attempt, r.replica, l.since(r.started), r.first, r.events, l.since(r.lastWork), l.since(r.ended), r.end, r.from)
		byAttempt[r.attempt] = append(byAttempt[r.attempt], r)
		if !r.answerLost.IsZero() {
			lost++
		}
	}
	hostOf := map[string]string{}
	for _, r := range results {
		hostOf[r.attempt] = r.host
	}
	broken := 0
	for attempt, runs := range byAttempt {
		for i := 1; i < len(runs); i++ {
			before, after := runs[i-1], runs[i]
			overlap := before.lastWork.Sub(after.started)
			if before.engine == after.engine || overlap < overlapTime {
				continue
			}
			broken++
			reached := 0
			for _, other := range fleet.runs {
				if d := other.started.Sub(after.started); other.engine == before.engine && hostOf[other.attempt] == hostOf[attempt] && d > -contactTime && d < contactTime && other != before {
					reached++
				}
			}
			l.say("TWICE: %s went on at %s at %.3f while %s worked on it until %.3f, %d ms longer; its host %s sent that replica %d other requests within 3 s of that; the replica's interface answers: %v",
				attempt, after.replica, l.since(after.started), before.replica, l.since(before.lastWork), overlap.Milliseconds(), hostOf[attempt], reached, before.engine.answersNow())
		}
	}
	l.say("%d streams, %d complete; %d answers lost of %d runs; %d streams went on elsewhere while their replica still worked on them", len(results), complete, lost, len(fleet.runs), broken)
	if complete < len(results)*9/10 {
		return false, fmt.Errorf("only %d of %d streams were complete", complete, len(results))
	}
	return broken > 0, nil
}

// answersNow reports whether the control interface of the replica answers.
func (e *engine) answersNow() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + e.address + "/healthz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
