package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/samphireusher/samphireusher/platform/usherstandin"
)

const (
	engineService = "tagapayo"
	plainService  = "hiraman-desk"
	callerHost    = "desk.example"
	apiKey        = "xd9dnn2ctnfzs989anu6"
	tenant        = "tenant-1"

	callerPort  = 8740
	adminPort   = 8748
	locatePort  = 8746
	readyPort   = 8749
	metricsPort = 9464
	peerPort    = 7200
	storePort   = 8742
	targetPort  = 8080
)

// zones are those of the site himig-loans, with its number of hosts in each.
var (
	zones       = []string{"quezon", "pasig", "calamba"}
	hostsInZone = []int{3, 4, 2}
)

type (
	// host is one usher-host process.
	host struct {
		name, zone, ip string
		command        *exec.Cmd
		exited         chan struct{}
		status         string
		exitedAt       time.Time
	}

	// fleet is a small installation: the processes of the project, and stand-ins of the store and of the servers.
	fleet struct {
		directory string
		subnet    string
		record    *record
		store     *usherstandin.Store
		server    *http.Server
		hosts     []*host
		targets   []*target
		listeners []net.Listener
		attempts  atomic.Int64

		mu          sync.Mutex
		runs        map[string][]string
		misdirected map[string]bool
		full        map[string]bool
		onCrash     func(t *target)
	}
)

func newFleet(rec *record) (*fleet, error) {
	directory, err := os.MkdirTemp("", "review-*")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		directory: directory, record: rec, store: usherstandin.NewStore(), runs: map[string][]string{}, misdirected: map[string]bool{}, full: map[string]bool{},
	}
	for i := range 200 {
		n := os.Getpid() + 131*i
		f.subnet = fmt.Sprintf("127.%d.%d.", 64+n>>8&63, n&255)
		if f.server, err = serveStore(f.address(250, storePort), f.store); err == nil {
			return f, nil
		}
	}
	return nil, err
}

func (f *fleet) address(host, port int) string { return fmt.Sprintf("%s%d:%d", f.subnet, host, port) }

func (f *fleet) slots(service string) int {
	if service == engineService {
		return 24
	}
	return 6
}

// declare writes the first configuration: the kinds of request of the sheet.
func (f *fleet) declare(change func(routes []any) []any) {
	route := func(name, kind, service string, overrides map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": callerHost, "prefix": "/" + name + "/", "routeKind": kind, "service": service, "maxAttempts": 1, "public": false,
		}
		for key, value := range overrides {
			r[key] = value
		}
		return r
	}
	routes := []any{
		route("lesson-draft", "streaming", engineService, map[string]any{"timeoutMs": 39000, "goalMs": 1800, "gapTargetMs": 180, "priority": 1, "sticky": true}),
		route("condition-tag", "streaming", engineService, map[string]any{
			"timeoutMs": 6000, "goalMs": 1500, "gapTargetMs": 180, "priority": 0, "sticky": true, "resumable": true, "maxAttempts": 2,
		}),
		route("loan-checkout", "unsafe", plainService, map[string]any{"timeoutMs": 1000, "goalMs": 100, "priority": 2}),
		route("stock-lookup", "safe", plainService, map[string]any{"timeoutMs": 1000, "goalMs": 100, "priority": 2, "maxAttempts": 2}),
	}
	if change != nil {
		routes = change(routes)
	}
	f.store.PutJSON("op/config", map[string]any{
		"version": 3, "routes": routes,
		"services": []any{
			map[string]any{"name": engineService, "healthPath": "/healthz", "maxConns": 252, "coldS": 1.0, "coldPerS": 37.0, "engine": map[string]any{
				"slots": 24, "kvCapacity": 34313, "kvTokenBytes": 262144, "linkMbps": 38000.0, "moves": true, "backups": true, "stride": 4, "handleS": 5.0,
			}},
			map[string]any{"name": plainService, "healthPath": "/healthz", "maxConns": 110},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{apiKey}}},
	})
}

