package usherhost

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"slices"
	"strings"
	"syscall"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
	"github.com/samphireusher/samphireusher/pkg/ushersuspect"
)

// errSuspect is the type of errors for requests that share with others what targets crashed under.
var errSuspect = errNamespace.NewType("suspect")

// recordBroken logs why what a target has sent is not its response to a request, or records a crash of the target if that has ended the
// exchange.
func (h *Host) recordBroken(ctx context.Context, req *requestState, choice usherpool.Choice, cause error) {
	if errorx.IsOfType(cause, errUnexpectedResponse) {
		h.log.Info("response refused", "attempt", req.Attempt, "target", choice.Target.ID, "incarnation", choice.Target.Incarnation, "error", errorText(cause))
		return
	}
	h.detectCrash(ctx, req, choice, cause)
}

// detectCrash records a crash of the target of a request if the exchange ended because of one, before the request was
// answered. A connection that ends early says nothing about the target, so a new one is tried.
func (h *Host) detectCrash(ctx context.Context, req *requestState, choice usherpool.Choice, cause error) {
	if !endedByTarget(cause) || ctx.Err() != nil {
		return
	}
	target := choice.Target
	accepting := h.state.accepts(target.ID)
	err := h.probeTarget(ctx, target)
	crashed := (isRefused(err) || isPathError(err)) && accepting && ctx.Err() == nil
	h.metrics.earlyEnds.Inc(1)
	if crashed {
		h.metrics.crashes.Inc(1)
		h.state.recordCrash(target, req)
		h.peers.reportNow()
	}
	h.log.Info("target ended the connection before it answered", "attempt", req.Attempt, "target", target.ID, "incarnation", target.Incarnation,
		"crashed", crashed, "accepting", accepting, "workspace", req.workspace.Name, "parts", req.SharedParts, "error", errorText(cause), "connect_error", errorTextOrEmpty(err))
	logBlamed(h.state, h.log, h.settings.Process.Name)
}

// refuseSuspect returns a refusal if crashes are attributed to what the request has in common with others, and it must
// not be sent to a target now. It must be called before each send.
func (h *Host) refuseSuspect(req *requestState) *refusal {
	decision := h.state.admitToTarget(req)
	switch decision.Verdict {
	case ushersuspect.Refused:
		cause := errSuspect.New("%d targets crashed under requests that share %s with this one", decision.Crashes, req.describeTraits(decision.Cause))
		return refuse(reasonSuspect, decision.RetryAfter, cause)
	case ushersuspect.Probe:
		req.probes = true
		h.metrics.probes.Inc(1)
		h.peers.reportNow()
		h.log.Info("trying a request that is blamed for crashes again", "attempt", req.Attempt, "crashes", decision.Crashes, "shared", req.describeTraits(decision.Cause))
	}
	return nil
}

// describeTraits returns what the request shares with others, as it is logged.
func (req *requestState) describeTraits(traits []ushersuspect.Fingerprint) string {
	var parts []string
	for i, part := range req.fingerprints.Parts {
		if slices.Contains(traits, part) {
			parts = append(parts, req.SharedParts[i])
		}
	}
	switch {
	case len(parts) > 0:
		return "parts " + strings.Join(parts, ", ")
	case slices.Contains(traits, req.fingerprints.Content):
		return "the content"
	default:
		return "all parts " + strings.Join(req.SharedParts, ", ")
	}
}

// logBlamed logs what crashes are attributed to if that has changed.
func logBlamed(s *sharedState, log *slog.Logger, source string) {
	if blamed, changed := s.newlyBlamed(); changed {
		log.Info("requests blamed for crashes changed", "source", source, "fingerprints", blamed)
	}
}

// brokenOff reports whether a response that has ended after the given number of bytes or events is incomplete although its
// framing does not show that: a target that stops after the header, or crashes, ends its connection as well.
func (h *Host) brokenOff(ctx context.Context, x *exchange, target ushercatalog.Target, received int64) bool {
	if !isUnframed(x.response) {
		return false
	}
	return received == 0 && x.promisesBody() || h.probeTarget(ctx, target) != nil
}

// probeTarget returns an error if a target accepts no connection.
func (h *Host) probeTarget(ctx context.Context, target ushercatalog.Target) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return h.openOnce(ctx, target)
}

// endedByTarget reports whether an exchange failed because the target, or its operating system, closed the connection.
func endedByTarget(err error) bool {
	for wrapped := errorx.Cast(err); wrapped != nil && wrapped.Cause() != nil; wrapped = errorx.Cast(err) {
		err = wrapped.Cause()
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}
