// Package usherquota limits each workspace to its published request rate across all gateways.
//
// No gateway sees all requests of a workspace, so each enforces a share of the rate. The share is even at first; a
// gateway with more demand gets the one that an Allocator assigns. Each workspace is coordinated by one gateway, the
// first by rendezvous hash among those in service. The gateways report their demand to it every reportInterval, and it
// divides the rate in proportion to demand. This is best effort: a gateway that gets no response falls back to the even
// share, and if the fleet is partitioned, each partition divides the whole rate among its own gateways. Demand below an
// eighth of the even share is not reported, so all gateways together may accept an eighth more than the rate, plus its
// burst once.
//
// A Limiter enforces the share of one gateway. Neither type does I/O or reads a clock. Neither is safe for concurrent
// use.
//
// # Usage
//
//	var limiter usherquota.Limiter
//	if wait, ok := limiter.Take(now, usherquota.Rate{PerSecond: 40, Burst: 80}, "kochi", gateways); !ok {
//		return refuse(wait)
//	}
//	for _, report := range limiter.DueReports(now) {
//		share := ask(usherquota.Coordinator(report.Workspace, names), report)
//		limiter.SetShare(now, report.Workspace, share)
//	}
package usherquota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

const (
	// reportInterval is the minimum time between two demand reports for one workspace.
	reportInterval = 2 * time.Second
	// shareTTL is how long an assigned share or a reported demand is valid.
	shareTTL = 6 * time.Second
	// demandHalfLife is the half-life of the exponential decay of demand.
	demandHalfLife = 2 * time.Second
	// idleTimeout is how long a workspace without requests is kept.
	idleTimeout = time.Minute
	// minReportedFraction is the fraction of the even share up to which demand is not reported.
	minReportedFraction = 0.125
	// maxReports limits the demand reports returned at once.
	maxReports = 256
)

type (
	// Rate is the published rate of a workspace. Zero means unlimited.
	Rate struct {
		PerSecond float64
		Burst     int
	}

	// DemandReport is a gateway's demand for a workspace, in requests per second, including refused requests.
	DemandReport struct {
		Workspace string
		Demand    float64
		Rate      float64
	}

	// Limiter limits the requests that one gateway accepts. The zero value is ready for use.
	Limiter struct {
		workspaces map[string]*workspaceState
		sweptAt    time.Time
	}

	// workspaceState is the state of one workspace at one gateway.
	workspaceState struct {
		bucket        *rate.Limiter
		rate          Rate
		evenShare     float64
		assignedShare float64
		assignedAt    time.Time
		reportedAt    time.Time
		demand        float64
		demandAt      time.Time
	}
)

// Take accepts one request of a workspace, or returns false and the time to wait. A refused request consumes no tokens.
// Gateways is the number of gateways that share the rate.
func (l *Limiter) Take(now time.Time, published Rate, workspace string, gateways int) (time.Duration, bool) {
	if published.PerSecond <= 0 {
		return 0, true
	}
	l.sweep(now)
	w := l.workspaceState(now, published, workspace)
	w.evenShare = published.PerSecond / float64(max(gateways, 1))
	w.recordRequest(now)
	w.updateBucket(now)
	reservation := w.bucket.ReserveN(now, 1)
	if wait := reservation.DelayFrom(now); wait > 0 {
		reservation.CancelAt(now)
		return wait, false
	}
	return 0, true
}

// DueReports returns the demands that are due to be reported to the coordinators.
func (l *Limiter) DueReports(now time.Time) []DemandReport {
	reports := []DemandReport{}
	for workspace, w := range l.workspaces {
		demand := w.currentDemand(now)
		if demand <= w.evenShare*minReportedFraction || now.Sub(w.reportedAt) < reportInterval || len(reports) == maxReports {
			continue
		}
		w.reportedAt = now
		reports = append(reports, DemandReport{Workspace: workspace, Demand: demand, Rate: w.rate.PerSecond})
	}
	return reports
}

// SetShare sets the share of the rate that the coordinator of a workspace assigned.
func (l *Limiter) SetShare(now time.Time, workspace string, share float64) {
	w, ok := l.workspaces[workspace]
	if !ok || math.IsNaN(share) || share < 0 {
		return
	}
	w.assignedShare, w.assignedAt = min(share, w.rate.PerSecond), now
	w.updateBucket(now)
}

// Len returns the number of workspaces kept.
func (l *Limiter) Len() int {
	return len(l.workspaces)
}

func (l *Limiter) workspaceState(now time.Time, published Rate, workspace string) *workspaceState {
	if l.workspaces == nil {
		l.workspaces = map[string]*workspaceState{}
	}
	w, ok := l.workspaces[workspace]
	if !ok || w.rate != published {
		w = &workspaceState{rate: published, bucket: rate.NewLimiter(rate.Limit(published.PerSecond), max(published.Burst, 1)), demandAt: now}
		l.workspaces[workspace] = w
	}
	return w
}

// sweep drops workspaces without requests for longer than idleTimeout.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < idleTimeout {
		return
	}
	l.sweptAt = now
	for workspace, w := range l.workspaces {
		if now.Sub(w.demandAt) > idleTimeout {
			delete(l.workspaces, workspace)
		}
	}
}

// recordRequest adds one request to the demand, an exponentially decaying rate.
func (w *workspaceState) recordRequest(now time.Time) {
	w.demand = w.currentDemand(now) + math.Ln2/demandHalfLife.Seconds()
	w.demandAt = now
}

func (w *workspaceState) currentDemand(now time.Time) float64 {
	return w.demand * math.Exp2(-now.Sub(w.demandAt).Seconds()/demandHalfLife.Seconds())
}

// updateBucket sets the token bucket to the assigned share if that has not expired, or else to the even share.
func (w *workspaceState) updateBucket(now time.Time) {
	share := w.evenShare
	if !w.assignedAt.IsZero() && now.Sub(w.assignedAt) < shareTTL {
		share = w.assignedShare
	}
	burst := max(int(math.Ceil(float64(w.rate.Burst)*share/w.rate.PerSecond)), 1)
	if w.bucket.Limit() != rate.Limit(share) {
		w.bucket.SetLimitAt(now, rate.Limit(share))
	}
	if w.bucket.Burst() != burst {
		w.bucket.SetBurstAt(now, burst)
	}
}

// Coordinator returns the gateway that divides the rate of a workspace, by rendezvous hashing.
func Coordinator(workspace string, gateways []string) string {
	best, bestScore := "", uint64(0)
	for _, name := range gateways {
		if score := xxhash.Sum64String(workspace + "\x00" + name); best == "" || score > bestScore || score == bestScore && name < best {
			best, bestScore = name, score
		}
	}
	return best
}
