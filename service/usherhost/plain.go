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
	hedgeFraction = 0.6
	// defaultHedge is the delay of routes without an objective.
	defaultHedgeDelay = 200 * time.Millisecond
	// maxTries bounds how many targets are tried that could not be reached or refused without running.
	maxAttempts = 4
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
		req     *requestState
		results chan attemptResult
		// leave ends the attempts that were begun, in order.
		cancels  []context.CancelFunc
		pending  int
		attempts int
		// last is the latest answer that a target gave and that another one might better.
		lastReply *reply
		lastErr   error
	}
)

// plain handles a call of a plain service.
func (h *Host) plain(ctx context.Context, w http.ResponseWriter, req *requestState) *refusal {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &race{host: h, req: req, results: make(chan attemptResult, maxAttempts+1)}
	a, refusal := r.run(ctx)
	if refusal != nil {
		return refusal
	}
	h.relayReply(w, req, a)
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
			return r.finish(ctx)
		case <-hedge.C:
			if r.req.route.Kind == usherroute.Idempotent && r.takeRetry() {
				if refusal := r.start(ctx, true); refusal != nil {
					r.host.log.Debug("no second target", "attempt", r.req.Attempt, "error", errorText(refusal.cause))
				}
			}
		case result := <-r.results:
			r.pending--
			if r.handleResult(result) {
				r.cancelOthers(result.number)
				return result.reply, nil
			}
			if r.pending > 0 {
				continue
			}
			if !r.takeRetryFor(result) {
				return r.finish(ctx)
			}
			if refusal := r.start(ctx, true); refusal != nil {
				return r.finishWith(refusal)
			}
		}
	}
}

// hedgeDelay returns how long to wait for an answer before a second target is asked.
func (r *race) hedgeDelay() time.Duration {
	if r.req.route.Objective == 0 {
		return defaultHedgeDelay
	}
	return time.Duration(hedgeFraction * float64(r.req.route.Objective))
}

// settle takes in a result and tells whether it is the one to relay.
func (r *race) handleResult(result attemptResult) bool {
	h := r.host
	h.state.recordResult(result.choice.Target.ID, result.result)
	r.req.ran = r.req.ran || result.ran
	if result.result == usherpool.Unreachable || result.result == usherpool.Replaced {
		// The call has not reached the target that was meant.
		r.req.sends--
	}
	switch result.result {
	case usherpool.Answered:
		return true
	case usherpool.Failed:
		r.lastReply = &result.reply
		// A call that ran once is over; its failure is the answer.
		return r.req.route.AtMostOnce()
	default:
		r.lastErr = result.err
		return false
	}
}

// mayTryAgain tells whether another target may be tried after a result.
func (r *race) takeRetryFor(result attemptResult) bool {
	if r.attempts >= maxAttempts {
		return false
	}
	switch result.result {
	case usherpool.Unreachable:
		return r.host.state.allowRetry(r.req.service.Name)
	case usherpool.Replaced:
		return r.host.state.allowRetry(r.req.service.Name)
	case usherpool.Full:
		return r.takeRetry()
	default:
		return r.req.route.Kind == usherroute.Idempotent && r.takeRetry()
	}
}

// mayRepeat tells whether the call may be sent to one more target.
func (r *race) takeRetry() bool {
	return r.req.sends < r.req.route.MaxTargets && r.host.state.allowRetry(r.req.service.Name)
}

// start sends the call to another target.
func (r *race) start(ctx context.Context, retry bool) *refusal {
	choice, err := r.host.state.choose(usherpool.Request{Service: r.req.service.Name, Exclude: r.req.targets})
	if err != nil && retry && r.pending == 0 && len(r.req.targets) > 0 {
		// Rather the same target again than none.
		choice, err = r.host.state.choose(usherpool.Request{Service: r.req.service.Name})
	}
	if err != nil {
		return refuse(reasonNoTarget, r.host.retryAfter(err), err)
	}
	r.attempts++
	r.pending++
	r.req.targets = append(r.req.targets, choice.Target.ID)
	number := len(r.cancels)
	ctx, cancel := context.WithCancel(ctx)
	r.cancels = append(r.cancels, cancel)
	go func() {
		result := r.host.attempt(ctx, r.req, choice)
		result.number = number
		r.results <- result
	}()
	if retry {
		r.host.metrics.retries.Inc(1)
	}
	r.req.sends++
	return nil
}