// addTargets starts the servers of the sheet: 12 engines and 3 of the loan desk, in three zones.
func (f *fleet) addTargets(handle func(t *target, r *http.Request) behaviour) error {
	for i := range 15 {
		service := engineService
		if i >= 12 {
			service = plainService
		}
		if err := f.addTarget(fmt.Sprintf("i-%02d", i+1), service, i%3, f.address(100+i, targetPort), handle); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) addTarget(id, service string, zone int, address string, handle func(t *target, r *http.Request) behaviour) error {
	t := &target{id: id, service: service, zone: zones[zone], address: address, fleet: f, handle: handle}
	if err := t.start(); err != nil {
		return err
	}
	f.targets = append(f.targets, t)
	return nil
}

// addHosts starts the nine hosts of the sheet.
func (f *fleet) addHosts(root string) error {
	number := 0
	for z, n := range hostsInZone {
		for i := range n {
			number++
			h := &host{name: fmt.Sprintf("edge-%s-%d", zones[z], i+1), zone: zones[z], ip: fmt.Sprintf("%s%d", f.subnet, number)}
			f.hosts = append(f.hosts, h)
			if err := f.start(root, h); err != nil {
				return err
			}
		}
	}
	return f.awaitReady(15 * time.Second)
}

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// start renders the settings from the template of the deploy file and starts a host with the command of that file.
func (f *fleet) start(root string, h *host) error {
	template, err := os.ReadFile(filepath.Join(root, "deploy", "host.ini"))
	if err != nil {
		return err
	}
	values := map[string]string{
		"nodeName": h.name, "zone": h.zone, "firstStart": "true", "ip": h.ip, "internalPorts.0": fmt.Sprint(peerPort),
		"listen.front": fmt.Sprint(h.ip, ":", callerPort), "listen.ready": fmt.Sprint(h.ip, ":", readyPort),
		"listen.directory": fmt.Sprint(h.ip, ":", locatePort), "listen.control": fmt.Sprint(h.ip, ":", adminPort),
		"seeds":            fmt.Sprintf("%s1:%d,%s4:%d,%s8:%d", f.subnet, adminPort, f.subnet, adminPort, f.subnet, adminPort),
		"platform.address": f.address(250, storePort), "limits.memoryMb": "284", "limits.cores": "1", "limits.cpuShare": "0.4", "limits.linkMbps": "1000.0", "bounds.retryRatio": "0.2", "bounds.retrySlack": "58",
		"bounds.retryWindowS": "10", "bounds.graceS": "8",
	}
	var unknown error
	text := placeholder.ReplaceAllStringFunc(string(template), func(match string) string {
		value, known := values[placeholder.FindStringSubmatch(match)[1]]
		if !known {
			unknown = errors.Join(unknown, fmt.Errorf("no value for %s", match))
		}
		return value
	})
	if unknown != nil {
		return unknown
	}
	settings := filepath.Join(f.directory, h.name+".ini")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.directory, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(root, "target", "usher-host"), settings)
	command.Dir = root
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.command, h.exited, h.status = command, exited, ""
	go func() {
		err := command.Wait()
		_ = log.Close()
		h.status, h.exitedAt = command.ProcessState.String(), time.Now()
		f.record.add("host %s  process ended: %s (%v)", h.name, h.status, err)
		close(exited)
	}()
	return nil
}

func (h *host) running() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// awaitReady waits until every host answers the readiness probe with 200.
func (f *fleet) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, h := range f.hosts {
		for !f.ready(h) {
			if time.Now().After(deadline) {
				return fmt.Errorf("host %s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// The hosts learn of each other and of all servers.
	time.Sleep(2 * time.Second)
	return nil
}

func (f *fleet) ready(h *host) bool {
	response, err := http.Get(fmt.Sprintf("http://%s:%d/readyz", h.ip, readyPort))
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// dump returns what a host reports of its state.
func (f *fleet) dump(h *host) string {
	response, err := http.Get(fmt.Sprintf("http://%s:%d/dump", h.ip, adminPort))
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return string(data)
}

// resolve asks a host's directory for the addresses of hosts.
func (f *fleet) resolve(h *host) (string, error) {
	response, err := http.Get(fmt.Sprintf("http://%s:%d/resolve?name=%s&region=luzon&zone=%s", h.ip, locatePort, callerHost, h.zone))
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

func (f *fleet) noteRun(attempt, target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[attempt] = append(f.runs[attempt], target)
}

func (f *fleet) noteMisdirected(attempt string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.misdirected[attempt] = true
}

func (f *fleet) noteFull(attempt string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full[attempt] = true
}

func (f *fleet) runsOf(attempt string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.runs[attempt]...)
}

func (f *fleet) crashed(t *target) {
	f.mu.Lock()
	onCrash := f.onCrash
	f.mu.Unlock()
	t.stop()
	if onCrash != nil {
		go onCrash(t)
	}
}

// close ends everything that the fleet started.
func (f *fleet) close() {
	for _, h := range f.hosts {
		if h.command != nil && h.command.Process != nil {
			_ = h.command.Process.Kill()
			<-h.exited
		}
	}
	for _, t := range f.targets {
		t.stop()
	}
	for _, l := range f.listeners {
		_ = l.Close()
	}
	_ = f.server.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept:", f.directory)
		return
	}
	_ = os.RemoveAll(f.directory)
}

// answer is what a consumer got.
type answer struct {
	attempt string
	status  int
	header  http.Header
	body    string
	err     error
	sentAt  time.Time
	took    time.Duration
}

// complete reports whether a stream ended regularly after the given number of events.
func (a answer) complete(events int) bool {
	return a.err == nil && a.status == http.StatusOK && strings.Count(a.body, "id: ") == events
}

// send sends one request as a consumer does, on a new connection, with an attempt id of its own.
func (f *fleet) send(h *host, method, path, body, prefix string, budget time.Duration) answer {
	a := answer{attempt: fmt.Sprintf("%016x", f.attempts.Add(1)), sentAt: time.Now()}
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", h.ip, callerPort, path), strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = callerHost
	r.Header.Set("Attempt-Id", a.attempt)
	r.Header.Set("Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	r.Header.Set("Api-Key", apiKey)
	if isStream(path) {
		r.Header.Set("Model", "m")
		r.Header.Set("Token-Counts", "3000,900")
		r.Header.Set("Prompt-Prefix", prefix)
	}
	f.record.add("client  sends attempt %s to %s: %s %s", a.attempt, h.name, method, path)
	client := &http.Client{Timeout: budget, Transport: &http.Transport{
		DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	response, err := client.Do(r)
	if err != nil {
		a.err, a.took = err, time.Since(a.sentAt)
		f.record.add("client  attempt %s: no answer after %d ms: %v", a.attempt, a.took.Milliseconds(), err)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	a.status, a.header, a.body, a.err, a.took = response.StatusCode, response.Header, string(data), err, time.Since(a.sentAt)
	f.record.add("client  attempt %s: status %d, Not-Executed %q, %d bytes, %d events after %d ms, error: %v", a.attempt, a.status,
		a.header.Get("Not-Executed"), len(a.body), strings.Count(a.body, "id: "), a.took.Milliseconds(), err)
	return a
}
