package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/samphireusher/samphireusher/platform/usherstandin"
)

const (
	frontPort = 8740
	adminPort = 8748
	readyPort = 8749
	findPort  = 8746
	peerPort  = 7200
	storePort = 8742

	metricsPort = 9464
	enginePort  = 9000
	plainPort   = 9100

	contactTime = 3 * time.Second
	startTime   = 15 * time.Second
)

// zones are the data centres of a small deployment.
var zones = []string{"quezon", "pasig", "calamba"}

type (
	// lab is a small deployment: the store, the replicas and the hosts, each host a process of its own.
	lab struct {
		subnet    string
		directory string
		store     *usherstandin.Store
		storeIP   string
		hosts     []*hostProcess
		record    *os.File
		began     time.Time
		recordMu  sync.Mutex
		memoryMB  int
	}

	hostProcess struct {
		name, ip, zone string
		command        *exec.Cmd
		exited         chan struct{}
	}
)

// newLab starts the store on free loopback addresses.
func newLab(recordPath string, memoryMB int) (*lab, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "usher-review-")
	if err != nil {
		return nil, err
	}
	l := &lab{directory: directory, store: usherstandin.NewStore(), record: record, began: time.Now(), memoryMB: memoryMB}
	for range 50 {
		l.subnet = fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), 1+rand.IntN(250))
		l.storeIP = l.subnet + "250"
		if !l.portsFree() {
			continue
		}
		listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", l.storeIP, storePort))
		if err != nil {
			continue
		}
		go func() { _ = http.Serve(listener, l.store) }()
		return l, nil
	}
	return nil, fmt.Errorf("no free loopback network")
}

// portsFree reports whether the ports of the deployment are free in the lab's network.
func (l *lab) portsFree() bool {
	for _, port := range []int{frontPort, readyPort, findPort, adminPort, peerPort, metricsPort, enginePort, plainPort} {
		listener, err := net.Listen("tcp4", fmt.Sprintf("%s10:%d", l.subnet, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// note writes a line of the record.
func (l *lab) note(format string, args ...any) {
	l.recordMu.Lock()
	defer l.recordMu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = io.WriteString(l.record, line)
}

// since returns the time of the record.
func (l *lab) since(t time.Time) float64 { return t.Sub(l.began).Seconds() }

// say writes a line of the record and prints it.
func (l *lab) say(format string, args ...any) {
	l.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// startHosts starts n hosts and waits until all are ready.
func (l *lab) startHosts(n int) error {
	for i := range n {
		h := &hostProcess{name: fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i/len(zones)+1), ip: fmt.Sprintf("%s%d", l.subnet, 10+i), zone: zones[i%len(zones)]}
		l.hosts = append(l.hosts, h)
	}
	for _, h := range l.hosts {
		if err := l.startHost(h, true); err != nil {
			return err
		}
	}
	for _, h := range l.hosts {
		if err := l.awaitReady(h); err != nil {
			return err
		}
	}
	// The hosts hear of each other and of all replicas.
	time.Sleep(2 * time.Second)
	return nil
}

// settings renders deploy/host.ini for a host.
func (l *lab) settings(h *hostProcess, first bool) string {
	seeds := ""
	for i := range min(3, len(l.hosts)) {
		if i > 0 {
			seeds += ","
		}
		seeds += fmt.Sprintf("%s:%d", l.hosts[i].ip, adminPort)
	}
	return fmt.Sprintf(`[process]
name = %s
data_centre = %s
first_start = %v

[listen]
callers = %[4]s:%[5]d
ready = %[4]s:%[6]d
locate = %[4]s:%[7]d
admin = %[4]s:%[8]d
metrics = %[4]s:9464
peers = %[4]s:%[9]d

[cluster]
seeds = %[10]s

[store]
address = %[11]s:%[12]d

[limits]
memory_megabytes = %[13]d

[capacity]
processors = 1
processor_share = 0.4
link_mbps = 1000.0

[retries]
ratio = 0.2
allowance = 58
window = 10s

[stop]
grace = 8s
`, h.name, h.zone, first, h.ip, frontPort, readyPort, findPort, adminPort, peerPort, seeds, l.storeIP, storePort, l.memoryMB)
}

// startHost starts the process of a host with the command of the deploy file.
func (l *lab) startHost(h *hostProcess, first bool) error {
	path := filepath.Join(l.directory, h.name+".ini")
	if err := os.WriteFile(path, []byte(l.settings(h, first)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(l.directory, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("target/usher-host", path)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.command, h.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

func (l *lab) awaitReady(h *hostProcess) error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(startTime); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", h.ip, readyPort))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("host %s did not get ready", h.name)
}

func (h *hostProcess) front() string { return fmt.Sprintf("%s:%d", h.ip, frontPort) }

// close ends all hosts.
func (l *lab) close() {
	for _, h := range l.hosts {
		if h.command != nil {
			_ = h.command.Process.Kill()
			<-h.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.directory)
	} else {
		fmt.Println("logs of the hosts:", l.directory)
	}
	_ = l.record.Close()
}

// engineService and plainService are the services of the deployment, with the figures of the site's sheet.
func engineService(name string) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/healthz", "maxConns": 252, "protocol": "h1", "tls": false, "coldS": 1.0, "coldPerS": 37.0,
		"engine": map[string]any{
			"slots": 24, "kvCapacity": 34313, "kvTokenBytes": 262144, "linkMbps": 38000.0, "moves": true, "backups": true, "stride": 4, "most": 12,
			"pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}},
		},
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0}
}

// configuration is the operators' configuration, with the routes of the site's sheet.
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-draft", "host": "loans.example", "prefix": "/draft/", "routeKind": "streaming", "timeoutMs": 39000, "goalMs": 1800, "priority": 1, "service": "tagapayo", "maxAttempts": 1, "public": false, "sticky": true, "resumable": false, "gapTargetMs": 180},
			map[string]any{"name": "r-tag", "host": "loans.example", "prefix": "/tag/", "routeKind": "streaming", "timeoutMs": 6000, "goalMs": 1500, "priority": 0, "service": "tagapayo", "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "gapTargetMs": 180},
			map[string]any{"name": "r-checkout", "host": "loans.example", "prefix": "/checkout/", "routeKind": "unsafe", "timeoutMs": 1000, "goalMs": 100, "priority": 2, "service": "hiraman-desk", "maxAttempts": 1, "public": false},
			map[string]any{"name": "r-lookup", "host": "loans.example", "prefix": "/lookup/", "routeKind": "safe", "timeoutMs": 1000, "goalMs": 100, "priority": 2, "service": "hiraman-desk", "maxAttempts": 2, "public": false},
		},
		"services": []any{engineService("tagapayo"), plainService("hiraman-desk")},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "huka270", "apiKeys": []string{apiKey}, "priority": 1}},
	}
}

const apiKey = "xd9dnn2ctnfzs989anu6"

// publish writes an entry of the store.
func (l *lab) publish(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	l.store.Put(key, data)
}

// keepPublished writes an entry now and at each heartbeat.
func (l *lab) keepPublished(key string, entry func(seq int) map[string]any) {
	l.publish(key, entry(1))
	go func() {
		for seq := 2; ; seq++ {
			time.Sleep(heartbeat)
			l.publish(key, entry(seq))
		}
	}()
}
