package usherhost

import (
	"context"
	"slices"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
)

const (
	// controlTimeout bounds a call that ends a run or asks for a report. An answer that comes late counts as well.
	controlTimeout = 10 * time.Second
	// orderPatience is the time until an order without an answer is repeated. It doubles with each order that is still without one, of
	// which there are maxPendingOrders at most.
	orderPatience    = time.Second
	maxPendingOrders = 3
	// silenceFactor times the stall timeout of a stream is how long its target must leave calls without an answer, and send nothing on any
	// connection, to count as one that works on nothing. It is asked for its runs after half of that time.
	silenceFactor = 0.7
)

type (
	// runStopper ends one run at its target, and tells by what its end is shown. Orders are repeated: one may be lost, turned away or
	// answered late. One goroutine uses it at a time; calls without an answer go on between its uses.
	runStopper struct {
		host    *Host
		source  ushercatalog.Target
		attempt string
		// answers has room for the answers to all calls in progress.
		answers chan controlAnswer
		// orders counts all orders, pendingOrders those without an answer yet. reportPending is set while the target is asked for its runs.
		orders        int
		pendingOrders int
		orderedAt     time.Time
		reportPending bool
		// silentSince is when the first call was made that has no answer and after which none came to another one.
		silentSince time.Time
		// close ends the calls in progress, with inUse.
		inUse context.Context
		close context.CancelFunc
	}

	// controlAnswer is the outcome of an order, or of a question for a report.
	controlAnswer struct {
		stopResult
		report bool
		// silent is set if nothing came back.
		silent bool
	}
)

func newRunStopper(h *Host, source ushercatalog.Target, attempt string) *runStopper {
	inUse, end := context.WithCancel(context.Background())
	return &runStopper{host: h, source: source, attempt: attempt, answers: make(chan controlAnswer, maxPendingOrders+1), inUse: inUse, close: end}
}

// orderDue reports whether the run is to be ordered to end, for the first time or again.
func (s *runStopper) orderDue() bool {
	return s.pendingOrders == 0 || s.pendingOrders < maxPendingOrders && time.Since(s.orderedAt) >= orderPatience<<(s.pendingOrders-1)
}

// order orders the target to end the run and to copy its KV cache to holder, unless it rests. The first order is given whatever limit the
// target has named, as callers lose more if the run goes on than the target does by one request.
func (s *runStopper) order(ctx context.Context, holder ushercatalog.Target) {
	if s.host.state.rests(s.source.ID) {
		return
	}
	if s.orders == 0 {
		s.host.state.spendTurn(s.source.ID)
	} else if !s.host.takeTurn(s.source.ID) {
		return
	}
	s.orders++
	s.pendingOrders++
	s.orderedAt = time.Now()
	first := s.orders == 1
	s.call(ctx, controlAnswer{}, "order to end a run", func(ctx context.Context) controlAnswer {
		answer := s.host.callStop(ctx, s.source, s.attempt, holder)
		answer.firstOrder = first
		return answer
	})
}

// askForRuns asks the target which runs it has, unless it rests, is being asked, or wants no call now by the limit that it has named. Without closed, the answer shows only that the target
// answers: a report of a moment before the run's connection was closed may leave out a run that is newer, or preempted.
func (s *runStopper) askForRuns(ctx context.Context, closed bool) {
	if s.reportPending || s.host.state.rests(s.source.ID) || !s.host.state.takeTurnForPoll(s.source.ID) {
		return
	}
	s.reportPending = true
	s.call(ctx, controlAnswer{report: true}, "question for runs", func(ctx context.Context) controlAnswer {
		answer := s.host.callRuns(ctx, s.source, s.attempt)
		if !closed && answer.err == nil {
			answer.end, answer.err = endNone, errStillRunning.New("target %s answers", s.source.ID)
		}
		return answer
	})
}

// call makes a call beside the caller. failed is the answer if it panics.
func (s *runStopper) call(ctx context.Context, failed controlAnswer, task string, call func(ctx context.Context) controlAnswer) {
	if s.silentSince.IsZero() {
		s.silentSince = time.Now()
	}
	answers, source := s.answers, s.source.ID
	go func() {
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		stop := context.AfterFunc(s.inUse, cancel)
		defer stop()
		answer := failed
		if err := s.host.containment.run(task, func() { answer = call(ctx) }); err != nil {
			answer.err = errStillRunning.Wrap(err, "no answer of target %s", source)
		}
		answers <- answer
	}()
}

