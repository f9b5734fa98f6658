package ushermeasure

import (
	"context"
	"log/slog"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/samphireusher/samphireusher/bench/usherload"
	"github.com/samphireusher/samphireusher/service/usherscheduler"
)

const (
	memberWarmUp = 8 * time.Second
	memberWindow = 4 * time.Second
)

// runMember measures a scheduler among its peers and gateways at rest. Load reports come from memory.
func runMember(plan Plan, write Writer) error {
	p := plan.Point
	fleet := usherload.Fleet{Schedulers: p.Peers + 1, Gateways: p.Gateways, Targets: p.Targets, Workspaces: p.Workspaces}
	s, err := newSubject(usherload.Scheduler(0), fleet)
	if err != nil {
		return err
	}
	defer s.close()
	view, err := s.view(fleet)
	if err != nil {
		return err
	}
	link := &countingLink{Node: s.node}
	scheduler, err := usherscheduler.New(usherscheduler.Options{
		Name: usherload.Scheduler(0), DataCentre: usherload.DataCentre, Incarnation: uint64(time.Now().UnixNano()), ReportLag: time.Second,
		Config: view, Targets: usherload.Reports{}, Link: link, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
	})
	if err != nil {
		return err
	}
	scheduler.Register(s.mux)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go scheduler.Run(ctx)
	time.Sleep(memberWarmUp)
	for repeat := range plan.Repeats {
		if err := s.window(recorder{plan: plan, repeat: repeat, write: write}, link); err != nil {
			return err
		}
	}
	return nil
}

// window measures the subject for a while.
func (s *subject) window(r recorder, link *countingLink) error {
	first, err := s.load.Traffic()
	if err != nil {
		return err
	}
	posted, failed := link.posted.Load(), link.failed.Load()
	before := take()
	time.Sleep(memberWindow)
	elapsed, processor, _ := take().since(before)
	last, err := s.load.Traffic()
	if err != nil {
		return err
	}
	seconds := elapsed.Seconds()
	heap := heapBytes()
	rss, err := residentBytes()
	if err != nil {
		return err
	}
	return r.figures(
		figure{"sent", "B/s", float64(last.SentBytes-first.SentBytes) / seconds},
		figure{"received", "B/s", float64(last.ReceivedBytes-first.ReceivedBytes) / seconds},
		figure{"datagrams", "1/s", float64(last.SentDatagrams-first.SentDatagrams+last.ReceivedDatagrams-first.ReceivedDatagrams) / seconds},
		figure{"processor", "core", processor.Seconds() / seconds},
		figure{"posted", "1/s", float64(link.posted.Load()-posted) / seconds},
		figure{"not_posted", "1/s", float64(link.failed.Load()-failed) / seconds},
		figure{"heap", "MB", heap / 1e6},
		figure{"resident", "MB", rss / 1e6},
	)
}
