package ushergateway

import (
	"context"
	"sync"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/pkg/usherlink"
	"github.com/samphireusher/samphireusher/pkg/usherquota"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
)

const (
	kindDemand = "quota.claims"
	// reasonQuota refuses requests above a workspace's rate.
	reasonQuota usherrequest.Reason = "quota"
)

type (
	// quota guards this gateway's rate limiter, and the allocator for the workspaces that this gateway coordinates.
	quota struct {
		mu        sync.Mutex
		limiter   usherquota.Limiter
		allocator usherquota.Allocator
	}

	demandWire struct {
		_         struct{} `cbor:",toarray"`
		Workspace string
		Demand    float32
	}

	// sharesWire has one share per demandWire, in the same order.
	sharesWire struct {
		Shares []float32 `cbor:"1,keyasint"`
	}
)

// checkRate refuses a request above its workspace's rate.
func (g *Gateway) checkRate(w usherconfig.Workspace) error {
	published := usherquota.Rate{PerSecond: w.RequestsPerSecond, Burst: w.Burst}
	count := len(g.gatewaysInService())
	g.quota.mu.Lock()
	wait, ok := g.quota.limiter.Take(time.Now(), published, w.Name, count)
	g.quota.mu.Unlock()
	if ok {
		return nil
	}
	return usherrequest.Refuse(usherrequest.Evidence{}, reasonQuota).WithRetryAfter(wait)
}

// updateShares reports the demand on this gateway to the coordinators of the workspaces and applies the shares that
// they return.
func (g *Gateway) updateShares(ctx context.Context) {
	names := g.gatewaysInService()
	now := time.Now()
	g.quota.mu.Lock()
	g.quota.allocator.Sweep(now)
	byCoordinator := map[string][]usherquota.DemandReport{}
	for _, report := range g.quota.limiter.DueReports(now) {
		coordinator := usherquota.Coordinator(report.Workspace, names)
		byCoordinator[coordinator] = append(byCoordinator[coordinator], report)
	}
	for _, report := range byCoordinator[g.Name] {
		g.quota.limiter.SetShare(now, report.Workspace, g.quota.allocator.Allocate(now, g.Name, report))
	}
	g.quota.mu.Unlock()
	for coordinator, reports := range byCoordinator {
		if host, ok := g.gatewayByName(coordinator); ok && coordinator != g.Name {
			g.tasks.Go(func() { g.requestShares(ctx, host, reports) })
		}
	}
}

func (g *Gateway) requestShares(ctx context.Context, coordinator usherconfig.Host, reports []usherquota.DemandReport) {
	ctx, cancel := context.WithTimeout(ctx, progressPeriod)
	defer cancel()
	wires := []demandWire{}
	for _, report := range reports {
		wires = append(wires, demandWire{Workspace: report.Workspace, Demand: float32(report.Demand)})
	}
	var reply sharesWire
	if err := g.Link.Call(ctx, coordinator.Address.String(), kindDemand, wires, &reply); err != nil {
		g.Log.Debug("requesting rate shares failed", "gateway", coordinator.Name, "error", err)
		return
	}
	g.quota.mu.Lock()
	defer g.quota.mu.Unlock()
	for i, share := range reply.Shares[:min(len(reply.Shares), len(reports))] {
		g.quota.limiter.SetShare(time.Now(), reports[i].Workspace, float64(share))
	}
}

// serveDemand allocates shares of the workspaces' rates, as configured in this process, to the reporting gateway.
func (g *Gateway) serveDemand(_ context.Context, from usherlink.Peer, body usherlink.Payload) (any, error) {
	var wires []demandWire
	if err := body.Decode(&wires); err != nil {
		return nil, err
	}
	now := time.Now()
	reply := sharesWire{}
	g.quota.mu.Lock()
	defer g.quota.mu.Unlock()
	for _, wire := range wires {
		w, _ := g.Config.Workspace(wire.Workspace)
		report := usherquota.DemandReport{Workspace: wire.Workspace, Demand: float64(wire.Demand), Rate: w.RequestsPerSecond}
		reply.Shares = append(reply.Shares, float32(g.quota.allocator.Allocate(now, from.Name, report)))
	}
	return reply, nil
}

// gatewaysInService names the gateways that take new work.
func (g *Gateway) gatewaysInService() []string {
	names := []string{}
	for _, host := range g.Config.Hosts(usherconfig.GatewayRole) {
		if !g.Config.Leaving(host.Name) && g.Config.DataCentreInService(host.DataCentre) {
			names = append(names, host.Name)
		}
	}
	return names
}
