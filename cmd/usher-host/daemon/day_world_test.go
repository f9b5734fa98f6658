package daemon_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/platform/usherday"
	"github.com/samphireusher/samphireusher/platform/usherstandin"
)

const (
	dayPort = 22100
	// descriptorLimit is that of the users' machines, and hostMemory their memory in megabytes.
	descriptorLimit = 4100
	hostMemory      = 284
	// drainTargetTime is how much longer than the users' drain time a leaving target serves.
	drainTargetTime = 500 * time.Millisecond
	// missedBeats is the number of reports after which the entry of a silent target is removed.
	missedBeats = 3
	// powerSpread is the time within which machines come back with the power.
	powerSpread = 1500 * time.Millisecond
	// slowRoute has requests that last longer than its timeout, annexService the routes that have moved.
	slowRoute    = "slow"
	slowTimeout  = 800 * time.Millisecond
	annexService = "annex"
)

type (
	// play is one play of a day with real processes: hosts as processes, and the store, the targets and the callers in this one.
	play struct {
		t         *testing.T
		site      usherday.Site
		day       usherday.Day
		record    *usherday.Record
		start     time.Time
		directory string
		base      [2]int
		links     *dayLinks
		linksFile string
		store     *usherstandin.Store
		server    *http.Server
		copies    *usherstandin.CopyRegistry
		attempts  atomic.Int64
		// load multiplies the traffic. cutsCallers is set if broken links of a data centre are those of its callers too.
		load        float64
		cutsCallers bool
		// refuses is set if the addresses of machines without power refuse connections.
		refuses bool
		// background ends with the play.
		background sync.WaitGroup
		cancel     context.CancelFunc

		mu       sync.Mutex
		random   *rand.Rand
		broken   [][2]string
		hosts    []*dayHost
		targets  []*dayTarget
		services map[string]string
		version  usherday.Version
		document map[string]any
		// removed is the route that was dropped last, key the one that was added last.
		removed, key string
		changes      int
		statuses     map[string]int
		peak         struct{ memory, descriptors int }
	}

	dayHost struct {
		name, dataCentre, ip string
		process              atomic.Pointer[hostProcess]
		boot                 atomic.Int64
		running              atomic.Bool
		// standing is set while a step lets the process stand still.
		standing atomic.Bool
		// mu guards the end of a process and the start of the next one.
		mu       sync.Mutex
		offSince time.Duration
	}

	// dayTarget is a place of a target. Each start has a new id.
	dayTarget struct {
		service  usherday.Service
		zone, ip string

		mu     sync.Mutex
		up     bool
		state  string
		born   int64
		seq    int
		starts int
		server *http.Server
		latest *usherstandin.Target
		all    map[string]*usherstandin.Target
	}
)

// now returns the time of the day.
func (p *play) now() time.Duration { return time.Since(p.start) }

// subnet returns the beginning of the addresses of a data centre, callers and the store among them.
func (p *play) subnet(n int) string { return fmt.Sprintf("127.%d.%d.", p.base[0], p.base[1]+n) }

func (p *play) zone(name string) string { return p.subnet(slices.Index(p.site.DataCentres, name)) }

func (p *play) storeAddress() netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("%s1:%d", p.subnet(15), dayPort))
}

func (p *play) network(ip string) dayNetwork { return dayNetwork{ip: ip, links: p.links} }

func (p *play) intn(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.IntN(n)
}

// breakLinks adds broken links, mendLinks takes some away.
func (p *play) breakLinks(links ...[2]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken = append(p.broken, links...)
	p.writeLinks()
}

func (p *play) mendLinks(links ...[2]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken = slices.DeleteFunc(p.broken, func(l [2]string) bool { return slices.Contains(links, l) })
	p.writeLinks()
}

func (p *play) writeLinks() {
	p.links.set(slices.Clone(p.broken))
	var text strings.Builder
	for _, l := range p.broken {
		fmt.Fprintln(&text, l[0], l[1])
	}
	if err := os.WriteFile(p.linksFile+".new", []byte(text.String()), 0o600); err != nil {
		p.t.Error(err)
	}
	if err := os.Rename(p.linksFile+".new", p.linksFile); err != nil {
		p.t.Error(err)
	}
}

func (p *play) serve(ip string, handler http.Handler) (*http.Server, error) {
	listener, err := p.network(ip).Listen(netip.MustParseAddrPort(fmt.Sprintf("%s:%d", ip, dayPort)))
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.t.Error(err)
		}
	}()
	return server, nil
}

// declare publishes the declarations with changed routes or keys as a new version.
func (p *play) declare(change func(next *usherday.Version)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := usherday.Version{Number: p.version.Number + 1 + p.random.IntN(3), Routes: maps.Clone(p.version.Routes), Keys: maps.Clone(p.version.Keys)}
	change(&next)
	routes := []any{}
	for prefix, declared := range next.Routes {
		routes = append(routes, p.routeDocument(prefix, declared))
	}
	p.store.PutJSON("op/config", map[string]any{
		"version": next.Number, "routes": routes, "services": p.document["services"], "tenants": p.tenants(next), "limits": p.document["limits"],
	})
	if next.Acknowledged = p.now(); p.version.Number == 0 {
		next.Acknowledged = -time.Hour
	}
	p.version = next
	p.record.Declare(next)
}

