package usherhost

import (
	"context"
	"net/netip"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercall"
	"github.com/samphireusher/samphireusher/pkg/ushercopies"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
	"github.com/samphireusher/samphireusher/pkg/usherroute"
)

// copyTimeout bounds a copy between engines, which may wait for other copies on the same links.
const copyTimeout = 3 * time.Second

// copyEngine returns the engine properties of the service if the generation may run only once, so that it can
// survive the loss of its target only through a copy of its KV cache. Otherwise it returns nil.
func (g *generation) copyEngine() *usherroute.Engine {
	if !g.req.route.AtMostOnce() {
		return nil
	}
	return g.req.service.Engine
}

// placeBackup chooses the target to which the engine copies the KV cache of the run as it grows.
func (g *generation) placeBackup(ctx context.Context, d *ushercall.Dispatch, source string) ushercopies.ResumePoint {
	if e := g.copyEngine(); e == nil || !e.BackupCopies {
		return ushercopies.ResumePoint{}
	}
	r := g.placementRequest([]string{source})
	r.Copy, r.Backup, r.SourceDataCentre = true, true, g.source.Target.DataCentre
	holder, err := g.host.peers.placement.place(ctx, r)
	if err != nil {
		g.host.log.Debug("no spare memory for a backup copy", "attempt", g.req.Attempt, "source", source, "error", errorText(err))
		return ushercopies.ResumePoint{}
	}
	*d = d.WithBackup(holder.Target.Address)
	g.trackLoad(holder.Target.ID, usherpool.Load{Copies: 1, CopyTokens: g.req.PeakTokens()})
	return ushercopies.ResumePoint{Target: holder.Target.ID, Copy: ushercall.Copy{Address: holder.Target.Address, Handle: g.req.Attempt}}
}

// maintainCopies makes and renews the on-demand copies that the run needs.
func (g *generation) maintainCopies(ctx context.Context) {
	if e := g.copyEngine(); e == nil || !e.OnDemandCopies || !g.receiving || g.host.state.rests(g.source.Target.ID) {
		return
	}
	g.announceResume()
	action := g.copies.Next(time.Now(), g.host.state.accepts)
	if action.Kind == ushercopies.Place || action.Kind == ushercopies.Renew {
		if _, ok := g.host.state.takeTurn(g.source.Target.ID); !ok {
			// The next event is the next occasion.
			return
		}
	}
	switch action.Kind {
	case ushercopies.Place:
		r := g.placementRequest(append(g.copies.Holders(), append(g.copies.UnavailableHolders, g.source.Target.ID)...))
		r.Copy, r.SourceDataCentre = true, g.source.Target.DataCentre
		holder, err := g.host.peers.placement.place(ctx, r)
		if err != nil {
			g.copies.BeginCopy("")
			g.copies.CopyFailed(time.Now(), false)
			g.host.log.Info("no target available for a copy; retrying", "attempt", g.req.Attempt, "source", g.source.Target.ID, "error", errorText(err))
			return
		}
		g.host.log.Info("copy begins", "attempt", g.req.Attempt, "source", g.source.Target.ID, "holder", holder.Target.ID, "load", holder.Load,
			"entry_age_ms", time.Since(holder.Learned).Milliseconds(), "tokens", g.req.PeakTokens())
		g.startCopy(ctx, holder.Target.ID, holder.Target.Address)
		if holder.Placer == "" {
			// Other hosts choose holders at the same time, and no placer knows of this choice.
			g.host.peers.reportNow()
		}
	case ushercopies.Renew:
		if t, known := g.host.state.target(action.Holder); known {
			g.startCopy(ctx, action.Holder, t.Address)
		}
	}
}

// announceResume adds the pending resume of the run to the load of the copy's holder, which peers see, once the run's
// target is leaving.
func (g *generation) announceResume() {
	if g.resumeAnnounced || g.host.state.accepts(g.source.Target.ID) {
		return
	}
	if point, ok := g.copies.ResumePoint(g.host.state.accepts); ok {
		g.resumeAnnounced = true
		g.trackLoad(point.Target, usherpool.Load{Copies: 1, CopyTokens: g.req.PeakTokens(), Awaited: 1})
		if _, made := g.copies.OnDemandCopy(); !made {
			// Only this host knows that the backup copy is about to be used, so peers are told at once.
			g.host.peers.reportNow()
		}
	}
}

