package usherproof_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/proof/usherhistory"
	"github.com/samphireusher/samphireusher/standin/usherfleet"
)

// TestResendAfterTemplateChanged checks that an allotment which is resent under the same ID does not run twice after its
// template has got another required parameter.
func TestResendAfterTemplateChanged(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, usherfleet.Config{Gateways: 2, Schedulers: 3, Engines: 1, Services: 1})
		env.waitServing(recoveryTimeout)
		caller, at := env.caller(), env.gateways()[0]
		id, err := caller.Client.NewRequestID(t.Context(), at, "")
		if err != nil {
			t.Fatal(err)
		}
		first := caller.Call(t.Context(), at, "mark-1", allotmentRequest("mark-1", id))
		env.expectObserved("allotment", first.Outcome == usherhistory.Completed)
		template, _ := env.fleet.Snapshot().Template("allotment")
		env.publish(env.fleet.Snapshot().WithTemplate(template.WithParameter(usherconfig.Parameter{
			Name: "stall", Type: usherconfig.StringParameter, Min: 1, Max: 9, Required: true,
		})))
		time.Sleep(propagationLimit)
		for _, address := range env.gateways() {
			caller.Call(t.Context(), address, "mark-1", allotmentRequest("mark-1", id))
		}
		env.check()
	})
}
