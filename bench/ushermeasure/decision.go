package ushermeasure

import (
	"context"
	"log/slog"
	"time"

	"github.com/samphireusher/samphireusher/bench/usherload"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
	"github.com/samphireusher/samphireusher/service/ushergrant"
	"github.com/samphireusher/samphireusher/service/usherscheduler"
)

const (
	decisionCount = 2000
	// decisionWarmUp is longer than the time for which a started scheduler lends nothing.
	decisionWarmUp = 11 * time.Second
)

// silence is a link to nobody.
type silence struct{}

// runDecision measures a grant by the scheduler as it runs, from the asking to the answer, with all targets held.
func runDecision(plan Plan, write Writer) error {
	view, err := usherload.NewView(usherload.Fleet{Schedulers: 1, Targets: plan.Point.Targets, Workspaces: 1}.Snapshot())
	if err != nil {
		return err
	}
	s, err := usherscheduler.New(usherscheduler.Options{
		Name: usherload.Scheduler(0), DataCentre: usherload.DataCentre, Incarnation: 1, ReportLag: time.Second,
		Config: view, Targets: usherload.Reports{}, Link: silence{}, Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.Run(ctx)
	time.Sleep(decisionWarmUp)
	counter := uint64(0)
	for repeat := range plan.Repeats {
		idle := take()
		time.Sleep(time.Second)
		rest, resting, _ := take().since(idle)
		before := take()
		for range decisionCount {
			counter++
			if err := decide(ctx, s, counter); err != nil {
				return err
			}
		}
		elapsed, processor, allocations := take().since(before)
		processor -= time.Duration(float64(resting) * elapsed.Seconds() / rest.Seconds())
		r := recorder{plan: plan, repeat: repeat, write: write}
		err := r.figures(
			figure{"processor", "us/grant", float64(processor.Nanoseconds()) / 1e3 / decisionCount},
			figure{"allocations", "1/grant", allocations / decisionCount},
			figure{"idle_processor", "core", resting.Seconds() / rest.Seconds()},
		)
		if err != nil {
			return err
		}
	}
	return nil
}

// decide asks for a grant and ends its attempt.
func decide(ctx context.Context, s *usherscheduler.Scheduler, counter uint64) error {
	id := usherrequest.AttemptID{Gateway: usherload.Gateway(0), Incarnation: 1, Counter: counter}
	grant, err := s.Acquire(ctx, ushergrant.Request{
		Attempt: id, Service: "appraiser", Template: usherload.Template, Workspace: usherload.Workspace(0), PromptTokens: 600,
		MaxTokens: 4000, Priority: 5, CacheKey: counter % 16, Revision: 1, MaxWait: time.Minute, PollTimeout: time.Minute,
	})
	if err != nil {
		return err
	}
	s.Finish(ushergrant.AttemptResult{Attempt: id, Target: grant.Target, MadeTokens: 300, Completed: true})
	return nil
}

// SendDatagram implements ushergrant.Link.
func (silence) SendDatagram(string, string, any) error { return nil }

// Call implements ushergrant.Link.
func (silence) Call(context.Context, string, string, any, any) error { return nil }
