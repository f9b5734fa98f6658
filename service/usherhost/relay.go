package usherhost

import (
	"context"
	"errors"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/ushercopies"
	"github.com/samphireusher/samphireusher/pkg/usherevent"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
)

// relay relays events until the stream ends, breaks or stalls.
func (g *generation) relay(ctx context.Context) error {
	items := make(chan streamItem, eventBuffer)
	done := make(chan struct{})
	defer close(done)
	go g.readEvents(usherevent.NewReader(g.exchange.response.Body), items, done)
	stall := time.NewTimer(g.stallTimeout())
	defer stall.Stop()
	for {
		changes := g.host.state.watchChanges()
		g.maintainCopies(ctx)
		renewal, stop := g.renewalTimer()
		select {
		case item := <-items:
			stop()
			if item.err != nil {
				item.err = g.endOfRun(ctx, item.err)
			}
			if err := g.relayEvent(item); err != nil || item.err != nil {
				return ignoreEOF(err)
			}
			stall.Reset(g.stallTimeout())
		case <-stall.C:
			stop()
			if g.stopping {
				continue
			}
			if !g.reserveResume() {
				// No other target can continue the stream, and the engine may only have preempted the generation, which then
				// continues by itself.
				stall.Reset(g.stallTimeout())
				continue
			}
			if !g.takesOrders() && !g.req.route.AtMostOnce() {
				// Only a report from after the end of its connection can show the end of the run.
				return g.stalled()
			}
			g.beginStop(ctx)
		case result := <-g.stopResults:
			stop()
			g.stopping = false
			g.mayBeStopped = g.mayBeStopped || result.unanswered
			if result.err == nil {
				g.recordStop(result)
				return g.stalled()
			}
			// The stream must not go on elsewhere while the target works on it.
			stall.Reset(stopRetryInterval)
		case c := <-g.copyResults:
			stop()
			g.handleCopyResult(c)
		case <-changes:
			stop()
		case <-renewal:
		case <-ctx.Done():
			stop()
			return ctx.Err()
		}
	}
}

func (g *generation) stalled() error {
	return errStalled.New("target %s sent nothing for %s", g.source.Target.ID, g.stallTimeout())
}

