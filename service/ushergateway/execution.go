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
	// schedulerTries bounds the schedulers asked for one attempt.
	schedulerTries = 4
	// promptBytesPerToken estimates the length of a prompt in tokens.
	promptBytesPerToken = 4
	// maxAttempts bounds the targets that one request is sent to, maxGrants the grants that it may use up.
	maxAttempts    = 3
	maxGrants      = 12
	defaultTimeout = 10 * time.Minute

	// reasonGrantExpired refuses a request whose grants ran out before they could be used.
	reasonGrantExpired usherrequest.Reason = "grant_expired"
)

type (
	// sink takes a request's answer on its way to the caller.
	sink interface {
		// started tells where a stream can be resumed. It may come again when a generation is run afresh.
		started(handle string) error
		// token releases one token; text is a JSON string.
		token(index int, text []byte) error
		// text returns what was collected of the answer, if the sink does that.
		text() string
	}

	// execution runs one accepted request.
	execution struct {
		gateway *Gateway
		call    usherconfig.Call
		id      usherrequest.ID
		idText  string
		life    *usherrequest.Lifecycle
		sink    sink
		avoid   []string
		// grants counts the grants that were used up, sent the attempts that reached a target.
		grants   int
		sent     int
		isolated bool
		deadline time.Time
		progress progress
	}

	// verdict is what becomes of a request after one attempt.
	verdict struct {
		done bool
		// unsent says that the target has nothing of the request, or refused it.
		unsent bool
		// reason is why the attempt did not complete; it tells the caller if there is no other attempt.
		reason usherrequest.Reason
		answer answer
	}

	// granted is a grant together with who gave it, for which attempt, and when it was asked for.
	granted struct {
		ushergrant.Grant
		scheduler usherconfig.Host
		attempt   usherrequest.AttemptID
		asked     time.Time
	}

	// answer is a whole answer.
	answer struct {
		Result []byte
		Text   string
		Tokens int
		Finish string
	}
)

func (g *Gateway) newExecution(call usherconfig.Call, id usherrequest.ID, idText string, to sink) *execution {
	delivery := usherrequest.Stream
	if call.Template.Delivery == usherconfig.WholeDelivery {
		delivery = usherrequest.Whole
	}
	timeout := call.Template.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	rules := usherrequest.Rules{Idempotent: call.Template.Idempotent, Delivery: delivery}
	return &execution{
		gateway: g, call: call, id: id, idText: idText, life: usherrequest.NewLifecycle(rules),
		sink: to, deadline: time.Now().Add(timeout),
	}
}

// run takes the request to its end. The error is a usherrequest.Refusal.
func (e *execution) run(ctx context.Context) (answer, error) {
	ctx, cancel := context.WithDeadline(ctx, e.deadline)
	defer cancel()
	if err := e.life.Queue(); err != nil {
		return answer{}, err
	}
	for {
		if err := e.judge(); err != nil {
			return answer{}, e.refuse(ctx, err)
		}
		grant, err := e.acquire(ctx)
		if err != nil {
			return answer{}, e.refuse(ctx, err)
		}
		verdict := e.attempt(ctx, grant)
		if verdict.done {
			verdict.answer.Text = e.sink.text()
			return verdict.answer, nil
		}
		if !e.mayRetry(ctx) {
			return answer{}, e.refuse(ctx, usherrequest.Refuse(usherrequest.Evidence{}, verdict.reason))
		}
		if err := e.life.Retry(); err != nil {
			return answer{}, e.refuse(ctx, err)
		}
		e.gateway.meters.retries.Inc(1)
	}
}

// judge refuses a request that has crashed targets, and lets one that may have run only apart from others.
func (e *execution) judge() error {
	var err error
	e.isolated, err = e.gateway.judge(e.call)
	return err
}

