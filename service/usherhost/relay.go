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

// relay passes events on until the stream ends, breaks or goes silent.
func (g *generation) relay(ctx context.Context) error {
	items := make(chan streamItem, eventRing)
	done := make(chan struct{})
	defer close(done)
	go readEvents(usherevent.NewReader(g.x.response.Body), items, done)
	silence := time.NewTimer(g.patience())
	defer silence.Stop()
	for {
		changes := g.host.core.watchChanges()
		g.protect(ctx)
		renewal, stop := g.renewalTimer()
		select {
		case item := <-items:
			stop()
			if err := g.take(item); err != nil || item.err != nil {
				return ended(err)
			}
			silence.Reset(g.patience())
		case <-silence.C:
			stop()
			if !g.mayGoOn() {
				// Nobody else can go on with the stream, and a preempted generation comes back.
				silence.Reset(g.patience())
				continue
			}
			return errSilence.New("target %s sent nothing for %s", g.source.Target.ID, g.patience())
		case c := <-g.copies:
			stop()
			g.copied(c)
		case <-changes:
			stop()
		case <-renewal:
		case <-ctx.Done():
			stop()
			return ctx.Err()
		}
	}
}

// ended returns nil for the regular end of a stream.
func ended(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// renewalTimer returns a channel that fires when a copy on demand is to be renewed.
func (g *generation) renewalTimer() (<-chan time.Time, func()) {
	if _, made := g.run.OnDemandCopy(); !made {
		return nil, func() {}
	}
	t := time.NewTimer(ushercopies.RenewInterval / 4)
	return t.C, func() { t.Stop() }
}

// patience returns how long the target may be silent.
func (g *generation) patience() time.Duration {
	pause := g.job.route.MaxPause
	if pause == 0 {
		pause = defaultPause
	}
	if !g.reading {
		if bound := g.headerBound(); bound > 0 {
			return bound
		}
		return time.Until(g.job.deadline) + time.Second
	}
	if g.job.route.AtMostOnce() {
		pause = max(pause, aloneFactor*g.job.route.Objective/silenceFactor)
	}
	return silenceFactor * pause * time.Duration(min(1<<min(g.silences, maxResumes), maxPatience))
}

// headerBound returns how long a target may take to begin a stream that may also be run elsewhere; zero for no bound.
func (g *generation) headerBound() time.Duration {
	if g.job.route.AtMostOnce() || g.job.sends >= g.job.route.MaxTargets {
		return 0
	}
	bound := time.Duration(firstEventShare * float64(g.job.route.Objective))
	return max(bound, firstEventFactor*g.source.PrefillTime)
}

// watchLeaving makes a request that may be repeated leave a target which begins to leave before the answer has begun, as
// others before it are not finished there either. One that is expected to begin soon has a little time. The function
// returned ends the watch.
func (g *generation) watchLeaving(ctx context.Context, x *exchange, choice usherpool.Choice) (stop func()) {
	if g.headerBound() == 0 {
		return func() {}
	}
	begun := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	var watching sync.WaitGroup
	watching.Go(func() {
		for changes := g.host.core.watchChanges(); g.host.core.accepts(choice.Target.ID); changes = g.host.core.watchChanges() {
			select {
			case <-ctx.Done():
				return
			case <-changes:
			}
		}
		soon := time.Duration(firstEventShare * float64(g.job.route.Objective))
		if choice.PrefillTime-time.Since(begun) < soon {
			sleep(ctx, soon)
		}
		if ctx.Err() == nil {
			g.host.log.Info("target leaves before the stream has begun", "attempt", g.job.Attempt, "target", choice.Target.ID,
				"expected_ms", choice.PrefillTime.Milliseconds(), "waited_ms", time.Since(begun).Milliseconds())
			x.interrupt()
		}
	})
	return func() {
		cancel()
		watching.Wait()
	}
}

// failure tells what an error of reading an answer says of the target.
func failure(err error) usherpool.Result {
	if errorx.IsOfType(err, errSilence) {
		return usherpool.TimedOut
	}
	return usherpool.Broken
}

func readEvents(r *usherevent.Reader, items chan<- streamItem, done <-chan struct{}) {
	for {
		event, err := r.Next()
		select {
		case items <- streamItem{event: event, err: err}:
		case <-done:
			return
		}
		if err != nil {
			return
		}
	}
}

// take passes one event on to the caller.
func (g *generation) take(item streamItem) error {
	if item.err != nil {
		if errors.Is(item.err, io.EOF) && !g.begun {
			return g.begin()
		}
		return item.err
	}
	if !g.reading {
		g.reading = true
		g.hold(g.source.Target.ID, usherpool.Load{Streams: 1, Tokens: g.job.PeakTokens()})
	}
	if !after(item.event.ID, g.lastEvent) {
		return nil
	}
	if err := g.begin(); err != nil {
		return err
	}
	if err := g.ctl.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil {
		return errCallerGone.Wrap(err, "write deadline")
	}
	if _, err := g.w.Write(item.event.Raw); err != nil {
		return errCallerGone.Wrap(err, "event")
	}
	if err := g.ctl.Flush(); err != nil {
		return errCallerGone.Wrap(err, "event")
	}
	g.count()
	if item.event.ID != "" {
		g.lastEvent = item.event.ID
	}
	return nil
}

// count takes the times of an event that was relayed.
func (g *generation) count() {
	now := time.Now()
	if g.job.events == 0 {
		g.job.firstEvent = now.Sub(g.job.received)
		g.host.metrics.firstEvent.Update(g.job.firstEvent.Milliseconds())
	} else if pause := now.Sub(g.lastEventAt); pause > g.job.longestPause {
		g.job.longestPause = pause
	}
	g.lastEventAt = now
	g.job.events++
}

// begin gives the caller the header of the first target's answer.
func (g *generation) begin() error {
	if g.begun {
		return nil
	}
	g.begun = true
	for name, values := range g.host.codec.AnswerHeader(g.x.response.Header) {
		if name != "Content-Length" {
			g.w.Header()[name] = values
		}
	}
	g.w.WriteHeader(g.x.response.StatusCode)
	return nil
}

// after tells whether an event comes after the last one relayed.
func after(id, last string) bool {
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
