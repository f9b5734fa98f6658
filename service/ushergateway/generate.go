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
	// resumeFor is how long a broken link to a target is tried again before its generation counts as lost.
	resumeFor   = 5 * time.Second
	resumePause = 100 * time.Millisecond
	// cachePrefixBytes is the part of a prompt that requests of one kind share.
	cachePrefixBytes = 256
	cancelTimeout    = 2 * time.Second
)

var (
	errCancelled = Errors.NewType("cancelled")
	errResumed   = Errors.NewType("resumed")
)

// generation relays the answer of one attempt at an engine.
type generation struct {
	*execution
	grant  granted
	id     string
	relay  *usherrelay.Relay
	stream *ushertarget.Stream
	source usherrelay.Source
	finish string
	// lastAt is when the last token came, begunAt when the generation was asked for.
	lastAt, begunAt time.Time
}

// callPlain runs the request at a plain service.
func (e *execution) callPlain(ctx context.Context, grant granted) verdict {
	call := ushertarget.Call{ID: e.idText, Operation: e.call.Template.Name, Parameters: parametersOf(e.call)}
	result, evidence, err := e.gateway.Targets.Call(ctx, grant.Address, call, e.guard(grant))
	if err != nil {
		return e.failed(evidence, err)
	}
	if err := e.life.Complete(); err != nil {
		return verdict{reason: usherrequest.ReasonMalformed}
	}
	return verdict{done: true, answer: answer{Result: result}}
}

// generate runs the request at an engine and relays its tokens.
func (e *execution) generate(ctx context.Context, grant granted) verdict {
	g := &generation{execution: e, grant: grant, id: grant.attempt.String(), relay: e.newRelay(), begunAt: time.Now()}
	order := ushertarget.Generation{
		ID: g.id, Prompt: e.call.Prompt, MaxTokens: e.call.Template.MaxOutputTokens,
		Priority: e.call.Template.Priority, Isolated: e.isolated, CacheKey: e.call.Template.Name,
	}
	stream, evidence, err := e.gateway.Targets.Generate(ctx, grant.Address, order, e.guard(grant))
	if err != nil {
		return e.failed(evidence, err)
	}
	g.stream = stream
	defer func() { _ = g.stream.Close() }()
	g.source = usherrelay.Source{Generation: g.id, Attempt: grant.attempt, TargetIncarnation: stream.Incarnation}
	if err := g.relay.Start(g.source); err != nil {
		return verdict{reason: usherrequest.ReasonMalformed}
	}
	if err := e.sink.started(g.handle()); err != nil {
		return g.abandon(ctx, usherrequest.ReasonCancelled)
	}
	return g.relayAll(ctx)
}

// relayAll hands the caller every token once and in order, through broken links, until the answer is whole.
func (g *generation) relayAll(ctx context.Context) verdict {
	for !g.relay.Complete() {
		event, err := g.stream.Next()
		if ctx.Err() != nil {
			return g.abandon(ctx, usherrequest.ReasonCancelled)
		}
		if err != nil {
			if reason, ok := g.resume(ctx, err); !ok {
				return g.lost(reason)
			}
			continue
		}
		switch g.relay.Accept(g.relayed(event)) {
		case usherrelay.Accepted:
			if err := g.release(); err != nil {
				return g.abandon(ctx, usherrequest.ReasonCancelled)
			}
		case usherrelay.Gap:
			if reason, ok := g.resume(ctx, ushertarget.ErrConnection.New("gap at token %d", g.relay.NextIndex())); !ok {
				return g.lost(reason)
			}
		case usherrelay.TooLong:
			return g.abandon(ctx, usherrequest.ReasonTooLong)
		}
	}
	return g.complete()
}

