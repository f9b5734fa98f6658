package ushergateway_test

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/service/usherclient"
	"github.com/samphireusher/samphireusher/standin/usherengine"
	"github.com/samphireusher/samphireusher/standin/usherfleet"
)

// reader takes a streamed answer as a caller does and checks that each token comes once and in order.
type reader struct {
	t       *testing.T
	next    int
	text    string
	handle  string
	request string
	begun   chan struct{}
	at      int
	reached chan struct{}
}

func newReader(t *testing.T, at int) *reader {
	return &reader{t: t, begun: make(chan struct{}), at: at, reached: make(chan struct{})}
}

func (r *reader) watcher() *usherclient.StreamCallbacks {
	return &usherclient.StreamCallbacks{
		Started: func(request, handle string) {
			r.handle = handle
			if r.request == "" {
				r.request = request
				close(r.begun)
			}
		},
		Token: func(index int, text string) {
			if index != r.next {
				r.t.Errorf("token %d came, want %d", index, r.next)
			}
			r.next++
			r.text += text
			if r.next == r.at {
				close(r.reached)
			}
		},
	}
}

// expected returns the one text that the generations with this prompt may have, by the engines' own rule.
func expected(t *testing.T, fleet *usherfleet.Fleet, text string) {
	t.Helper()
	for _, engine := range fleet.Engines {
		for _, g := range engine.Record().Generations {
			tokens, _ := usherengine.Config{}.Answer(g.GenerationID, g.Prompt, 4000)
			if strings.Join(tokens, "") == text {
				return
			}
		}
	}
	t.Errorf("the text is that of no single generation: %.80q", text)
}

func setEngineFaults(fleet *usherfleet.Fleet, faults usherengine.Faults) {
	for _, engine := range fleet.Engines {
		engine.SetFaults(faults)
	}
}

// TestTokensOnceInOrder has engines break, delay, double and cross what they send.
func TestTokensOnceInOrder(t *testing.T) {
	inBubble(t, testTokensOnceInOrder)
}

func testTokensOnceInOrder(t *testing.T) {
	fleet := start(t, usherfleet.Config{Engines: 2})
	tests := []struct {
		name   string
		faults usherengine.Faults
	}{
		{"links cut", usherengine.Faults{CutAfterTokens: 7}},
		{"events doubled", usherengine.Faults{Duplicate: true}},
		{"events crossed", usherengine.Faults{Crosstalk: true}},
		{"events late", usherengine.Faults{DelayMS: 20}},
		{"all at once", usherengine.Faults{CutAfterTokens: 9, Duplicate: true, Crosstalk: true, DelayMS: 5}},
	}
	for _, test := range tests {
		step(t, test.name, func(t *testing.T) {
			setEngineFaults(fleet, test.faults)
			defer setEngineFaults(fleet, usherengine.Faults{})
			r := newReader(t, 0)
			answer, err := fleet.NewClient().Send(t.Context(), fleet.Gateways[0].Address(), appraisal(40), r.watcher())
			if err != nil {
				t.Fatal(err)
			}
			if r.next != 40 || answer.Tokens != 40 {
				t.Fatalf("%d tokens came, answer %+v", r.next, answer)
			}
			expected(t, fleet, r.text)
		})
	}
}

// TestEngineDies ends a stream truthfully and runs a whole answer afresh.
func TestEngineDies(t *testing.T) {
	inBubble(t, testEngineDies)
}

func testEngineDies(t *testing.T) {
	fleet := start(t, usherfleet.Config{Engines: 2, ColdCapacity: 4})
	client := fleet.NewClient()

	step(t, "stream", func(t *testing.T) {
		r := newReader(t, 5)
		failed := make(chan error, 1)
		go func() {
			_, err := client.Send(t.Context(), fleet.Gateways[0].Address(), appraisal(500), r.watcher())
			failed <- err
		}()
		<-r.reached
		setEngineFaults(fleet, usherengine.Faults{Die: true, RestartAfterMS: 200})
		if err := <-failed; outcomeOf(err) != "ran_in_part" {
			t.Fatalf("after its engine died: %v", err)
		}
	})

	step(t, "whole", func(t *testing.T) {
		request := appraisal(100)
		request.Template = "plan"
		done := make(chan error, 1)
		var answer usherclient.Answer
		go func() {
			var err error
			answer, err = client.Send(t.Context(), fleet.Gateways[0].Address(), request, nil)
			done <- err
		}()
		generation := awaitGeneration(t, fleet, "lesson plan")
		generation.SetFaults(usherengine.Faults{Die: true, RestartAfterMS: 200})
		if err := <-done; err != nil {
			t.Fatalf("after its engine died: %v", err)
		}
		if answer.Tokens != 100 {
			t.Fatalf("answer %+v", answer)
		}
		expected(t, fleet, answer.Text)
	})
}

