package ushergrant

import (
	"context"
	"errors"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/usherlink"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
)

// maxGeneratedTokens bounds the token count of an attempt in a received progress message.
const maxGeneratedTokens = 1 << 24

type (
	// Scheduler handles the calls of gateways.
	Scheduler interface {
		// Acquire waits for a grant for up to request.PollTimeout. Its error is ErrWaiting or a usherrequest.Refusal.
		Acquire(ctx context.Context, request Request) (Grant, error)
		// Progress receives all attempts of a gateway that run on the targets that this scheduler holds.
		Progress(gateway string, running []RunningAttempt)
		// Finish receives the result of an attempt.
		Finish(result AttemptResult)
	}

	// Listener receives the advertisements of schedulers.
	Listener interface {
		Advertised(a Advertisement)
	}
)

// Register adds the handlers of the scheduler's side of the protocol to mux.
func Register(mux *usherlink.Mux, scheduler Scheduler) {
	mux.Handle(kindAcquire, func(ctx context.Context, from usherlink.Peer, body usherlink.Payload) (any, error) {
		var w requestWire
		if err := body.Decode(&w); err != nil {
			return nil, err
		}
		request := w.request(from.Name)
		request.GatewayAddress = from.Address.String()
		return acquire(ctx, scheduler, request)
	})
	mux.Handle(kindProgress, func(_ context.Context, from usherlink.Peer, body usherlink.Payload) (any, error) {
		var w progressWire
		if err := body.Decode(&w); err != nil {
			return nil, err
		}
		scheduler.Progress(from.Name, w.running(from.Name))
		return nil, nil
	})
	mux.Handle(kindFinish, func(_ context.Context, from usherlink.Peer, body usherlink.Payload) (any, error) {
		var w attemptResultWire
		if err := body.Decode(&w); err != nil {
			return nil, err
		}
		scheduler.Finish(w.attemptResult(from.Name))
		return nil, nil
	})
}

// RegisterListener adds the handler for advertisements, which gateways receive, to mux.
func RegisterListener(mux *usherlink.Mux, listener Listener) {
	mux.Handle(kindAdvertise, func(_ context.Context, from usherlink.Peer, body usherlink.Payload) (any, error) {
		var w advertisementWire
		if err := body.Decode(&w); err != nil {
			return nil, err
		}
		listener.Advertised(w.advertisement(from.Name))
		return nil, nil
	})
}

func acquire(ctx context.Context, scheduler Scheduler, request Request) (any, error) {
	grant, err := scheduler.Acquire(ctx, request)
	if err == nil {
		return grant.wire(), nil
	}
	if errorx.IsOfType(err, ErrWaiting) {
		return grantReplyWire{Waiting: true}, nil
	}
	var refusal usherrequest.Refusal
	if errors.As(err, &refusal) {
		return grantReplyWire{Reason: string(refusal.Reason), RetryMillis: refusal.RetryAfter.Milliseconds()}, nil
	}
	return nil, err
}

func (w progressWire) running(gateway string) []RunningAttempt {
	running := []RunningAttempt{}
	for _, t := range w.Targets {
		counter := uint64(0)
		for pair := t.Attempts; len(pair) > 1; pair = pair[2:] {
			counter += pair[0]
			running = append(running, RunningAttempt{
				Attempt: attemptID(gateway, w.Incarnation, counter), Target: t.Target, Incarnation: t.Incarnation,
				GeneratedTokens: int(min(pair[1], maxGeneratedTokens)),
			})
		}
	}
	return running
}

func (w attemptResultWire) attemptResult(gateway string) AttemptResult {
	return AttemptResult{
		Attempt: attemptID(gateway, w.Incarnation, w.Counter), Target: w.Target,
		GeneratedTokens: max(w.GeneratedTokens, 0), Completed: w.Completed, Lost: w.Lost, Unsent: w.Unsent,
	}
}
