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
	// decisionWarmUp is longer than the period after its start during which a scheduler lends no votes.
	decisionWarmUp = 11 * time.Second
)

// discardLink discards all messages.
type discardLink struct{}

// runDecision measures the cost of a grant of a running scheduler that holds all targets, from the call of Acquire to its
// result. The processor time that the scheduler uses when idle is subtracted.
func runDecision(plan Plan, write Writer) error {
	view, err := usherload.NewView(usherload.Fleet{Schedulers: 1, Targets: plan.Point.Targets, Workspaces: 1}.Snapshot())
	if err != nil {
		return err
	}
	s, err := usherscheduler.New(usherscheduler.Options{
		Name: usherload.Scheduler(0), DataCentre: usherload.DataCentre, Incarnation: 1, ReportLag: time.Second,
		Config: view, Targets: usherload.StaticTargets{}, Link: discardLink{}, Log: slog.New(slog.DiscardHandler),
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
		idleStart := takeSample()
		time.Sleep(time.Second)
		idleTime, idleProcessor, _ := takeSample().since(idleStart)
		before := takeSample()
		for range decisionCount {
			counter++
			if err := decide(ctx, s, counter); err != nil {
				return err
			}
		}
		elapsed, processor, allocations := takeSample().since(before)
		processor -= time.Duration(float64(idleProcessor) * elapsed.Seconds() / idleTime.Seconds())
		r := recorder{plan: plan, repeat: repeat, write: write}
		err := r.recordAll(
			measurement{"processor", "us/grant", float64(processor.Nanoseconds()) / 1e3 / decisionCount},
			measurement{"allocations", "1/grant", allocations / decisionCount},
			measurement{"idle_processor", "core", idleProcessor.Seconds() / idleTime.Seconds()},
		)
		if err != nil {
			return err
		}
	}
	return nil
}

// decide acquires a grant and finishes its attempt.
func decide(ctx context.Context, s *usherscheduler.Scheduler, counter uint64) error {
	id := usherrequest.AttemptID{Gateway: usherload.Gateway(0), Incarnation: 1, Counter: counter}
	grant, err := s.Acquire(ctx, ushergrant.Request{
		Attempt: id, Service: "appraiser", Template: usherload.Template, Workspace: usherload.Workspace(0), PromptTokens: 600,
		MaxOutputTokens: 4000, Priority: 5, Prefix: counter % 16, Revision: 1, QueueTimeout: time.Minute, PollTimeout: time.Minute,
	})
	if err != nil {
		return err
	}
	s.Finish(ushergrant.AttemptResult{Attempt: id, Target: grant.Target, GeneratedTokens: 300, Completed: true})
	return nil
}

// SendDatagram implements ushergrant.Link.
func (discardLink) SendDatagram(string, string, any) error { return nil }

// Call implements ushergrant.Link.
func (discardLink) Call(context.Context, string, string, any, any) error { return nil }
