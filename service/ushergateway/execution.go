package ushergateway

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
	"github.com/samphireusher/samphireusher/service/ushergrant"
	"github.com/samphireusher/samphireusher/service/ushertarget"
)

const (
	// maxSchedulerTries bounds the number of schedulers asked for one grant.
	maxSchedulerTries = 4
	// promptBytesPerToken is used to estimate the number of tokens in a prompt.
	promptBytesPerToken = 4
	// maxAttempts bounds the attempts of one request that may reach a target, maxGrants the grants that it may use.
	maxAttempts    = 3
	maxGrants      = 12
	defaultTimeout = 10 * time.Minute

	// reasonGrantExpired refuses a request whose grants expired before they could be used.
	reasonGrantExpired usherrequest.Reason = "grant_expired"
)

type (
	// sink receives the answer to a request and passes it to the caller.
	sink interface {
		// started passes on the handle by which the stream can be resumed. It is called again if the request is retried
		// with a new generation.
		started(handle string) error
		// token delivers one token; text is a JSON string.
		token(index int, text []byte) error
		// text returns the text of the answer if the sink collects it, otherwise "".
		text() string
	}

	// execution is the state of one accepted request.
	execution struct {
		gateway         *Gateway
		resolved        usherconfig.ResolvedRequest
		id              usherrequest.ID
		idText          string
		lifecycle       *usherrequest.Lifecycle
		sink            sink
		excludedTargets []string
		// grantsUsed counts the grants that were used, attemptsSent the attempts that may have reached a target.
		grantsUsed   int
		attemptsSent int
		isolated     bool
		deadline     time.Time
		progress     progress
	}

	// attemptResult is how one attempt ended.
	attemptResult struct {
		done bool
		// unsent is true if nothing was written to the target, or the target refused the request.
		unsent bool
		// reason is why the attempt did not complete; the caller gets it if no other attempt follows.
		reason usherrequest.Reason
		answer answer
	}

	// acquiredGrant is a grant with the scheduler that issued it, its attempt, and the time at which it was requested.
	acquiredGrant struct {
		ushergrant.Grant
		scheduler   usherconfig.Host
		attempt     usherrequest.AttemptID
		requestedAt time.Time
	}

	// answer is a complete answer to a request.
	answer struct {
		Result []byte
		Text   string
		Tokens int
		Finish string
	}
)

func (g *Gateway) newExecution(resolved usherconfig.ResolvedRequest, id usherrequest.ID, idText string, to sink) *execution {
	delivery := usherrequest.Stream
	if resolved.Template.Delivery == usherconfig.WholeDelivery {
		delivery = usherrequest.Whole
	}
	timeout := resolved.Template.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	rules := usherrequest.Rules{Idempotent: resolved.Template.Idempotent, Delivery: delivery}
	return &execution{
		gateway: g, resolved: resolved, id: id, idText: idText, lifecycle: usherrequest.NewLifecycle(rules),
		sink: to, deadline: time.Now().Add(timeout),
	}
}

// run executes the request until it completes or is refused. The error is a usherrequest.Refusal.
func (e *execution) run(ctx context.Context) (answer, error) {
	ctx, cancel := context.WithDeadline(ctx, e.deadline)
	defer cancel()
	if err := e.lifecycle.Queue(); err != nil {
		return answer{}, err
	}
	for {
		if err := e.checkSuspicion(); err != nil {
			return answer{}, e.refuse(ctx, err)
		}
		grant, err := e.acquire(ctx)
		if err != nil {
			return answer{}, e.refuse(ctx, err)
		}
		result := e.attempt(ctx, grant)
		if result.done {
			result.answer.Text = e.sink.text()
			return result.answer, nil
		}
		if !e.canRetry(ctx) {
			return answer{}, e.refuse(ctx, usherrequest.Refuse(usherrequest.Evidence{}, result.reason))
		}
		if err := e.lifecycle.Retry(); err != nil {
			return answer{}, e.refuse(ctx, err)
		}
		e.gateway.meters.retries.Inc(1)
	}
}

// checkSuspicion refuses a request that is suspected of crashing targets and must not run now, and sets isolated if the
// request may run only on a target without other suspects.
func (e *execution) checkSuspicion() error {
	var err error
	e.isolated, err = e.gateway.checkSuspicion(e.resolved)
	return err
}

