package usherquota

import "time"

type (
	// Allocator divides the rates of the workspaces that one gateway coordinates. The zero value is ready for use.
	Allocator struct {
		claims map[string]map[string]claimed
	}

	// claimed is the demand that one gateway told last.
	claimed struct {
		demand float64
		at     time.Time
	}
)

// Allocate takes in the demand of a gateway and returns its share of the rate. What is left of the rate after all demands is
// divided evenly; if the demands exceed the rate they are cut in proportion.
func (a *Allocator) Allocate(now time.Time, gateway string, claim DemandReport) float64 {
	if a.claims == nil {
		a.claims = map[string]map[string]claimed{}
	}
	claims := a.claims[claim.Workspace]
	if claims == nil {
		claims = map[string]claimed{}
		a.claims[claim.Workspace] = claims
	}
	claims[gateway] = claimed{demand: max(claim.Demand, 0), at: now}
	total := a.total(now, claim.Workspace)
	if total <= claim.Rate {
		return claim.Demand + (claim.Rate-total)/float64(len(claims))
	}
	return claim.Rate * claim.Demand / total
}

// total sums the fresh demands and forgets the others.
func (a *Allocator) total(now time.Time, workspace string) float64 {
	total := 0.0
	for gateway, c := range a.claims[workspace] {
		if now.Sub(c.at) > grantLifetime {
			delete(a.claims[workspace], gateway)
			continue
		}
		total += c.demand
	}
	return total
}

// Sweep forgets the workspaces that nobody claims any more.
func (a *Allocator) Sweep(now time.Time) {
	for workspace := range a.claims {
		if a.total(now, workspace) == 0 {
			delete(a.claims, workspace)
		}
	}
}
