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
	kindCrashReports = "suspect.sightings"
	// crashProbeTimeout is how long a target is probed after a lost request to find out whether it crashed.
	crashProbeTimeout = 3 * time.Second
	suspectRetryAfter = 5 * time.Second
	// crashReportTimeout is how long the refusal to a caller may wait until the other gateways have the crash report.
	crashReportTimeout = 500 * time.Millisecond
)

// suspicion guards the tracker of requests that crash targets, and stores which changes each peer has received.
type suspicion struct {
	mu      sync.Mutex
	tracker *ushersuspect.Tracker
	cursors map[string]uint64
}

// checkSuspicion returns a refusal if the request must not run now, and isolated if it may run only on a target without
// other suspects.
func (g *Gateway) checkSuspicion(resolved usherconfig.ResolvedRequest) (isolated bool, err error) {
	fingerprint, err := fingerprintOf(resolved)
	if err != nil {
		return false, err
	}
	names := g.gatewaysInService()
	g.suspicion.mu.Lock()
	decision := g.suspicion.tracker.Decide(time.Now(), fingerprint, names)
	g.suspicion.mu.Unlock()
	refusal := usherrequest.Refuse(usherrequest.Evidence{}, usherrequest.ReasonSuspect)
	switch decision.Verdict {
	case ushersuspect.Unrestricted:
		return false, nil
	case ushersuspect.Isolated:
		return true, nil
	case ushersuspect.Redirected:
		if host, ok := g.gatewayByName(decision.Gateway); ok {
			refusal = refusal.WithOtherAddress(host.Address.String())
		}
		return false, refusal.WithRetryAfter(suspectRetryAfter)
	default:
		return false, refusal.WithRetryAfter(decision.RetryAfter)
	}
}

// start records that an attempt is about to be sent.
func (s *suspicion) start(grant acquiredGrant, resolved usherconfig.ResolvedRequest) {
	fingerprint, err := fingerprintOf(resolved)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Start(ushersuspect.Target{Name: grant.Target, Incarnation: grant.Incarnation}, grant.attempt, fingerprint)
}

// end records the end of an attempt whose target did not crash.
func (s *suspicion) end(attempt usherrequest.AttemptID, completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Finish(time.Now(), attempt, completed)
}

func (s *suspicion) targetCrashed(grant acquiredGrant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.TargetCrashed(time.Now(), ushersuspect.Target{Name: grant.Target, Incarnation: grant.Incarnation})
}

// resolveSuspicion records after an attempt whether its target crashed, which shows in the incarnation that it reports.
func (e *execution) resolveSuspicion(ctx context.Context, grant acquiredGrant, result attemptResult) {
	g := e.gateway
	if result.done || result.unsent || result.reason != usherrequest.ReasonTargetLost || !e.targetCrashed(ctx, grant) {
		g.suspicion.end(grant.attempt, result.done)
		return
	}
	g.Log.Warn("target crashed", "target", grant.Target, "incarnation", grant.Incarnation, "request", e.idText,
		"workspace", e.resolved.Workspace.Name, "template", e.resolved.Template.Name)
	g.suspicion.targetCrashed(grant)
	// The other gateways must know before the caller gets its refusal, because it may resend the request to any of
	// them.
	g.shareCrashReports(g.background).Wait()
}

// targetCrashed reports whether the target of a lost request reports a new incarnation, or does not answer although it
// is in service. A target that operators took out of service did not crash.
func (e *execution) targetCrashed(ctx context.Context, grant acquiredGrant) bool {
	g := e.gateway
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashProbeTimeout)
	defer cancel()
	for ctx.Err() == nil {
		report, err := g.Targets.Report(ctx, grant.Address)
		if err == nil {
			return report.Incarnation != grant.Incarnation
		}
		sleep(ctx, resumeInterval)
	}
	return g.Config.Eligible(time.Now(), grant.Target)
}

// shareCrashReports sends the other gateways the crash reports that they do not have yet. The returned group is done
// when all have answered or crashReportTimeout has passed.
func (g *Gateway) shareCrashReports(ctx context.Context) *sync.WaitGroup {
	sends := &sync.WaitGroup{}
	for _, host := range g.Config.Hosts(usherconfig.GatewayRole) {
		if host.Name == g.Name {
			continue
		}
		message, cursor := g.suspicion.changesFor(host.Name)
		if len(message.CrashReports) == 0 {
			continue
		}
		sends.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, crashReportTimeout)
			defer cancel()
			if err := g.Link.Call(ctx, host.Address.String(), kindCrashReports, message, nil); err != nil {
				g.Log.Debug("sending crash reports failed", "gateway", host.Name, "error", err)
				return
			}
			g.suspicion.acknowledge(host.Name, cursor)
		})
	}
	return sends
}

func (s *suspicion) changesFor(peer string) (ushersuspect.Message, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Changes(time.Now(), s.cursors[peer])
}

func (s *suspicion) acknowledge(peer string, cursor uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cursors[peer] = max(s.cursors[peer], cursor)
}

// serveCrashReports merges the crash reports of another gateway.
func (g *Gateway) serveCrashReports(_ context.Context, _ usherlink.Peer, body usherlink.Payload) (any, error) {
	message, err := ushersuspect.DecodeMessage(body)
	if err != nil {
		return nil, err
	}
	g.suspicion.mu.Lock()
	defer g.suspicion.mu.Unlock()
	return nil, errors.Join(g.suspicion.tracker.Merge(time.Now(), message))
}

func fingerprintOf(resolved usherconfig.ResolvedRequest) (ushersuspect.Fingerprint, error) {
	return ushersuspect.NewFingerprint(resolved.Workspace.Name, resolved.Template.Name, parametersOf(resolved))
}
