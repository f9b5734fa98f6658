package ushermeasure

import (
	"context"
	"log/slog"
	"net/netip"
	"os"
	"time"

	"github.com/samphireusher/samphireusher/bench/usherload"
	"github.com/samphireusher/samphireusher/pkg/usherkey"
	"github.com/samphireusher/samphireusher/pkg/usherlink"
	"github.com/samphireusher/samphireusher/service/usherfeed"
)

const (
	feedWarmUp   = 4 * time.Second
	feedWindow   = 4 * time.Second
	feedChanges  = 5
	feedSeed     = 7919
	changeSpread = 300 * time.Millisecond
)

// runFeed measures the configuration feed of a daemon among the other feeds of its data centre: when idle and during
// changes.
func runFeed(plan Plan, write Writer) error {
	s, endpoints, err := newFeedSubject(plan.Point)
	if err != nil {
		return err
	}
	defer s.close()
	address := netip.MustParseAddrPort(endpoints.Address)
	feed := usherfeed.New(usherfeed.Options{
		Address: address, DataCentre: usherload.DataCentre, Platform: usherfeed.NewPlatform(netip.MustParseAddrPort(endpoints.Platform)),
		Link: s.node, Log: slog.New(slog.DiscardHandler), Seed: feedSeed,
	})
	feed.Register(s.mux)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go feed.Run(ctx)
	if err := feed.WaitReady(ctx); err != nil {
		return err
	}
	time.Sleep(feedWarmUp)
	for repeat := range plan.Repeats {
		r := recorder{plan: plan, repeat: repeat, write: write}
		if err := s.measureFeed(r, func() (time.Duration, error) { time.Sleep(feedWindow); return feedWindow, nil }, "rest"); err != nil {
			return err
		}
		if err := s.measureChanges(r, feed); err != nil {
			return err
		}
	}
	return nil
}

// newFeedSubject starts a node in this process, and the platform and the other feeds in a load process.
func newFeedSubject(p Point) (*subject, usherload.FeedEndpoints, error) {
	var endpoints usherload.FeedEndpoints
	s := &subject{name: usherload.Gateway(0), mux: &usherlink.Mux{}}
	var err error
	if s.directory, err = os.MkdirTemp("", "usher-bench-"); err != nil {
		return nil, endpoints, err
	}
	authority, err := usherkey.NewAuthority(time.Now(), keyValidity)
	if err != nil {
		return nil, endpoints, err
	}
	if err := s.listen(authority); err != nil {
		return nil, endpoints, err
	}
	if s.load, err = usherload.Start(); err != nil {
		return nil, endpoints, err
	}
	endpoints, err = s.load.Feeds(usherload.Feeds{
		Peers: p.Peers, Targets: p.Targets, Workspaces: p.Workspaces, Subject: s.node.Address(), Authority: authority, Directory: s.directory,
	})
	return s, endpoints, err
}

// measureChanges publishes changes and measures the time until each is in effect in all feeds, this process's included.
func (s *subject) measureChanges(r recorder, feed *usherfeed.Feed) error {
	for i := range feedChanges {
		time.Sleep(time.Duration(i) * changeSpread)
		revision := feed.Revision()
		err := s.measureFeed(r, func() (time.Duration, error) {
			began := time.Now()
			took, err := s.load.Publish()
			if err != nil {
				return 0, err
			}
			for feed.Revision() <= revision {
				time.Sleep(time.Millisecond)
				took = time.Since(began)
			}
			return took, r.record("change_in_force", "s", took.Seconds())
		}, "change")
		if err != nil {
			return err
		}
	}
	return nil
}

// measureFeed measures the process while action runs. It writes records only for the phase "rest".
func (s *subject) measureFeed(r recorder, action func() (time.Duration, error), phase string) error {
	first, err := s.load.Traffic()
	if err != nil {
		return err
	}
	calls, err := s.load.PlatformCalls()
	if err != nil {
		return err
	}
	before := takeSample()
	if _, err := action(); err != nil {
		return err
	}
	elapsed, processor, _ := takeSample().since(before)
	last, err := s.load.Traffic()
	if err != nil {
		return err
	}
	called, err := s.load.PlatformCalls()
	if err != nil || phase != "rest" {
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
		measurement{"processor", "core", processor.Seconds() / seconds},
		measurement{"platform_calls", "1/s", float64(called-calls) / seconds},
		measurement{"heap", "MB", heap / 1e6},
		measurement{"resident", "MB", rss / 1e6},
	)
}