func (p *play) routeDocument(prefix string, declared usherday.DeclaredRoute) map[string]any {
	document := map[string]any{
		"name": strings.Trim(prefix, "/"), "host": hostName, "prefix": prefix, "routeKind": "safe", "service": declared.Service, "timeoutMs": declared.Timeout.Milliseconds(),
		"goalMs": 100, "priority": 2, "maxAttempts": 2, "public": true,
	}
	for _, r := range p.site.Routes {
		if prefix == "/"+r.Name+"/" {
			document["routeKind"], document["goalMs"], document["priority"] = r.Kind, r.Objective.Milliseconds(), r.Priority
			document["maxAttempts"], document["public"], document["resumable"] = r.MaxTargets, false, r.Resumable
			document["gapTargetMs"], document["sticky"] = r.MaxPause.Milliseconds(), r.Kind == "streaming"
		}
	}
	return document
}

// tenants returns the tenants of a version. There are so many that the declarations don't fit a datagram.
func (p *play) tenants(v usherday.Version) []any {
	tenants := []any{map[string]any{"name": "weavers", "apiKeys": slices.Sorted(maps.Keys(v.Keys))}}
	for i := range 50 {
		tenants = append(tenants, map[string]any{"name": fmt.Sprint("workspace-", i), "apiKeys": []string{fmt.Sprintf("key-of-workspace-%020d", i)}})
	}
	return tenants
}

// declareFirst publishes the first version.
func (p *play) declareFirst() {
	services := []any{}
	for _, s := range p.site.Services {
		document := map[string]any{"name": s.Name, "healthPath": "/healthz", "maxConns": s.ConnLimit}
		if s.Engine {
			document["coldS"], document["coldPerS"] = 1.0, 37.0
			document["engine"] = map[string]any{
				"slots": s.Slots, "kvCapacity": s.MemoryTokens, "kvTokenBytes": 262144, "linkMbps": 38000.0, "moves": true, "backups": true, "stride": 4, "handleS": 5.0,
			}
		}
		services = append(services, document)
	}
	p.document = map[string]any{
		"services": services, "limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	plain := p.plainService()
	p.declare(func(next *usherday.Version) {
		routes := map[string]usherday.DeclaredRoute{}
		next.Routes, next.Keys = routes, map[string]bool{apiKey: true}
		for _, r := range p.site.Routes {
			routes["/"+r.Name+"/"] = usherday.DeclaredRoute{Service: r.Service, Timeout: r.Timeout}
		}
		for i := range p.site.IdleRoutes {
			routes[fmt.Sprintf("/idle-%d/", i)] = usherday.DeclaredRoute{Service: plain, Timeout: time.Second}
		}
		routes["/"+slowRoute+"/"] = usherday.DeclaredRoute{Service: plain, Timeout: slowTimeout}
	})
}

// plainService returns the first service that has no engines.
func (p *play) plainService() string {
	for _, s := range p.site.Services {
		if !s.Engine && s.Name != annexService {
			return s.Name
		}
	}
	p.t.Fatal("the site has no plain service")
	return ""
}

// addTargets starts the targets of the site, and those of the service to which routes move.
func (p *play) addTargets(ctx context.Context) {
	annex := usherday.Service{Name: annexService, Targets: map[string]int{}, Slots: 6, ConnLimit: 110}
	for _, dataCentre := range p.site.DataCentres {
		annex.Targets[dataCentre] = 1
	}
	p.site.Services = append(p.site.Services, annex)
	for i, s := range p.site.Services {
		for _, dataCentre := range p.site.DataCentres {
			for n := range s.Targets[dataCentre] {
				t := &dayTarget{service: s, zone: dataCentre, ip: fmt.Sprintf("%s%d", p.zone(dataCentre), 100+20*i+n), all: map[string]*usherstandin.Target{}}
				p.targets = append(p.targets, t)
				p.startTarget(t)
				p.background.Go(func() { p.reportTarget(ctx, t) })
			}
		}
	}
}

func (p *play) startTarget(t *dayTarget) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.up {
		// Steps that overlap have ended it once.
		return
	}
	t.starts++
	id := fmt.Sprintf("i-%s-%d", t.ip, t.starts)
	t.latest = usherstandin.NewTarget(usherstandin.TargetOptions{
		ID: id, Service: t.service.Name, Address: fmt.Sprintf("%s:%d", t.ip, dayPort), DataCentre: t.zone, Engine: t.service.Engine, ServiceTime: 15 * time.Millisecond,
	}, p.copies)
	t.all[id] = t.latest
	p.mu.Lock()
	p.services[id] = t.service.Name
	p.mu.Unlock()
	server, err := p.serve(t.ip, t.latest)
	if err != nil {
		p.t.Error(err)
		return
	}
	t.up, t.state, t.server, t.born = true, "ready", server, time.Now().UnixMilli()
}