// endOfRun returns the error with which the current run has ended: io.EOF only if the stream is complete.
func (g *generation) endOfRun(ctx context.Context, err error) error {
	stopped := g.endedOnRequest(err)
	if errors.Is(err, io.EOF) && (stopped || g.continuesNothing() || g.brokenOff(ctx) || g.outlivesResponse(ctx)) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// endedOnRequest reports whether a response may have ended, with err, because the target has been ordered to end the run. A target
// that did not have the run any more has ended it itself, and the end of a response with a length or chunks is its own.
func (g *generation) endedOnRequest(err error) bool {
	if errors.Is(err, io.EOF) && !isUnframed(g.exchange.response) {
		return false
	}
	if g.stopping {
		result := <-g.stopResults
		g.stopping = false
		g.mayBeStopped = g.mayBeStopped || result.unanswered || result.run.Kept.Handle != ""
		if result.err == nil {
			g.recordStop(result)
		}
	}
	return g.mayBeStopped
}

// brokenOff reports whether a stream that has ended after an event, or without any, is incomplete.
func (g *generation) brokenOff(ctx context.Context) bool {
	return g.host.brokenOff(ctx, g.exchange, g.source.Target, int64(g.req.events))
}

// outlivesResponse reports whether the run may have gone on although its response has ended with its connection. If so, it has ended by
// now. Only the answer to the first order tells: a run that ended after another one may have been at work when the response ended.
func (g *generation) outlivesResponse(ctx context.Context) bool {
	if !isUnframed(g.exchange.response) || !g.takesOrders() {
		return false
	}
	if err := g.awaitRunEnd(ctx, io.EOF); err != nil {
		return ctx.Err() != nil
	}
	return g.stopped.end != endNotFound || !g.stopped.firstOrder
}

// continuesNothing reports whether the current run, which was to continue a stream, has not added an event to it. Its end
// then says nothing about the stream.
func (g *generation) continuesNothing() bool {
	return g.req.resumes > 0 && !g.runAdvanced
}

// ignoreEOF returns nil for the regular end of a stream.
func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// renewalTimer returns a channel that fires when an on-demand copy is to be renewed, and a function that stops it.
func (g *generation) renewalTimer() (<-chan time.Time, func()) {
	if _, made := g.copies.OnDemandCopy(); !made {
		return nil, func() {}
	}
	t := time.NewTimer(ushercopies.RenewInterval / 4)
	return t.C, func() { t.Stop() }
}

// stallTimeout returns how long the target may send nothing before the stream counts as stalled.
func (g *generation) stallTimeout() time.Duration {
	pause := g.req.route.MaxPause
	if pause == 0 {
		pause = defaultMaxPause
	}
	if !g.receiving {
		if bound := g.startTimeout(); bound > 0 {
			return bound
		}
		return time.Until(g.req.deadline) + time.Second
	}
	if g.req.route.AtMostOnce() {
		pause = max(pause, atMostOnceStallFactor*g.req.route.Objective/stallFactor)
	}
	return stallFactor * pause * time.Duration(min(1<<min(g.stalledTargets, maxResumes), maxStallBackoff))
}

// startTimeout returns how long a target may take to start a stream that may also be run elsewhere; zero means no
// limit.
func (g *generation) startTimeout() time.Duration {
	if g.req.route.AtMostOnce() || g.req.sends >= g.req.route.MaxTargets {
		return 0
	}
	bound := time.Duration(firstEventFraction * float64(g.req.route.Objective))
	return max(bound, prefillTimeFactor*g.source.PrefillTime)
}

// interruptOnLeaving interrupts the exchange of a request that may be retried if its target starts to leave before the
// response has started, as requests queued before it will not be finished there either. A response that is expected
// soon is given a little more time. The returned function ends the watch.
func (g *generation) interruptOnLeaving(ctx context.Context, x *exchange, choice usherpool.Choice) (stop func()) {
	if g.startTimeout() == 0 {
		return func() {}
	}
	start := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	var watching sync.WaitGroup
	watching.Go(func() {
		_ = g.host.containment.run("watch of a target", func() { g.awaitLeaving(ctx, x, choice, start) })
	})
	return func() {
		cancel()
		watching.Wait()
	}
}

// awaitLeaving interrupts the exchange once its target leaves.
func (g *generation) awaitLeaving(ctx context.Context, x *exchange, choice usherpool.Choice, start time.Time) {
	for changes := g.host.state.watchChanges(); g.host.state.accepts(choice.Target.ID); changes = g.host.state.watchChanges() {
		select {
		case <-ctx.Done():
			return
		case <-changes:
		}
	}
	extraTime := time.Duration(firstEventFraction * float64(g.req.route.Objective))
	if choice.PrefillTime-time.Since(start) < extraTime {
		sleep(ctx, extraTime)
	}
	if ctx.Err() == nil {
		g.host.log.Info("target is leaving before the stream has started; retrying elsewhere if a retry is allowed", "attempt", g.req.Attempt, "target", choice.Target.ID,
			"expected_ms", choice.PrefillTime.Milliseconds(), "waited_ms", time.Since(start).Milliseconds())
		x.interrupt()
	}
}

// resultOf maps an error in reading a response to the result that is recorded for the target.
func resultOf(err error) usherpool.Result {
	if errorx.IsOfType(err, errStalled) {
		return usherpool.TimedOut
	}
	return usherpool.Broken
}

func (g *generation) readEvents(r *usherevent.Reader, items chan<- streamItem, done <-chan struct{}) {
	for {
		var event usherevent.Event
		var err error
		if panicked := g.host.containment.run("events of a stream", func() { event, err = r.Next() }); panicked != nil {
			err = panicked
		}
		at := time.Now()
		select {
		case items <- streamItem{event: event, at: at, err: err}:
		case <-done:
			return
		}
		if err != nil {
			return
		}
	}
}

// relayEvent relays one event to the caller.
func (g *generation) relayEvent(item streamItem) error {
	if item.err != nil {
		if errors.Is(item.err, io.EOF) && !g.headerSent {
			return g.sendHeader()
		}
		return item.err
	}
	if g.runEvents++; g.runEvents == eventsOfAnswer {
		g.host.state.recordAnswer(g.req)
	}
	// The caller gets the event first.
	defer g.observeEvent(item.at)
	if !g.receiving {
		g.receiving = true
		g.trackLoad(g.source.Target.ID, usherpool.Load{Streams: 1, Tokens: g.req.PeakTokens()})
	}
	if item.event.ID == "" && g.lastEvent != "" && !item.event.IsComment() {
		// The events of a stream have ids, so these bytes are none of it: an error, or the head of another response.
		return errUnexpectedResponse.New("target %s sent an event without an id after event %s", g.source.Target.ID, g.lastEvent)
	}
	if !isAfter(item.event.ID, g.lastEvent) {
		return nil
	}
	g.runAdvanced = true
	if err := g.sendHeader(); err != nil {
		return err
	}
	if err := g.ctl.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil {
		return errCallerDisconnected.Wrap(err, "set write deadline")
	}
	if _, err := g.w.Write(item.event.Raw); err != nil {
		return errCallerDisconnected.Wrap(err, "write event")
	}
	if err := g.ctl.Flush(); err != nil {
		return errCallerDisconnected.Wrap(err, "flush event")
	}
	g.recordEvent()
	g.req.halfClose.parts.Add(1)
	if item.event.ID != "" {
		g.lastEvent = item.event.ID
	}
	return nil
}

// recordEvent records the timing of a relayed event.
func (g *generation) recordEvent() {
	now := time.Now()
	if g.req.events == 0 {
		g.req.firstEvent = now.Sub(g.req.received)
		g.host.metrics.firstEvent.Update(g.req.firstEvent.Milliseconds())
	} else if pause := now.Sub(g.lastEventAt); pause > g.req.longestPause {
		g.req.longestPause = pause
	}
	g.lastEventAt = now
	g.req.events++
}

// sendHeader sends the caller the header of the first target's response.
func (g *generation) sendHeader() error {
	if g.headerSent {
		return nil
	}
	g.headerSent = true
	for name, values := range g.host.codec.ResponseHeader(g.exchange.response.Header) {
		if name != "Content-Length" {
			g.w.Header()[name] = values
		}
	}
	g.w.WriteHeader(g.exchange.response.StatusCode)
	return nil
}

// isAfter reports whether an event follows the last one relayed.
func isAfter(id, last string) bool {
	if id == "" || last == "" {
		return true
	}
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}
