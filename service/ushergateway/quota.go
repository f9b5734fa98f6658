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
	kindClaims = "quota.claims"
	// reasonQuota refuses what is above a workspace's rate.
	reasonQuota usherrequest.Reason = "quota"
)

type (
	// quota guards the limiter of this gateway and the accounts that it keeps for all.
	quota struct {
		mu       sync.Mutex
		limiter  usherquota.Limiter
		accounts usherquota.Allocator
	}

	claimWire struct {
		_         struct{} `cbor:",toarray"`
		Workspace string
		Demand    float32
	}

	// sharesWire answers claims, in their order.
	sharesWire struct {
		Shares []float32 `cbor:"1,keyasint"`
	}
)

// admit refuses a request above its workspace's rate.
func (g *Gateway) admit(w usherconfig.Workspace) error {
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

// claimShares tells the keepers of workspaces' accounts what is asked for here, and takes in the shares that they give.
func (g *Gateway) claimShares(ctx context.Context) {
	names := g.gatewaysInService()
	now := time.Now()
	g.quota.mu.Lock()
	g.quota.accounts.Sweep(now)
	byKeeper := map[string][]usherquota.DemandReport{}
	for _, claim := range g.quota.limiter.DueReports(now) {
		keeper := usherquota.Coordinator(claim.Workspace, names)
		byKeeper[keeper] = append(byKeeper[keeper], claim)
	}
	for _, claim := range byKeeper[g.Name] {
		g.quota.limiter.SetShare(now, claim.Workspace, g.quota.accounts.Allocate(now, g.Name, claim))
	}
	g.quota.mu.Unlock()
	for keeper, claims := range byKeeper {
		if host, ok := g.gatewayNamed(keeper); ok && keeper != g.Name {
			g.duties.Go(func() { g.claimAt(ctx, host, claims) })
		}
	}
}

func (g *Gateway) claimAt(ctx context.Context, keeper usherconfig.Host, claims []usherquota.DemandReport) {
	ctx, cancel := context.WithTimeout(ctx, progressPeriod)
	defer cancel()
	wires := []claimWire{}
	for _, claim := range claims {
		wires = append(wires, claimWire{Workspace: claim.Workspace, Demand: float32(claim.Demand)})
	}
	var answer sharesWire
	if err := g.Link.Call(ctx, keeper.Address.String(), kindClaims, wires, &answer); err != nil {
		g.Log.Debug("no shares of rates", "gateway", keeper.Name, "error", err)
		return
	}
	g.quota.mu.Lock()
	defer g.quota.mu.Unlock()
	for i, share := range answer.Shares[:min(len(answer.Shares), len(claims))] {
		g.quota.limiter.SetShare(time.Now(), claims[i].Workspace, float64(share))
	}
}

// serveClaims divides the published rates, as this process knows them, among the gateways that claim.
func (g *Gateway) serveClaims(_ context.Context, from usherlink.Peer, body usherlink.Payload) (any, error) {
	var wires []claimWire
	if err := body.Decode(&wires); err != nil {
		return nil, err
	}
	now := time.Now()
	answer := sharesWire{}
	g.quota.mu.Lock()
	defer g.quota.mu.Unlock()
	for _, wire := range wires {
		w, _ := g.Config.Workspace(wire.Workspace)
		claim := usherquota.DemandReport{Workspace: wire.Workspace, Demand: float64(wire.Demand), Rate: w.RequestsPerSecond}
		answer.Shares = append(answer.Shares, float32(g.quota.accounts.Allocate(now, from.Name, claim)))
	}
	return answer, nil
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
