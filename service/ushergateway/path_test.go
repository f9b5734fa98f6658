package ushergateway_test

import (
	"testing"

	"github.com/samphireusher/samphireusher/service/usherclient"
	"github.com/samphireusher/samphireusher/standin/usherfleet"
)

func TestOneRequestEndToEnd(t *testing.T) {
	fleet := start(t, usherfleet.Config{Engines: 1, Services: 1})
	client := newClient(t)
	next := 0
	watcher := &usherclient.Watcher{Token: func(index int, _ string) {
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
