//go:build processes

package usherproof_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/proof/usherhistory"
	"github.com/samphireusher/samphireusher/service/usherclient"
	"github.com/samphireusher/samphireusher/standin/usherengine"
	"github.com/samphireusher/samphireusher/standin/usherplatform"
	"github.com/samphireusher/samphireusher/standin/usherserver"
)

const (
	readyLimit   = 60 * time.Second
	stopPatience = 60 * time.Second
	// lastLogBytes is how much of a daemon's log is shown.
	lastLogBytes = 2000
)

type (
	// processes is the built programs on addresses of loopback that no other run has, as _scripts/fleet.sh starts them.
	processes struct {
		t         *testing.T
		bin       string
		directory string
		ip        string
		snapshot  usherconfig.Snapshot
		daemons   []*process
		history   *usherhistory.History
		evidence  usherhistory.Recording
		rule      int
		// planned says that nothing failed: there were only planned stops.
		planned bool
	}

	// process is one program and, while it runs, its command.
	process struct {
		usherconfig.Host
		command *exec.Cmd
		// ended gets the end of the command.
		ended chan error
	}
)

func startProcesses(t *testing.T) *processes {
	t.Helper()
	bin, err := filepath.Abs(filepath.Join(repository, "bin"))
	if err != nil {
		t.Fatal(err)
	}
	p := &processes{t: t, bin: bin, directory: t.TempDir(), history: &usherhistory.History{}}
	p.ip = fmt.Sprintf("127.%d.%d.1", 64+os.Getpid()>>8&63, os.Getpid()&255)
	p.evidence.PropagationLimit = inForce
	p.declare()
	p.keys()
	p.start("standins", "usher-standin", "all", "--config", p.fixture("_fixtures/demo/standins.ini", "standins.ini"))
	p.eventually(readyLimit, "the stand-ins answer", func() bool { return p.ask("127.0.0.1:21103", "/record", nil) == nil })
	p.publishRule()
	p.showHosts()
	for i := range p.daemons {
		p.startDaemon(p.daemons[i])
	}
	for _, d := range p.daemons {
		p.ready(d)
	}
	return p
}

// declare reads the Consortium's declarations and moves them to this run's addresses.
func (p *processes) declare() {
	p.t.Helper()
	from := filepath.Join(repository, "_fixtures/declarations/consortium")
	to := filepath.Join(p.directory, "declarations")
	err := filepath.WalkDir(from, func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		inside, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		return p.copy(path, filepath.Join(to, inside))
	})
	if err != nil {
		p.t.Fatal(err)
	}
	snapshot, faults := usherconfig.Parse(os.DirFS(to))
	if len(faults) > 0 {
		p.t.Fatal(faults)
	}
	p.snapshot = snapshot
	for _, h := range snapshot.Hosts {
		p.daemons = append(p.daemons, &process{Host: h})
	}
}

// copy copies a text with the addresses of this run.
func (p *processes) copy(from, to string) error {
	text, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(to), 0o755); err != nil {
		return err
	}
	return os.WriteFile(to, []byte(p.moved(string(text))), 0o600)
}

func (p *processes) moved(text string) string {
	return strings.ReplaceAll(text, "127.0.0.1", p.ip)
}

func (p *processes) fixture(path, name string) string {
	p.t.Helper()
	to := filepath.Join(p.directory, name)
	if err := p.copy(filepath.Join(repository, path), to); err != nil {
		p.t.Fatal(err)
	}
	return to
}

func (p *processes) keys() {
	p.t.Helper()
	keys := filepath.Join(p.directory, "keys")
	p.run("keys", "authority", "--out", keys)
	p.run("keys", "secret", "--out", filepath.Join(keys, "fleet.secret"))
	for i, d := range p.daemons {
		p.run("keys", "issue", d.Name, "--authority", keys, "--out", keys)
		path := p.fixture(fmt.Sprintf("_fixtures/demo/%s.ini", d.Role), d.Name+".ini")
		text, err := os.ReadFile(path)
		if err != nil {
			p.t.Fatal(err)
		}
		settings := daemonSettings{
			name: d.Name, dataCentre: d.DataCentre, address: d.Address.String(), admin: fmt.Sprintf("%s:%d", p.ip, 21301+i),
			platform: p.ip + ":21000", seeds: p.seeds(), directory: p.directory,
		}.fill(string(text))
		if left := placeholder.FindString(settings); left != "" {
			p.t.Fatalf("%s: %s is not filled in", path, left)
		}
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			p.t.Fatal(err)
		}
	}
}

