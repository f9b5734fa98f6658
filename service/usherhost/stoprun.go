package usherhost

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/ushercall"
	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
)

const (
	// stopRetryInterval is the pause before the next try to end a run.
	stopRetryInterval = 200 * time.Millisecond
	// maxReportAge bounds the age of what an engine reports. The users state some hundred milliseconds. Only what it says of a moment after
	// it has closed the run's connection counts: before, it may leave out a run that is newer than the report, or preempted.
	maxReportAge = time.Second
	// maxAbandonedRuns bounds the runs that are ended although nobody waits for it, for abandonTimeout each at most. Their connections are
	// closed first: within closeGrace most engines have ended the run themselves, and an order would copy its KV cache.
	maxAbandonedRuns = 16
	abandonTimeout   = 10 * time.Second
	closeGrace       = 300 * time.Millisecond
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
	// firstOrder is set if the answer to the first order has shown it, so that no other one can have ended the run before.
	firstOrder bool
	err        error
	// unanswered reports that the order got no answer, so that the target may have ended the run or not.
	unanswered bool
}

// beginStop makes a try to end the run, with an order to copy its KV cache to where the stream can go on. The result is sent
// on stopResults. The connection stays open until then, as a run that its engine has preempted continues by itself.
//
// To close the connection is not enough: on one that has gone silent, the engine does not learn of it.
func (g *generation) beginStop(ctx context.Context) {
	g.stopping = true
	results, end := g.stopResults, g.prepareStop(ctx, g.maxSilence())
	go func() {
		var result stopResult
		if err := g.host.containment.run("end of a run", func() { result = end(ctx) }); err != nil {
			result.err = errStillRunning.Wrap(err, "order not made")
		}
		results <- result
	}()
}

// maxSilence returns how long the target may leave calls without an answer while the run's connection is open.
func (g *generation) maxSilence() time.Duration {
	return time.Duration(silenceFactor * float64(g.stallTimeout()))
}

// prepareStop returns the call that makes a try to end the run, which may be made by another goroutine. maxSilence is as in runStopper.end.
func (g *generation) prepareStop(ctx context.Context, maxSilence time.Duration) func(ctx context.Context) stopResult {
	stopper := g.stopper
	if !g.takesOrders() || !stopper.orderDue() {
		return func(ctx context.Context) stopResult { return stopper.end(ctx, nil, maxSilence) }
	}
	holder, err := g.stopDestination(ctx)
	return func(ctx context.Context) stopResult {
		if err != nil {
			return stopResult{err: err}
		}
		return stopper.end(ctx, &holder, maxSilence)
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
		h.logUnreachable(source, attempt, end)
	}
	return end, err
}

func (h *Host) logUnreachable(source ushercatalog.Target, attempt string, end runEnd) {
	h.log.Info("target cannot be reached; its run may go on elsewhere", "attempt", attempt, "source", source.ID, "end", end)
}

// endOfStopped returns what an answer to an order shows: a target that had the run keeps its KV cache.
func endOfStopped(run ushercall.StoppedRun) runEnd {
	if run.Kept.Handle == "" {
		return endNotFound
	}
	return endOnOrder
}

// stopDestination returns the target that gets the KV cache of a run that is ended: the one that has a copy already, if
// there is one.
func (g *generation) stopDestination(ctx context.Context) (ushercatalog.Target, error) {
	if point, ok := g.copies.ResumePoint(g.host.state.mayHold); ok {
		if target, known := g.host.state.target(point.Target); known {
			return target, nil
		}
	}
	if !g.receiving && !g.req.route.AtMostOnce() {
		// The request begins anew, so the copy is for nobody.
		if other, known := g.host.state.otherTarget(g.source.Target); known {
			return other, nil
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
	if r.end.isFinal() {
		// An order that is carried out late could end a later run of the request at this target.
		g.stopper.close()
	}
	g.runEnded, g.stopped = true, r
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
	if g.stopping {
		// The try that is in progress uses the stopper.
		result := <-g.stopResults
		g.stopping = false
		if result.err == nil {
			g.recordStop(result)
		}
	}
	nextReport, maxSilence := time.Now().Add(maxReportAge), time.Duration(0)
	if !endedByTarget(cause) {
		maxSilence = g.maxSilence()
	}
	for !g.runEnded {
		if g.req.route.AtMostOnce() && !g.takesOrders() {
			// Only an order would make a copy.
			if _, err := g.resumePoint(); err != nil {
				return err
			}
		}
		if (endedByTarget(cause) || !g.req.route.AtMostOnce() && !g.takesOrders()) && !time.Now().Before(nextReport) {
			g.stopper.askForRuns(ctx, true)
			nextReport = time.Now().Add(maxReportAge)
		}
		result := g.prepareStop(ctx, maxSilence)(ctx)
		if result.err == nil {
			if endedByTarget(cause) && result.end == endOnOrder {
				g.host.metrics.lostAnswers.Inc(1)
			}
			g.recordStop(result)
			return nil
		}
		if !errorx.IsOfType(result.err, errStillRunning) {
			return result.err
		}
		sleep(ctx, stopRetryInterval)
		if ctx.Err() != nil {
			g.abandonRun(ctx)
			return result.err
		}
	}
	return nil
}

// abandonRun ends a run whose result nobody takes, beside the request: its target may not learn that its connection is closed. Where many
// runs are abandoned at once, only some are ended so.
func (g *generation) abandonRun(ctx context.Context) {
	h, source, attempt, stopper := g.host, g.source.Target, g.req.Attempt, g.stopper
	destination, known := h.state.otherTarget(source)
	if !known || !g.takesOrders() {
		return
	}
	select {
	case h.abandonedRuns <- struct{}{}:
	default:
		h.metrics.abandonedLeft.Inc(1)
		h.log.Debug("too many abandoned runs to end this one", "attempt", attempt, "source", source.ID)
		return
	}
	g.closeExchange()
	// The order is not the caller's to cancel.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abandonTimeout)
	go func() {
		defer func() {
			cancel()
			<-h.abandonedRuns
		}()
		_ = h.containment.run("end of an abandoned run", func() {
			sleep(ctx, closeGrace)
			result := stopper.end(ctx, &destination, 0)
			for result.err != nil && ctx.Err() == nil {
				sleep(ctx, stopRetryInterval)
				result = stopper.end(ctx, &destination, 0)
			}
			stopper.close()
			if kept := result.run.Kept; kept.Handle != "" {
				h.releaseCopy(source.ID, kept)
			}
		})
	}()
}

// leaveRun ends a run that has sent nothing, before its request is sent again. If its target has closed the connection, only the answer may
// be lost, and leaveRun returns once the run does not go on. The caller does not wait for a target that is late: it may be silent for long.
func (g *generation) leaveRun(ctx context.Context, cause error) error {
	if !endedByTarget(cause) {
		g.abandonRun(ctx)
		return nil
	}
	if err := g.awaitRunEnd(ctx, cause); err != nil {
		if !errorx.IsOfType(err, errStillRunning) {
			// There is no other target that an order could name.
			return nil
		}
		return err
	}
	g.host.log.Info("stream sent again", "attempt", g.req.Attempt, "from", g.source.Target.ID, "cause", errorText(cause), "run_end", g.stopped.end, "duration_ms", time.Since(g.req.received).Milliseconds())
	if kept := g.stopped.run.Kept; kept.Handle != "" {
		go g.host.releaseCopy(g.source.Target.ID, kept)
	}
	return nil
}
