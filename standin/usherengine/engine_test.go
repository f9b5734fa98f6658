package usherengine_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphireusher/samphireusher/standin/usherengine"
	"github.com/samphireusher/samphireusher/standin/ushermodel"
	"github.com/samphireusher/samphireusher/standin/usherpipe"
)

type (
	// fixture is an engine and its client in a synctest bubble.
	fixture struct {
		*testing.T
		engine *usherengine.Engine
		client *usherpipe.Client
	}

	event struct {
		Name         string `json:"-"`
		GenerationID string `json:"generation_id"`
		Incarnation  int64  `json:"incarnation"`
		Index        int    `json:"index"`
		Text         string `json:"text"`
		Tokens       int    `json:"tokens"`
		Finish       string `json:"finish"`
	}

	report struct {
		Incarnation int64 `json:"incarnation"`
		TakenAtMS   int64 `json:"taken_at_ms"`
		Running     int   `json:"running"`
		Waiting     int   `json:"waiting"`
		Completed   int   `json:"completed"`
		Preemptions int   `json:"preemptions"`
		Warm        bool  `json:"warm"`
	}
)

func run(t *testing.T, config usherengine.Config, test func(b fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		engine := usherengine.New(config)
		client := usherpipe.Serve(engine)
		defer client.Close()
		defer engine.Close()
		test(fixture{t, engine, client})
	})
}

