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

// runMember measures an idle scheduler among its peers and gateways. Load reports are read from memory, not over the
// network.
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
		Config: view, Targets: usherload.StaticTargets{}, Link: link, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
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
		if err := s.measureWindow(recorder{plan: plan, repeat: repeat, write: write}, link); err != nil {
			return err
		}
	}
	return nil
}

// measureWindow measures the subject over memberWindow.
func (s *subject) measureWindow(r recorder, link *countingLink) error {
	first, err := s.load.Traffic()
	if err != nil {
		return err
	}
	attempted, failed := link.attempted.Load(), link.failed.Load()
	before := takeSample()
	time.Sleep(memberWindow)
	elapsed, processor, _ := takeSample().since(before)
	last, err := s.load.Traffic()
	if err != nil {
		return err
	}
	seconds := elapsed.Seconds()
	heap := heapBytes()
	rss, err := trimmedResidentBytes()
	if err != nil {
		return err
	}
	return r.recordAll(
		measurement{"sent", "B/s", float64(last.SentBytes-first.SentBytes) / seconds},
		measurement{"received", "B/s", float64(last.ReceivedBytes-first.ReceivedBytes) / seconds},
		measurement{"datagrams", "1/s", float64(last.SentDatagrams-first.SentDatagrams+last.ReceivedDatagrams-first.ReceivedDatagrams) / seconds},
		measurement{"processor", "core", processor.Seconds() / seconds},
		measurement{"posted", "1/s", float64(link.attempted.Load()-attempted) / seconds},
		measurement{"not_posted", "1/s", float64(link.failed.Load()-failed) / seconds},
		measurement{"heap", "MB", heap / 1e6},
		measurement{"resident", "MB", rss / 1e6},
	)
}
