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
	// inForce is the users' bound on the time until a change is in force, and until what is out gets nothing new.
	inForce = 4 * time.Second
	// coldBears is what a cold engine of these fleets bears; one more and it dies.
	coldBears = 2
)

// world is a running fleet and the history that it leaves.
type world struct {
	t        *testing.T
	fleet    *usherfleet.Fleet
	history  *usherhistory.History
	evidence usherhistory.Recording
	// rule is the last rule that was published, current that of the fleet's snapshot.
	rule, current int
	// chilled has the engines that were turned cold with work in progress.
	chilled map[int]bool
}

// newWorld brings a fleet up whose cold engines die of one generation more than is declared that they bear.
func newWorld(t *testing.T, config usherfleet.Config) *world {
	t.Helper()
	config.Directory = t.TempDir()
	config.Bearable = coldBears
	if config.Engine.Options == (ushermodel.Options{}) {
		config.Engine.Options = ushermodel.Options{Cold: true, ColdBears: coldBears, ColdFatal: coldBears, WarmTokens: 200}
	}
	if os.Getenv("USHER_LOG") != "" {
		config.Log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	fleet, err := usherfleet.Start(t.Context(), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = fleet.Close() })
	w := &world{t: t, fleet: fleet, history: &usherhistory.History{}, chilled: map[int]bool{}}
	w.evidence.PropagationLimit = inForce
	w.publishRule()
	time.Sleep(inForce + time.Second)
	return w
}

// publishRule publishes the next rule in all prompts of generations.
func (w *world) publishRule() {
	w.t.Helper()
	w.rule++
	s := w.fleet.Snapshot()
	for _, name := range []string{"appraisal", "plan", "kept"} {
		template, _ := s.Template(name)
		s = s.WithTemplate(template.WithPrompt(fmt.Sprintf("Judge by rule %d.\n{entry}", w.rule)))
	}
	w.current = w.rule
	w.publish(s)
}

// publish publishes s, which has the current rule.
func (w *world) publish(s usherconfig.Snapshot) {
	w.t.Helper()
	w.evidence.Publications = append(w.evidence.Publications, usherhistory.Publication{Number: w.current, At: time.Now()})
	if err := w.fleet.Publish(s); err != nil {
		w.t.Fatal(err)
	}
}

// setDataCentre publishes whether a data centre is in service.
func (w *world) setDataCentre(name string, inService bool) {
	w.t.Helper()
	d, _ := w.fleet.Snapshot().DataCentre(name)
	w.publish(w.fleet.Snapshot().WithDataCentre(d.WithInService(inService)))
}

// showLeaving has the platform show these targets as leaving, and all daemons as live.
func (w *world) showLeaving(targets ...string) {
	w.t.Helper()
	hosts := []usherplatform.Host{}
	for _, h := range w.fleet.Snapshot().Hosts {
		hosts = append(hosts, usherplatform.Host{
			Name: h.Name, Address: h.Address.String(), DataCentre: h.DataCentre, Role: string(h.Role), State: usherplatform.StateLive,
		})
	}
	for _, name := range targets {
		target, _ := w.fleet.Snapshot().Target(name)
		hosts = append(hosts, usherplatform.Host{
			Name: name, Address: target.Address.String(), DataCentre: target.DataCentre,
			Role: usherplatform.RoleTarget, State: usherplatform.StateLeaving,
		})
	}
	if _, err := w.fleet.Platform.SetHosts(hosts); err != nil {
		w.t.Error(err)
	}
}

// closed notes that a target may have begun nothing new from the bound after it was shown out until a time.
func (w *world) closed(target string, shown, until time.Time) {
	w.evidence.OutOfService = append(w.evidence.OutOfService, usherhistory.Span{Name: target, From: shown.Add(inForce), Until: until})
}

// caller returns a caller of the fleet's first workspace.
func (w *world) caller() usherhistory.Caller {
	return usherhistory.Caller{History: w.history, Client: w.fleet.NewClient()}
}

// gateways returns the addresses of all gateways.
func (w *world) gateways() []string {
	addresses := []string{}
	for _, h := range w.fleet.Snapshot().Hosts {
		if h.Role == "gateway" {
			addresses = append(addresses, h.Address.String())
		}
	}
	return addresses
}

// collect adds what the targets saw and returns the whole history.
func (w *world) collect() usherhistory.Recording {
	e := w.evidence
	e.Observations = w.history.Observations()
	for i, engine := range w.fleet.Engines {
		name := fmt.Sprintf("appraiser-%02d", i+1)
		e.Engines = append(e.Engines, usherhistory.Engine{
			Name: name, ColdCapacity: coldBears, Record: engine.Record(), TurnedCold: w.chilled[i],
		})
	}
	for i, service := range w.fleet.Services {
		e.Services = append(e.Services, usherhistory.Service{Name: fmt.Sprintf("registry-%02d", i+1), Record: service.Record()})
	}
	return e
}

// check reports every violation of the history.
func (w *world) check() {
	w.t.Helper()
	for _, v := range w.collect().Check() {
		w.t.Error(v)
	}
}

func appraisal(mark string, tokens int) usherclient.Request {
	return usherclient.Request{Template: "appraisal", Parameters: map[string]string{"entry": entry(mark, tokens)}}
}

func plan(mark string, tokens int) usherclient.Request {
	return usherclient.Request{Template: "plan", Parameters: map[string]string{"entry": entry(mark, tokens)}}
}

func entry(mark string, tokens int) string {
	return fmt.Sprintf("%s, a kasavu sari, tokens=%d", mark, tokens)
}

func standing(mark string) usherclient.Request {
	return usherclient.Request{Template: "standing", Parameters: map[string]string{"artisan": mark}}
}

func allotment(mark, id string) usherclient.Request {
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

// number returns the environment's value of a name, or a default.
func number(t *testing.T, name string, otherwise uint64) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s=%q is no number", name, text)
	}
	return value
}
