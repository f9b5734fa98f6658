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
	fleet := start(t, usherfleet.Config{Engines: 1, Services: 1})
	client := fleet.NewClient()
	next := 0
	watcher := &usherclient.StreamCallbacks{Token: func(index int, _ string) {
		if index != next {
			t.Errorf("token %d came, want %d", index, next)
		}
		next++
	}}
	answer, err := client.Send(t.Context(), fleet.Gateways[0].Address(), appraisal(50), watcher)
	if err != nil {
		t.Fatal(err)
	}
	if answer.Outcome != "completed" || answer.Tokens != 50 || next != 50 || answer.Text == "" {
		t.Fatalf("answer %+v after %d tokens", answer, next)
	}
}

// TestQueuedRequestIsServed has a request wait in the queue for longer than a grant is valid, and than a connection
// without traffic stays open: the grant counts from the last asking, and the gateway keeps asking.
func TestQueuedRequestIsServed(t *testing.T) {
	inBubble(t, testQueuedRequestIsServed)
}

func testQueuedRequestIsServed(t *testing.T) {
	fleet := start(t, usherfleet.Config{Engines: 1, WarmCapacity: 1})
	client := fleet.NewClient()
	first := make(chan error, 1)
	begun := make(chan struct{})
	watcher := &usherclient.StreamCallbacks{Started: func(string, string) { close(begun) }}
	go func() {
		_, err := client.Send(t.Context(), fleet.Gateways[0].Address(), appraisal(700), watcher)
		first <- err
	}()
	<-begun
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

// TestOtherCellsAreAsked has the only engine in a data centre, and so a cell, other than the gateway's.
func TestOtherCellsAreAsked(t *testing.T) {
	inBubble(t, testOtherCellsAreAsked)
}

func testOtherCellsAreAsked(t *testing.T) {
	fleet := start(t, usherfleet.Config{DataCentres: 2, Gateways: 2, Schedulers: 6, Engines: 1, EngineDataCentre: "thrissur", Cells: true})
	if _, err := fleet.NewClient().Send(t.Context(), fleet.Gateways[0].Address(), appraisal(5), nil); err != nil {
		t.Fatal(err)
	}
}