// end ends a target without a word.
func (t *dayTarget) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.up {
		t.up = false
		t.latest.Kill()
		_ = t.server.Close()
	}
}

// reportTarget publishes the entry of a target as long as it is up, and removes it after some missed reports. The store has what a
// target reports a little later.
func (p *play) reportTarget(ctx context.Context, t *dayTarget) {
	published, missed := "", 0
	sleepFor(ctx, time.Duration(p.intn(1000))*time.Millisecond)
	for ctx.Err() == nil {
		t.mu.Lock()
		up, id, state := t.up, "", t.state
		var entry map[string]any
		if up {
			t.seq++
			key, value := t.latest.Entry(state)
			id, entry = strings.TrimPrefix(key, "servers/"), value.(map[string]any)
			entry["seq"], entry["born"] = t.seq, t.born
		}
		t.mu.Unlock()
		if lag := int(p.site.Store.Lag.Milliseconds()); lag > 0 {
			sleepFor(ctx, time.Duration(p.intn(lag))*time.Millisecond/4)
		}
		switch {
		case up:
			if published != "" && published != id {
				p.removeEntry(published)
			}
			p.store.PutJSON("servers/"+id, entry)
			published, missed = id, 0
			if state != "ready" {
				p.record.Leave(id, p.now())
			}
		case published != "":
			if missed++; missed == missedBeats {
				p.removeEntry(published)
				published = ""
			}
		}
		sleepFor(ctx, p.site.Store.Heartbeat)
	}
}

func (p *play) removeEntry(id string) {
	p.store.Delete("servers/" + id)
	p.record.Leave(id, p.now())
}

// addHost adds a host without starting it.
func (p *play) addHost(dataCentre string, number int) *dayHost {
	h := &dayHost{name: fmt.Sprintf("edge-%s-%d", dataCentre, number), dataCentre: dataCentre, ip: fmt.Sprintf("%s%d", p.zone(dataCentre), number)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append(p.hosts, h)
	return h
}

// startHost starts a host's process with the settings of the deploy file's template.
func (p *play) startHost(h *dayHost, first bool) {
	template, err := os.ReadFile(filepath.Join("..", "..", "..", "deploy", "host.ini"))
	if err != nil {
		p.t.Error(err)
		return
	}
	at := func(offset int) string { return fmt.Sprintf("%s:%d", h.ip, dayPort+offset) }
	var seeds []string
	for _, dataCentre := range p.site.DataCentres[:min(3, len(p.site.DataCentres))] {
		seeds = append(seeds, fmt.Sprintf("%s1:%d", p.zone(dataCentre), dayPort+3))
	}
	settings := strings.NewReplacer(
		"{{nodeName}}", h.name, "{{zone}}", h.dataCentre, "{{firstStart}}", fmt.Sprint(first), "{{listen.front}}", at(0), "{{listen.ready}}", at(1), "{{listen.directory}}", at(2),
		"{{listen.control}}", at(3), "{{ip}}:9464", at(5), "{{ip}}:{{internalPorts.0}}", at(4), "{{seeds}}", strings.Join(seeds, ","), "{{platform.address}}", p.storeAddress().String(),
		"{{limits.memoryMb}}", fmt.Sprint(hostMemory), "{{limits.cores}}", "1", "{{limits.cpuShare}}", "0.4", "{{limits.linkMbps}}", "1000", "{{bounds.retryRatio}}", "0.2",
		"{{bounds.retrySlack}}", "58", "{{bounds.retryWindowS}}", "10", "{{bounds.graceS}}", fmt.Sprint(p.site.Bounds.Grace.Seconds()),
	).Replace(string(template))
	path := filepath.Join(p.directory, h.name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		p.t.Error(err)
		return
	}
	process, err := startProcess(path, filepath.Join(p.directory, h.name+".log"), dayLinksFile+"="+p.linksFile)
	if err != nil {
		p.t.Error(err)
		return
	}
	h.process.Store(&process)
	h.boot.Add(1)
	h.running.Store(true)
}

// signal sends a signal to the host's process.
func (h *dayHost) signal(signal syscall.Signal) { h.process.Load().signal(signal) }

// kill ends the host's process and returns it. The host is off until it is started in its place.
func (p *play) kill(h *dayHost) *hostProcess {
	process := h.process.Load()
	h.running.Store(false)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.offSince = p.now()
	process.signal(syscall.SIGKILL)
	return process
}

// backOn starts a host that went off with a process, unless another step has done so. It was disturbed from that moment on.
func (p *play) backOn(h *dayHost, process *hostProcess) {
	<-process.exited
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process.Load() != process {
		return
	}
	p.record.Off(h.name, h.offSince, p.now())
	p.record.Disturb(h.name, h.offSince, p.now())
	p.startHost(h, false)
}

// running returns the running hosts of a data centre, or of all if it is empty, in random order.
func (p *play) running(dataCentre string) []*dayHost {
	p.mu.Lock()
	defer p.mu.Unlock()
	var hosts []*dayHost
	for _, h := range p.hosts {
		if h.running.Load() && (dataCentre == "" || h.dataCentre == dataCentre) {
			hosts = append(hosts, h)
		}
	}
	p.random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts
}
