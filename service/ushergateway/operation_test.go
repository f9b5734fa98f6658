package ushergateway_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/service/usherclient"
	"github.com/samphireusher/samphireusher/standin/usherengine"
	"github.com/samphireusher/samphireusher/standin/usherfleet"
	"github.com/samphireusher/samphireusher/standin/usherplatform"
)

// updateBound is the required bound on the time until a change has taken effect on every gateway and scheduler.
const updateBound = 4 * time.Second

// loadGenerator sends short requests through all gateways until it is stopped, and counts their outcomes.
type loadGenerator struct {
	cancel   context.CancelFunc
	done     chan map[string]int
	outcomes map[string]int
}

func startLoad(t *testing.T, fleet *usherfleet.Fleet, callers int) *loadGenerator {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	l := &loadGenerator{cancel: cancel, done: make(chan map[string]int, callers), outcomes: map[string]int{}}
	client := fleet.NewClient()
	for i := range callers {
		go func() {
			outcomes := map[string]int{}
			for ctx.Err() == nil {
				_, err := client.Send(context.WithoutCancel(ctx), fleet.Gateways[i%len(fleet.Gateways)].Address(), appraisal(30), nil)
				outcomes[outcomeOf(err)]++
			}
			l.done <- outcomes
		}()
	}
	return l
}

// stop ends the load, waits for the requests in progress and returns the outcomes.
func (l *loadGenerator) stop() map[string]int {
	l.cancel()
	for range cap(l.done) {
		for outcome, count := range <-l.done {
			l.outcomes[outcome] += count
		}
	}
	return l.outcomes
}

// startedSince returns how many generations started on the engine after the given time, according to its record.
func startedSince(engine *usherengine.Engine, since time.Time) int {
	count := 0
	for _, g := range engine.Record().Generations {
		if time.UnixMilli(g.StartedAtMS).After(since) {
			count++
		}
	}
	return count
}