func (b fixture) send(method, path, body string) *http.Response {
	b.Helper()
	request, err := http.NewRequest(method, "http://engine"+path, strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	response, err := b.client.Do(request)
	if err != nil {
		return nil
	}
	return response
}

// call returns the status and the body of a complete response. The status is zero if the connection was dropped.
func (b fixture) call(method, path, body string) (int, string) {
	b.Helper()
	response := b.send(method, path, body)
	if response == nil {
		return 0, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(text)
}

func (b fixture) report() report {
	b.Helper()
	var got report
	if status, body := b.call("GET", "/v1/report", ""); status != http.StatusOK || json.Unmarshal([]byte(body), &got) != nil {
		b.Fatalf("report: status %d, body %q", status, body)
	}
	return got
}

// read returns at most limit events of a stream, and whether they were read without an error.
func (b fixture) read(response *http.Response, limit int) (events []event, complete bool) {
	b.Helper()
	if response == nil {
		return nil, false
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	name := ""
	for len(events) < limit && lines.Scan() {
		if after, ok := strings.CutPrefix(lines.Text(), "event: "); ok {
			name = after
		}
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			got := event{Name: name}
			if err := json.Unmarshal([]byte(data), &got); err != nil {
				b.Fatalf("event %q: %v", data, err)
			}
			events = append(events, got)
		}
	}
	return events, lines.Err() == nil
}

func (b fixture) generate(id, prompt string) []event {
	b.Helper()
	events, _ := b.read(b.send("POST", "/v1/generations", body(id, prompt)), 1<<20)
	return events
}

// startUnread starts generations and closes their streams without reading them.
func (b fixture) startUnread(prompt string, ids ...string) {
	b.Helper()
	for _, id := range ids {
		if response := b.send("POST", "/v1/generations", body(id, prompt)); response != nil {
			response.Body.Close()
		}
	}
}

func body(id, prompt string) string {
	return fmt.Sprintf(`{"generation_id":%q,"prompt":%q,"cache_key":"template"}`, id, prompt)
}

// checkStream checks that events are the tokens of an answer from an index on, each once and in order, followed by the
// end event.
func (b fixture) checkStream(events []event, id, prompt string, from int) {
	b.Helper()
	tokens, finish := usherengine.Config{}.Answer(id, prompt, 0)
	var got, want bytes.Buffer
	for _, e := range events {
		fmt.Fprintln(&got, e.Name, e.GenerationID, e.Index, e.Text, e.Tokens, e.Finish)
	}
	for i := from; i < len(tokens); i++ {
		fmt.Fprintln(&want, "token", id, i, tokens[i], 0, "")
	}
	fmt.Fprintln(&want, "end", id, 0, "", len(tokens), finish)
	if got.String() != want.String() {
		b.Fatalf("stream of %s from %d:\n%s\nwant:\n%s", id, from, &got, &want)
	}
}

func TestStreamHasEachTokenOnceInOrder(t *testing.T) {
	for _, prompt := range []string{"appraisal tokens=40", "lesson tokens=1", "tokens=0", "an appraisal of unknown length"} {
		t.Run(prompt, func(t *testing.T) {
			run(t, usherengine.Config{Incarnation: 7}, func(b fixture) {
				response := b.send("POST", "/v1/generations", body("g1", prompt))
				if got := response.Header.Get("Usher-Incarnation"); got != "7" {
					b.Errorf("incarnation %q, want 7", got)
				}
				events, _ := b.read(response, 1<<20)
				b.checkStream(events, "g1", prompt, 0)
			})
		})
	}
}

func TestLengthIsCapped(t *testing.T) {
	tokens, finish := usherengine.Config{}.Answer("g1", "tokens=40", 15)
	if len(tokens) != 15 || finish != "length" {
		t.Fatalf("%d tokens, finish %q, want 15, length", len(tokens), finish)
	}
}

func TestGenerationSurvivesItsConnection(t *testing.T) {
	const prompt = "appraisal tokens=100"
	run(t, usherengine.Config{Retention: 10 * time.Second}, func(b fixture) {
		events, _ := b.read(b.send("POST", "/v1/generations", body("g1", prompt)), 5)
		if len(events) != 5 {
			b.Fatalf("%d events before the break, want 5", len(events))
		}
		time.Sleep(5 * time.Second)
		for _, from := range []int{5, 99, 100, 0} {
			events, _ = b.read(b.send("GET", fmt.Sprintf("/v1/generations/g1?from=%d", from), ""), 1<<20)
			b.checkStream(events, "g1", prompt, from)
		}
		b.checkStream(b.generate("g1", prompt), "g1", prompt, 0)
		time.Sleep(10 * time.Second)
		if status, _ := b.call("GET", "/v1/generations/g1", ""); status != http.StatusNotFound {
			b.Errorf("status %d after the retention time, want 404", status)
		}
		if got := len(b.engine.Record().Generations); got != 1 {
			b.Errorf("%d starts recorded, want 1", got)
		}
	})
}

func TestRefusedRequestsAreNotRun(t *testing.T) {
	long := body("g2", strings.Repeat("long ", 60000))
	tests := []struct {
		name, body string
		faults     usherengine.Faults
		status     int
	}{
		{"malformed", `{"generation_id":`, usherengine.Faults{}, http.StatusBadRequest},
		{"unknown field", `{"generation":"g2"}`, usherengine.Faults{}, http.StatusBadRequest},
		{"no id", `{"prompt":"p"}`, usherengine.Faults{}, http.StatusBadRequest},
		{"negative index", `{"generation_id":"g2","from_index":-1}`, usherengine.Faults{}, http.StatusBadRequest},
		{"prompt beyond memory", long, usherengine.Faults{}, http.StatusBadRequest},
		{"another prompt", body("g1", "tokens=3"), usherengine.Faults{}, http.StatusConflict},
		{"refusing", body("g2", "tokens=3"), usherengine.Faults{Refuse: true}, http.StatusTooManyRequests},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, usherengine.Config{}, func(b fixture) {
				b.generate("g1", "tokens=2")
				b.engine.SetFaults(test.faults)
				status, response := b.call("POST", "/v1/generations", test.body)
				if status != test.status || !strings.Contains(response, `"not_run":true`) {
					b.Errorf("status %d, body %s, want %d and not_run", status, response, test.status)
				}
				if got := len(b.engine.Record().Generations); got != 1 {
					b.Errorf("%d starts recorded, want 1", got)
				}
			})
		})
	}
}

func TestCancelEndsGeneration(t *testing.T) {
	run(t, usherengine.Config{}, func(b fixture) {
		response := b.send("POST", "/v1/generations", body("g1", "tokens=500"))
		time.Sleep(time.Second)
		if status, _ := b.call("DELETE", "/v1/generations/g1", ""); status != http.StatusOK {
			b.Fatalf("status %d, want 200", status)
		}
		events, _ := b.read(response, 1<<20)
		if n := len(events); n == 0 || events[n-1].Name == "end" {
			b.Errorf("cancelled stream has %d events, want at least one and no end event", n)
		}
		if status, _ := b.call("DELETE", "/v1/generations/g1", ""); status != http.StatusNotFound {
			b.Errorf("second cancel: status %d, want 404", status)
		}
		time.Sleep(time.Second)
		if got := b.report(); got.Running != 0 || got.Completed != 0 {
			b.Errorf("report after cancel: %+v", got)
		}
	})
}

