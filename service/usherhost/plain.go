package usherhost

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/ushercall"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
	"github.com/samphireusher/samphireusher/pkg/usherroute"
)

const (
	// hedgeShare is the part of a route's objective after which an idempotent call is sent to a second target too:
	// late enough for most answers, early enough for the second one to be in time.
	hedgeShare = 0.6
	// defaultHedge is the delay of routes without an objective.
	defaultHedge = 200 * time.Millisecond
	// maxTries bounds how many targets are tried that could not be reached or refused without running.
	maxTries = 4
)

type (
	// attemptResult is how one send of a plain call ended.
	attemptResult struct {
		choice usherpool.Choice
		result usherpool.Result
		reply  reply
		// ran tells whether the target may have run the call.
		ran bool
		err error
		// number is that of the attempt in its race.
		number int
	}

	// race is the sending of a plain call to one target after the other, or to two at once.
	race struct {
		host    *Host
		job     *job
		results chan attemptResult
		// leave ends the attempts that were begun, in order.
		leave   []context.CancelFunc
		pending int
		tries   int
		// last is the latest answer that a target gave and that another one might better.
		last *reply
		err  error
	}
)

// plain handles a call of a plain service.
func (h *Host) plain(ctx context.Context, w http.ResponseWriter, j *job) *refusal {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &race{host: h, job: j, results: make(chan attemptResult, maxTries+1)}
	a, refusal := r.run(ctx)
	if refusal != nil {
		return refusal
	}
	h.relay(w, j, a)
	return nil
}

func (r *race) run(ctx context.Context) (reply, *refusal) {
	if refusal := r.start(ctx, false); refusal != nil {
		return reply{}, refusal
	}
	hedge := time.NewTimer(r.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case <-ctx.Done():
			return r.end(ctx)
		case <-hedge.C:
			if r.job.route.Kind == usherroute.Idempotent && r.mayRepeat() {
				if refusal := r.start(ctx, true); refusal != nil {
					r.host.log.Debug("no second target", "attempt", r.job.Attempt, "error", errorText(refusal.cause))
				}
			}
		case result := <-r.results:
			r.pending--
			if r.settle(result) {
				r.leaveAllBut(result.number)
				return result.reply, nil
			}
			if r.pending > 0 {
				continue
			}
			if !r.mayTryAgain(result) {
				return r.end(ctx)
			}
			if refusal := r.start(ctx, true); refusal != nil {
				return r.endWith(refusal)
			}
		}
	}
}

// hedgeDelay returns how long to wait for an answer before a second target is asked.
func (r *race) hedgeDelay() time.Duration {
	if r.job.route.Objective == 0 {
		return defaultHedge
	}
	return time.Duration(hedgeShare * float64(r.job.route.Objective))
}

// settle takes in a result and tells whether it is the one to relay.
func (r *race) settle(result attemptResult) bool {
	h := r.host
	h.core.observe(result.choice.Target.ID, result.result)
	r.job.ran = r.job.ran || result.ran
	if result.result == usherpool.Unreachable || result.result == usherpool.Replaced {
		// The call has not reached the target that was meant.
		r.job.sends--
	}
	switch result.result {
	case usherpool.Answered:
		return true
	case usherpool.Failed:
		r.last = &result.reply
		// A call that ran once is over; its failure is the answer.
		return r.job.route.AtMostOnce()
	default:
		r.err = result.err
		return false
	}
}

// mayTryAgain tells whether another target may be tried after a result.
func (r *race) mayTryAgain(result attemptResult) bool {
	if r.tries >= maxTries {
		return false
	}
	switch result.result {
	case usherpool.Unreachable:
		return r.host.core.mayRepeat(r.job.service.Name)
	case usherpool.Replaced:
		return r.host.core.mayRepeat(r.job.service.Name)
	case usherpool.Full:
		return r.mayRepeat()
	default:
		return r.job.route.Kind == usherroute.Idempotent && r.mayRepeat()
	}
}

// mayRepeat tells whether the call may be sent to one more target.
func (r *race) mayRepeat() bool {
	return r.job.sends < r.job.route.MaxTargets && r.host.core.mayRepeat(r.job.service.Name)
}

// start sends the call to another target.
func (r *race) start(ctx context.Context, again bool) *refusal {
	choice, err := r.host.core.choose(usherpool.Request{Service: r.job.service.Name, Exclude: r.job.targets})
	if err != nil && again && r.pending == 0 && len(r.job.targets) > 0 {
		// Rather the same target again than none.
		choice, err = r.host.core.choose(usherpool.Request{Service: r.job.service.Name})
	}
	if err != nil {
		return refuse(reasonNoTarget, r.host.retryAfter(err), err)
	}
	r.tries++
	r.pending++
	r.job.targets = append(r.job.targets, choice.Target.ID)
	number := len(r.leave)
	ctx, leave := context.WithCancel(ctx)
	r.leave = append(r.leave, leave)
	go func() {
		result := r.host.attempt(ctx, r.job, choice)
		result.number = number
		r.results <- result
	}()
	if again {
		r.host.metrics.repeats.Inc(1)
	}
	r.job.sends++
	return nil
}

