package ushergateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/pkg/usherlink"
	"github.com/samphireusher/samphireusher/pkg/usherrelay"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
)

const (
	kindTaken = "request.taken"
	// takeoverGrace is how long a generation whose caller went away goes on, so that the caller may resume it.
	takeoverGrace = 5 * time.Second
	takenTimeout  = time.Second
)

type (
	// takenWire tells the gateway that relayed a stream before that another one relays it now.
	takenWire struct {
		Generation string `cbor:"1,keyasint"`
	}

	// takeovers remembers the generations that callers resumed elsewhere, for as long as it matters.
	takeovers struct {
		mu    sync.Mutex
		taken map[string]time.Time
	}
)

// serveResume takes over the relay of a stream, at this or any other gateway.
func (g *Gateway) serveResume(w http.ResponseWriter, r *http.Request) error {
	handle, err := g.Keyring.ParseHandle(time.Now(), callerOf(r), r.URL.Query().Get("handle"))
	if err != nil {
		return err
	}
	if from := r.URL.Query().Get("from"); from != "" {
		index, err := strconv.Atoi(from)
		if err != nil || index < 0 {
			return errMalformed.New("from=%q is no index of a token", from)
		}
		handle = handle.WithNextIndex(index)
	}
	g.requests.Add(1)
	defer g.requests.Done()
	g.takeOver(r.Context(), handle)
	to := newEventSink(w, "")
	answer, err := g.relayResumed(r.Context(), handle, to)
	to.end(answer, err)
	return nil
}

// takeOver tells the gateway that relayed the stream before not to cancel it. A gateway that is gone cannot.
func (g *Gateway) takeOver(ctx context.Context, handle usherrequest.Handle) {
	g.takeovers.add(time.Now(), handle.Generation)
	if handle.Gateway == g.Name {
		return
	}
	for _, host := range g.Config.Hosts(usherconfig.GatewayRole) {
		if host.Name != handle.Gateway {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, takenTimeout)
		defer cancel()
		if err := g.Link.Call(ctx, host.Address.String(), kindTaken, takenWire{Generation: handle.Generation}, nil); err != nil {
			g.Log.Info("former gateway not told of takeover", "gateway", host.Name, "error", err)
		}
	}
}

// relayResumed relays the rest of the handle's generation. Its caller has a part, so whatever fails is ran_in_part.
func (g *Gateway) relayResumed(ctx context.Context, handle usherrequest.Handle, to sink) (answer, error) {
	call := usherconfig.Call{Template: usherconfig.Template{Delivery: usherconfig.StreamDelivery}}
	call.Workspace.Name = handle.Workspace
	e := g.newExecution(call, usherrequest.ID{}, handle.Generation, to)
	life := e.life
	if err := errors.Join(life.Queue(), life.Grant(), life.Dispatch(handle.Attempt), life.Stream()); err != nil {
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
	if reason, ok := resumed.resume(ctx, errResumed.New("asked by the caller")); !ok {
		return answer{}, e.refuse(ctx, usherrequest.Refuse(usherrequest.Evidence{}, reason))
	}
	defer func() { _ = resumed.stream.Close() }()
	if err := to.started(resumed.handle()); err != nil {
		return answer{}, err
	}
	v := resumed.relayAll(ctx)
	if !v.done {
		return answer{}, e.refuse(ctx, usherrequest.Refuse(usherrequest.Evidence{}, v.reason))
	}
	return v.answer, nil
}

func (g *Gateway) registerTakeover(mux *usherlink.Mux) {
	mux.Handle(kindTaken, func(_ context.Context, _ usherlink.Peer, body usherlink.Payload) (any, error) {
		var wire takenWire
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
	if t.taken == nil {
		t.taken = map[string]time.Time{}
	}
	for g, at := range t.taken {
		if now.Sub(at) > idLifetime {
			delete(t.taken, g)
		}
	}
	t.taken[generation] = now
}

func (t *takeovers) has(generation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.taken[generation]
	return ok
}
