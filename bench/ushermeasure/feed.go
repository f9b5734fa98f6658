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

// runFeed measures the configuration's feed of a daemon among those of its data centre: at rest, and for a change.
func runFeed(plan Plan, write Writer) error {
	s, following, err := newFollower(plan.Point)
	if err != nil {
		return err
	}
	defer s.close()
	address := netip.MustParseAddrPort(following.Address)
	feed := usherfeed.New(usherfeed.Options{
		Address: address, DataCentre: usherload.DataCentre, Platform: usherfeed.NewPlatform(netip.MustParseAddrPort(following.Platform)),
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
		if err := s.follow(r, func() (time.Duration, error) { time.Sleep(feedWindow); return feedWindow, nil }, "rest"); err != nil {
			return err
		}
		if err := s.changes(r, feed); err != nil {
			return err
		}
	}
	return nil
}

// newFollower starts a node, and the platform and the other feeds in a load process.
func newFollower(p Point) (*subject, usherload.Following, error) {
	var following usherload.Following
	s := &subject{name: usherload.Gateway(0), mux: &usherlink.Mux{}}
	var err error
	if s.directory, err = os.MkdirTemp("", "usher-bench-"); err != nil {
		return nil, following, err
	}
	authority, err := usherkey.NewAuthority(time.Now(), keyValidity)
	if err != nil {
		return nil, following, err
	}
	if err := s.listen(authority); err != nil {
		return nil, following, err
	}
	if s.load, err = usherload.Start(); err != nil {
		return nil, following, err
	}
	following, err = s.load.Feeds(usherload.Feeds{
		Peers: p.Peers, Targets: p.Targets, Workspaces: p.Workspaces, Subject: s.node.Address(), Authority: authority, Directory: s.directory,
	})
	return s, following, err
}

// changes publishes changes and measures how long they take until they are in force everywhere.
func (s *subject) changes(r recorder, feed *usherfeed.Feed) error {
	for i := range feedChanges {
		time.Sleep(time.Duration(i) * changeSpread)
		revision := feed.Revision()
		err := s.follow(r, func() (time.Duration, error) {
			began := time.Now()
			took, err := s.load.Publish()
			if err != nil {
				return 0, err
			}
			for feed.Revision() <= revision {
				time.Sleep(time.Millisecond)
				took = time.Since(began)
			}
			return took, r.figure("change_in_force", "s", took.Seconds())
		}, "change")
		if err != nil {
			return err
		}
	}
	return nil
}

// follow measures the process while something happens.
func (s *subject) follow(r recorder, happen func() (time.Duration, error), what string) error {
	first, err := s.load.Traffic()
	if err != nil {
		return err
	}
	calls, err := s.load.Calls()
	if err != nil {
		return err
	}
	before := take()
	if _, err := happen(); err != nil {
		return err
	}
	elapsed, processor, _ := take().since(before)
	last, err := s.load.Traffic()
	if err != nil {
		return err
	}
	called, err := s.load.Calls()
	if err != nil || what != "rest" {
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
		figure{"processor", "core", processor.Seconds() / seconds},
		figure{"platform_calls", "1/s", float64(called-calls) / seconds},
		figure{"heap", "MB", heap / 1e6},
		figure{"resident", "MB", rss / 1e6},
	)
}
