package usherhost

import (
	"context"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/ushercall"
	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
)

const (
	// stopTimeout bounds an order to end a run, whose response comes once the KV cache has been copied. An engine that has not
	// answered within stopPatience is asked for a report: one that gives none within reportTimeout hangs and works on nothing.
	stopTimeout   = 2500 * time.Millisecond
	stopPatience  = 500 * time.Millisecond
	reportTimeout = 250 * time.Millisecond
	// stopRetryInterval is the pause before an order that the engine turned away is repeated.
	stopRetryInterval = 200 * time.Millisecond
	// maxReportAge bounds the age of what an engine reports. The users state some hundred milliseconds.
	maxReportAge = time.Second
)

// errStillRunning is the type of errors for runs that may go on at an engine which can be reached.
var errStillRunning = errNamespace.NewType("still_running")

// stopResult is the outcome of an order to end a run. Without an error the run does not go on at a target that this host
// can reach.
type stopResult struct {
	// holder is the target to which the KV cache was to be copied.
	holder string
	run    ushercall.StoppedRun
	// end says what has shown the end of the run; endNone if err is set.
	end runEnd
	err error
	// unanswered reports that the order got no answer, so that the target may have ended the run or not.
	unanswered bool
}

// beginStop orders the engine to end the run and to copy its KV cache to where the stream can go on. The result is sent
// on stopResults. The connection stays open until then, as a run that its engine has preempted continues by itself.
//
// To close the connection is not enough: on one that has gone silent, the engine does not learn of it.
func (g *generation) beginStop(ctx context.Context) {
	g.stopping = true
	results, stop, source, attempt := g.stopResults, g.prepareStop(ctx), g.source.Target, g.req.Attempt
	go func() {
		var result stopResult
		end := func() {
			if result.end, result.err = g.host.goneBy(ctx, source, attempt); result.end == endNone && result.err == nil {
				result = stop(ctx)
			}
		}
		if err := g.host.containment.run("order to end a run", end); err != nil {
			result.err = errStillRunning.Wrap(err, "order not made")
		}
		results <- result
	}()
}

// prepareStop returns the call that ends the run at a target that can be reached, which may be made by another goroutine.
func (g *generation) prepareStop(ctx context.Context) func(ctx context.Context) stopResult {
	source, attempt, atMostOnce := g.source.Target, g.req.Attempt, g.req.route.AtMostOnce()
	if g.takesOrders() {
		holder, err := g.stopDestination(ctx)
		return func(ctx context.Context) stopResult {
			if err != nil {
				return stopResult{err: err}
			}
			return g.host.orderStop(ctx, source, attempt, holder)
		}
	}
	return func(context.Context) stopResult {
		if atMostOnce {
			return stopResult{err: errStillRunning.New("target %s may still work on the request", source.ID)}
		}
		return stopResult{}
	}
}

// takesOrders reports whether the stream's engines take orders to end a run.
func (g *generation) takesOrders() bool {
	engine := g.req.service.Engine
	return engine != nil && engine.OnDemandCopies
}

// goneBy returns what shows that nothing here can end a run: its target takes no connection, or another one has its address. It returns
// an error if this host can't tell whether the target takes one.
func (h *Host) goneBy(ctx context.Context, source ushercatalog.Target, attempt string) (runEnd, error) {
	end, err := endReplaced, error(nil)
	if !h.state.isReplaced(source) {
		end, err = h.reach(ctx, source)
	}
	if end != endNone {
		h.log.Info("target cannot be reached; its run may go on elsewhere", "attempt", attempt, "source", source.ID, "end", end)
	}
	return end, err
}

