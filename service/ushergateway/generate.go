package ushergateway

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/pkg/usherrelay"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
	"github.com/samphireusher/samphireusher/service/ushertarget"
)

const (
	// resumeTimeout is how long resuming a generation is retried after a broken connection before it counts as lost.
	resumeTimeout  = 5 * time.Second
	resumeInterval = 100 * time.Millisecond
	// cachePrefixBytes is the length of the prompt prefix that is part of the cache key.
	cachePrefixBytes = 256
	cancelTimeout    = 2 * time.Second
)

var (
	// errCancelled is the type of errors for requests that the caller cancelled; it is the cause of their contexts.
	errCancelled = Errors.NewType("cancelled")
	// errResumeRequested is the type of the cause given for a generation that the caller asked to resume.
	errResumeRequested = Errors.NewType("resumed")
)

// generation relays the tokens of one attempt from an engine to the caller.
type generation struct {
	*execution
	grant  acquiredGrant
	id     string
	relay  *usherrelay.Relay
	stream *ushertarget.Stream
	source usherrelay.Source
	finish string
	// lastTokenAt is when the last sampled token arrived, startedAt when the generation was requested.
	lastTokenAt, startedAt time.Time
}

// callPlain runs the request on a plain service.
func (e *execution) callPlain(ctx context.Context, grant acquiredGrant) attemptResult {
	call := ushertarget.Call{ID: e.idText, Operation: e.resolved.Template.Name, Parameters: parametersOf(e.resolved)}
	result, sent, err := e.gateway.Targets.Call(ctx, grant.Address, call, e.guard(grant))
	if err != nil {
		return e.recordSendFailure(sent, err)
	}
	if err := e.lifecycle.Complete(); err != nil {
		return attemptResult{reason: usherrequest.ReasonMalformed}
	}
	return attemptResult{done: true, answer: answer{Result: result}}
}

// generate runs the request on an engine and relays its tokens.
func (e *execution) generate(ctx context.Context, grant acquiredGrant) attemptResult {
	g := &generation{execution: e, grant: grant, id: grant.attempt.String(), relay: e.newRelay(), startedAt: time.Now()}
	request := ushertarget.Generation{
		ID: g.id, Prompt: e.resolved.Prompt, MaxTokens: e.resolved.Template.MaxOutputTokens,
		Priority: e.resolved.Template.Priority, Isolated: e.isolated, CacheKey: e.resolved.Template.Name,
	}
	stream, sent, err := e.gateway.Targets.Generate(ctx, grant.Address, request, e.guard(grant))
	if err != nil {
		return e.recordSendFailure(sent, err)
	}
	g.stream = stream
	defer func() { _ = g.stream.Close() }()
	g.source = usherrelay.Source{Generation: g.id, Attempt: grant.attempt, TargetIncarnation: stream.Incarnation}
	if err := g.relay.Start(g.source); err != nil {
		return attemptResult{reason: usherrequest.ReasonMalformed}
	}
	if err := e.sink.started(g.handle()); err != nil {
		return g.abandon(ctx, usherrequest.ReasonCancelled)
	}
	return g.relayTokens(ctx)
}

// relayTokens delivers every token to the caller once and in order until the answer is complete, resuming the
// generation after a broken connection.
func (g *generation) relayTokens(ctx context.Context) attemptResult {
	for !g.relay.Complete() {
		event, err := g.stream.Next()
		if ctx.Err() != nil {
			return g.abandon(ctx, usherrequest.ReasonCancelled)
		}
		if err != nil {
			if reason, ok := g.resume(ctx, err); !ok {
				return g.targetLost(reason)
			}
			continue
		}
		switch g.relay.Accept(g.relayEvent(event)) {
		case usherrelay.Accepted:
			if err := g.deliver(); err != nil {
				return g.abandon(ctx, usherrequest.ReasonCancelled)
			}
		case usherrelay.Gap:
			if reason, ok := g.resume(ctx, ushertarget.ErrConnection.New("missing token %d", g.relay.NextIndex())); !ok {
				return g.targetLost(reason)
			}
		case usherrelay.TooLong:
			return g.abandon(ctx, usherrequest.ReasonTooLong)
		}
	}
	return g.complete()
}

// relayEvent converts an engine's event to one of the relay. The end of a generation becomes a last token without text.
func (g *generation) relayEvent(event *ushertarget.Event) usherrelay.Event {
	source := g.source
	source.Generation, source.TargetIncarnation = event.Generation, event.Incarnation
	if event.End {
		if event.Generation == g.id {
			g.finish = event.Finish
		}
		return usherrelay.Event{Source: source, Index: event.Tokens, Last: true}
	}
	return usherrelay.Event{Source: source, Index: event.Index, Bytes: event.Text}
}

// deliver passes the tokens that the relay has ready to the sink.
func (g *generation) deliver() error {
	if g.lifecycle.State() == usherrequest.StateDispatched {
		if err := g.lifecycle.Stream(); err != nil {
			return err
		}
	}
	g.progress.setTokens(g.relay.NextIndex())
	g.recordLatency()
	for {
		token, ok := g.relay.Next()
		if !ok {
			return nil
		}
		if token.Last && len(token.Bytes) == 0 {
			continue
		}
		if err := g.deliverToken(token); err != nil {
			return err
		}
	}
}