// acquire asks one scheduler after another for a grant. Each scheduler gets a new attempt ID, so that a grant whose
// response was lost cannot be mistaken for another one.
func (e *execution) acquire(ctx context.Context) (acquiredGrant, error) {
	grant, err := e.acquireAny(ctx)
	if err == nil || len(e.excludedTargets) == 0 || ctx.Err() != nil {
		return grant, err
	}
	e.excludedTargets = nil // no other target is available: allow those that lost the request before
	return e.acquireAny(ctx)
}

func (e *execution) acquireAny(ctx context.Context) (acquiredGrant, error) {
	g := e.gateway
	tried := []string{}
	last := error(usherrequest.Refuse(usherrequest.Evidence{}, usherrequest.ReasonOverloaded))
	for range maxSchedulerTries {
		host, ok := g.schedulers.choose(time.Now(), e.resolved.Template.Service, g.Config.Hosts(usherconfig.SchedulerRole), tried)
		if !ok {
			break
		}
		tried = append(tried, host.Name)
		grant, err := e.acquireFrom(ctx, host)
		if err == nil {
			return grant, nil
		}
		if ctx.Err() != nil {
			return acquiredGrant{}, err
		}
		g.Log.Debug("scheduler gave no grant", "request", e.idText, "scheduler", host.Name, "error", err)
		if refusal := (usherrequest.Refusal{}); errors.As(err, &refusal) {
			last = refusal
		}
	}
	return acquiredGrant{}, last
}

// acquireFrom polls one scheduler until it grants or refuses, or until another one has free capacity and this one has
// none.
func (e *execution) acquireFrom(ctx context.Context, host usherconfig.Host) (acquiredGrant, error) {
	g := e.gateway
	request := e.request(time.Now())
	for {
		requestedAt := time.Now()
		request.QueueTimeout = max(e.deadline.Sub(requestedAt), 0)
		grant, err := g.Grants.Acquire(ctx, host.Address.String(), request)
		if err == nil {
			return acquiredGrant{Grant: grant, scheduler: host, attempt: request.Attempt, requestedAt: requestedAt}, nil
		}
		if !errorx.IsOfType(err, ushergrant.ErrWaiting) || ctx.Err() != nil {
			return acquiredGrant{}, err
		}
		if g.schedulers.capacityElsewhere(requestedAt, e.resolved.Template.Service, host.Name) {
			e.sendResult(host, ushergrant.AttemptResult{Attempt: request.Attempt, Unsent: true})
			return acquiredGrant{}, err
		}
	}
}

func (e *execution) request(now time.Time) ushergrant.Request {
	t := e.resolved.Template
	return ushergrant.Request{
		Attempt:         e.gateway.newAttemptID(),
		Service:         t.Service,
		Template:        t.Name,
		Workspace:       e.resolved.Workspace.Name,
		PromptTokens:    e.estimatePromptTokens(),
		MaxOutputTokens: t.MaxOutputTokens,
		Priority:        t.Priority,
		Prefix:          prefixKey(e.resolved),
		ContentHash:     e.resolved.ContentHash(),
		Isolated:        e.isolated,
		ExcludedTargets: e.excludedTargets,
		Retry:           e.attemptsSent > 0,
		Revision:        e.resolved.Revision,
		QueueTimeout:    e.deadline.Sub(now),
	}
}

// attempt sends the request to the granted target and reports the result to the scheduler.
func (e *execution) attempt(ctx context.Context, grant acquiredGrant) attemptResult {
	g := e.gateway
	if err := errors.Join(e.lifecycle.Grant(), e.lifecycle.Dispatch(grant.attempt)); err != nil {
		g.Log.Error("invalid request state transition", "request", e.idText, "error", err)
		return attemptResult{reason: usherrequest.ReasonMalformed}
	}
	e.progress.start(ushergrant.RunningAttempt{
		Attempt: grant.attempt, Target: grant.Target, Incarnation: grant.Incarnation,
	})
	defer e.progress.end()
	g.suspicion.start(grant, e.resolved)
	var result attemptResult
	if service, _ := g.Config.Service(e.resolved.Template.Service); service.Kind == usherconfig.PlainService {
		result = e.callPlain(ctx, grant)
	} else {
		result = e.generate(ctx, grant)
	}
	e.grantsUsed++
	if !result.unsent {
		e.attemptsSent++
	}
	e.resolveSuspicion(ctx, grant, result)
	if !result.done && !result.unsent {
		e.excludedTargets = append(e.excludedTargets, grant.Target)
	}
	e.reportEnd(grant, result)
	return result
}

