package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// For lostTime, lostReplicas of the replicas (a share of 0.45 at most) lose the answer of the lostNumber-th run that starts on one of them
	// (x is 0.025 at most). That comes lostPeriods times, lostPause apart.
	lostTime     = 5500 * time.Millisecond
	lostPause    = 2500 * time.Millisecond
	lostPeriods  = 3
	lostReplicas = 5
	lostNumber   = 40
	lostEvent    = 20
	// overlapTime is how long after a request has gone on elsewhere its replica before may still work on it.
	overlapTime = 400 * time.Millisecond
	streamPause = 25 * time.Millisecond
	streamTotal = 80
)

// lossPeriods are the times in which replicas lose answers. The lock of engines guards them.
type lossPeriods struct {
	begin   time.Time
	periods []int
}

// loses reports whether the run that starts now on an affected replica loses its answer.
func (p *lossPeriods) loses(now time.Time) bool {
	if p.begin.IsZero() || now.Before(p.begin) {
		return false
	}
	period := int(now.Sub(p.begin) / (lostTime + lostPause))
	if period >= lostPeriods || now.Sub(p.begin)%(lostTime+lostPause) >= lostTime {
		return false
	}
	p.periods[period]++
	return p.periods[period] == lostNumber
}

// lostAnswer checks that a stream goes on at another replica only once the one before does not work on it any more. Some replicas lose an
// answer: its connection closes, the run goes on.
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
	losses := &lossPeriods{periods: make([]int, lostPeriods)}
	fleet.losesAnswer = func(e *engine, _ int) (int, bool) {
		fleet.mu.Lock()
		defer fleet.mu.Unlock()
		return lostEvent, e.index < lostReplicas && losses.loses(time.Now()) && trouble
	}
	if err := l.startHosts(9); err != nil {
		return false, err
	}
	// The hosts have been in touch for more than contactTime when the first period begins.
	begin := time.Now().Add(contactTime + time.Second)
	fleet.mu.Lock()
	losses.begin = begin
	fleet.mu.Unlock()
	l.note("hosts ready; streams of %d events follow, one each %s; the periods begin at %.3f, and each takes %s", streamTotal, streamPause, l.since(begin), lostTime)
	var results []streamResult
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i := 0; time.Now().Before(begin.Add(lostPeriods * (lostTime + lostPause))); i++ {
		wait.Go(func() {
			attempt := fmt.Sprintf("%016x", 0x1c41d07b00000000+i)
			r := stream(context.Background(), l.hosts[i%len(l.hosts)], attempt, fmt.Sprintf("/draft/%d", streamTotal), 700, streamTotal, 39*time.Second, "a lesson plan", fmt.Sprintf("%08x:600,%08x:100", i%20, i+1000))
			mu.Lock()
			defer mu.Unlock()
			results = append(results, r)
		})
		time.Sleep(streamPause)
	}
	wait.Wait()
	time.Sleep(time.Second)
	l.say("runs that started on the %d affected replicas in each period: %v", lostReplicas, losses.periods)
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
	broken, unreached := 0, 0
	for attempt, runs := range byAttempt {
		for i := 1; i < len(runs); i++ {
			before, after := runs[i-1], runs[i]
			overlap := before.lastWork.Sub(after.started)
			if before.engine == after.engine || overlap < overlapTime {
				continue
			}
			reached := 0
			for _, other := range fleet.runs {
				if d := other.started.Sub(after.started); other.engine == before.engine && hostOf[other.attempt] == hostOf[attempt] && d > -contactTime && d < contactTime && other != before {
					reached++
				}
			}
			if reached > 0 {
				broken++
			} else {
				unreached++
			}
			l.say("TWICE: %s went on at %s at %.3f while %s worked on it until %.3f, %d ms longer; its host %s sent that replica %d other requests within 3 s of that; the replica's interface answers: %v",
				attempt, after.replica, l.since(after.started), before.replica, l.since(before.lastWork), overlap.Milliseconds(), hostOf[attempt], reached, before.engine.answersNow())
		}
	}
	l.say("%d streams, %d complete; %d answers lost of %d runs; %d streams went on elsewhere while their replica still worked on them and took other requests of the same host; %d more without such a request", len(results), complete, lost, len(fleet.runs), broken, unreached)
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
