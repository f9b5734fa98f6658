package usherquota

import "time"

type (
	// Allocator divides the rates of the workspaces that one gateway coordinates. The zero value is ready for use.
	Allocator struct {
		reports map[string]map[string]reportedDemand
	}

	// reportedDemand is the last demand reported by one gateway.
	reportedDemand struct {
		demand float64
		at     time.Time
	}
)

// Allocate records the demand of a gateway and returns its share of the rate. If the rate exceeds the total demand, the
// remainder is divided evenly; if the demand exceeds the rate, the shares are proportional to the demands.
func (a *Allocator) Allocate(now time.Time, gateway string, report DemandReport) float64 {
	if a.reports == nil {
		a.reports = map[string]map[string]reportedDemand{}
	}
	reports := a.reports[report.Workspace]
	if reports == nil {
		reports = map[string]reportedDemand{}
		a.reports[report.Workspace] = reports
	}
	reports[gateway] = reportedDemand{demand: max(report.Demand, 0), at: now}
	total := a.totalDemand(now, report.Workspace)
	if total <= report.Rate {
		return report.Demand + (report.Rate-total)/float64(len(reports))
	}
	return report.Rate * report.Demand / total
}

// totalDemand returns the sum of the demands reported within shareTTL and drops the others.
func (a *Allocator) totalDemand(now time.Time, workspace string) float64 {
	total := 0.0
	for gateway, r := range a.reports[workspace] {
		if now.Sub(r.at) > shareTTL {
			delete(a.reports[workspace], gateway)
			continue
		}
		total += r.demand
	}
	return total
}

// Sweep drops the workspaces for which there is no recent demand.
func (a *Allocator) Sweep(now time.Time) {
	for workspace := range a.reports {
		if a.totalDemand(now, workspace) == 0 {
			delete(a.reports, workspace)
		}
	}
}
