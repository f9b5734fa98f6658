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
	// hedgeFraction is the fraction of a route's objective after which an idempotent call is also sent to a second
	// target: late enough for most calls to have ended, early enough for the second target to respond in time.
	hedgeFraction = 0.6
	// defaultHedgeDelay is the delay for routes without an objective.
	defaultHedgeDelay = 200 * time.Millisecond
	// maxTries bounds how many targets are tried if they are unreachable or refuse the request without running it.
	maxTries = 4
)

type (
	// sendResult is the outcome of sending a request to one target.
	sendResult struct {
		choice usherpool.Choice
		result usherpool.Result
		reply  reply
		// ran reports whether the target may have run the call.
		ran bool
		err error
		// index numbers the sends of a race from 0.
		index int
	}

	// race sends a plain call to one target after the other, or, if it is hedged, to two concurrently. The first
	// response that may be relayed is used.
	race struct {
		host    *Host
		req     *requestState
		results chan sendResult
		// cancels has the functions that cancel the sends, in the order in which they were started.
		cancels []context.CancelFunc
		pending int
		tries   int
		// lastReply is the failure response of the target that has run the call last, or nil if that one sent none. It is relayed
		// if no other target gives a better one.
		lastReply *reply
		lastErr   error
	}
)

// servePlain handles a call to a plain service.
func (h *Host) servePlain(ctx context.Context, w http.ResponseWriter, req *requestState) *refusal {
	if !h.mayFinish(h.answerTime(req)) {
		return refuse(reasonStopping, 0, nil)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &race{host: h, req: req, results: make(chan sendResult, maxTries+1)}
	reply, refusal := r.run(ctx)
	if refusal == nil {
		refusal = req.refuseFalsePromise(reply)
	}
	if refusal != nil {
		return refusal
	}
	h.relayReply(w, req, reply)
	return nil
}

// answerTime returns how long a call may take to be answered. One that may be repeated is expected to keep its objective while callers
// cannot know better than to send it to a stopping host.
func (h *Host) answerTime(req *requestState) time.Duration {
	remaining := time.Until(req.deadline)
	if req.route.AtMostOnce() || req.route.Objective == 0 || h.callersKnow() {
		return remaining
	}
	return min(req.route.Objective, remaining)
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
					r.host.log.Debug("no target for hedged call", "attempt", r.req.Attempt, "error", errorText(refusal.cause))
				}
			}
		case result := <-r.results:
			r.pending--
			if r.handleResult(result) {
				r.cancelOthers(result.index)
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

// hedgeDelay returns how long to wait for a response before the call is sent to a second target.
func (r *race) hedgeDelay() time.Duration {
	delay := time.Duration(hedgeFraction * float64(r.req.route.Objective))
	if r.req.route.Objective == 0 {
		delay = defaultHedgeDelay
	}
	return min(delay, r.host.state.callTail(r.req, delay))
}

// handleResult records a result and reports whether it is the one to relay.
func (r *race) handleResult(result sendResult) bool {
	h := r.host
	h.state.recordResult(result.choice.Target.ID, result.result)
	r.req.ran = r.req.ran || result.ran
	if result.result == usherpool.Unreachable || result.result == usherpool.Replaced || result.result == usherpool.Withdrawn {
		// The call did not reach the intended target.
		r.req.sends--
	}
	switch result.result {
	case usherpool.Answered:
		h.state.recordAnswer(r.req)
		return true
	case usherpool.Failed:
		h.state.recordAnswer(r.req)
		r.lastReply = &result.reply
		// A call that may run only once is not sent again; its failure response is relayed.
		return r.req.route.AtMostOnce()
	default:
		if result.ran {
			// The replies of earlier targets say nothing about this run.
			r.lastReply = nil
		}
		r.lastErr = result.err
		return false
	}
}

// takeRetryFor reports whether another target may be tried after a result, and takes the retry from the budget.
func (r *race) takeRetryFor(result sendResult) bool {
	if r.tries >= maxTries || r.req.halfClose.noRetry.Load() {
		return false
	}
	switch result.result {
	case usherpool.Withdrawn:
		// Nothing has reached a target.
		return true
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

// takeRetry reports whether the call may be sent to one more target, and takes the retry from the budget.
func (r *race) takeRetry() bool {
	return r.req.sends < r.req.route.MaxTargets && r.host.state.allowRetry(r.req.service.Name)
}

// start sends the call to another target.
func (r *race) start(ctx context.Context, retry bool) *refusal {
	if refusal := r.host.refuseSuspect(r.req); refusal != nil {
		return refusal
	}
	choice, err := r.host.state.choose(usherpool.Request{Service: r.req.service.Name, Exclude: r.req.targets})
	if err != nil && retry && r.pending == 0 && len(r.req.targets) > 0 {
		// A target that was already tried is better than none.
		choice, err = r.host.state.choose(usherpool.Request{Service: r.req.service.Name})
	}
	if err != nil {
		return r.host.refuseUnplaced(r.req.service.Name, err)
	}
	r.tries++
	r.pending++
	r.req.targets = append(r.req.targets, choice.Target.ID)
	index := len(r.cancels)
	ctx, cancel := context.WithCancel(ctx)
	r.cancels = append(r.cancels, cancel)
	go func() {
		result := sendResult{choice: choice, result: usherpool.Broken, ran: true}
		if err := r.host.containment.run("call", func() { result = r.host.sendCall(ctx, r.req, choice) }); err != nil {
			result.err = err
		}
		result.index = index
		r.results <- result
	}()
	if retry {
		r.host.metrics.retries.Inc(1)
	}
	r.req.sends++
	return nil
}

// cancelOthers cancels all sends except the one whose response is relayed.
func (r *race) cancelOthers(index int) {
	for i, cancel := range r.cancels {
		if i != index {
			cancel()
		}
	}
}

// finish returns the response when nothing more can be tried.
func (r *race) finish(ctx context.Context) (reply, *refusal) {
	switch {
	case r.lastReply != nil && r.pending == 0:
		return *r.lastReply, nil
	case ctx.Err() != nil && (r.pending > 0 || r.req.ran):
		return reply{}, refuse(reasonTimeout, noRetryAfter, r.lastErr)
	case ctx.Err() != nil:
		return reply{}, refuse(reasonExpired, noRetryAfter, r.lastErr)
	case r.req.ran:
		return reply{}, refuse(reasonBroken, noRetryAfter, r.lastErr)
	default:
		return reply{}, refuse(reasonNotRun, r.host.retryAfterRejection(r.req.service.Name), r.lastErr)
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

// sendCall sends a plain call to a target and reads its response, as far as it may be buffered. The connection, the load
// and the buffer are released when ctx ends.
func (h *Host) sendCall(ctx context.Context, req *requestState, choice usherpool.Choice) sendResult {
	load := usherpool.Load{Calls: 1}
	id := choice.Target.ID
	h.state.addLoad(id, load)
	releaseLoad := sync.OnceFunc(func() { h.state.addLoad(id, load.Negated()) })
	x, err := h.connect(ctx, choice.Target)
	if err != nil {
		releaseLoad()
		return sendResult{choice: choice, result: usherpool.Unreachable, err: err}
	}
	if result, withdrawn := h.withdrawn(req, choice); withdrawn {
		x.close()
		releaseLoad()
		return result
	}
	reservation := &bufferReservation{budget: h.buffers}
	result := h.exchange(ctx, x, req, choice, reservation)
	if result.result == usherpool.Broken {
		h.recordBroken(ctx, req, choice, result.err)
	}
	if result.reply.rest == nil {
		x.close()
		releaseLoad()
	}
	context.AfterFunc(ctx, func() {
		x.close()
		releaseLoad()
		reservation.release()
	})
	return result
}

// exchange sends a plain call on an open connection and reads the response.
func (h *Host) exchange(ctx context.Context, x *exchange, req *requestState, choice usherpool.Choice, reservation *bufferReservation) sendResult {
	id := choice.Target.ID
	broken := func(err error) sendResult {
		return sendResult{choice: choice, result: usherpool.Broken, ran: true, err: err}
	}
	x.send(&req.Call, h.codec.EncodeDispatch(&req.Call, req.dispatch(id)))
	if err := x.receive(h.codec, req.Attempt, 0, nil); err != nil {
		h.observeAbandonedCall(ctx, choice, x)
		return broken(err)
	}
	status := x.response.StatusCode
	r := reply{status: status, header: h.codec.ResponseHeader(x.response.Header), length: x.response.ContentLength}
	result := classify(status, x.info)
	noteInfo := func() {
		if x.info.ColdRemaining > 0 {
			h.state.markCold(id, x.info.ColdRemaining)
		}
		h.noteTarget(choice.Target, req.Attempt, x.sentAt, x.info.Notice)
	}
	body, complete, err := x.readBody(reservation)
	switch {
	case err != nil && result == usherpool.Full:
		// The header says that the call has not run, and the body of a rejection is not relayed.
		noteInfo()
		return sendResult{choice: choice, result: result, err: err}
	case err != nil:
		return broken(err)
	}
	if r.body = body; !complete {
		if status >= http.StatusMultipleChoices || r.length > int64(x.limits.BodyBytes) {
			return broken(errUnexpectedResponse.New("response with status %d has a body of more than %d bytes", status, len(body)))
		}
		r.rest = io.LimitReader(x.response.Body, int64(x.limits.BodyBytes-len(body)))
		r.brokenOff = func(relayed int64) bool { return h.brokenOff(ctx, x, choice.Target, relayed) }
	} else if h.brokenOff(ctx, x, choice.Target, int64(len(body))) {
		return broken(errConnectionLost.Wrap(io.ErrUnexpectedEOF, "response ended with its connection after %d bytes of its body", len(body)))
	}
	noteInfo()
	if result == usherpool.Answered {
		h.observeCall(req, choice, time.Since(x.sentAt))
	}
	return sendResult{choice: choice, result: result, ran: !x.info.NotRun, reply: r, err: statusError(id, status)}
}

// statusError describes a failure response; it is nil for other responses.
func statusError(target string, status int) error {
	if status < http.StatusInternalServerError && status != http.StatusMisdirectedRequest && status != http.StatusTooManyRequests {
		return nil
	}
	return errStatus.New("target %s responded with status %d", target, status)
}

// classify maps a response to the result that is recorded for its target.
func classify(status int, a ushercall.ResponseInfo) usherpool.Result {
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

// retryAfter returns the advice for callers after an error in choosing a target.
func (h *Host) retryAfter(service string, err error) time.Duration {
	if wait, rests := h.state.back(service); rests {
		return wait
	}
	if errorx.IsOfType(err, usherpool.ErrNoTarget) {
		return retryAfterNoTarget
	}
	return retryAfterShort
}

// retryAfterRejection returns the advice for callers whose request each target rejected that it was sent to.
func (h *Host) retryAfterRejection(service string) time.Duration {
	if wait, rests := h.state.back(service); rests {
		return wait
	}
	return retryAfterShort
}

// excludedTargets returns the targets that the request was sent to and more.
func (req *requestState) excludedTargets(more ...string) []string {
	return append(slices.Clone(req.targets), more...)
}
