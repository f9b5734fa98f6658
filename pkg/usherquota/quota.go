// Package usherquota keeps each workspace within its published rate over all gateways together.
//
// No gateway sees all of a workspace's requests. Each has a share of the rate: an even one at first, and once the
// workspace asks for more than that, the one that an Account gives it. The account of a workspace is kept by one
// gateway, the first by rendezvous hash among those in service; gateways tell it their demand each second and it
// divides the rate by demand. All of that is soft: a gateway that gets no answer falls back to the even share, and when
// the fleet is split each part divides the rate anew. Demand below an eighth of the even share is not told, so all gateways
// together may accept an eighth more than the rate, and its burst once.
//
// A Limiter is a gateway's own side. Neither type does I/O or reads a clock; one goroutine must own each value, or a lock.
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
	// claimPeriod is the time between two claims for one workspace.
	claimPeriod = 2 * time.Second
	// grantLifetime is how long a share counts without a new one.
	grantLifetime = 6 * time.Second
	// demandHalfLife is how fast demand is forgotten.
	demandHalfLife = 2 * time.Second
	// forgetAfter is how long a workspace without requests is remembered.
	forgetAfter = time.Minute
	// untold is the part of the even share below which demand is not told.
	untold = 0.125
	// maxClaims bounds the claims of one round.
	maxClaims = 256
)

type (
	// Rate is what is published for a workspace. A rate of zero bounds nothing.
	Rate struct {
		PerSecond float64
		Burst     int
	}

	// DemandReport is a gateway's demand for a workspace, in requests a second, refused ones included.
	DemandReport struct {
		Workspace string
		Demand    float64
		Rate      float64
	}

	// Limiter bounds what one gateway accepts. The zero value is ready for use.
	Limiter struct {
		workspaces map[string]*account
		sweptAt    time.Time
	}

	// account is what a gateway knows of one workspace.
	account struct {
		bucket    *rate.Limiter
		rate      Rate
		even      float64
		grant     float64
		grantedAt time.Time
		claimedAt time.Time
		demand    float64
		demandAt  time.Time
	}
)

// Take accepts one request of a workspace, or tells how long to wait. A refused request uses up nothing. Gateways is how
// many share the rate.
func (l *Limiter) Take(now time.Time, published Rate, workspace string, gateways int) (time.Duration, bool) {
	if published.PerSecond <= 0 {
		return 0, true
	}
	l.sweep(now)
	a := l.account(now, published, workspace)
	a.even = published.PerSecond / float64(max(gateways, 1))
	a.count(now)
	a.adjust(now)
	reservation := a.bucket.ReserveN(now, 1)
	if wait := reservation.DelayFrom(now); wait > 0 {
		reservation.CancelAt(now)
		return wait, false
	}
	return 0, true
}

// DueReports returns the demands that are to be told to the keepers now.
func (l *Limiter) DueReports(now time.Time) []DemandReport {
	claims := []DemandReport{}
	for workspace, a := range l.workspaces {
		demand := a.demandNow(now)
		if demand <= a.even*untold || now.Sub(a.claimedAt) < claimPeriod || len(claims) == maxClaims {
			continue
		}
		a.claimedAt = now
		claims = append(claims, DemandReport{Workspace: workspace, Demand: demand, Rate: a.rate.PerSecond})
	}
	return claims
}

// SetShare takes in the share that the keeper of a workspace's account gave.
func (l *Limiter) SetShare(now time.Time, workspace string, share float64) {
	a, ok := l.workspaces[workspace]
	if !ok || math.IsNaN(share) || share < 0 {
		return
	}
	a.grant, a.grantedAt = min(share, a.rate.PerSecond), now
	a.adjust(now)
}

// Len returns how many workspaces are remembered.
func (l *Limiter) Len() int {
	return len(l.workspaces)
}

func (l *Limiter) account(now time.Time, published Rate, workspace string) *account {
	if l.workspaces == nil {
		l.workspaces = map[string]*account{}
	}
	a, ok := l.workspaces[workspace]
	if !ok || a.rate != published {
		a = &account{rate: published, bucket: rate.NewLimiter(rate.Limit(published.PerSecond), max(published.Burst, 1)), demandAt: now}
		l.workspaces[workspace] = a
	}
	return a
}

// sweep forgets workspaces that have been silent for long.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < forgetAfter {
		return
	}
	l.sweptAt = now
	for workspace, a := range l.workspaces {
		if now.Sub(a.demandAt) > forgetAfter {
			delete(l.workspaces, workspace)
		}
	}
}

// count adds one request to the demand, a rate that halves with time.
func (a *account) count(now time.Time) {
	a.demand = a.demandNow(now) + math.Ln2/demandHalfLife.Seconds()
	a.demandAt = now
}

func (a *account) demandNow(now time.Time) float64 {
	return a.demand * math.Exp2(-now.Sub(a.demandAt).Seconds()/demandHalfLife.Seconds())
}

// adjust sets the bucket to the share in force: the keeper's while it is fresh, else the even one.
func (a *account) adjust(now time.Time) {
	share := a.even
	if !a.grantedAt.IsZero() && now.Sub(a.grantedAt) < grantLifetime {
		share = a.grant
	}
	burst := max(int(math.Ceil(float64(a.rate.Burst)*share/a.rate.PerSecond)), 1)
	if a.bucket.Limit() != rate.Limit(share) {
		a.bucket.SetLimitAt(now, rate.Limit(share))
	}
	if a.bucket.Burst() != burst {
		a.bucket.SetBurstAt(now, burst)
	}
}

// Coordinator returns which of the gateways keeps the account of a workspace.
func Coordinator(workspace string, gateways []string) string {
	best, bestScore := "", uint64(0)
	for _, name := range gateways {
		if score := xxhash.Sum64String(workspace + "\x00" + name); best == "" || score > bestScore || score == bestScore && name < best {
			best, bestScore = name, score
		}
	}
	return best
}
