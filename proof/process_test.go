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
	readyTimeout       = 60 * time.Second
	processStopTimeout = 60 * time.Second
	// logTailBytes is the length of the end of a daemon's log that is shown if the daemon exits unexpectedly.
	logTailBytes = 2000
)

type (
	// processFleet runs the built programs as _scripts/fleet.sh does, on loopback addresses derived from the process ID so
	// that concurrent runs do not collide.
	processFleet struct {
		t            *testing.T
		binDirectory string
		directory    string
		ip           string
		snapshot     usherconfig.Snapshot
		daemons      []*daemonProcess
		history      *usherhistory.History
		recording    usherhistory.Recording
		rule         int
		// onlyPlannedStops is set if the scenario has planned stops only, so that no request in progress may be lost.
		onlyPlannedStops bool
	}

	// daemonProcess is one daemon and, once it has been started, its command.
	daemonProcess struct {
		usherconfig.Host
		command *exec.Cmd
		// exited receives the result of the command when it exits.
		exited chan error
	}
)

func startProcesses(t *testing.T) *processFleet {
	t.Helper()
	bin, err := filepath.Abs(filepath.Join(repositoryRoot, "bin"))
	if err != nil {
		t.Fatal(err)
	}
	p := &processFleet{t: t, binDirectory: bin, directory: t.TempDir(), history: &usherhistory.History{}}
	p.ip = fmt.Sprintf("127.%d.%d.1", 64+os.Getpid()>>8&63, os.Getpid()&255)
	p.recording.PropagationLimit = propagationLimit
	p.loadDeclarations()
	p.issueKeys()
	p.startProgram("standins", "usher-standin", "all", "--config", p.copyFixture("_fixtures/demo/standins.ini", "standins.ini"))
	p.eventually(readyTimeout, "the stand-ins respond", func() bool { return p.getJSON("127.0.0.1:21103", "/record", nil) == nil })
	p.publishRule()
	p.showHosts()
	for i := range p.daemons {
		p.startDaemon(p.daemons[i])
	}
	for _, d := range p.daemons {
		p.waitReady(d)
	}
	return p
}

// loadDeclarations reads the declarations of the fixture "consortium" and replaces their addresses by those of this run.
func (p *processFleet) loadDeclarations() {
	p.t.Helper()
	from := filepath.Join(repositoryRoot, "_fixtures/declarations/consortium")
	to := filepath.Join(p.directory, "declarations")
	err := filepath.WalkDir(from, func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		relative, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		return p.copyFile(path, filepath.Join(to, relative))
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
		p.daemons = append(p.daemons, &daemonProcess{Host: h})
	}
}

// copyFile copies a text file and replaces its addresses by those of this run.
func (p *processFleet) copyFile(from, to string) error {
	text, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(to), 0o755); err != nil {
		return err
	}
	return os.WriteFile(to, []byte(p.rewriteAddresses(string(text))), 0o600)
}

func (p *processFleet) rewriteAddresses(text string) string {
	return strings.ReplaceAll(text, "127.0.0.1", p.ip)
}

func (p *processFleet) copyFixture(path, name string) string {
	p.t.Helper()
	to := filepath.Join(p.directory, name)
	if err := p.copyFile(filepath.Join(repositoryRoot, path), to); err != nil {
		p.t.Fatal(err)
	}
	return to
}

func (p *processFleet) issueKeys() {
	p.t.Helper()
	keys := filepath.Join(p.directory, "keys")
	p.runUsherctl("keys", "authority", "--out", keys)
	p.runUsherctl("keys", "secret", "--out", filepath.Join(keys, "fleet.secret"))
	for i, d := range p.daemons {
		p.runUsherctl("keys", "issue", d.Name, "--authority", keys, "--out", keys)
		path := p.copyFixture(fmt.Sprintf("_fixtures/demo/%s.ini", d.Role), d.Name+".ini")
		text, err := os.ReadFile(path)
		if err != nil {
			p.t.Fatal(err)
		}
		settings := daemonSettings{
			name: d.Name, dataCentre: d.DataCentre, address: d.Address.String(), admin: fmt.Sprintf("%s:%d", p.ip, 21301+i),
			platform: p.ip + ":21000", seeds: p.seeds(), directory: p.directory,
		}.fill(string(text))
		if left := placeholder.FindString(settings); left != "" {
			p.t.Fatalf("%s: %s has not been replaced", path, left)
		}
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			p.t.Fatal(err)
		}
	}
}