// seeds returns the addresses of the schedulers, as the settings have them.
func (p *processes) seeds() []string {
	var seeds []string
	for _, d := range p.daemons {
		if d.Role == usherconfig.SchedulerRole {
			seeds = append(seeds, d.Address.String())
		}
	}
	return seeds
}

func (p *processes) run(arguments ...string) {
	p.t.Helper()
	if output, err := exec.Command(filepath.Join(p.bin, "usherctl"), arguments...).CombinedOutput(); err != nil {
		p.t.Fatalf("usherctl %v: %v: %s", arguments, err, output)
	}
}

// start starts a program, whose log is kept if the test fails.
func (p *processes) start(name, program string, arguments ...string) *exec.Cmd {
	p.t.Helper()
	log, err := os.OpenFile(filepath.Join(p.directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer log.Close()
	command := exec.Command(filepath.Join(p.bin, program), arguments...)
	command.Dir, command.Stdout, command.Stderr = repository, log, log
	if err := command.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() {
		// Those that were waited for have ended already.
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return command
}

func (p *processes) startDaemon(d *process) {
	p.t.Helper()
	d.command = p.start(d.Name, "usher-"+string(d.Role), filepath.Join(p.directory, d.Name+".ini"))
	d.ended = make(chan error, 1)
	go func() { d.ended <- d.command.Wait() }()
	for i := range p.evidence.Crashes {
		if s := &p.evidence.Crashes[i]; s.Name == d.Address.String() && s.Until.IsZero() {
			s.Until = time.Now().Add(readyLimit) // narrowed when it serves
		}
	}
}

// ready waits until a daemon does its work.
func (p *processes) ready(d *process) {
	p.t.Helper()
	if d.Role != usherconfig.GatewayRole {
		return
	}
	client := usherclient.New("kochi", "kochi-demo-key")
	p.eventually(readyLimit, d.Name+" serves", func() bool {
		p.runs(d)
		_, call := client.Send(p.t.Context(), d.Address.String(), lookupOf("ready"), nil)
		_, generation := client.Send(p.t.Context(), d.Address.String(), streamOf("ready", 1), nil)
		return call == nil && generation == nil
	})
	client.Close()
	for _, spans := range [][]usherhistory.Span{p.evidence.Crashes, p.evidence.PlannedStops} {
		for i := range spans {
			if s := &spans[i]; s.Name == d.Address.String() && (s.Until.IsZero() || s.Until.After(time.Now())) {
				s.Until = time.Now()
			}
		}
	}
}

// runs fails the test at once where a daemon has ended by itself, with its last lines.
func (p *processes) runs(d *process) {
	p.t.Helper()
	select {
	case err := <-d.ended:
		d.ended <- err
		log, _ := os.ReadFile(filepath.Join(p.directory, d.Name+".log"))
		p.t.Fatalf("%s has ended by itself: %v\n%s", d.Name, err, log[max(0, len(log)-lastLogBytes):])
	default:
	}
}

// kill is kill -9.
func (p *processes) kill(d *process) {
	p.t.Helper()
	p.t.Logf("kill -9 %s", d.Name)
	if d.Role == usherconfig.GatewayRole {
		p.evidence.Crashes = append(p.evidence.Crashes, usherhistory.Span{Name: d.Address.String(), From: time.Now()})
	}
	_ = d.command.Process.Kill()
	<-d.ended
}

// stop is a planned stop.
func (p *processes) stop(d *process) {
	p.t.Helper()
	p.t.Logf("planned stop of %s", d.Name)
	if d.Role == usherconfig.GatewayRole {
		p.evidence.PlannedStops = append(p.evidence.PlannedStops, usherhistory.Span{Name: d.Address.String(), From: time.Now()})
	}
	p.signal(d, syscall.SIGTERM)
	select {
	case err := <-d.ended:
		if err != nil {
			p.t.Errorf("planned stop of %s: %v", d.Name, err)
		}
	case <-time.After(stopPatience):
		p.t.Errorf("%s has not stopped within %s", d.Name, stopPatience)
		_ = d.command.Process.Kill()
		<-d.ended
	}
}

func (p *processes) signal(d *process, signal os.Signal) {
	p.t.Helper()
	if err := d.command.Process.Signal(signal); err != nil {
		p.t.Errorf("%s to %s: %v", signal, d.Name, err)
	}
}

func (p *processes) eventually(within time.Duration, what string, holds func() bool) {
	p.t.Helper()
	for begin := time.Now(); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Since(begin) > within {
			p.t.Fatalf("%s: not within %s", what, within)
		}
	}
}

// ask reads an answer of a stand-in at an address of the fixtures.
func (p *processes) ask(address, path string, into any) error {
	answer, err := usherserver.Call(p.t.Context(), http.DefaultClient, http.MethodGet, p.moved(address), path, nil)
	if err != nil || into == nil {
		return err
	}
	return json.Unmarshal(answer, into)
}

func (p *processes) tell(method, address, path string, body any) {
	p.t.Helper()
	data, err := json.Marshal(body)
	if err == nil {
		_, err = usherserver.Call(p.t.Context(), http.DefaultClient, method, p.moved(address), path, data)
	}
	if err != nil {
		p.t.Fatal(err)
	}
}

func (p *processes) setPlatform(faults usherplatform.Faults) {
	p.t.Helper()
	p.t.Logf("platform %+v", faults)
	p.tell(http.MethodPost, "127.0.0.1:21000", "/faults", faults)
}

func (p *processes) publish(s usherconfig.Snapshot) {
	p.t.Helper()
	s = s.WithRevision(p.snapshot.Revision + 1)
	values := []usherplatform.Value{}
	for _, v := range usherconfig.Render(s) {
		values = append(values, usherplatform.Value{Key: v.Key, Body: v.Data})
	}
	p.evidence.Publications = append(p.evidence.Publications, usherhistory.Publication{Number: p.rule, At: time.Now()})
	p.tell(http.MethodPut, "127.0.0.1:21000", "/admin/batch", struct {
		Values []usherplatform.Value `json:"values"`
	}{values})
	p.snapshot = s
}

func (p *processes) publishRule() {
	p.t.Helper()
	p.rule++
	template, _ := p.snapshot.Template("appraisal")
	p.publish(p.snapshot.WithTemplate(template.WithPrompt(fmt.Sprintf("Judge by rule %d.\n{entry}\n{craft}{fair}{paragraphs}{tone}", p.rule))))
}

func (p *processes) showHosts() {
	p.t.Helper()
	hosts := []usherplatform.Host{}
	for _, h := range p.snapshot.Hosts {
		hosts = append(hosts, usherplatform.Host{
			Name: h.Name, Address: h.Address.String(), DataCentre: h.DataCentre, Role: string(h.Role), State: usherplatform.StateLive,
		})
	}
	p.tell(http.MethodPut, "127.0.0.1:21000", "/admin/hosts", struct {
		Hosts []usherplatform.Host `json:"hosts"`
	}{hosts})
}

// check collects what the stand-ins recorded and reports every violation.
func (p *processes) check() {
	p.t.Helper()
	texts, err := usherengine.ReadTexts(os.DirFS(filepath.Join(repository, "_fixtures/texts")), ".")
	if err != nil {
		p.t.Fatal(err)
	}
	e := p.evidence
	e.Observations = p.history.Observations()
	for _, target := range p.snapshot.Targets {
		if target.Service == "appraiser" {
			engine := usherhistory.Engine{Name: target.Name, ColdCapacity: target.BearableColdLoad, Config: usherengine.Config{Texts: texts}}
			err = errors.Join(err, p.ask(target.Address.String(), "/record", &engine.Record))
			e.Engines = append(e.Engines, engine)
			continue
		}
		service := usherhistory.Service{Name: target.Name}
		err = errors.Join(err, p.ask(target.Address.String(), "/record", &service.Record))
		e.Services = append(e.Services, service)
	}
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Logf("outcomes %v", p.history.Outcomes())
	for _, v := range e.Check() {
		p.t.Error(v)
	}
	if !p.planned {
		return
	}
	for _, v := range e.CheckPlannedStops() {
		p.t.Error(v)
	}
}

func streamOf(mark string, tokens int) usherclient.Request {
	return usherclient.Request{Template: "appraisal", Parameters: map[string]string{"craft": "weave", "entry": entry(mark, tokens)}}
}

func wholeOf(mark string, tokens int) usherclient.Request {
	return usherclient.Request{Template: "eligibility", Parameters: map[string]string{"entry": entry(mark, min(tokens, 60))}}
}

func lookupOf(mark string) usherclient.Request {
	return usherclient.Request{Template: "standing", Parameters: map[string]string{"artisan": mark}}
}

func onceOf(mark, id string) usherclient.Request {
	return usherclient.Request{
		Template: "allotment", Parameters: map[string]string{"artisan": mark, "stall": "7"}, RequestID: id,
	}
}

func (p *processes) startLoad(callers int) *load {
	gateways := []string{}
	for _, d := range p.daemons {
		if d.Role == usherconfig.GatewayRole {
			gateways = append(gateways, d.Address.String())
		}
	}
	l := &load{history: p.history, work: work{stream: streamOf, whole: wholeOf, lookup: lookupOf, once: onceOf}}
	clients := []*usherclient.Client{usherclient.New("kochi", "kochi-demo-key")}
	return startLoad(p.t.Context(), l, gateways, clients, callers, number(p.t, "USHER_SEED", defaultSeed))
}

// proveProcesses runs a scenario over a mixed load and checks the history.
func proveProcesses(t *testing.T, scenario func(p *processes)) {
	t.Helper()
	p := startProcesses(t)
	l := p.startLoad(promiseCallers)
	time.Sleep(3 * time.Second)
	scenario(p)
	for _, d := range p.daemons {
		p.ready(d)
	}
	time.Sleep(2 * time.Second)
	l.end()
	p.check()
}

func TestProcessesKilled(t *testing.T) {
	proveProcesses(t, func(p *processes) {
		for _, d := range p.daemons {
			p.kill(d)
			time.Sleep(500 * time.Millisecond)
			p.startDaemon(d)
			time.Sleep(2 * time.Second)
			p.ready(d)
		}
	})
}

// TestProcessesWakeLate stops a gateway and a scheduler (SIGSTOP) for longer than every lease, takes their data centre's
// neighbour out meanwhile, and lets them go on with their old view.
func TestProcessesWakeLate(t *testing.T) {
	proveProcesses(t, func(p *processes) {
		paused := []*process{p.daemons[0], p.daemons[2]}
		for _, d := range paused {
			p.t.Logf("SIGSTOP %s", d.Name)
			p.signal(d, syscall.SIGSTOP)
		}
		out := time.Now()
		thrissur, _ := p.snapshot.DataCentre("thrissur")
		p.publish(p.snapshot.WithDataCentre(thrissur.WithInService(false)))
		p.evidence.Publications = p.evidence.Publications[:len(p.evidence.Publications)-1] // the rule stays
		time.Sleep(12 * time.Second)
		for _, d := range paused {
			p.t.Logf("SIGCONT %s", d.Name)
			p.signal(d, syscall.SIGCONT)
		}
		time.Sleep(6 * time.Second)
		for _, target := range p.snapshot.Targets {
			if target.DataCentre == "thrissur" {
				p.evidence.OutOfService = append(p.evidence.OutOfService, usherhistory.Span{Name: target.Name, From: out.Add(inForce), Until: time.Now()})
			}
		}
		p.publish(p.snapshot.WithDataCentre(thrissur.WithInService(true)))
		time.Sleep(inForce)
	})
}

// TestProcessesRestartInOutage kills and starts every daemon, one after another, while the platform is down.
func TestProcessesRestartInOutage(t *testing.T) {
	proveProcesses(t, func(p *processes) {
		p.publishRule()
		time.Sleep(inForce)
		p.setPlatform(usherplatform.Faults{Down: true})
		for _, d := range p.daemons {
			p.kill(d)
			p.startDaemon(d)
			p.ready(d)
		}
		p.setPlatform(usherplatform.Faults{})
		p.publishRule()
		time.Sleep(inForce + time.Second)
	})
}

// TestProcessesStopAsPlanned stops every host (SIGTERM) and starts it again, one after another.
func TestProcessesStopAsPlanned(t *testing.T) {
	proveProcesses(t, func(p *processes) {
		p.planned = true
		for _, d := range p.daemons {
			p.stop(d)
			p.startDaemon(d)
			p.ready(d)
		}
	})
}
