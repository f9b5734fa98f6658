package usherload

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
)

const (
	// APIKey is the key of every workspace, Template the streamed template, and DataCentre that of all hosts.
	APIKey     = "kochi-demo-key"
	Template   = "appraisal"
	DataCentre = "kochi"

	region         = "kerala"
	engineService  = "appraiser"
	memoryTokens   = 60_000
	maxConcurrency = 32
	portBase       = 10_000
	// workspaceRate is high enough that no request of a benchmark is refused.
	workspaceRate = 100_000
)

type (
	// Fleet is the size of a configuration.
	Fleet struct{ Schedulers, Gateways, Targets, Workspaces int }

	// View is a constant configuration.
	View struct{ usherconfig.View }
)

// Scheduler returns the name of a scheduler. Number 0 is the measured one.
func Scheduler(i int) string { return fmt.Sprintf("kochi-scheduler-%03d", i) }

// Gateway returns the name of a gateway. Number 0 is the measured one.
func Gateway(i int) string { return fmt.Sprintf("kochi-gateway-%03d", i) }

func Target(i int) string { return fmt.Sprintf("appraiser-%04d", i) }

func Workspace(i int) string { return fmt.Sprintf("workspace-%05d", i) }

// Snapshot returns the fleet's declaration. Its addresses are placeholders.
func (f Fleet) Snapshot() usherconfig.Snapshot {
	entry := usherconfig.Parameter{Name: "entry", Type: usherconfig.StringParameter, Min: 1, Max: 16 << 10, Required: true}
	depth := usherconfig.Parameter{Name: "depth", Type: usherconfig.IntegerParameter, Min: 1, Max: 9}.WithDefault("3")
	template := usherconfig.Template{
		Name: Template, Kind: usherconfig.GenerationTemplate, Service: engineService, Delivery: usherconfig.StreamDelivery, Idempotent: true,
		Priority: 5, MaxOutputTokens: 1 << 20, Timeout: time.Hour,
	}
	template = template.WithParameter(depth).WithParameter(entry).WithPrompt("Appraise this entry to depth {depth}.\n{entry}")
	s := usherconfig.Snapshot{
		Revision:    1,
		Services:    []usherconfig.Service{{Name: engineService, Kind: usherconfig.EngineService}},
		DataCentres: []usherconfig.DataCentre{{Name: DataCentre, Region: region, InService: true}},
		Templates:   []usherconfig.Template{template},
	}
	for i := range f.Gateways {
		s.Hosts = append(s.Hosts, host(Gateway(i), usherconfig.GatewayRole, netip.AddrFrom4([4]byte{10, 1, 0, 1}), i))
	}
	for i := range f.Schedulers {
		s.Hosts = append(s.Hosts, host(Scheduler(i), usherconfig.SchedulerRole, netip.AddrFrom4([4]byte{10, 2, 0, 1}), i))
	}
	for i := range f.Targets {
		s.Targets = append(s.Targets, usherconfig.Target{
			Name: Target(i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, 0, 1}), uint16(portBase+i)), DataCentre: DataCentre,
			Service: engineService, MaxColdConcurrency: maxConcurrency, MemoryTokens: memoryTokens, MaxWarmConcurrency: maxConcurrency, InService: true,
		})
	}
	for i := range f.Workspaces {
		s.Workspaces = append(s.Workspaces, usherconfig.Workspace{
			Name: Workspace(i), RequestsPerSecond: workspaceRate, Burst: workspaceRate, Weight: 1, KeyHash: usherconfig.HashKey(APIKey),
		}.WithValue(Template, "depth", "5"))
	}
	return s
}

// NewView returns the view of a snapshot. It renders and assembles the snapshot as the platform and a daemon do.
func NewView(s usherconfig.Snapshot) (View, error) {
	shards := map[usherconfig.Digest][]byte{}
	var index []byte
	for _, v := range usherconfig.Render(s) {
		if v.Key == usherconfig.IndexKey {
			index = v.Data
			continue
		}
		shards[usherconfig.DigestOf(v.Data)] = v.Data
	}
	view, err := usherconfig.Assemble(index, shards)
	return View{view}, err
}

// Revision returns the revision that is in effect.
func (v View) Revision() uint64 { return v.Version().Revision }

func (v View) Service(name string) (usherconfig.Service, bool) { return v.Snapshot().Service(name) }

func (v View) Target(name string) (usherconfig.Target, bool) { return v.Snapshot().Target(name) }

// Eligible reports whether the target and its data centre are in service.
func (v View) Eligible(_ time.Time, target string) bool {
	s := v.Snapshot()
	t, ok := s.Target(target)
	d, known := s.DataCentre(t.DataCentre)
	return ok && known && t.InService && d.InService
}

func (v View) Hosts(role usherconfig.Role) []usherconfig.Host {
	hosts := []usherconfig.Host{}
	for _, h := range v.Snapshot().Hosts {
		if h.Role == role {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// Leaving always returns false: no host leaves.
func (v View) Leaving(string) bool { return false }

func (v View) DataCentreInService(name string) bool {
	d, ok := v.Snapshot().DataCentre(name)
	return ok && d.InService
}

// WaitForRevision returns at once, as the revision never changes.
func (v View) WaitForRevision(context.Context, uint64, string) error { return nil }

func host(name string, role usherconfig.Role, address netip.Addr, i int) usherconfig.Host {
	return usherconfig.Host{Name: name, Address: netip.AddrPortFrom(address, uint16(portBase+i)), DataCentre: DataCentre, Role: role, InService: true}
}