// seeds returns the addresses of the schedulers, which the settings use as seeds.
func (p *processFleet) seeds() []string {
	var seeds []string
	for _, d := range p.daemons {
		if d.Role == usherconfig.SchedulerRole {
			seeds = append(seeds, d.Address.String())
		}
	}
	return seeds
}

func (p *processFleet) runUsherctl(arguments ...string) {
	p.t.Helper()
	if output, err := exec.Command(filepath.Join(p.binDirectory, "usherctl"), arguments...).CombinedOutput(); err != nil {
		p.t.Fatalf("usherctl %v: %v: %s", arguments, err, output)
	}
}

// startProgram starts a program that appends its output to a log file in the directory of the run.
func (p *processFleet) startProgram(name, program string, arguments ...string) *exec.Cmd {
	p.t.Helper()
	log, err := os.OpenFile(filepath.Join(p.directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer log.Close()
	command := exec.Command(filepath.Join(p.binDirectory, program), arguments...)
	command.Dir, command.Stdout, command.Stderr = repositoryRoot, log, log
	if err := command.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() {
		// Both calls return an error if the program has already been waited for.
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return command
}

func (p *processFleet) startDaemon(d *daemonProcess) {
	p.t.Helper()
	d.command = p.startProgram(d.Name, "usher-"+string(d.Role), filepath.Join(p.directory, d.Name+".ini"))
	d.exited = make(chan error, 1)
	go func() { d.exited <- d.command.Wait() }()
	for i := range p.recording.Crashes {
		if s := &p.recording.Crashes[i]; s.Name == d.Address.String() && s.Until.IsZero() {
			s.Until = time.Now().Add(readyTimeout) // set to the actual time by waitReady
		}
	}
}

// waitReady waits until a gateway completes a call and a generation, and then ends its spans of downtime. It returns at
// once for other daemons.
func (p *processFleet) waitReady(d *daemonProcess) {
	p.t.Helper()
	if d.Role != usherconfig.GatewayRole {
		return
	}
	client := usherclient.New("kochi", "kochi-demo-key")
	p.eventually(readyTimeout, d.Name+" serves", func() bool {
		p.failIfExited(d)
		_, call := client.Send(p.t.Context(), d.Address.String(), lookupRequest("ready"), nil)
		_, generation := client.Send(p.t.Context(), d.Address.String(), streamRequest("ready", 1), nil)
		return call == nil && generation == nil
	})
	client.Close()
	for _, spans := range [][]usherhistory.Span{p.recording.Crashes, p.recording.PlannedStops} {
		for i := range spans {
			if s := &spans[i]; s.Name == d.Address.String() && (s.Until.IsZero() || s.Until.After(time.Now())) {
				s.Until = time.Now()
			}
		}
	}
}

// failIfExited fails the test at once if a daemon has exited unexpectedly, and shows the end of its log.
func (p *processFleet) failIfExited(d *daemonProcess) {
	p.t.Helper()
	select {
	case err := <-d.exited:
		d.exited <- err
		log, _ := os.ReadFile(filepath.Join(p.directory, d.Name+".log"))
		p.t.Fatalf("%s exited unexpectedly: %v\n%s", d.Name, err, log[max(0, len(log)-logTailBytes):])
	default:
	}
}

// kill ends a daemon by SIGKILL.
func (p *processFleet) kill(d *daemonProcess) {
	p.t.Helper()
	p.t.Logf("kill -9 %s", d.Name)
	if d.Role == usherconfig.GatewayRole {
		p.recording.Crashes = append(p.recording.Crashes, usherhistory.Span{Name: d.Address.String(), From: time.Now()})
	}
	_ = d.command.Process.Kill()
	<-d.exited
}

// stop makes a planned stop by SIGTERM and waits until the daemon has exited.
func (p *processFleet) stop(d *daemonProcess) {
	p.t.Helper()
	p.t.Logf("planned stop of %s", d.Name)
	if d.Role == usherconfig.GatewayRole {
		p.recording.PlannedStops = append(p.recording.PlannedStops, usherhistory.Span{Name: d.Address.String(), From: time.Now()})
	}
	p.signal(d, syscall.SIGTERM)
	select {
	case err := <-d.exited:
		if err != nil {
			p.t.Errorf("planned stop of %s: %v", d.Name, err)
		}
	case <-time.After(processStopTimeout):
		p.t.Errorf("%s did not stop within %s", d.Name, processStopTimeout)
		_ = d.command.Process.Kill()
		<-d.exited
	}
}

func (p *processFleet) signal(d *daemonProcess, signal os.Signal) {
	p.t.Helper()
	if err := d.command.Process.Signal(signal); err != nil {
		p.t.Errorf("%s to %s: %v", signal, d.Name, err)
	}
}

func (p *processFleet) eventually(timeout time.Duration, description string, condition func() bool) {
	p.t.Helper()
	for begin := time.Now(); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Since(begin) > timeout {
			p.t.Fatalf("%s: condition not met within %s", description, timeout)
		}
	}
}

// getJSON decodes the response of a stand-in, whose address is given as in the fixtures. A nil value ignores the body.
func (p *processFleet) getJSON(address, path string, value any) error {
	answer, err := usherserver.Call(p.t.Context(), http.DefaultClient, http.MethodGet, p.rewriteAddresses(address), path, nil)
	if err != nil || value == nil {
		return err
	}
	return json.Unmarshal(answer, value)
}

func (p *processFleet) sendJSON(method, address, path string, body any) {
	p.t.Helper()
	data, err := json.Marshal(body)
	if err == nil {
		_, err = usherserver.Call(p.t.Context(), http.DefaultClient, method, p.rewriteAddresses(address), path, data)
	}
	if err != nil {
		p.t.Fatal(err)
	}
}

func (p *processFleet) setPlatformFaults(faults usherplatform.Faults) {
	p.t.Helper()
	p.t.Logf("platform %+v", faults)
	p.sendJSON(http.MethodPost, "127.0.0.1:21000", "/faults", faults)
}

func (p *processFleet) publish(s usherconfig.Snapshot) {
	p.t.Helper()
	s = s.WithRevision(p.snapshot.Revision + 1)
	values := []usherplatform.Value{}
	for _, v := range usherconfig.Render(s) {
		values = append(values, usherplatform.Value{Key: v.Key, Body: v.Data})
	}
	p.recording.Publications = append(p.recording.Publications, usherhistory.Publication{Number: p.rule, At: time.Now()})
	p.sendJSON(http.MethodPut, "127.0.0.1:21000", "/admin/batch", struct {
		Values []usherplatform.Value `json:"values"`
	}{values})
	p.snapshot = s
}

func (p *processFleet) publishRule() {
	p.t.Helper()
	p.rule++
	template, _ := p.snapshot.Template("appraisal")
	p.publish(p.snapshot.WithTemplate(template.WithPrompt(
		fmt.Sprintf("Judge by rule %d.\n{entry}\n{craft}{fair}{paragraphs}{tone}", p.rule),
	)))
}

func (p *processFleet) showHosts() {
	p.t.Helper()
	hosts := []usherplatform.Host{}
	for _, h := range p.snapshot.Hosts {
		hosts = append(hosts, usherplatform.Host{
			Name: h.Name, Address: h.Address.String(), DataCentre: h.DataCentre, Role: string(h.Role), State: usherplatform.StateLive,
		})
	}
	p.sendJSON(http.MethodPut, "127.0.0.1:21000", "/admin/hosts", struct {
		Hosts []usherplatform.Host `json:"hosts"`
	}{hosts})
}

// check collects the records of the stand-ins and reports every violation as a test error.
func (p *processFleet) check() {
	p.t.Helper()
	texts, err := usherengine.ReadTexts(os.DirFS(filepath.Join(repositoryRoot, "_fixtures/texts")), ".")
	if err != nil {
		p.t.Fatal(err)
	}
	recording := p.recording
	recording.Observations = p.history.Observations()
	for _, target := range p.snapshot.Targets {
		if target.Service == "appraiser" {
			engine := usherhistory.Engine{
				Name: target.Name, ColdCapacity: target.MaxColdConcurrency, Config: usherengine.Config{Texts: texts},
			}
			err = errors.Join(err, p.getJSON(target.Address.String(), "/record", &engine.Record))
			recording.Engines = append(recording.Engines, engine)
			continue
		}
		service := usherhistory.Service{Name: target.Name}
		err = errors.Join(err, p.getJSON(target.Address.String(), "/record", &service.Record))
		recording.Services = append(recording.Services, service)
	}
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Logf("outcomes %v", p.history.Outcomes())
	for _, v := range recording.Check() {
		p.t.Error(v)
	}
	if !p.onlyPlannedStops {
		return
	}
	for _, v := range recording.CheckPlannedStops() {
		p.t.Error(v)
	}
}

func streamRequest(mark string, tokens int) usherclient.Request {
	return usherclient.Request{
		Template: "appraisal", Parameters: map[string]string{"craft": "weave", "entry": entryText(mark, tokens)},
	}
}

func nonStreamingRequest(mark string, tokens int) usherclient.Request {
	return usherclient.Request{Template: "eligibility", Parameters: map[string]string{"entry": entryText(mark, min(tokens, 60))}}
}

func lookupRequest(mark string) usherclient.Request {
	return usherclient.Request{Template: "standing", Parameters: map[string]string{"artisan": mark}}
}

func atMostOnceRequest(mark, id string) usherclient.Request {
	return usherclient.Request{
		Template: "allotment", Parameters: map[string]string{"artisan": mark, "stall": "7"}, RequestID: id,
	}
}

func (p *processFleet) startLoad(callers int) *load {
	gateways := []string{}
	for _, d := range p.daemons {
		if d.Role == usherconfig.GatewayRole {
			gateways = append(gateways, d.Address.String())
		}
	}
	l := &load{history: p.history, requestBuilders: requestBuilders{
		stream: streamRequest, nonStreaming: nonStreamingRequest, lookup: lookupRequest, atMostOnce: atMostOnceRequest,
	}}
	clients := []*usherclient.Client{usherclient.New("kochi", "kochi-demo-key")}
	return startLoad(p.t.Context(), l, gateways, clients, callers, envNumber(p.t, "USHER_SEED", defaultSeed))
}

// runProcessScenario runs a scenario under a mixed load and checks the recording.
func runProcessScenario(t *testing.T, scenario func(p *processFleet)) {
	t.Helper()
	p := startProcesses(t)
	l := p.startLoad(scenarioCallers)
	time.Sleep(3 * time.Second)
	scenario(p)
	for _, d := range p.daemons {
		p.waitReady(d)
	}
	time.Sleep(2 * time.Second)
	l.stop()
	p.check()
}

func TestProcessesKilled(t *testing.T) {
	runProcessScenario(t, func(p *processFleet) {
		for _, d := range p.daemons {
			p.kill(d)
			time.Sleep(500 * time.Millisecond)
			p.startDaemon(d)
			time.Sleep(2 * time.Second)
			p.waitReady(d)
		}
	})
}

// TestProcessesResumedAfterPause pauses a gateway and a scheduler of the data centre kochi by SIGSTOP for longer than any
// lease. Meanwhile it takes the data centre thrissur out of service, and then lets them continue with their outdated view.
func TestProcessesResumedAfterPause(t *testing.T) {
	runProcessScenario(t, func(p *processFleet) {
		paused := []*daemonProcess{p.daemons[0], p.daemons[2]}
		for _, d := range paused {
			p.t.Logf("SIGSTOP %s", d.Name)
			p.signal(d, syscall.SIGSTOP)
		}
		out := time.Now()
		thrissur, _ := p.snapshot.DataCentre("thrissur")
		p.publish(p.snapshot.WithDataCentre(thrissur.WithInService(false)))
		p.recording.Publications = p.recording.Publications[:len(p.recording.Publications)-1] // the rule did not change
		time.Sleep(12 * time.Second)
		for _, d := range paused {
			p.t.Logf("SIGCONT %s", d.Name)
			p.signal(d, syscall.SIGCONT)
		}
		time.Sleep(6 * time.Second)
		for _, target := range p.snapshot.Targets {
			if target.DataCentre == "thrissur" {
				p.recording.OutOfService = append(p.recording.OutOfService, usherhistory.Span{
					Name: target.Name, From: out.Add(propagationLimit), Until: time.Now(),
				})
			}
		}
		p.publish(p.snapshot.WithDataCentre(thrissur.WithInService(true)))
		time.Sleep(propagationLimit)
	})
}

// TestProcessesRestartInOutage kills and restarts every daemon, one after another, while the platform is down.
func TestProcessesRestartInOutage(t *testing.T) {
	runProcessScenario(t, func(p *processFleet) {
		p.publishRule()
		time.Sleep(propagationLimit)
		p.setPlatformFaults(usherplatform.Faults{Down: true})
		for _, d := range p.daemons {
			p.kill(d)
			p.startDaemon(d)
			p.waitReady(d)
		}
		p.setPlatformFaults(usherplatform.Faults{})
		p.publishRule()
		time.Sleep(propagationLimit + time.Second)
	})
}

// TestProcessesPlannedStop stops every host by SIGTERM and restarts it, one after another. No request in progress may be
// lost.
func TestProcessesPlannedStop(t *testing.T) {
	runProcessScenario(t, func(p *processFleet) {
		p.onlyPlannedStops = true
		for _, d := range p.daemons {
			p.stop(d)
			p.startDaemon(d)
			p.waitReady(d)
		}
	})
}
