package usherproof_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/proof/usherhistory"
	"github.com/samphireusher/samphireusher/standin/usherfleet"
)

// TestResendAfterTemplateChanged sends an allotment again after its template needs a parameter more.
func TestResendAfterTemplateChanged(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, usherfleet.Config{Gateways: 2, Schedulers: 3, Engines: 1, Services: 1})
		w.serves(recoveryLimit)
		caller, at := w.caller(), w.gateways()[0]
		id, err := caller.Client.NewRequestID(t.Context(), at, "")
		if err != nil {
			t.Fatal(err)
		}
		first := caller.Call(t.Context(), at, "mark-1", allotment("mark-1", id))
		w.saw("allotment", first.Outcome == usherhistory.Completed)
		template, _ := w.fleet.Snapshot().Template("allotment")
		w.publish(w.fleet.Snapshot().WithTemplate(template.WithParameter(usherconfig.Parameter{
			Name: "stall", Type: usherconfig.StringParameter, Min: 1, Max: 9, Required: true,
		})))
		time.Sleep(inForce)
		for _, address := range w.gateways() {
			caller.Call(t.Context(), address, "mark-1", allotment("mark-1", id))
		}
		w.check()
	})
}