// relayed turns an engine's event into the relay's. The end of a generation is a last token without text.
func (g *generation) relayed(event *ushertarget.Event) usherrelay.Event {
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

// release hands the caller what the relay lets through.
func (g *generation) release() error {
	if g.life.State() == usherrequest.StateDispatched {
		if err := g.life.Stream(); err != nil {
			return err
		}
	}
	g.progress.made(g.relay.NextIndex())
	g.measure()
	for {
		token, ok := g.relay.Next()
		if !ok {
			return nil
		}
		if token.Last && len(token.Bytes) == 0 {
			continue
		}
		if err := g.releaseOne(token); err != nil {
			return err
		}
	}
}

// measure notes the time to the first token and of one gap in eight, so that the hot path stays cheap.
func (g *generation) measure() {
	const oneIn = 8
	meters := &g.gateway.meters
	meters.tokens.Inc(1)
	switch made := g.relay.NextIndex(); {
	case made == 1 && !g.begunAt.IsZero():
		meters.firstToken.Update(time.Since(g.begunAt).Microseconds())
	case made%oneIn == 0:
		g.lastAt = time.Now()
	case made%oneIn == 1 && !g.lastAt.IsZero():
		meters.betweenTokens.Update(time.Since(g.lastAt).Microseconds())
	}
}

func (g *generation) releaseOne(token usherrelay.Token) error {
	if g.call.Template.Delivery == usherconfig.StreamDelivery {
		if err := g.life.BeginDelivery(); err != nil {
			return err
		}
	}
	return g.sink.token(token.Index, token.Bytes)
}

// resume asks the same generation again for what is missing, for as long as the target may come back.
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
	for until := time.Now().Add(resumeFor); time.Now().Before(until) && ctx.Err() == nil; pause(ctx, resumePause) {
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

// lost ends the attempt because its generation is gone.
func (g *generation) lost(reason usherrequest.Reason) verdict {
	g.relay.TargetLost()
	return verdict{reason: reason}
}

// abandon ends the attempt and has the engine drop its generation: at once if the caller said so or the answer is
// too long, else after a while in which the caller may resume the stream.
func (g *generation) abandon(ctx context.Context, reason usherrequest.Reason) verdict {
	g.relay.Close()
	wait := takeoverGrace
	if reason != usherrequest.ReasonCancelled || errorx.IsOfType(context.Cause(ctx), errCancelled) {
		wait = 0
	}
	g.gateway.requests.Go(func() { g.cancelAfter(wait) })
	return verdict{reason: reason}
}

func (g *generation) cancelAfter(wait time.Duration) {
	pause(g.gateway.life, wait)
	if g.gateway.takeovers.has(g.id) {
		return
	}
	ctx, cancel := context.WithTimeout(g.gateway.life, cancelTimeout)
	defer cancel()
	if err := g.gateway.Targets.Cancel(ctx, g.grant.Address, g.id); err != nil {
		g.gateway.Log.Debug("generation not cancelled", "request", g.idText, "error", err)
	}
}

func (g *generation) complete() verdict {
	if err := g.life.Complete(); err != nil {
		g.gateway.Log.Error("request life cycle", "request", g.idText, "error", err)
		return verdict{reason: usherrequest.ReasonMalformed}
	}
	return verdict{done: true, answer: answer{Tokens: g.relay.Delivered() - 1, Finish: g.finish}}
}

func (g *generation) handle() string {
	text, err := g.gateway.Keyring.SignHandle(usherrequest.Handle{
		Workspace: g.call.Workspace.Name, Generation: g.id, Attempt: g.grant.attempt, Target: g.grant.Target,
		TargetIncarnation: g.source.TargetIncarnation, Gateway: g.gateway.Name, Expiry: time.Now().Add(idLifetime),
	})
	if err != nil {
		g.gateway.Log.Error("handle not signed", "request", g.idText, "error", err)
	}
	return text
}

func (e *execution) newRelay() *usherrelay.Relay {
	delivery := usherrequest.Stream
	if e.call.Template.Delivery == usherconfig.WholeDelivery {
		delivery = usherrequest.Whole
	}
	return usherrelay.New(delivery, usherrelay.Limits{})
}

// cacheKey returns a key that requests with the same beginning of the prompt share.
func cacheKey(call usherconfig.Call) uint64 {
	prefix := call.Prompt[:min(len(call.Prompt), cachePrefixBytes)]
	return xxhash.Sum64String(call.Template.Name + "\x00" + prefix)
}

func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