// orderStop orders an engine to end a run and to copy its KV cache to holder.
func (h *Host) orderStop(ctx context.Context, source ushercatalog.Target, attempt string, holder ushercatalog.Target) stopResult {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	start := time.Now()
	if h.state.rests(source.ID) {
		return stopResult{err: errStillRunning.New("target %s rests", source.ID)}
	}
	result := h.awaitStopAnswer(ctx, source, attempt, holder)
	h.log.Info("run ordered to end", "attempt", attempt, "source", source.ID, "holder", holder.ID, "copy", result.run.Copied, "kept", result.run.Kept.Handle != "",
		"end", result.end, "duration_ms", time.Since(start).Milliseconds(), "error", errorTextOrEmpty(result.err))
	if result.err != nil {
		h.metrics.stopsRefused.Inc(1)
	} else {
		h.metrics.stops.Inc(1)
	}
	return result
}

// awaitStopAnswer waits for the response to an order to end a run. Without one the run counts as ended only if the engine gives no
// report either.
func (h *Host) awaitStopAnswer(ctx context.Context, source ushercatalog.Target, attempt string, holder ushercatalog.Target) stopResult {
	results := make(chan stopResult, 1)
	go func() {
		result := stopResult{holder: holder.ID}
		if err := h.containment.run("order to end a run", func() { result = h.callStop(ctx, source, attempt, holder) }); err != nil {
			result.err = errStillRunning.Wrap(err, "no answer of target %s", source.ID)
		}
		results <- result
	}()
	patience := time.NewTimer(stopPatience)
	defer patience.Stop()
	select {
	case result := <-results:
		return result
	case <-patience.C:
	}
	if !h.isResponsive(ctx, source) {
		h.logUnreachable(source, attempt, errStillRunning.New("no answer within %s, and no report", stopPatience))
		return stopResult{holder: holder.ID, end: endSilent, unanswered: true}
	}
	return <-results
}

func (h *Host) logUnreachable(source ushercatalog.Target, attempt string, err error) {
	h.log.Info("target cannot be reached; its run may go on elsewhere", "attempt", attempt, "source", source.ID, "end", endSilent, "error", errorText(err))
}

// callStop makes the call that orders an engine to end a run.
func (h *Host) callStop(ctx context.Context, source ushercatalog.Target, attempt string, holder ushercatalog.Target) stopResult {
	// Callers lose more if the run goes on than the target does by one request.
	h.state.spendTurn(source.ID)
	sent := time.Now()
	run, notice, err := h.engines.Stop(ctx, source.Address, attempt, holder.Address)
	h.noteTarget(source, attempt, sent, notice)
	if err == nil {
		return stopResult{holder: holder.ID, run: run, end: endOfStopped(run)}
	}
	unanswered := h.engines.IsUnreachable(err)
	if !unanswered || h.isResponsive(context.WithoutCancel(ctx), source) {
		return stopResult{err: errStillRunning.Wrap(err, "target %s may still work on the request", source.ID), unanswered: unanswered}
	}
	h.logUnreachable(source, attempt, err)
	return stopResult{holder: holder.ID, end: endSilent, unanswered: true}
}

// endOfStopped returns what an answer to an order shows: a target that had the run keeps its KV cache.
func endOfStopped(run ushercall.StoppedRun) runEnd {
	if run.Kept.Handle == "" {
		return endNotFound
	}
	return endOnOrder
}

// isResponsive reports whether an engine gives a report.
func (h *Host) isResponsive(ctx context.Context, target ushercatalog.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	h.state.spendTurn(target.ID)
	sent := time.Now()
	_, notice, err := h.engines.Leaving(ctx, target.Address)
	h.noteTarget(target, "", sent, notice)
	return err == nil || !h.engines.IsUnreachable(err)
}

// stopDestination returns the target that gets the KV cache of a run that is ended: the one that has a copy already, if
// there is one.
func (g *generation) stopDestination(ctx context.Context) (ushercatalog.Target, error) {
	if point, ok := g.copies.ResumePoint(g.host.state.mayHold); ok {
		if target, known := g.host.state.target(point.Target); known {
			return target, nil
		}
	}
	r := g.placementRequest(g.req.excludedTargets(append(g.copies.UnavailableHolders, g.source.Target.ID)...))
	r.Copy, r.SourceDataCentre = true, g.source.Target.DataCentre
	choice, err := g.host.peers.placement.place(ctx, r)
	if err == nil {
		return choice.Target, nil
	}
	// An engine ends the run whether or not the destination has room.
	if other, known := g.host.state.otherTarget(g.source.Target); known {
		return other, nil
	}
	return ushercatalog.Target{}, err
}

