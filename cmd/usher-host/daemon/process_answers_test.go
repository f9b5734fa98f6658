package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/platform/usherstandin"
)

const (
	answerEngines = 6
	// answerStreams is the number of streams of a round, answerPause the time between two of them. One in lostAnswerShare loses its answer.
	answerStreams   = 60
	answerPause     = 40 * time.Millisecond
	lostAnswerShare = 5
)

type (
	// answerPlay is a fleet of processes with engines that lose answers.
	answerPlay struct {
		*processFleet
		engines map[string]*usherstandin.Target
		client  *http.Client
		sent    int
	}

	// orderTrouble is what happens to the calls that engines get beside streams.
	orderTrouble struct {
		name string
		// delay is the time that each call takes.
		delay time.Duration
		// turnedAway and lost are how many orders for a run get no, or an ending connection as their answer.
		turnedAway, lost int32
	}
)

// Engines lose answers and answer the orders to end the runs late, turn them away or lose them. Streams went on at other engines meanwhile. Found
// by review/7 and variants of it, played with processes.
//
//	USHER_ROUNDS=50 USHER_SEED=7 USHER_SOAK_HOSTS=9 go test -v -timeout 60m -run 'TestProcessesEndLostRuns$' ./daemon
func TestProcessesEndLostRuns(t *testing.T) {
	var p *answerPlay
	runFleet(t, 3, 2, func(f *processFleet) {
		if p == nil {
			p = &answerPlay{processFleet: f, engines: map[string]*usherstandin.Target{}, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
			p.declarePatience()
		}
		troubles := []orderTrouble{
			{name: "none"},
			{name: "calls take 0.9 s", delay: 900 * time.Millisecond},
			{name: "calls take 1.4 s", delay: 1400 * time.Millisecond},
			{name: "calls take 3 s", delay: 3 * time.Second},
			{name: "orders are turned away", turnedAway: 3},
			{name: "orders are lost", lost: 2},
			{name: "orders are lost, calls take 0.9 s", lost: 2, delay: 900 * time.Millisecond},
		}
		trouble := troubles[f.random.IntN(len(troubles))]
		f.t.Logf("trouble with orders: %s", trouble.name)
		p.play(trouble)
	})
}

// declarePatience publishes routes on which no stream counts as late or stalled on a slow machine: only lost answers are under test.
func (p *answerPlay) declarePatience() {
	p.version++
	d := declarations()
	d["version"] = p.version
	for _, route := range d["routes"].([]any)[:2] {
		route := route.(map[string]any)
		route["goalMs"], route["gapTargetMs"], route["timeoutMs"] = 20000, 5000, 39000
	}
	p.store.PutJSON("op/config", d)
	p.awaitFleet()
}

// play starts engines of its own, sends streams and checks the runs of each.
func (p *answerPlay) play(trouble orderTrouble) {
	copies, faults := usherstandin.NewCopyRegistry(), &answerFaults{share: lostAnswerShare}
	for i := range answerEngines {
		id, address := fmt.Sprintf("engine-%d-%d", p.sent, i), fmt.Sprintf("%s%d:%d", p.subnet, 100+i, fleetPort)
		target := usherstandin.NewTarget(usherstandin.TargetOptions{ID: id, Service: engineService, Address: address, DataCentre: dataCentres[i%len(dataCentres)], Engine: true}, copies)
		target.SetFaultSource(faults.next)
		p.engines[id] = target
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			p.t.Fatal(err)
		}
		server := &http.Server{Handler: trouble.wrap(target), ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
		go func() { _ = server.Serve(listener) }()
		key, entry := target.Entry("ready")
		p.store.PutJSON(key, entry)
		defer func() {
			p.store.Delete(key)
			_ = server.Close()
			delete(p.engines, id)
		}()
	}
	// The hosts hear of the engines.
	time.Sleep(2 * time.Second)
	var streams sync.WaitGroup
	var complete atomic.Int64
	for range answerStreams {
		p.sent++
		attempt, path, host := fmt.Sprintf("%016x", p.sent), []string{"/appraisal/40", "/eligibility/40"}[p.random.IntN(2)], p.hosts[p.sent%len(p.hosts)]
		streams.Go(func() {
			if p.stream(host, attempt, path) {
				complete.Add(1)
			}
		})
		time.Sleep(answerPause)
	}
	streams.Wait()
	// Runs that were not ended go on.
	time.Sleep(2 * time.Second)
	p.check()
	p.t.Logf("%d of %d streams complete, %d answers lost", complete.Load(), answerStreams, faults.lost.Load())
	if faults.lost.Load() == 0 {
		p.t.Error("no answer was lost, so the round shows nothing")
	}
	// A stream that may run once and whose answer is lost before it begins cannot be sent again.
	if cut := answerStreams - complete.Load(); cut > faults.lostAtOnce.Load() {
		p.t.Errorf("%d streams are incomplete, %d answers were lost before their head", cut, faults.lostAtOnce.Load())
	}
}

// stream sends a request for a stream and reports whether the response is complete.
func (p *answerPlay) stream(h *fleetHost, attempt, path string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", h.ip, fleetPort, path), strings.NewReader("an entry"))
	if err != nil {
		p.t.Error(err)
		return false
	}
	r.Host = hostName
	for name, value := range map[string]string{"Attempt-Id": attempt, "Deadline-Ms": "39000", "Api-Key": apiKey, "Model": "m", "Token-Counts": "700,160"} {
		r.Header.Set(name, value)
	}
	response, err := p.client.Do(r)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return err == nil && response.StatusCode == http.StatusOK && isComplete(string(body), attempt, 40)
}

// check fails the test if an engine worked on a request that had gone on at a later one.
func (p *answerPlay) check() {
	runs := map[string][]usherstandin.Run{}
	for _, target := range p.engines {
		for _, run := range target.Runs() {
			runs[run.Attempt] = append(runs[run.Attempt], run)
		}
	}
	for attempt, all := range runs {
		for _, earlier := range all {
			for _, later := range all {
				if overlap := earlier.LastWork.Sub(later.StartedAt); later.StartedAt.After(earlier.StartedAt) && overlap > overlapAllowed {
					p.t.Errorf("attempt %s: an engine worked on the request for %s after it had gone on at another one", attempt, overlap)
				}
			}
		}
	}
}

// wrap returns a handler that spoils the calls beside streams.
func (o orderTrouble) wrap(target http.Handler) http.Handler {
	var mu sync.Mutex
	given := map[string]int32{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/kv-move" && r.URL.Path != "/report" {
			target.ServeHTTP(w, r)
			return
		}
		time.Sleep(o.delay)
		if r.URL.Path == "/kv-move" {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
			var order struct {
				ID   string `json:"id"`
				Last bool   `json:"last"`
			}
			if err := json.Unmarshal(body, &order); err != nil {
				panic(http.ErrAbortHandler)
			}
			mu.Lock()
			if order.Last {
				given[order.ID]++
			}
			n := given[order.ID]
			mu.Unlock()
			switch {
			case !order.Last:
			case n <= o.turnedAway:
				w.WriteHeader(http.StatusConflict)
				return
			case n <= o.lost:
				panic(http.ErrAbortHandler)
			}
		}
		target.ServeHTTP(w, r)
	})
}

// answerFaults lets each share-th run lose its answer, in turn before its head and after some events.
type answerFaults struct {
	share            int64
	runs             atomic.Int64
	lost, lostAtOnce atomic.Int64
}

func (f *answerFaults) next() usherstandin.Fault {
	n := f.runs.Add(1)
	if n%f.share != 0 {
		return usherstandin.NoFault
	}
	f.lost.Add(1)
	if n/f.share%2 == 0 {
		f.lostAtOnce.Add(1)
		return usherstandin.LosesAnswerAtOnce
	}
	return usherstandin.LosesAnswerLater
}