// awaitGeneration returns an engine that runs a generation with text in its prompt.
func awaitGeneration(t *testing.T, fleet *usherfleet.Fleet, text string) *usherengine.Engine {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		for _, engine := range fleet.Engines {
			for _, g := range engine.Record().Generations {
				if !g.Finished && !g.Cancelled && strings.Contains(g.Prompt, text) {
					return engine
				}
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("no generation with %q runs", text)
	return nil
}

// TestGatewayDiesMidStream has the caller resume at another gateway.
func TestGatewayDiesMidStream(t *testing.T) {
	inBubble(t, testGatewayDiesMidStream)
}

func testGatewayDiesMidStream(t *testing.T) {
	fleet := start(t, usherfleet.Config{Gateways: 2, Engines: 1})
	client := fleet.NewClient()
	r := newReader(t, 10)
	broken := make(chan error, 1)
	go func() {
		_, err := client.Send(t.Context(), fleet.Gateways[0].Address(), appraisal(300), r.watcher())
		broken <- err
	}()
	<-r.reached
	if err := fleet.Gateways[0].Kill(); err != nil {
		t.Fatal(err)
	}
	if err := <-broken; err == nil {
		t.Fatal("the stream outlived its gateway")
	}
	answer, err := client.Resume(t.Context(), fleet.Gateways[1].Address(), r.handle, r.next, r.watcher())
	if err != nil {
		t.Fatalf("resumed at token %d: %v", r.next, err)
	}
	if r.next != 300 || answer.Outcome != "completed" {
		t.Fatalf("%d tokens, answer %+v", r.next, answer)
	}
	expected(t, fleet, r.text)
}

func TestCallerGoesAway(t *testing.T) {
	inBubble(t, testCallerGoesAway)
}

func testCallerGoesAway(t *testing.T) {
	fleet := start(t, usherfleet.Config{Gateways: 2, Engines: 1})
	client := fleet.NewClient()

	step(t, "and does not come back: its generation is cancelled", func(t *testing.T) {
		leave(t, client, fleet, "appraisal")
		awaitRecord(t, fleet, func(g usherengine.GenerationRecord) bool { return g.Cancelled })
	})

	step(t, "and resumes elsewhere: its generation goes on", func(t *testing.T) {
		r := leave(t, client, fleet, "appraisal")
		if _, err := client.Resume(t.Context(), fleet.Gateways[1].Address(), r.handle, r.next, r.watcher()); err != nil {
			t.Fatal(err)
		}
		if r.next != 900 {
			t.Fatalf("%d tokens", r.next)
		}
	})

	step(t, "and its answer is kept", func(t *testing.T) {
		r := leave(t, client, fleet, "kept")
		deadline := time.Now().Add(30 * time.Second)
		for {
			status, err := client.Status(t.Context(), fleet.Gateways[0].Address(), r.request)
			if err != nil {
				t.Fatal(err)
			}
			if status.State == "ended" {
				if status.Outcome != "completed" || status.Tokens != 900 || status.Text == "" {
					t.Fatalf("status %+v", status)
				}
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("still %+v", status)
			}
			time.Sleep(100 * time.Millisecond)
		}
	})

	step(t, "after it cancelled", func(t *testing.T) {
		r := newReader(t, 3)
		done := make(chan error, 1)
		go func() {
			_, err := client.Send(t.Context(), fleet.Gateways[0].Address(), appraisal(900), r.watcher())
			done <- err
		}()
		<-r.reached
		if err := client.Cancel(t.Context(), fleet.Gateways[0].Address(), r.request); err != nil {
			t.Fatal(err)
		}
		var refusal usherclient.Refusal
		if err := <-done; !errors.As(err, &refusal) || refusal.Reason != "cancelled" || refusal.Outcome != "ran_in_part" {
			t.Fatalf("cancelled request ended with %v", err)
		}
	})
}

// leave sends a request of 900 tokens and goes away after the fifth.
func leave(t *testing.T, client *usherclient.Client, fleet *usherfleet.Fleet, template string) *reader {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	r := newReader(t, 5)
	request := appraisal(900)
	request.Template = template
	gone := make(chan struct{})
	go func() {
		_, _ = client.Send(ctx, fleet.Gateways[0].Address(), request, r.watcher())
		close(gone)
	}()
	<-r.reached
	cancel()
	<-gone
	return r
}

func awaitRecord(t *testing.T, fleet *usherfleet.Fleet, found func(usherengine.GenerationRecord) bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		for _, engine := range fleet.Engines {
			for _, g := range engine.Record().Generations {
				if found(g) {
					return
				}
			}
		}
	}
	t.Fatal("no engine has such a generation on record")
}

// TestFreshTargetBearsItsLoad floods a cold engine through several schedulers.
func TestFreshTargetBearsItsLoad(t *testing.T) {
	inBubble(t, testFreshTargetBearsItsLoad)
}

func testFreshTargetBearsItsLoad(t *testing.T) {
	fleet := start(t, usherfleet.Config{Gateways: 2, Schedulers: 3, Engines: 2, ColdCapacity: 2})
	client := fleet.NewClient()
	setEngineFaults(fleet, usherengine.Faults{Die: true, RestartAfterMS: 300})
	ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
	defer cancel()
	var completed atomic.Int64
	done := make(chan struct{})
	const callers = 24
	for i := range callers {
		go func() {
			defer func() { done <- struct{}{} }()
			for ctx.Err() == nil {
				if _, err := client.Send(ctx, fleet.Gateways[i%2].Address(), appraisal(20), nil); err == nil {
					completed.Add(1)
				}
			}
		}()
	}
	for range callers {
		<-done
	}
	for i, engine := range fleet.Engines {
		record := engine.Record()
		if record.PeakRunningCold > 2 {
			t.Errorf("engine %d ran %d while cold, bears 2", i, record.PeakRunningCold)
		}
		if len(record.Deaths) != 1 {
			t.Errorf("engine %d died %d times: %+v", i, len(record.Deaths), record.Deaths)
		}
	}
	if completed.Load() == 0 {
		t.Error("no request was completed")
	}
}