// acquire asks one scheduler after another for a grant. Each scheduler is asked for an attempt of its own, so that a grant
// whose answer was lost is never mistaken for another.
func (e *execution) acquire(ctx context.Context) (granted, error) {
	grant, err := e.acquireAny(ctx)
	if err == nil || len(e.avoid) == 0 || ctx.Err() != nil {
		return grant, err
	}
	e.avoid = nil // where there is no other target, one that lost the request before is better than none
	return e.acquireAny(ctx)
}

func (e *execution) acquireAny(ctx context.Context) (granted, error) {
	g := e.gateway
	tried := []string{}
	last := error(usherrequest.Refuse(usherrequest.Evidence{}, usherrequest.ReasonOverloaded))
	for range schedulerTries {
		host, ok := g.schedulers.choose(time.Now(), e.call.Template.Service, g.Config.Hosts(usherconfig.SchedulerRole), tried)
		if !ok {
			break
		}
		tried = append(tried, host.Name)
		grant, err := e.await(ctx, host)
		if err == nil {
			return grant, nil
		}
		if ctx.Err() != nil {
			return granted{}, err
		}
		g.Log.Debug("no grant", "request", e.idText, "scheduler", host.Name, "error", err)
		if refusal := (usherrequest.Refusal{}); errors.As(err, &refusal) {
			last = refusal
		}
	}
	return granted{}, last
}

// await asks one scheduler until it grants or refuses, or another has room while this one has none.
func (e *execution) await(ctx context.Context, host usherconfig.Host) (granted, error) {
	g := e.gateway
	request := e.request(time.Now())
	for {
		asked := time.Now()
		request.MaxWait = max(e.deadline.Sub(asked), 0)
		grant, err := g.Grants.Acquire(ctx, host.Address.String(), request)
		if err == nil {
			return granted{Grant: grant, scheduler: host, attempt: request.Attempt, asked: asked}, nil
		}
		if !errorx.IsOfType(err, ushergrant.ErrWaiting) || ctx.Err() != nil {
			return granted{}, err
		}
		if g.schedulers.roomElsewhere(asked, e.call.Template.Service, host.Name) {
			e.report(host, ushergrant.AttemptResult{Attempt: request.Attempt, Unsent: true})
			return granted{}, err
		}
	}
}

func (e *execution) request(now time.Time) ushergrant.Request {
	t := e.call.Template
	return ushergrant.Request{
		Attempt:      e.gateway.mintAttempt(),
		Service:      t.Service,
		Template:     t.Name,
		Workspace:    e.call.Workspace.Name,
		PromptTokens: e.promptTokens(),
		MaxTokens:    t.MaxOutputTokens,
		Priority:     t.Priority,
		CacheKey:     cacheKey(e.call),
		Fingerprint:  e.call.Fingerprint(),
		Isolated:     e.isolated,
		Avoid:        e.avoid,
		Retry:        e.sent > 0,
		Revision:     e.call.Revision,
		MaxWait:      e.deadline.Sub(now),
	}
}

// attempt sends the request to the granted target and says what became of it.
func (e *execution) attempt(ctx context.Context, grant granted) verdict {
	g := e.gateway
	if err := errors.Join(e.life.Grant(), e.life.Dispatch(grant.attempt)); err != nil {
		g.Log.Error("request life cycle", "request", e.idText, "error", err)
		return verdict{reason: usherrequest.ReasonMalformed}
	}
	e.progress.start(ushergrant.Running{
		Attempt: grant.attempt, Target: grant.Target, Incarnation: grant.Incarnation,
	})
	defer e.progress.end()
	g.suspicion.begin(grant, e.call)
	var v verdict
	if service, _ := g.Config.Service(e.call.Template.Service); service.Kind == usherconfig.PlainService {
		v = e.callPlain(ctx, grant)
	} else {
		v = e.generate(ctx, grant)
	}
	e.grants++
	if !v.unsent {
		e.sent++
	}
	e.settle(ctx, grant, v)
	if !v.done && !v.unsent {
		e.avoid = append(e.avoid, grant.Target)
	}
	e.finish(grant, v)
	return v
}

