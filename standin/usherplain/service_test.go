package usherplain_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphireusher/samphireusher/standin/usherpipe"
	"github.com/samphireusher/samphireusher/standin/usherplain"
)

const checkout = `{"call_id":"c1","operation":"checkout","parameters":{"ukulele":17,"school":"Pasig"}}`

type (
	// fixture is a service and its client in a synctest bubble.
	fixture struct {
		*testing.T
		service *usherplain.Service
		client  *usherpipe.Client
	}

	callResponse struct {
		CallID string `json:"call_id"`
		NotRun bool   `json:"not_run"`
		Result struct {
			Operation  string          `json:"operation"`
			Parameters json.RawMessage `json:"parameters"`
			Sequence   int             `json:"sequence"`
			Execution  int             `json:"execution"`
		} `json:"result"`
	}
)

func run(t *testing.T, config usherplain.Config, test func(b fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		service := usherplain.New(config)
		client := usherpipe.Serve(service)
		defer client.Close()
		test(fixture{t, service, client})
	})
}

// call sends a body and returns the response. The status is zero if the connection was dropped.
func (b fixture) call(path, body string) (status int, got callResponse) {
	b.Helper()
	response, err := b.client.Post("http://service"+path, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, got
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, got
	}
	if err := json.Unmarshal(text, &got); err != nil {
		b.Fatalf("response %q: %v", text, err)
	}
	return response.StatusCode, got
}

func TestRepeatedCallIsExecutedAndCounted(t *testing.T) {
	run(t, usherplain.Config{}, func(b fixture) {
		b.call("/v1/calls", checkout)
		b.call("/v1/calls", checkout)
		_, got := b.call("/v1/calls", `{"call_id":"c2","operation":"checkout","parameters":{"school":"Pasig", "ukulele":17}}`)
		if got.CallID != "c2" || got.Result.Sequence != 3 || got.Result.Execution != 3 {
			b.Errorf("third response: %+v", got)
		}
		record := b.service.Record()
		if len(record.Calls) != 2 || record.Calls[0].Executions != 2 || record.Calls[1].Executions != 1 {
			b.Errorf("calls: %+v", record.Calls)
		}
		if len(record.Operations) != 1 || record.Operations[0].Executions != 3 {
			b.Errorf("operations: %+v", record.Operations)
		}
	})
}

func TestRefusedCallsAreNotExecuted(t *testing.T) {
	tests := []struct {
		name, body, faults string
		status             int
	}{
		{"malformed", `{"call_id"`, `{}`, http.StatusBadRequest},
		{"no id", `{"operation":"checkout"}`, `{}`, http.StatusBadRequest},
		{"no operation", `{"call_id":"c1"}`, `{}`, http.StatusBadRequest},
		{"refusing", checkout, `{"refuse":true}`, http.StatusTooManyRequests},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, usherplain.Config{}, func(b fixture) {
				b.call("/faults", test.faults)
				if status, got := b.call("/v1/calls", test.body); status != test.status || !got.NotRun {
					b.Errorf("status %d, response %+v, want %d and not_run", status, got, test.status)
				}
				if got := b.service.Record().Executions; got != 0 {
					b.Errorf("%d executions, want 0", got)
				}
			})
		})
	}
}

func TestConcurrentCallsAreLimited(t *testing.T) {
	run(t, usherplain.Config{MaxConcurrent: 1, ServiceTime: time.Second}, func(b fixture) {
		first := make(chan int)
		go func() {
			status, _ := b.call("/v1/calls", checkout)
			first <- status
		}()
		time.Sleep(time.Second / 2)
		if status, got := b.call("/v1/calls", checkout); status != http.StatusTooManyRequests || !got.NotRun {
			b.Errorf("second call: status %d, want 429", status)
		}
		if status := <-first; status != http.StatusOK {
			b.Errorf("first call: status %d, want 200", status)
		}
	})
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name, faults string
		status       int
		callID       string
		executions   int
		crashes      int
		took         time.Duration
	}{
		{"none", `{}`, http.StatusOK, "c1", 1, 0, 2 * time.Millisecond},
		{"crash", `{"die":true}`, 0, "", 0, 1, 0},
		{"crash before execution", `{"die_before":true}`, 0, "", 0, 1, 2 * time.Millisecond},
		{"crash after execution", `{"die_after":true}`, 0, "", 1, 1, 2 * time.Millisecond},
		{"lost response", `{"lose_answers":true}`, 0, "", 1, 0, 2 * time.Millisecond},
		{"delay", `{"delay_ms":800}`, http.StatusOK, "c1", 1, 0, 802 * time.Millisecond},
		{"freeze", `{"freeze_ms":800}`, http.StatusOK, "c1", 1, 0, 802 * time.Millisecond},
		{"crosstalk", `{"cross":true}`, http.StatusOK, "foreign", 1, 0, 2 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, usherplain.Config{RestartAfter: time.Second}, func(b fixture) {
				b.call("/faults", test.faults)
				start := time.Now()
				status, got := b.call("/v1/calls", checkout)
				if took := time.Since(start); took != test.took {
					b.Errorf("took %v, want %v", took, test.took)
				}
				if status != test.status || got.CallID != test.callID {
					b.Errorf("status %d, call id %q, want %d, %q", status, got.CallID, test.status, test.callID)
				}
				if record := b.service.Record(); record.Executions != test.executions || record.Crashes != test.crashes {
					b.Errorf("%d executions, %d crashes, want %d, %d", record.Executions, record.Crashes, test.executions, test.crashes)
				}
				b.service.SetFaults(usherplain.Faults{})
				time.Sleep(time.Second)
				if status, _ := b.call("/v1/calls", checkout); status != http.StatusOK {
					b.Errorf("status %d without faults, want 200", status)
				}
			})
		})
	}
}

func TestCallContinuesAfterCallerDisconnects(t *testing.T) {
	run(t, usherplain.Config{ServiceTime: time.Second}, func(b fixture) {
		b.client.Timeout = time.Second / 2
		if status, _ := b.call("/v1/calls", checkout); status != 0 {
			b.Errorf("status %d, want a timeout", status)
		}
		time.Sleep(time.Second)
		if got := b.service.Record().Executions; got != 1 {
			b.Errorf("%d executions, want 1", got)
		}
	})
}
