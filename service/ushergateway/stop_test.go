package ushergateway_test

import (
	"errors"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/service/usherclient"
	"github.com/samphireusher/samphireusher/standin/usherfleet"
)

// A stopped gateway closed kept connections at once, some of them just as a caller sent a request: it ended without a response, so that its caller
// could not know whether it had run. Found by TestPlannedStops of the proof.
func TestStopGivesKeptConnectionsTimeForOneMoreRequest(t *testing.T) {
	for _, wait := range []time.Duration{0, 100 * time.Millisecond, 700 * time.Millisecond} {
		t.Run(wait.String(), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				fleet := startFleet(t, usherfleet.Config{Gateways: 2, Schedulers: 1, Engines: 1})
				client, gateway := fleet.NewClient(), fleet.Gateways[0]
				if _, err := client.Send(t.Context(), gateway.Address(), appraisal(1), nil); err != nil {
					t.Fatal(err)
				}
				stopped, begun := make(chan error, 1), time.Now()
				go func() { stopped <- gateway.Stop(t.Context()) }()
				// The gateway has no request in progress, and waits for replies of other gateways first.
				time.Sleep(time.Second + wait)
				var refusal usherclient.Refusal
				if _, err := client.Send(t.Context(), gateway.Address(), appraisal(1), nil); !errors.As(err, &refusal) || refusal.Outcome != "not_run" {
					t.Errorf("error %v for a request on a kept connection of a gateway that stops, want a refusal", err)
				}
				if err := <-stopped; err != nil {
					t.Error(err)
				}
				// Another caller keeps its connection.
				if took := time.Since(begun); took > 2100*time.Millisecond {
					t.Errorf("the stop takes %s", took)
				}
			})
		})
	}
}
