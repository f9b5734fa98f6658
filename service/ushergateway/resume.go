package ushergateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/pkg/usherledger"
	"github.com/samphireusher/samphireusher/pkg/usherlink"
	"github.com/samphireusher/samphireusher/pkg/usherrelay"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
)

const (
	kindTakeover = "request.taken"
	// takeoverGrace is how long a generation continues after its caller disconnected, so that the caller can resume it.
	takeoverGrace   = 5 * time.Second
	takeoverTimeout = time.Second
)

type (
	// takeoverWire notifies the previous gateway of a stream that another gateway now relays it.
	takeoverWire struct {
		Generation string `cbor:"1,keyasint"`
	}

	// takeovers records the generations that callers resumed, each for idLifetime.
	takeovers struct {
		mu        sync.Mutex
		resumedAt map[string]time.Time
	}
)

// serveResume continues a stream that this or another gateway relayed before.
func (g *Gateway) serveResume(w http.ResponseWriter, r *http.Request) error {
	handle, err := g.Keyring.ParseHandle(time.Now(), workspaceOf(r), r.URL.Query().Get("handle"))
	if err != nil {
		return err
	}
	if from := r.URL.Query().Get("from"); from != "" {
		index, err := strconv.Atoi(from)
		if err != nil || index < 0 {
			return errMalformed.New("from=%q is not a token index", from)
		}
		handle = handle.WithNextIndex(index)
	}
	if !g.requests.begin() {
		// The generation has run, at least in part.
		return usherledger.GatewayUnreachable()
	}
	defer g.requests.end()
	g.notifyTakeover(r.Context(), handle)
	to := newEventSink(w, "")
	answer, err := g.relayResumed(r.Context(), handle, to)
	to.end(answer, err)
	return nil
}

// notifyTakeover tells the previous gateway of the stream not to cancel the generation. An error is only logged: a
// gateway that has crashed cannot cancel it.
func (g *Gateway) notifyTakeover(ctx context.Context, handle usherrequest.Handle) {
	g.takeovers.add(time.Now(), handle.Generation)
	if handle.Gateway == g.Name {
		return
	}
	for _, host := range g.Config.Hosts(usherconfig.GatewayRole) {
		if host.Name != handle.Gateway {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
		defer cancel()
		if err := g.Link.Call(ctx, host.Address.String(), kindTakeover, takeoverWire{Generation: handle.Generation}, nil); err != nil {
			g.Log.Info("failed to notify previous gateway of takeover; it may cancel the generation", "gateway", host.Name, "error", err)
		}
	}
}

// relayResumed relays the rest of the handle's generation. The caller already has a part of the answer, so every
// failure has the outcome ran_in_part.
func (g *Gateway) relayResumed(ctx context.Context, handle usherrequest.Handle, to sink) (answer, error) {
	resolved := usherconfig.ResolvedRequest{Template: usherconfig.Template{Delivery: usherconfig.StreamDelivery}}
	resolved.Workspace.Name = handle.Workspace
	e := g.newExecution(resolved, usherrequest.ID{}, handle.Generation, to)
	lifecycle := e.lifecycle
	if err := errors.Join(lifecycle.Queue(), lifecycle.Grant(), lifecycle.Dispatch(handle.Attempt), lifecycle.Stream()); err != nil {
		return answer{}, err
	}
	target, ok := g.Config.Target(handle.Target)
	if !ok {
		return answer{}, e.refuse(ctx, usherrequest.Refuse(usherrequest.Evidence{}, usherrequest.ReasonTargetLost))
	}
	resumed := &generation{
		execution: e, id: handle.Generation, relay: usherrelay.NewResumed(handle, usherrelay.Limits{}),
		source: usherrelay.Source{Generation: handle.Generation, Attempt: handle.Attempt, TargetIncarnation: handle.TargetIncarnation},
	}
	resumed.grant.Target, resumed.grant.Address = target.Name, target.Address
	if reason, ok := resumed.resume(ctx, errResumeRequested.New("resume requested by the caller")); !ok {
		return answer{}, e.refuse(ctx, usherrequest.Refuse(usherrequest.Evidence{}, reason))
	}
	defer func() { _ = resumed.stream.Close() }()
	if err := to.started(resumed.handle()); err != nil {
		return answer{}, err
	}
	result := resumed.relayTokens(ctx)
	if !result.done {
		return answer{}, e.refuse(ctx, usherrequest.Refuse(usherrequest.Evidence{}, result.reason))
	}
	return result.answer, nil
}

func (g *Gateway) registerTakeover(mux *usherlink.Mux) {
	mux.Handle(kindTakeover, func(_ context.Context, _ usherlink.Peer, body usherlink.Payload) (any, error) {
		var wire takeoverWire
		if err := body.Decode(&wire); err != nil {
			return nil, err
		}
		g.takeovers.add(time.Now(), wire.Generation)
		return nil, nil
	})
}

func (t *takeovers) add(now time.Time, generation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.resumedAt == nil {
		t.resumedAt = map[string]time.Time{}
	}
	for g, at := range t.resumedAt {
		if now.Sub(at) > idLifetime {
			delete(t.resumedAt, g)
		}
	}
	t.resumedAt[generation] = now
}

func (t *takeovers) has(generation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.resumedAt[generation]
	return ok
}