// recordStop records that the run has ended, with what is left of it. A stream that may run once goes on at its own target if no
// other one takes it; others are better off in a new run than at a target that has sent nothing for long.
func (g *generation) recordStop(r stopResult) {
	g.runEnded, g.runEnd = true, r.end
	if r.run.Copied {
		g.copies.RunEnded(r.holder, r.run.Kept)
	}
	if r.run.Kept.Handle != "" && g.req.route.AtMostOnce() {
		g.copies.KeptAtSource(g.source.Target.ID, r.run.Kept)
	}
}

// awaitRunEnd returns once the run does not go on at its target, or the stream cannot go on elsewhere. That the target has closed the
// connection shows no end of the run: the response may be lost and the run go on.
func (g *generation) awaitRunEnd(ctx context.Context, cause error) error {
	// Reports from a moment after the end of the connection are asked for, one after the other.
	since := time.Now()
	for !g.runEnded {
		if g.req.route.AtMostOnce() && !g.takesOrders() {
			// Only an order would make a copy.
			if _, err := g.resumePoint(); err != nil {
				return err
			}
		}
		result := g.endRun(ctx)
		if result.err == nil {
			g.recordStop(result)
			return nil
		}
		if !errorx.IsOfType(result.err, errStillRunning) {
			return result.err
		}
		if endedByTarget(cause) && time.Since(since) >= maxReportAge {
			if g.host.reportsEnd(ctx, g.source.Target, g.req.Attempt) {
				g.recordStop(stopResult{end: endNotReported})
				return nil
			}
			since = time.Now()
		}
		sleep(ctx, stopRetryInterval)
		if ctx.Err() != nil {
			return result.err
		}
	}
	return nil
}

// endLostRun orders an engine that has closed the connection before it began to answer to end the run, as only the answer may be lost. The
// request goes to another target meanwhile: it may run again, and its caller would bear the wait.
func (g *generation) endLostRun(ctx context.Context) {
	h, source, attempt := g.host, g.source.Target, g.req.Attempt
	destination, known := h.state.otherTarget(source)
	if !known || !g.takesOrders() {
		return
	}
	// The order is not the caller's to cancel.
	ctx = context.WithoutCancel(ctx)
	go func() {
		_ = h.containment.run("order to end a lost run", func() {
			if end, err := h.goneBy(ctx, source, attempt); end != endNone || err != nil {
				return
			}
			result := h.orderStop(ctx, source, attempt, destination)
			if result.run.Kept.Handle != "" && !h.state.rests(source.ID) && h.takeTurn(source.ID) {
				h.callRelease(result.run.Kept)
			}
		})
	}()
}

// endRun ends the run unless its target is gone.
func (g *generation) endRun(ctx context.Context) stopResult {
	if end, err := g.host.goneBy(ctx, g.source.Target, g.req.Attempt); end != endNone || err != nil {
		return stopResult{end: end, err: err}
	}
	return g.prepareStop(ctx)(ctx)
}

// reportsEnd reports whether an engine says that it does not work on a request. Only the report of an engine that has closed the
// request's connection maxReportAge ago counts: others may be older than the run, or leave out one that was preempted.
func (h *Host) reportsEnd(ctx context.Context, target ushercatalog.Target, attempt string) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	h.state.spendTurn(target.ID)
	sent := time.Now()
	runs, notice, err := h.engines.Runs(ctx, target.Address)
	h.noteTarget(target, "", sent, notice)
	ended := err == nil && !slices.Contains(runs, attempt)
	h.log.Info("target asked for its runs", "attempt", attempt, "source", target.ID, "ended", ended, "error", errorTextOrEmpty(err))
	return ended
}
