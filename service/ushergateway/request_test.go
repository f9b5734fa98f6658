package ushergateway_test

import (
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/service/usherclient"
	"github.com/samphireusher/samphireusher/standin/usherfleet"
)

func TestOneRequestEndToEnd(t *testing.T) {
	inBubble(t, testOneRequestEndToEnd)
}

func testOneRequestEndToEnd(t *testing.T) {
	fleet := startFleet(t, usherfleet.Config{Engines: 1, Services: 1})
	client := fleet.NewClient()
	next := 0
	callbacks := &usherclient.StreamCallbacks{Token: func(index int, _ string) {
		if index != next {
			t.Errorf("got token %d, want %d", index, next)
		}
		next++
	}}
	answer, err := client.Send(t.Context(), fleet.Gateways[0].Address(), appraisal(50), callbacks)
	if err != nil {
		t.Fatal(err)
	}
	if answer.Outcome != "completed" || answer.Tokens != 50 || next != 50 || answer.Text == "" {
		t.Fatalf("answer %+v after %d tokens", answer, next)
	}
}

// TestQueuedRequestIsServed has a request wait in the queue longer than a grant is valid and longer than an idle
// connection stays open. It must still be served, because the gateway keeps polling and the validity counts from the
// last poll.
func TestQueuedRequestIsServed(t *testing.T) {
	inBubble(t, testQueuedRequestIsServed)
}

func testQueuedRequestIsServed(t *testing.T) {
	fleet := startFleet(t, usherfleet.Config{Engines: 1, MaxWarmConcurrency: 1})
	client := fleet.NewClient()
	first := make(chan error, 1)
	started := make(chan struct{})
	callbacks := &usherclient.StreamCallbacks{Started: func(string, string) { close(started) }}
	go func() {
		_, err := client.Send(t.Context(), fleet.Gateways[0].Address(), appraisal(700), callbacks)
		first <- err
	}()
	<-started
	sent := time.Now()
	if _, err := client.Send(t.Context(), fleet.Gateways[0].Address(), appraisal(5), nil); err != nil {
		t.Fatalf("the queued request after %s: %v", time.Since(sent), err)
	}
	if waited := time.Since(sent); waited < 6*time.Second {
		t.Fatalf("the queued request waited only %s", waited)
	}
	if err := <-first; err != nil {
		t.Fatal(err)
	}
}

// TestOtherCellsAreAsked has the only engine in another data centre, and so in another cell, than the gateway: the
// request must be granted by a scheduler of that cell.
func TestOtherCellsAreAsked(t *testing.T) {
	inBubble(t, testOtherCellsAreAsked)
}

func testOtherCellsAreAsked(t *testing.T) {
	fleet := startFleet(t, usherfleet.Config{DataCentres: 2, Gateways: 2, Schedulers: 6, Engines: 1, EngineDataCentre: "thrissur", Cells: true})
	if _, err := fleet.NewClient().Send(t.Context(), fleet.Gateways[0].Address(), appraisal(5), nil); err != nil {
		t.Fatal(err)
	}
}