func (g *generation) startCopy(ctx context.Context, holder string, address netip.AddrPort) {
	g.copies.BeginCopy(holder)
	g.trackLoad(holder, usherpool.Load{Copies: 1, CopyTokens: g.req.PeakTokens(), Incoming: g.req.PeakTokens(), Awaited: 1})
	source, attempt, start, results := g.source.Target.Address, g.req.Attempt, time.Now(), g.copyResults
	go func() {
		ctx, cancel := context.WithTimeout(ctx, copyTimeout)
		defer cancel()
		result := copyResult{holder: holder}
		if err := g.host.containment.run("copy", func() { result.copy, result.notice, result.err = g.host.engines.Copy(ctx, source, attempt, address) }); err != nil {
			result.err = err
		}
		result.duration = time.Since(start)
		results <- result
	}()
}

func (g *generation) handleCopyResult(c copyResult) {
	attributes := []any{"attempt", g.req.Attempt, "source", g.source.Target.ID, "holder", c.holder, "duration_ms", c.duration.Milliseconds(), "events", g.req.events}
	g.host.noteTarget(g.source.Target, g.req.Attempt, time.Now().Add(-c.duration), c.notice)
	if c.err != nil {
		unanswered := g.host.engines.MayBeCopying(c.err)
		if unanswered {
			// The copy may take up the holder's memory.
			g.copies.CopyUnanswered(time.Now())
		} else {
			g.copies.CopyFailed(time.Now(), g.host.engines.IsDestinationUnavailable(c.err))
			g.releaseLoad(c.holder)
		}
		g.host.metrics.copiesFailed.Inc(1)
		g.host.log.Info("copy failed", append(attributes, "unanswered", unanswered, "error", errorText(c.err))...)
		return
	}
	g.copies.CopyCompleted(time.Now(), c.copy)
	g.trackLoad(c.holder, usherpool.Load{Copies: 1, CopyTokens: g.req.PeakTokens(), Awaited: 1})
	g.host.metrics.copies.Inc(1)
	g.host.log.Info("copy made", attributes...)
}

// resume continues a broken or stalled stream at another target.
func (g *generation) resume(ctx context.Context, cause error) error {
	g.closeExchange()
	start, from := time.Now(), g.source.Target.ID
	if !g.mayResume() {
		return errNotResumed.Wrap(cause, "no further target allowed")
	}
	// Until then the run counts as work at its target.
	if err := g.awaitRunEnd(ctx, cause); err != nil {
		return errNotResumed.Wrap(err, "stream not resumed after %s", errorText(cause))
	}
	g.releaseLoad(from)
	end := g.stopped.end
	for g.req.resumes < maxResumes && ctx.Err() == nil {
		if refusal := g.host.refuseSuspect(g.req); refusal != nil {
			return errNotResumed.Wrap(refusal.cause, "stream not resumed after %s", errorText(cause))
		}
		choice, point, err := g.nextTarget(ctx)
		if err != nil {
			return errNotResumed.Wrap(err, "stream not resumed after %s", errorText(cause))
		}
		g.req.resumes++
		// send replaces the tracker; if it fails, the copies of the previous run are still the ones to resume from.
		copies := g.copies
		result := g.send(ctx, choice, point.Copy)
		g.req.targets = append(g.req.targets, choice.Target.ID)
		g.host.state.recordResult(choice.Target.ID, result.result)
		g.host.log.Info("stream resumed", "attempt", g.req.Attempt, "from", from, "to", choice.Target.ID, "events", g.req.events,
			"last_event", g.lastEvent, "copy", point.Copy.Handle != "", "cause", errorText(cause), "run_end", end, "ok", result.err == nil,
			"error", errorTextOrEmpty(result.err), "duration_ms", time.Since(start).Milliseconds())
		if result.err == nil {
			g.host.metrics.streamsResumed.Inc(1)
			return nil
		}
		if result.result == usherpool.Full && point.Copy.Handle != "" {
			// The target did not have the copy, so a run without it is still allowed.
			g.req.sends--
		}
		if result.result != usherpool.Withdrawn {
			copies.DropCopy(point)
		}
		g.copies = copies
		switch {
		case !result.ran:
		case result.reply.status != 0:
			end = endWithResponse
		default:
			if err := g.awaitRunEnd(ctx, result.err); err != nil {
				return errNotResumed.Wrap(err, "stream not resumed after %s", errorText(result.err))
			}
			end = g.stopped.end
		}
	}
	return errNotResumed.Wrap(cause, "stream not resumed after %d tries", g.req.resumes)
}