// guard checks, when the connection to the target stands, that the grant is valid, the target still in service and
// the incarnation the one that was granted.
func (e *execution) guard(grant granted) ushertarget.Guard {
	valid := grant.Check(grant.asked)
	config := e.gateway.Config
	return func(incarnation uint64) error {
		if err := valid(); err != nil {
			return err
		}
		if incarnation != grant.Incarnation {
			return ushergrant.ErrExpired.New("target %s has incarnation %d, granted was %d", grant.Target, incarnation, grant.Incarnation)
		}
		if !config.Eligible(time.Now(), grant.Target) {
			return ushergrant.ErrExpired.New("target %s is out of service", grant.Target)
		}
		return nil
	}
}

func (e *execution) promptTokens() int {
	return len(e.call.Prompt)/promptBytesPerToken + 1
}

// failed records what is known of a sending that did not succeed.
func (e *execution) failed(evidence ushertarget.SendResult, cause error) verdict {
	e.gateway.Log.Debug("attempt failed", "request", e.idText, "error", cause)
	var err error
	v := verdict{reason: usherrequest.ReasonTargetLost}
	switch {
	case !evidence.Written:
		err = e.life.MarkUnsent()
		v.unsent = true
		if errorx.IsOfType(cause, ushertarget.ErrGuard) {
			v.reason = reasonGrantExpired
		}
	case evidence.Refused:
		err = e.life.TargetRefused()
		v = verdict{reason: usherrequest.ReasonTargetRefused, unsent: true}
	}
	if err != nil {
		e.gateway.Log.Error("request life cycle", "request", e.idText, "error", err)
	}
	return v
}

func (e *execution) mayRetry(ctx context.Context) bool {
	return ctx.Err() == nil && e.life.CanRetry() && e.sent < maxAttempts && e.grants < maxGrants
}

// refuse ends the request; the outcome is what the life cycle knows, the reason what went wrong last.
func (e *execution) refuse(ctx context.Context, cause error) error {
	reason := usherrequest.ReasonOverloaded
	retryAfter := time.Duration(0)
	if refusal := (usherrequest.Refusal{}); errors.As(cause, &refusal) {
		reason, retryAfter = refusal.Reason, refusal.RetryAfter
	}
	switch {
	case errorx.IsOfType(context.Cause(ctx), errCancelled):
		refusal, err := e.life.Cancel()
		return errors.Join(err, refusal)
	case errors.Is(ctx.Err(), context.Canceled):
		reason = usherrequest.ReasonCancelled
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = usherrequest.ReasonDeadlinePassed
	}
	refusal, err := e.life.Refuse(reason)
	if err != nil {
		return err
	}
	return refusal.WithRetryAfter(retryAfter)
}

// target returns where the last attempt went; it is empty if there was none.
func (e *execution) target() string {
	running, _ := e.progress.read()
	return running.Target
}

// finish tells the scheduler how the attempt ended.
func (e *execution) finish(grant granted, v verdict) {
	running, _ := e.progress.read()
	end := ushergrant.AttemptResult{
		Attempt: grant.attempt, Target: grant.Target, MadeTokens: running.MadeTokens,
		Completed: v.done, Unsent: v.unsent, Lost: !v.unsent && v.reason == usherrequest.ReasonTargetLost,
	}
	e.report(grant.scheduler, end)
}

// report tells a scheduler of an attempt's end without holding up the caller.
func (e *execution) report(scheduler usherconfig.Host, end ushergrant.AttemptResult) {
	g := e.gateway
	g.requests.Go(func() {
		ctx, cancel := context.WithTimeout(g.life, finishTimeout)
		defer cancel()
		if err := g.Grants.Finish(ctx, scheduler.Address.String(), end); err != nil {
			g.Log.Debug("end not reported", "attempt", end.Attempt.String(), "error", err)
		}
	})
}