func TestReportIsDelayed(t *testing.T) {
	run(t, usherengine.Config{ReportLag: 300 * time.Millisecond}, func(b fixture) {
		time.Sleep(time.Second)
		b.startUnread("tokens=100", "g1")
		start := time.Now()
		for _, step := range []struct {
			at      time.Duration
			running int
		}{{0, 0}, {250 * time.Millisecond, 0}, {350 * time.Millisecond, 1}, {3 * time.Second, 0}} {
			time.Sleep(time.Until(start.Add(step.at)))
			got := b.report()
			if age := time.Now().UnixMilli() - got.TakenAtMS; got.Running != step.running || age != 300 {
				b.Errorf("after %v: %d running, age %d ms, want %d and 300", step.at, got.Running, age, step.running)
			}
		}
	})
}

func TestColdEngineCrashesAboveItsCapacity(t *testing.T) {
	config := usherengine.Config{Options: ushermodel.Options{Cold: true, ColdCapacity: 2}, RestartAfter: time.Second}
	run(t, config, func(b fixture) {
		b.startUnread("tokens=300", "g1", "g2")
		if got := b.report(); got.Warm || got.Incarnation != 1 {
			b.Errorf("report of a cold engine: %+v", got)
		}
		if status, _ := b.call("POST", "/v1/generations", body("g3", "tokens=300")); status != 0 {
			b.Errorf("status %d above the cold capacity, want a dropped connection", status)
		}
		if status, _ := b.call("GET", "/v1/report", ""); status != 0 {
			b.Errorf("crashed engine responded with status %d", status)
		}
		time.Sleep(time.Second)
		if got := b.report(); got.Warm || got.Incarnation != 2 || got.Running != 0 {
			b.Errorf("report after restart: %+v", got)
		}
		if status, _ := b.call("GET", "/v1/generations/g1", ""); status != http.StatusNotFound {
			b.Errorf("status %d for a lost generation, want 404", status)
		}
		record := b.engine.Record()
		if record.PeakRunningCold != 3 || len(record.Crashes) != 1 || record.Crashes[0].Reason != "cold_overload" {
			b.Errorf("record: peak %d, crashes %+v", record.PeakRunningCold, record.Crashes)
		}
	})
}

func TestColdEngineMayRefuseAboveItsCapacity(t *testing.T) {
	config := usherengine.Config{Options: ushermodel.Options{Cold: true, ColdCapacity: 1}, RefuseWhenCold: true}
	run(t, config, func(b fixture) {
		b.startUnread("tokens=300", "g1")
		status, response := b.call("POST", "/v1/generations", body("g2", "tokens=300"))
		if status != http.StatusServiceUnavailable || response != "{\"error\":\"cold\",\"not_run\":true}\n" {
			b.Errorf("status %d, body %q", status, response)
		}
		if record := b.engine.Record(); record.PeakRunningCold != 1 || len(record.Crashes) != 0 {
			b.Errorf("record: peak %d, %d crashes", record.PeakRunningCold, len(record.Crashes))
		}
		time.Sleep(time.Second)
		if got := b.report(); got.Running != 1 || got.Waiting != 0 {
			b.Errorf("the refused generation counts towards the load: %+v", got)
		}
	})
}

func TestColdEngineWarmsUp(t *testing.T) {
	run(t, usherengine.Config{Options: ushermodel.Options{Cold: true, WarmTokens: 50}}, func(b fixture) {
		for i, warm := range []bool{false, false, true} {
			time.Sleep(time.Second)
			if got := b.report(); got.Warm != warm {
				b.Errorf("after %d generations of 30 tokens: warm %v, want %v", i, got.Warm, warm)
			}
			b.generate(fmt.Sprint("g", i), "tokens=30")
		}
	})
}

func TestPreemptedGenerationsComplete(t *testing.T) {
	run(t, usherengine.Config{Options: ushermodel.Options{MemoryTokens: 400}}, func(b fixture) {
		b.startUnread("tokens=150", "g1", "g2", "g3", "g4")
		time.Sleep(20 * time.Second)
		preemptions := 0
		for _, g := range b.engine.Record().Generations {
			preemptions += g.Preemptions
			if !g.Finished || g.Tokens != 150 || g.PeakRunning != 4 {
				b.Errorf("record %+v, want 150 tokens and a peak of 4 generations", g)
			}
		}
		if got := b.report(); got.Preemptions != preemptions || preemptions == 0 {
			b.Errorf("%d preemptions reported, %d recorded", got.Preemptions, preemptions)
		}
	})
}