// mayResume reports whether the route allows that the stream goes on at another target.
func (g *generation) mayResume() bool {
	return g.req.route.AtMostOnce() || g.req.sends < g.req.route.MaxTargets
}

// reserveResume reports whether the stream could be resumed at another target if its exchange were ended, and reserves
// the retry for it.
func (g *generation) reserveResume() bool {
	if !g.req.route.AtMostOnce() {
		return g.mayResume() && g.reserveRetry()
	}
	_, err := g.resumePoint()
	return err == nil
}

// resumePoint returns the copy from which a generation that may run only once is resumed.
func (g *generation) resumePoint() (ushercopies.ResumePoint, error) {
	point, ok := g.copies.ResumePoint(g.host.state.mayHold)
	if !ok {
		return point, errNoCopy.New("no copy of the generation is available")
	}
	return point, nil
}

// awaitResumePoint returns the copy from which a generation that may run only once is resumed, once its holder takes the request. A
// holder that does not soon is passed over.
func (g *generation) awaitResumePoint(ctx context.Context) (ushercopies.ResumePoint, error) {
	for {
		point, err := g.resumePoint()
		if err != nil {
			return point, err
		}
		g.awaitRest(ctx, point.Target)
		if g.awaitTurn(ctx, point.Target) {
			return point, nil
		}
		g.copies.DropCopy(point)
	}
}

// nextTarget returns the target where a broken stream is resumed.
func (g *generation) nextTarget(ctx context.Context) (usherpool.Choice, ushercopies.ResumePoint, error) {
	if g.req.route.AtMostOnce() {
		point, err := g.awaitResumePoint(ctx)
		if err != nil {
			return usherpool.Choice{}, point, err
		}
		target, known := g.host.state.target(point.Target)
		if !known {
			return usherpool.Choice{}, point, errNoCopy.New("copy holder %s is no longer known", point.Target)
		}
		// The retry is counted but never refused: losing the generation costs more than the retries that saving it uses up.
		g.host.state.allowRetry(g.req.service.Name)
		return usherpool.Choice{Target: target, HasTurn: true}, point, nil
	}
	if g.req.sends >= g.req.route.MaxTargets || !g.takeRetry() {
		return usherpool.Choice{}, ushercopies.ResumePoint{}, errNotResumed.New("no further target or retry allowed")
	}
	if point, ok := g.copies.ResumePoint(g.host.state.mayHold); ok {
		if target, known := g.host.state.target(point.Target); known {
			g.awaitRest(ctx, point.Target)
			if g.awaitTurn(ctx, point.Target) {
				return usherpool.Choice{Target: target, HasTurn: true}, point, nil
			}
		}
	}
	choice, err := g.host.peers.placement.place(ctx, g.placementRequest(g.req.excludedTargets()))
	return choice, ushercopies.ResumePoint{}, err
}

// releaseTimeout bounds the call that frees a copy; otherwise the copy expires at the target.
const releaseTimeout = time.Second

// releaseCopy frees a copy that nothing uses, unless the engine that made it rests or it is not this host's turn there. It then expires.
func (h *Host) releaseCopy(source string, c ushercall.Copy) {
	if h.state.rests(source) || !h.takeTurn(source) {
		return
	}
	_ = h.containment.run("release of a copy", func() { h.callRelease(c) })
}

func (h *Host) callRelease(c ushercall.Copy) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if _, err := h.engines.Release(ctx, c.Address, c.Handle); err != nil {
		h.log.Debug("failed to release copy; it will expire", "address", c.Address.String(), "error", errorText(err))
	}
}