func eventually(t *testing.T, within time.Duration, what string, holds func() bool) time.Duration {
	t.Helper()
	begin := time.Now()
	for !holds() {
		if time.Since(begin) > within {
			t.Fatalf("%s: not within %s", what, within)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begin)
}

func allUpToDate(fleet *usherfleet.Fleet) bool {
	for _, list := range [][]*usherfleet.Daemon{fleet.Gateways, fleet.Schedulers} {
		for _, d := range list {
			if d.Revision() < fleet.Snapshot().Revision {
				return false
			}
		}
	}
	return true
}

func withDataCentre(fleet *usherfleet.Fleet, name string, inService bool) usherconfig.Snapshot {
	d, _ := fleet.Snapshot().DataCentre(name)
	return fleet.Snapshot().WithDataCentre(d.WithInService(inService))
}

func TestDataCentreOutOfServiceAndBack(t *testing.T) {
	inBubble(t, testDataCentreOutOfServiceAndBack)
}

func testDataCentreOutOfServiceAndBack(t *testing.T) {
	fleet := startFleet(t, usherfleet.Config{DataCentres: 3, Gateways: 3, Schedulers: 3, Engines: 3, MaxColdConcurrency: 8})
	l := startLoad(t, fleet, 6)
	engine := fleet.Engines[0]
	eventually(t, 20*time.Second, "generations on the engine in kochi", func() bool { return startedSince(engine, time.Now().Add(-time.Second)) > 0 })
	published := time.Now()
	if err := fleet.Publish(withDataCentre(fleet, "kochi", false)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(updateBound + 2*time.Second)
	if got := startedSince(engine, published.Add(updateBound)); got > 0 {
		t.Errorf("%d generations started in a data centre out of service", got)
	}
	returned := time.Now()
	if err := fleet.Publish(withDataCentre(fleet, "kochi", true)); err != nil {
		t.Fatal(err)
	}
	eventually(t, 20*time.Second, "generations after the return to service", func() bool { return startedSince(engine, returned) > 0 })
	outcomes := l.stop()
	if outcomes["completed"] == 0 || outcomes["ran_in_part"]+outcomes["unknown"]+outcomes["broken"] > 0 {
		t.Errorf("outcomes %v", outcomes)
	}
}

func TestLeavingTargetGetsNoRequests(t *testing.T) {
	inBubble(t, testLeavingTargetGetsNoRequests)
}

func testLeavingTargetGetsNoRequests(t *testing.T) {
	fleet := startFleet(t, usherfleet.Config{Schedulers: 2, Engines: 2, MaxColdConcurrency: 8})
	l := startLoad(t, fleet, 4)
	engine := fleet.Engines[0]
	eventually(t, 20*time.Second, "generations on the engine", func() bool { return startedSince(engine, time.Now().Add(-time.Second)) > 0 })
	target, _ := fleet.Snapshot().Target("appraiser-01")
	markedAt := time.Now()
	if _, err := fleet.Platform.SetHosts([]usherplatform.Host{{
		Name: target.Name, Address: target.Address.String(), DataCentre: target.DataCentre,
		Role: usherplatform.RoleTarget, State: usherplatform.StateLeaving,
	}}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(updateBound + 2*time.Second)
	if got := startedSince(engine, markedAt.Add(updateBound)); got > 0 {
		t.Errorf("%d generations started on a leaving target", got)
	}
	if outcomes := l.stop(); outcomes["completed"] == 0 || outcomes["ran_in_part"]+outcomes["unknown"]+outcomes["broken"] > 0 {
		t.Errorf("outcomes %v", outcomes)
	}
}

func TestPlannedStopLosesNoRequests(t *testing.T) {
	inBubble(t, testPlannedStopLosesNoRequests)
}

func testPlannedStopLosesNoRequests(t *testing.T) {
	fleet := startFleet(t, usherfleet.Config{Gateways: 2, Schedulers: 3, Engines: 2, MaxColdConcurrency: 8})
	client := fleet.NewClient()
	r := newReader(t, 5)
	streamed := make(chan error, 1)
	go func() {
		_, err := client.Send(t.Context(), fleet.Gateways[0].Address(), appraisal(400), r.callbacks())
		streamed <- err
	}()
	<-r.reached
	stopped := make(chan error, 1)
	go func() { stopped <- fleet.Gateways[0].Stop(t.Context()) }()
	var refusal usherclient.Refusal
	eventually(t, 2*time.Second, "new requests refused", func() bool {
		_, err := client.Send(t.Context(), fleet.Gateways[0].Address(), appraisal(1), nil)
		return errors.As(err, &refusal) && refusal.Outcome == "not_run"
	})
	if refusal.OtherAddress != fleet.Gateways[1].Address() {
		t.Errorf("refused with %+v", refusal)
	}
	if err := fleet.Schedulers[0].Stop(t.Context()); err != nil {
		t.Errorf("scheduler: %v", err)
	}
	if err := <-streamed; err != nil || r.next != 400 {
		t.Errorf("the stream ended after %d tokens: %v", r.next, err)
	}
	if err := <-stopped; err != nil {
		t.Errorf("gateway: %v", err)
	}
	eventually(t, 10*time.Second, "request served by the other gateway", func() bool {
		_, err := client.Send(t.Context(), fleet.Gateways[1].Address(), appraisal(1), nil)
		return err == nil
	})
}

func TestChangeTakesEffectEverywhere(t *testing.T) {
	inBubble(t, testChangeTakesEffectEverywhere)
}

func testChangeTakesEffectEverywhere(t *testing.T) {
	fleet := startFleet(t, usherfleet.Config{DataCentres: 3, Gateways: 6, Schedulers: 3, Engines: 1})
	for range 3 {
		template, _ := fleet.Snapshot().Template("appraisal")
		if err := fleet.Publish(fleet.Snapshot().WithTemplate(template.WithPrompt("Appraise.\n{entry}"))); err != nil {
			t.Fatal(err)
		}
		eventually(t, updateBound, "change in effect", func() bool { return allUpToDate(fleet) })
	}
	before := fleet.Snapshot().Revision
	if _, err := fleet.Platform.Publish([]usherplatform.Value{{Key: usherconfig.IndexKey, Body: []byte("damaged")}}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	if !allUpToDate(fleet) || fleet.Gateways[0].Revision() != before {
		t.Error("a malformed value changed the configuration")
	}
}

func TestRestartDuringOutage(t *testing.T) {
	inBubble(t, testRestartDuringOutage)
}

func testRestartDuringOutage(t *testing.T) {
	fleet := startFleet(t, usherfleet.Config{DataCentres: 3, Gateways: 3, Schedulers: 3, Engines: 1})
	fleet.Platform.SetFaults(usherplatform.Faults{Down: true})
	client := fleet.NewClient()
	gateway := fleet.Gateways[0]
	if err := gateway.Kill(); err != nil {
		t.Fatal(err)
	}
	if err := fleet.Restart(t.Context(), gateway); err != nil {
		t.Fatal(err)
	}
	gateway = fleet.Gateways[0]
	if gateway.Revision() != fleet.Snapshot().Revision {
		t.Errorf("revision %d, want %d", gateway.Revision(), fleet.Snapshot().Revision)
	}
	eventually(t, 10*time.Second, "request served", func() bool {
		_, err := client.Send(t.Context(), gateway.Address(), appraisal(1), nil)
		return err == nil
	})
	fleet.Platform.SetFaults(usherplatform.Faults{Stale: true, StaleVersion: 0})
}

func TestCrashingRequestIsStopped(t *testing.T) {
	inBubble(t, testCrashingRequestIsStopped)
}

func testCrashingRequestIsStopped(t *testing.T) {
	fleet := startFleet(t, usherfleet.Config{Gateways: 2, Engines: 4, MaxColdConcurrency: 4})
	setEngineFaults(fleet, usherengine.Faults{Poison: true, RestartAfterMS: 300})
	client := fleet.NewClient()
	poison := appraisal(50)
	poison.Parameters["entry"] = "poison, tokens=50"
	refused := false
	for i := range 12 {
		_, err := client.Send(t.Context(), fleet.Gateways[i%2].Address(), poison, nil)
		var refusal usherclient.Refusal
		if err == nil {
			t.Fatal("a request that crashes engines completed")
		}
		refused = refused || errors.As(err, &refusal) && refusal.Reason == "suspect" && refusal.Outcome == "not_run"
		time.Sleep(500 * time.Millisecond)
	}
	crashes := 0
	for _, engine := range fleet.Engines {
		for _, crash := range engine.Record().Crashes {
			if strings.Contains(crash.Reason, "poison") {
				crashes++
			}
		}
	}
	if crashes > 2 || !refused {
		t.Errorf("%d engines crashed, refused as suspect: %v", crashes, refused)
	}
	eventually(t, 20*time.Second, "other requests served", func() bool {
		_, err := client.Send(t.Context(), fleet.Gateways[0].Address(), appraisal(5), nil)
		return err == nil
	})
}

// TestEnginesLoadTheDeclaredModel publishes another model under load: all engines must load it, one after the other,
// without interrupting requests.
func TestEnginesLoadTheDeclaredModel(t *testing.T) {
	inBubble(t, testEnginesLoadTheDeclaredModel)
}

func testEnginesLoadTheDeclaredModel(t *testing.T) {
	fleet := startFleet(t, usherfleet.Config{Gateways: 2, Schedulers: 3, Engines: 4, MaxColdConcurrency: 8})
	l := startLoad(t, fleet, 4)
	service, _ := fleet.Snapshot().Service("appraiser")
	service.LoadsPerMinute = 60
	if err := fleet.Publish(fleet.Snapshot().WithService(service.WithModel("appraiser-2", "weave"))); err != nil {
		t.Fatal(err)
	}
	eventually(t, 3*time.Minute, "model loaded on every engine", func() bool {
		for _, engine := range fleet.Engines {
			if model, adapters := engine.Loaded(); model != "appraiser-2" || !slices.Contains(adapters, "weave") {
				return false
			}
		}
		return true
	})
	if outcomes := l.stop(); outcomes["completed"] == 0 || outcomes["ran_in_part"]+outcomes["unknown"]+outcomes["broken"] > 0 {
		t.Errorf("outcomes %v", outcomes)
		logUnfinished(t, fleet)
	}
}

// logUnfinished logs the unfinished generations and the deaths on the engines' records.
func logUnfinished(t *testing.T, fleet *usherfleet.Fleet) {
	t.Helper()
	for i, engine := range fleet.Engines {
		record := engine.Record()
		for _, g := range record.Generations {
			if !g.Finished {
				t.Logf("engine %d: %+v", i, g)
			}
		}
		t.Logf("engine %d crashed: %+v", i, record.Crashes)
	}
}

// A planned stop waits for the requests in progress while others begin. Their count began again from zero, which the race
// detector has reported once: the stop could miss a request that it had to wait for.
func TestStopCountsRequestsThatBeginMeanwhile(t *testing.T) {
	inBubble(t, testStopCountsRequestsThatBeginMeanwhile)
}

func testStopCountsRequestsThatBeginMeanwhile(t *testing.T) {
	fleet := startFleet(t, usherfleet.Config{Gateways: 2, Schedulers: 3, Engines: 2, MaxColdConcurrency: 8})
	const callers = 20
	results := make(chan error, 2*callers)
	for i := range 2 * callers {
		client := fleet.NewClient()
		go func() {
			time.Sleep(time.Duration(i) * time.Millisecond)
			_, err := client.Send(t.Context(), fleet.Gateways[0].Address(), appraisal(20), nil)
			results <- err
		}()
	}
	time.Sleep(callers * time.Millisecond)
	if err := fleet.Gateways[0].Stop(t.Context()); err != nil {
		t.Error(err)
	}
	for range 2 * callers {
		var refusal usherclient.Refusal
		if err := <-results; err != nil && !(errors.As(err, &refusal) && refusal.Outcome == "not_run") {
			t.Errorf("a request ended with %v", err)
		}
	}
}