// guard returns a check that runs after connecting to the target and before sending the request: the grant must not
// have expired, the target must still be in service and its incarnation must be the granted one.
func (e *execution) guard(grant acquiredGrant) ushertarget.Guard {
	valid := grant.Check(grant.requestedAt)
	config := e.gateway.Config
	return func(incarnation uint64) error {
		if err := valid(); err != nil {
			return err
		}
		if incarnation != grant.Incarnation {
			return ushergrant.ErrInvalid.New("target %s has incarnation %d, but the grant is for incarnation %d", grant.Target, incarnation, grant.Incarnation)
		}
		if !config.Eligible(time.Now(), grant.Target) {
			return ushergrant.ErrInvalid.New("target %s is out of service", grant.Target)
		}
		return nil
	}
}

func (e *execution) estimatePromptTokens() int {
	return len(e.resolved.Prompt)/promptBytesPerToken + 1
}

// recordSendFailure updates the lifecycle after a failed attempt, by what is known to have reached the target.
func (e *execution) recordSendFailure(sent ushertarget.SendResult, cause error) attemptResult {
	e.gateway.Log.Debug("attempt failed", "request", e.idText, "error", cause)
	var err error
	result := attemptResult{reason: usherrequest.ReasonTargetLost}
	switch {
	case !sent.Written:
		err = e.lifecycle.MarkUnsent()
		result.unsent = true
		if errorx.IsOfType(cause, ushertarget.ErrGuard) {
			result.reason = reasonGrantExpired
		}
	case sent.Refused:
		err = e.lifecycle.TargetRefused()
		result = attemptResult{reason: usherrequest.ReasonTargetRefused, unsent: true}
	}
	if err != nil {
		e.gateway.Log.Error("invalid request state transition", "request", e.idText, "error", err)
	}
	return result
}

func (e *execution) canRetry(ctx context.Context) bool {
	return ctx.Err() == nil && e.lifecycle.CanRetry() && e.attemptsSent < maxAttempts && e.grantsUsed < maxGrants
}

// refuse ends the request. The outcome follows from the lifecycle, the reason from the last failure.
func (e *execution) refuse(ctx context.Context, cause error) error {
	reason := usherrequest.ReasonOverloaded
	retryAfter := time.Duration(0)
	if refusal := (usherrequest.Refusal{}); errors.As(cause, &refusal) {
		reason, retryAfter = refusal.Reason, refusal.RetryAfter
	}
	switch {
	case errorx.IsOfType(context.Cause(ctx), errCancelled):
		refusal, err := e.lifecycle.Cancel()
		return errors.Join(err, refusal)
	case errors.Is(ctx.Err(), context.Canceled):
		reason = usherrequest.ReasonCancelled
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = usherrequest.ReasonDeadlinePassed
	}
	refusal, err := e.lifecycle.Refuse(reason)
	if err != nil {
		return err
	}
	return refusal.WithRetryAfter(retryAfter)
}

// lastTarget returns the target of the last attempt, or "" if there was none.
func (e *execution) lastTarget() string {
	running, _ := e.progress.read()
	return running.Target
}

// reportEnd sends the result of the attempt to the scheduler that granted it.
func (e *execution) reportEnd(grant acquiredGrant, result attemptResult) {
	running, _ := e.progress.read()
	end := ushergrant.AttemptResult{
		Attempt: grant.attempt, Target: grant.Target, GeneratedTokens: running.GeneratedTokens,
		Completed: result.done, Unsent: result.unsent, Lost: !result.unsent && result.reason == usherrequest.ReasonTargetLost,
	}
	e.sendResult(grant.scheduler, end)
}

// sendResult reports the end of an attempt to a scheduler in the background, so that the caller does not wait.
func (e *execution) sendResult(scheduler usherconfig.Host, end ushergrant.AttemptResult) {
	g := e.gateway
	g.requests.run(func() {
		ctx, cancel := context.WithTimeout(g.background, finishTimeout)
		defer cancel()
		if err := g.Grants.Finish(ctx, scheduler.Address.String(), end); err != nil {
			g.Log.Debug("reporting the end of an attempt failed", "attempt", end.Attempt.String(), "error", err)
		}
	})
}
