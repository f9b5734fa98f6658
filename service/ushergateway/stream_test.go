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

// reader receives a streamed answer and checks that each token arrives once and in order. It closes started when the
// stream starts and reached after signalAt tokens.
type reader struct {
	t        *testing.T
	next     int
	text     string
	handle   string
	request  string
	started  chan struct{}
	signalAt int
	reached  chan struct{}
}

func newReader(t *testing.T, signalAt int) *reader {
	return &reader{t: t, started: make(chan struct{}), signalAt: signalAt, reached: make(chan struct{})}
}

func (r *reader) callbacks() *usherclient.StreamCallbacks {
	return &usherclient.StreamCallbacks{
		Started: func(request, handle string) {
			r.handle = handle
			if r.request == "" {
				r.request = request
				close(r.started)
			}
		},
		Token: func(index int, text string) {
			if index != r.next {
				r.t.Errorf("got token %d, want %d", index, r.next)
			}
			r.next++
			r.text += text
			if r.next == r.signalAt {
				close(r.reached)
			}
		},
	}
}

// checkText checks that text is the complete output of one of the generations on record, which the engines derive from
// the generation's ID and prompt.
func checkText(t *testing.T, fleet *usherfleet.Fleet, text string) {
	t.Helper()
	for _, engine := range fleet.Engines {
		for _, g := range engine.Record().Generations {
			tokens, _ := usherengine.Config{}.Answer(g.GenerationID, g.Prompt, 4000)
			if strings.Join(tokens, "") == text {
				return
			}
		}
	}
	t.Errorf("text does not match any single generation: %.80q", text)
}

func setEngineFaults(fleet *usherfleet.Fleet, faults usherengine.Faults) {
	for _, engine := range fleet.Engines {
		engine.SetFaults(faults)
	}
}

// TestTokensOnceInOrder has engines cut connections, delay and duplicate events, and mix in events of other
// generations: the caller must get each token once and in order.
func TestTokensOnceInOrder(t *testing.T) {
	inBubble(t, testTokensOnceInOrder)
}

func testTokensOnceInOrder(t *testing.T) {
	fleet := startFleet(t, usherfleet.Config{Engines: 2})
	tests := []struct {
		name   string
		faults usherengine.Faults
	}{
		{"connections cut", usherengine.Faults{CutAfterTokens: 7}},
		{"events duplicated", usherengine.Faults{Duplicate: true}},
		{"events of other generations mixed in", usherengine.Faults{Crosstalk: true}},
		{"events delayed", usherengine.Faults{DelayMS: 20}},
		{"all at once", usherengine.Faults{CutAfterTokens: 9, Duplicate: true, Crosstalk: true, DelayMS: 5}},
	}
	for _, test := range tests {
		step(t, test.name, func(t *testing.T) {
			setEngineFaults(fleet, test.faults)
			defer setEngineFaults(fleet, usherengine.Faults{})
			r := newReader(t, 0)
			answer, err := fleet.NewClient().Send(t.Context(), fleet.Gateways[0].Address(), appraisal(40), r.callbacks())
			if err != nil {
				t.Fatal(err)
			}
			if r.next != 40 || answer.Tokens != 40 {
				t.Fatalf("got %d tokens, answer %+v", r.next, answer)
			}
			checkText(t, fleet, r.text)
		})
	}
}

// TestEngineDies kills the engine during a request: a stream must end with the outcome ran_in_part, and a request for a
// whole answer must be run again on another engine.
func TestEngineDies(t *testing.T) {
	inBubble(t, testEngineDies)
}