// leaveAllBut ends what is still done for the call, but for the attempt whose answer is relayed.
func (r *race) cancelOthers(number int) {
	for i, cancel := range r.cancels {
		if i != number {
			cancel()
		}
	}
}

// end returns the answer when nothing more can be tried.
func (r *race) finish(ctx context.Context) (reply, *refusal) {
	switch {
	case r.lastReply != nil:
		return *r.lastReply, nil
	case ctx.Err() != nil && (r.pending > 0 || r.req.ran):
		return reply{}, refuse(reasonTimeout, noRetryAfter, r.lastErr)
	case ctx.Err() != nil:
		return reply{}, refuse(reasonExpired, noRetryAfter, r.lastErr)
	case r.req.ran:
		return reply{}, refuse(reasonBroken, noRetryAfter, r.lastErr)
	default:
		return reply{}, refuse(reasonNotRun, retryAfterShort, r.lastErr)
	}
}

func (r *race) finishWith(f *refusal) (reply, *refusal) {
	if r.lastReply != nil {
		return *r.lastReply, nil
	}
	if r.req.ran {
		return reply{}, refuse(reasonBroken, noRetryAfter, r.lastErr)
	}
	return reply{}, f
}

// attempt sends a plain call to a target and reads its answer, as far as it may be held. What it takes up is given back
// when ctx ends.
func (h *Host) attempt(ctx context.Context, req *requestState, choice usherpool.Choice) attemptResult {
	load := usherpool.Load{Calls: 1}
	id := choice.Target.ID
	h.state.addLoad(id, load)
	releaseLoad := sync.OnceFunc(func() { h.state.addLoad(id, load.Negated()) })
	x, err := h.connect(ctx, choice.Target)
	if err != nil {
		releaseLoad()
		return attemptResult{choice: choice, result: usherpool.Unreachable, err: err}
	}
	buffered := &bufferReservation{budget: h.buffers}
	result := h.exchange(x, req, choice, buffered)
	if result.reply.rest == nil {
		x.close()
		releaseLoad()
	}
	context.AfterFunc(ctx, func() {
		x.close()
		releaseLoad()
		buffered.release()
	})
	return result
}

// exchange sends a plain call on an open connection.
func (h *Host) exchange(x *exchange, req *requestState, choice usherpool.Choice, buffered *bufferReservation) attemptResult {
	id := choice.Target.ID
	broken := func(err error) attemptResult {
		return attemptResult{choice: choice, result: usherpool.Broken, ran: true, err: err}
	}
	x.send(&req.Call, h.codec.EncodeDispatch(&req.Call, req.dispatch(id)))
	if err := x.receive(h.codec, req.Attempt, 0, nil); err != nil {
		return broken(err)
	}
	status := x.response.StatusCode
	a := reply{status: status, header: h.codec.AnswerHeader(x.response.Header), length: x.response.ContentLength}
	body, complete, err := x.readBody(buffered)
	if err != nil {
		return broken(err)
	}
	if a.body = body; !complete {
		if status >= http.StatusMultipleChoices || a.length > int64(x.limits.BodyBytes) {
			return broken(errUnexpectedResponse.New("status %d with a body of more than %d bytes", status, len(body)))
		}
		a.rest = io.LimitReader(x.response.Body, int64(x.limits.BodyBytes-len(body)))
	}
	if x.answer.ColdRemaining > 0 {
		h.state.markCold(id, x.answer.ColdRemaining)
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
		return retryAfterNoTarget
	}
	return retryAfterShort
}

// excluded returns the targets of a job and one more.
func (req *requestState) excludedTargets(more ...string) []string {
	return append(slices.Clone(req.targets), more...)
}
