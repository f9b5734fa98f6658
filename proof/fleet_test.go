package usherproof_test

import (
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/proof/usherhistory"
	"github.com/samphireusher/samphireusher/service/usherclient"
	"github.com/samphireusher/samphireusher/standin/usherengine"
	"github.com/samphireusher/samphireusher/standin/usherfleet"
	"github.com/samphireusher/samphireusher/standin/ushermodel"
	"github.com/samphireusher/samphireusher/standin/usherplatform"
)

const (
	// propagationLimit is the time that users allow for a change to take effect, and for a target that is taken out of
	// service to stop receiving new requests.
	propagationLimit = 4 * time.Second
	// coldCapacity is the number of concurrent generations that a cold engine of these fleets can run. By default it
	// crashes at one more.
	coldCapacity = 2
)

// testEnv is a running fleet and the recording of what its callers and targets observed.
type testEnv struct {
	t         *testing.T
	fleet     *usherfleet.Fleet
	history   *usherhistory.History
	recording usherhistory.Recording
	// rule is the number of the last published rule, current the number of the rule in the fleet's snapshot. They differ
	// after two operators have published the same revision.
	rule, current int
	// turnedCold holds the indexes of the engines that were turned cold with generations in progress.
	turnedCold map[int]bool
}

// newTestEnv starts a fleet whose cold engines crash at one generation more than their declared cold capacity.
func newTestEnv(t *testing.T, config usherfleet.Config) *testEnv {
	t.Helper()
	config.Directory = t.TempDir()
	config.MaxColdConcurrency = coldCapacity
	if config.Engine.Options == (ushermodel.Options{}) {
		config.Engine.Options = ushermodel.Options{Cold: true, ColdCapacity: coldCapacity, ColdCrashThreshold: coldCapacity, WarmTokens: 200}
	}
	if os.Getenv("USHER_LOG") != "" {
		config.Log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	fleet, err := usherfleet.Start(t.Context(), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = fleet.Close() })
	env := &testEnv{t: t, fleet: fleet, history: &usherhistory.History{}, turnedCold: map[int]bool{}}
	env.recording.PropagationLimit = propagationLimit
	env.publishRule()
	time.Sleep(propagationLimit + time.Second)
	return env
}

// publishRule publishes the next rule number in the prompts of all generation templates.
func (env *testEnv) publishRule() {
	env.t.Helper()
	env.rule++
	s := env.fleet.Snapshot()
	for _, name := range []string{"appraisal", "plan", "kept"} {
		template, _ := s.Template(name)
		s = s.WithTemplate(template.WithPrompt(fmt.Sprintf("Judge by rule %d.\n{entry}", env.rule)))
	}
	env.current = env.rule
	env.publish(s)
}

// publish publishes s, whose prompts must have the current rule.
func (env *testEnv) publish(s usherconfig.Snapshot) {
	env.t.Helper()
	env.recording.Publications = append(env.recording.Publications, usherhistory.Publication{Number: env.current, At: time.Now()})
	if err := env.fleet.Publish(s); err != nil {
		env.t.Fatal(err)
	}
}

// setDataCentre publishes a data centre as in or out of service.
func (env *testEnv) setDataCentre(name string, inService bool) {
	env.t.Helper()
	d, _ := env.fleet.Snapshot().DataCentre(name)
	env.publish(env.fleet.Snapshot().WithDataCentre(d.WithInService(inService)))
}

// showLeaving makes the platform list these targets as leaving, and all daemons as live.
func (env *testEnv) showLeaving(targets ...string) {
	env.t.Helper()
	hosts := []usherplatform.Host{}
	for _, h := range env.fleet.Snapshot().Hosts {
		hosts = append(hosts, usherplatform.Host{
			Name: h.Name, Address: h.Address.String(), DataCentre: h.DataCentre, Role: string(h.Role), State: usherplatform.StateLive,
		})
	}
	for _, name := range targets {
		target, _ := env.fleet.Snapshot().Target(name)
		hosts = append(hosts, usherplatform.Host{
			Name: name, Address: target.Address.String(), DataCentre: target.DataCentre,
			Role: usherplatform.RoleTarget, State: usherplatform.StateLeaving,
		})
	}
	if _, err := env.fleet.Platform.SetHosts(hosts); err != nil {
		env.t.Error(err)
	}
}

// recordOutOfService records that a target must not start anything from propagationLimit after shown, when the platform
// showed it as unavailable, until the given time.
func (env *testEnv) recordOutOfService(target string, shown, until time.Time) {
	env.recording.OutOfService = append(env.recording.OutOfService, usherhistory.Span{
		Name: target, From: shown.Add(propagationLimit), Until: until,
	})
}

// caller returns a caller in the fleet's first workspace.
func (env *testEnv) caller() usherhistory.Caller {
	return usherhistory.Caller{History: env.history, Client: env.fleet.NewClient()}
}

// gateways returns the addresses of all gateways.
func (env *testEnv) gateways() []string {
	addresses := []string{}
	for _, h := range env.fleet.Snapshot().Hosts {
		if h.Role == "gateway" {
			addresses = append(addresses, h.Address.String())
		}
	}
	return addresses
}

// collect returns the recording of the run so far, with the records of callers and targets.
func (env *testEnv) collect() usherhistory.Recording {
	recording := env.recording
	recording.Observations = env.history.Observations()
	for i, engine := range env.fleet.Engines {
		name := fmt.Sprintf("appraiser-%02d", i+1)
		recording.Engines = append(recording.Engines, usherhistory.Engine{
			Name: name, ColdCapacity: coldCapacity, Record: engine.Record(), TurnedCold: env.turnedCold[i],
		})
	}
	for i, service := range env.fleet.Services {
		recording.Services = append(recording.Services, usherhistory.Service{Name: fmt.Sprintf("registry-%02d", i+1), Record: service.Record()})
	}
	return recording
}

// check reports every violation found in the recording as a test error.
func (env *testEnv) check() {
	env.t.Helper()
	for _, v := range env.collect().Check() {
		env.t.Error(v)
	}
}

func appraisalRequest(mark string, tokens int) usherclient.Request {
	return usherclient.Request{Template: "appraisal", Parameters: map[string]string{"entry": entryText(mark, tokens)}}
}

func planRequest(mark string, tokens int) usherclient.Request {
	return usherclient.Request{Template: "plan", Parameters: map[string]string{"entry": entryText(mark, tokens)}}
}

func entryText(mark string, tokens int) string {
	return fmt.Sprintf("%s, a kasavu sari, tokens=%d", mark, tokens)
}

func standingRequest(mark string) usherclient.Request {
	return usherclient.Request{Template: "standing", Parameters: map[string]string{"artisan": mark}}
}

func allotmentRequest(mark, id string) usherclient.Request {
	return usherclient.Request{Template: "allotment", Parameters: map[string]string{"artisan": mark}, RequestID: id}
}

func setEngines(fleet *usherfleet.Fleet, faults usherengine.Faults) {
	for _, e := range fleet.Engines {
		e.SetFaults(faults)
	}
}

func addressOf(d *usherfleet.Daemon) netip.Addr {
	return netip.MustParseAddrPort(d.Address()).Addr()
}

// envNumber returns the value of an environment variable, or a default if it is not set.
func envNumber(t *testing.T, name string, fallback uint64) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s=%q is not a non-negative integer", name, text)
	}
	return value
}