func testEngineDies(t *testing.T) {
	fleet := startFleet(t, usherfleet.Config{Engines: 2, MaxColdConcurrency: 4})
	client := fleet.NewClient()

	step(t, "stream", func(t *testing.T) {
		r := newReader(t, 5)
		failed := make(chan error, 1)
		go func() {
			_, err := client.Send(t.Context(), fleet.Gateways[0].Address(), appraisal(500), r.callbacks())
			failed <- err
		}()
		<-r.reached
		setEngineFaults(fleet, usherengine.Faults{Crash: true, RestartAfterMS: 200})
		if err := <-failed; outcomeOf(err) != "ran_in_part" {
			t.Fatalf("after its engine crashed: %v", err)
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
		generation.SetFaults(usherengine.Faults{Crash: true, RestartAfterMS: 200})
		if err := <-done; err != nil {
			t.Fatalf("after its engine crashed: %v", err)
		}
		if answer.Tokens != 100 {
			t.Fatalf("answer %+v", answer)
		}
		checkText(t, fleet, answer.Text)
	})
}

// awaitGeneration waits for an unfinished generation with text in its prompt and returns its engine.
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

// TestGatewayDiesMidStream kills the gateway during a stream, which the caller must be able to resume at another
// gateway.
func TestGatewayDiesMidStream(t *testing.T) {
	inBubble(t, testGatewayDiesMidStream)
}

func testGatewayDiesMidStream(t *testing.T) {
	fleet := startFleet(t, usherfleet.Config{Gateways: 2, Engines: 1})
	client := fleet.NewClient()
	r := newReader(t, 10)
	disconnected := make(chan error, 1)
	go func() {
		_, err := client.Send(t.Context(), fleet.Gateways[0].Address(), appraisal(300), r.callbacks())
		disconnected <- err
	}()
	<-r.reached
	if err := fleet.Gateways[0].Kill(); err != nil {
		t.Fatal(err)
	}
	if err := <-disconnected; err == nil {
		t.Fatal("the stream completed although its gateway was killed")
	}
	answer, err := client.Resume(t.Context(), fleet.Gateways[1].Address(), r.handle, r.next, r.callbacks())
	if err != nil {
		t.Fatalf("resumed at token %d: %v", r.next, err)
	}
	if r.next != 300 || answer.Outcome != "completed" {
		t.Fatalf("%d tokens, answer %+v", r.next, answer)
	}
	checkText(t, fleet, r.text)
}

// A resumed stream takes longer than the time that callers have to send a body. Its request has none, so nothing cleared the read
// deadline, which ended the request.
func TestResumedStreamOutlastsTheBodyTimeout(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		fleet := startFleet(t, usherfleet.Config{Gateways: 2, Engines: 1})
		client := fleet.NewClient()
		r := newReader(t, 10)
		disconnected := make(chan error, 1)
		go func() {
			_, err := client.Send(t.Context(), fleet.Gateways[0].Address(), appraisal(3000), r.callbacks())
			disconnected <- err
		}()
		<-r.reached
		if err := fleet.Gateways[0].Kill(); err != nil {
			t.Fatal(err)
		}
		<-disconnected
		start, first := time.Now(), r.next
		_, err := client.Resume(t.Context(), fleet.Gateways[1].Address(), r.handle, r.next, r.callbacks())
		if err != nil || r.next != 3000 {
			t.Errorf("resumed at token %d, ended after %s at token %d: %v", first, time.Since(start), r.next, err)
		}
	})
}

func TestCallerDisconnects(t *testing.T) {
	inBubble(t, testCallerDisconnects)
}

func testCallerDisconnects(t *testing.T) {
	fleet := startFleet(t, usherfleet.Config{Gateways: 2, Engines: 1})
	client := fleet.NewClient()

	step(t, "generation is cancelled if the caller does not resume", func(t *testing.T) {
		sendAndDisconnect(t, client, fleet, "appraisal")
		awaitRecord(t, fleet, func(g usherengine.GenerationRecord) bool { return g.Cancelled })
	})

	step(t, "generation continues if the caller resumes at another gateway", func(t *testing.T) {
		r := sendAndDisconnect(t, client, fleet, "appraisal")
		if _, err := client.Resume(t.Context(), fleet.Gateways[1].Address(), r.handle, r.next, r.callbacks()); err != nil {
			t.Fatal(err)
		}
		if r.next != 900 {
			t.Fatalf("%d tokens", r.next)
		}
	})

	step(t, "answer is kept for a template that asks for it", func(t *testing.T) {
		r := sendAndDisconnect(t, client, fleet, "kept")
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

	step(t, "caller cancels", func(t *testing.T) {
		r := newReader(t, 3)
		done := make(chan error, 1)
		go func() {
			_, err := client.Send(t.Context(), fleet.Gateways[0].Address(), appraisal(900), r.callbacks())
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

// sendAndDisconnect sends a request of 900 tokens and disconnects after the fifth.
func sendAndDisconnect(t *testing.T, client *usherclient.Client, fleet *usherfleet.Fleet, template string) *reader {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	r := newReader(t, 5)
	request := appraisal(900)
	request.Template = template
	done := make(chan struct{})
	go func() {
		_, _ = client.Send(ctx, fleet.Gateways[0].Address(), request, r.callbacks())
		close(done)
	}()
	<-r.reached
	cancel()
	<-done
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
	t.Fatal("no engine recorded a matching generation")
}

// TestColdTargetIsNotOverloaded floods restarted, cold engines through several schedulers, which together must not
// exceed the engines' limit for cold requests.
func TestColdTargetIsNotOverloaded(t *testing.T) {
	inBubble(t, testColdTargetIsNotOverloaded)
}

func testColdTargetIsNotOverloaded(t *testing.T) {
	fleet := startFleet(t, usherfleet.Config{Gateways: 2, Schedulers: 3, Engines: 2, MaxColdConcurrency: 2})
	client := fleet.NewClient()
	setEngineFaults(fleet, usherengine.Faults{Crash: true, RestartAfterMS: 300})
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
			t.Errorf("engine %d ran %d requests while cold, limit 2", i, record.PeakRunningCold)
		}
		if len(record.Crashes) != 1 {
			t.Errorf("engine %d crashed %d times: %+v", i, len(record.Crashes), record.Crashes)
		}
	}
	if completed.Load() == 0 {
		t.Error("no request completed")
	}
}