// await waits for an answer for orderPatience at most. After maxSilence the target counts as silent, unless that is zero: a target that has
// closed the run's connection has shown that it works.
func (s *runStopper) await(ctx context.Context, maxSilence time.Duration) stopResult {
	still := stopResult{err: errStillRunning.New("no answer of target %s yet", s.source.ID), unanswered: s.pendingOrders > 0}
	for until := time.Now().Add(orderPatience); ; {
		next := until
		if maxSilence > 0 {
			next = s.silentSince.Add(maxSilence)
			if !s.reportPending {
				next = s.silentSince.Add(maxSilence / 2)
			}
		}
		began, wait := time.Now(), max(time.Until(next), 0)
		timer := time.NewTimer(wait)
		select {
		case answer := <-s.answers:
			timer.Stop()
			return s.receive(answer)
		case <-ctx.Done():
			timer.Stop()
			return still
		case <-timer.C:
		}
		switch {
		case maxSilence == 0:
			return still
		case time.Since(began) > wait+lateTolerance:
			s.silentSince = time.Now()
			return still
		case !s.reportPending:
			if s.askForRuns(ctx, false); !s.reportPending {
				return still
			}
		case s.host.contacts.heardSince(s.source.Address, s.silentSince):
			s.silentSince = time.Now()
			return still
		default:
			return stopResult{end: endSilent, unanswered: s.pendingOrders > 0}
		}
	}
}

func (s *runStopper) receive(answer controlAnswer) stopResult {
	if answer.report {
		s.reportPending = false
	} else {
		s.pendingOrders--
	}
	if !answer.silent {
		s.silentSince = time.Time{}
		if s.pendingOrders > 0 || s.reportPending {
			s.silentSince = time.Now()
		}
	}
	answer.unanswered = answer.unanswered || s.pendingOrders > 0
	return answer.stopResult
}

// end makes one try to end the run, with an order to copy its KV cache to holder if that is known. Without an error the run has ended.
// maxSilence is the time after which an open connection that carries nothing counts; zero if the target has closed it.
func (s *runStopper) end(ctx context.Context, holder *ushercatalog.Target, maxSilence time.Duration) stopResult {
	if end, err := s.host.goneBy(ctx, s.source, s.attempt); end != endNone || err != nil {
		return stopResult{end: end, err: err}
	}
	if holder != nil && s.orderDue() {
		s.order(ctx, *holder)
	}
	if s.pendingOrders == 0 && !s.reportPending {
		return stopResult{err: errStillRunning.New("target %s may still work on the request", s.source.ID)}
	}
	result := s.await(ctx, maxSilence)
	if result.end == endSilent {
		s.host.logUnreachable(s.source, s.attempt, endSilent)
	}
	return result
}

// callStop makes the call that orders an engine to end a run.
func (h *Host) callStop(ctx context.Context, source ushercatalog.Target, attempt string, holder ushercatalog.Target) controlAnswer {
	sent := time.Now()
	run, notice, err := h.engines.Stop(ctx, source.Address, attempt, holder.Address)
	h.noteTarget(source, attempt, sent, notice)
	answer := controlAnswer{stopResult: stopResult{holder: holder.ID, run: run}}
	if err == nil {
		answer.end = endOfStopped(run)
		h.metrics.stops.Inc(1)
	} else {
		answer.err = errStillRunning.Wrap(err, "target %s may still work on the request", source.ID)
		answer.silent = h.engines.IsUnreachable(err)
		answer.unanswered = answer.silent
		h.metrics.stopsRefused.Inc(1)
	}
	h.log.Info("run ordered to end", "attempt", attempt, "source", source.ID, "holder", holder.ID, "copy", run.Copied, "kept", run.Kept.Handle != "",
		"end", answer.end, "duration_ms", time.Since(sent).Milliseconds(), "error", errorTextOrEmpty(err))
	return answer
}

// callRuns asks an engine for its runs.
func (h *Host) callRuns(ctx context.Context, source ushercatalog.Target, attempt string) controlAnswer {
	sent := time.Now()
	runs, notice, err := h.engines.Runs(ctx, source.Address)
	h.noteTarget(source, "", sent, notice)
	answer := controlAnswer{report: true, stopResult: stopResult{end: endNotReported}}
	switch {
	case err != nil:
		answer.end, answer.silent = endNone, h.engines.IsUnreachable(err)
		answer.err = errStillRunning.Wrap(err, "target %s does not report its runs", source.ID)
	case slices.Contains(runs, attempt):
		answer.end, answer.err = endNone, errStillRunning.New("target %s reports that it works on the request", source.ID)
	}
	h.log.Info("target asked for its runs", "attempt", attempt, "source", source.ID, "ended", answer.end != endNone, "error", errorTextOrEmpty(err))
	return answer
}