// recordLatency records the time to the first token and every eighth interval between tokens; measuring each interval
// would be expensive on the hot path.
func (g *generation) recordLatency() {
	const sampleInterval = 8
	meters := &g.gateway.meters
	meters.tokens.Inc(1)
	switch generated := g.relay.NextIndex(); {
	case generated == 1 && !g.startedAt.IsZero():
		meters.firstToken.Update(time.Since(g.startedAt).Microseconds())
	case generated%sampleInterval == 0:
		g.lastTokenAt = time.Now()
	case generated%sampleInterval == 1 && !g.lastTokenAt.IsZero():
		meters.betweenTokens.Update(time.Since(g.lastTokenAt).Microseconds())
	}
}

func (g *generation) deliverToken(token usherrelay.Token) error {
	if g.resolved.Template.Delivery == usherconfig.StreamDelivery {
		if err := g.lifecycle.BeginDelivery(); err != nil {
			return err
		}
	}
	return g.sink.token(token.Index, token.Bytes)
}

// resume reconnects to the generation at the first missing token and retries for resumeTimeout. It reports false with a
// reason if the generation is lost.
func (g *generation) resume(ctx context.Context, cause error) (usherrequest.Reason, bool) {
	step := g.relay.Disconnected()
	if step.Action != usherrelay.Resume {
		return usherrequest.ReasonTargetLost, false
	}
	g.gateway.meters.resumes.Inc(1)
	if !errors.Is(cause, io.EOF) {
		g.gateway.Log.Info("resuming generation", "request", g.idText, "target", g.grant.Target, "index", step.From, "error", cause)
	}
	if g.stream != nil {
		_ = g.stream.Close()
	}
	for until := time.Now().Add(resumeTimeout); time.Now().Before(until) && ctx.Err() == nil; sleep(ctx, resumeInterval) {
		stream, err := g.gateway.Targets.Resume(ctx, g.grant.Address, g.id, step.From)
		if errorx.IsOfType(err, ushertarget.ErrUnknownGeneration) {
			return usherrequest.ReasonTargetLost, false
		}
		if err == nil {
			g.stream = stream
			return "", true
		}
	}
	return usherrequest.ReasonTargetLost, false
}

// targetLost ends the attempt because its generation no longer exists or cannot be reached.
func (g *generation) targetLost(reason usherrequest.Reason) attemptResult {
	g.relay.TargetLost()
	return attemptResult{reason: reason}
}

// abandon ends the attempt and cancels its generation on the engine: immediately if the caller cancelled the request or
// the answer is too long, otherwise after takeoverGrace, during which the caller may resume the stream.
func (g *generation) abandon(ctx context.Context, reason usherrequest.Reason) attemptResult {
	g.relay.Close()
	wait := takeoverGrace
	if reason != usherrequest.ReasonCancelled || errorx.IsOfType(context.Cause(ctx), errCancelled) {
		wait = 0
	}
	g.gateway.requests.run(func() { g.cancelAfter(wait) })
	return attemptResult{reason: reason}
}

func (g *generation) cancelAfter(wait time.Duration) {
	sleep(g.gateway.background, wait)
	if g.gateway.takeovers.has(g.id) {
		return
	}
	ctx, cancel := context.WithTimeout(g.gateway.background, cancelTimeout)
	defer cancel()
	if err := g.gateway.Targets.Cancel(ctx, g.grant.Address, g.id); err != nil {
		g.gateway.Log.Debug("cancelling generation failed", "request", g.idText, "error", err)
	}
}

func (g *generation) complete() attemptResult {
	if err := g.lifecycle.Complete(); err != nil {
		g.gateway.Log.Error("invalid request state transition", "request", g.idText, "error", err)
		return attemptResult{reason: usherrequest.ReasonMalformed}
	}
	return attemptResult{done: true, answer: answer{Tokens: g.relay.Delivered() - 1, Finish: g.finish}}
}

func (g *generation) handle() string {
	text, err := g.gateway.Keyring.SignHandle(usherrequest.Handle{
		Workspace: g.resolved.Workspace.Name, Generation: g.id, Attempt: g.grant.attempt, Target: g.grant.Target,
		TargetIncarnation: g.source.TargetIncarnation, Gateway: g.gateway.Name, Expiry: time.Now().Add(idLifetime),
	})
	if err != nil {
		g.gateway.Log.Error("failed to sign resume handle; the caller cannot resume the stream", "request", g.idText, "error", err)
	}
	return text
}

func (e *execution) newRelay() *usherrelay.Relay {
	delivery := usherrequest.Stream
	if e.resolved.Template.Delivery == usherconfig.WholeDelivery {
		delivery = usherrequest.Whole
	}
	return usherrelay.New(delivery, usherrelay.Limits{})
}

// prefixKey returns a key that is the same for requests of one template with the same prompt prefix.
func prefixKey(resolved usherconfig.ResolvedRequest) uint64 {
	prefix := resolved.Prompt[:min(len(resolved.Prompt), cachePrefixBytes)]
	return xxhash.Sum64String(resolved.Template.Name + "\x00" + prefix)
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