// leaveAllBut ends what is still done for the call, but for the attempt whose answer is relayed.
func (r *race) leaveAllBut(number int) {
	for i, leave := range r.leave {
		if i != number {
			leave()
		}
	}
}

// end returns the answer when nothing more can be tried.
func (r *race) end(ctx context.Context) (reply, *refusal) {
	switch {
	case r.last != nil:
		return *r.last, nil
	case ctx.Err() != nil && (r.pending > 0 || r.job.ran):
		return reply{}, refuse(reasonTimeout, noAdvice, r.err)
	case ctx.Err() != nil:
		return reply{}, refuse(reasonExpired, noAdvice, r.err)
	case r.job.ran:
		return reply{}, refuse(reasonBroken, noAdvice, r.err)
	default:
		return reply{}, refuse(reasonNotRun, shortPause, r.err)
	}
}

func (r *race) endWith(f *refusal) (reply, *refusal) {
	if r.last != nil {
		return *r.last, nil
	}
	if r.job.ran {
		return reply{}, refuse(reasonBroken, noAdvice, r.err)
	}
	return reply{}, f
}

// attempt sends a plain call to a target and reads its answer, as far as it may be held. What it takes up is given back
// when ctx ends.
func (h *Host) attempt(ctx context.Context, j *job, choice usherpool.Choice) attemptResult {
	load := usherpool.Load{Calls: 1}
	id := choice.Target.ID
	h.core.add(id, load)
	done := sync.OnceFunc(func() { h.core.add(id, load.Negated()) })
	x, err := h.open(ctx, choice.Target)
	if err != nil {
		done()
		return attemptResult{choice: choice, result: usherpool.Unreachable, err: err}
	}
	held := &holding{memory: h.memory}
	result := h.exchange(x, j, choice, held)
	if result.reply.rest == nil {
		x.close()
		done()
	}
	context.AfterFunc(ctx, func() {
		x.close()
		done()
		held.release()
	})
	return result
}

// exchange sends a plain call on an open connection.
func (h *Host) exchange(x *exchange, j *job, choice usherpool.Choice, held *holding) attemptResult {
	id := choice.Target.ID
	broken := func(err error) attemptResult {
		return attemptResult{choice: choice, result: usherpool.Broken, ran: true, err: err}
	}
	x.send(&j.Call, h.codec.EncodeDispatch(&j.Call, j.dispatch(id)))
	if err := x.receive(h.codec, j.Attempt, 0, nil); err != nil {
		return broken(err)
	}
	status := x.response.StatusCode
	a := reply{status: status, header: h.codec.AnswerHeader(x.response.Header), length: x.response.ContentLength}
	body, whole, err := x.body(held)
	if err != nil {
		return broken(err)
	}
	if a.body = body; !whole {
		if status >= http.StatusMultipleChoices || a.length > int64(x.limits.BodyBytes) {
			return broken(errForeign.New("status %d with a body of more than %d bytes", status, len(body)))
		}
		a.rest = io.LimitReader(x.response.Body, int64(x.limits.BodyBytes-len(body)))
	}
	if x.answer.ColdRemaining > 0 {
		h.core.cold(id, x.answer.ColdRemaining)
	}
	return attemptResult{choice: choice, result: classify(status, x.answer), ran: !x.answer.NotRun, reply: a, err: statusError(id, status)}
}

// statusError describes an answer that is a failure; it is nil for others.
func statusError(target string, status int) error {
	if status < http.StatusInternalServerError && status != http.StatusMisdirectedRequest && status != http.StatusTooManyRequests {
		return nil
	}
	return errStatus.New("target %s answered %d", target, status)
}

// classify tells what an answer says of its target.
func classify(status int, a ushercall.Answer) usherpool.Result {
	switch {
	case a.Misdirected:
		return usherpool.Replaced
	case a.NotRun && status != http.StatusBadRequest:
		return usherpool.Full
	case status >= http.StatusInternalServerError:
		return usherpool.Failed
	default:
		return usherpool.Answered
	}
}

// retryAfter returns the advice that goes with an error of choosing a target.
func (h *Host) retryAfter(err error) time.Duration {
	if errorx.IsOfType(err, usherpool.ErrNone) {
		return targetPause
	}
	return shortPause
}

// excluded returns the targets of a job and one more.
func (j *job) excluded(more ...string) []string {
	return append(slices.Clone(j.targets), more...)
}
