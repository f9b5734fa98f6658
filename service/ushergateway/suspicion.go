package ushergateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/pkg/usherlink"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
	"github.com/samphireusher/samphireusher/pkg/ushersuspect"
)

const (
	kindSightings = "suspect.sightings"
	// crashProbe is how long a target that lost a request is asked whether it crashed.
	crashProbe   = 3 * time.Second
	suspectRetry = 5 * time.Second
	// spreadTimeout is how long a caller's refusal may wait for the other gateways to hear of a crash.
	spreadTimeout = 500 * time.Millisecond
)

// suspicion guards the watch over requests that crash targets, and remembers what each peer was told.
type suspicion struct {
	mu      sync.Mutex
	watch   *ushersuspect.Tracker
	cursors map[string]uint64
}

// judge says whether the request may run now, and whether only apart from other suspects.
func (g *Gateway) judge(call usherconfig.Call) (isolated bool, err error) {
	fingerprint, err := fingerprintOf(call)
	if err != nil {
		return false, err
	}
	names := g.gatewaysInService()
	g.suspicion.mu.Lock()
	judgement := g.suspicion.watch.Decide(time.Now(), fingerprint, names)
	g.suspicion.mu.Unlock()
	refusal := usherrequest.Refuse(usherrequest.Evidence{}, usherrequest.ReasonSuspect)
	switch judgement.Verdict {
	case ushersuspect.Unrestricted:
		return false, nil
	case ushersuspect.Isolated:
		return true, nil
	case ushersuspect.Redirected:
		if host, ok := g.gatewayNamed(judgement.Gateway); ok {
			refusal = refusal.WithOtherAddress(host.Address.String())
		}
		return false, refusal.WithRetryAfter(suspectRetry)
	default:
		return false, refusal.WithRetryAfter(judgement.RetryAfter)
	}
}

// begin notes that an attempt is about to be sent.
func (s *suspicion) begin(grant granted, call usherconfig.Call) {
	fingerprint, err := fingerprintOf(call)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watch.Start(ushersuspect.Target{Name: grant.Target, Incarnation: grant.Incarnation}, grant.attempt, fingerprint)
}

// end notes the end of an attempt whose target lives on.
func (s *suspicion) end(attempt usherrequest.AttemptID, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watch.Finish(time.Now(), attempt, whole)
}

func (s *suspicion) died(grant granted) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watch.TargetCrashed(time.Now(), ushersuspect.Target{Name: grant.Target, Incarnation: grant.Incarnation})
}

// settle decides after an attempt whether its target crashed, by the incarnation that the target reports.
func (e *execution) settle(ctx context.Context, grant granted, v verdict) {
	g := e.gateway
	if v.done || v.unsent || v.reason != usherrequest.ReasonTargetLost || !e.crashed(ctx, grant) {
		g.suspicion.end(grant.attempt, v.done)
		return
	}
	g.Log.Warn("target crashed", "target", grant.Target, "incarnation", grant.Incarnation, "request", e.idText,
		"workspace", e.call.Workspace.Name, "template", e.call.Template.Name)
	g.suspicion.died(grant)
	// The others must know before the caller does: it will send the request again, maybe elsewhere.
	g.spreadSuspicion(g.life).Wait()
}

// crashed reports whether the target that lost a request has another incarnation by now, or does not answer although it
// is in service. A target that operators took out has not crashed.
func (e *execution) crashed(ctx context.Context, grant granted) bool {
	g := e.gateway
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashProbe)
	defer cancel()
	for ctx.Err() == nil {
		report, err := g.Targets.Report(ctx, grant.Address)
		if err == nil {
			return report.Incarnation != grant.Incarnation
		}
		pause(ctx, resumePause)
	}
	return g.Config.Eligible(time.Now(), grant.Target)
}

// spreadSuspicion tells the other gateways what they have not been told yet. The group waits until they have answered,
// or had the time to.
func (g *Gateway) spreadSuspicion(ctx context.Context) *sync.WaitGroup {
	told := &sync.WaitGroup{}
	for _, host := range g.Config.Hosts(usherconfig.GatewayRole) {
		if host.Name == g.Name {
			continue
		}
		message, cursor := g.suspicion.news(host.Name)
		if len(message.CrashReports) == 0 {
			continue
		}
		told.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
			defer cancel()
			if err := g.Link.Call(ctx, host.Address.String(), kindSightings, message, nil); err != nil {
				g.Log.Debug("sightings not sent", "gateway", host.Name, "error", err)
				return
			}
			g.suspicion.told(host.Name, cursor)
		})
	}
	return told
}

func (s *suspicion) news(peer string) (ushersuspect.Message, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watch.Changes(time.Now(), s.cursors[peer])
}

func (s *suspicion) told(peer string, cursor uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cursors[peer] = max(s.cursors[peer], cursor)
}

// serveSightings takes in what another gateway has seen.
func (g *Gateway) serveSightings(_ context.Context, _ usherlink.Peer, body usherlink.Payload) (any, error) {
	message, err := ushersuspect.DecodeMessage(body)
	if err != nil {
		return nil, err
	}
	g.suspicion.mu.Lock()
	defer g.suspicion.mu.Unlock()
	return nil, errors.Join(g.suspicion.watch.Merge(time.Now(), message))
}

func fingerprintOf(call usherconfig.Call) (ushersuspect.Fingerprint, error) {
	return ushersuspect.NewFingerprint(call.Workspace.Name, call.Template.Name, parametersOf(call))
}
