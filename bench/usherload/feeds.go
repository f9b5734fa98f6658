package usherload

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/pkg/usherkey"
	"github.com/samphireusher/samphireusher/pkg/usherlink"
	"github.com/samphireusher/samphireusher/service/usherfeed"
	"github.com/samphireusher/samphireusher/standin/usherplatform"
)

const (
	pollInterval  = time.Millisecond
	changeTimeout = 20 * time.Second
)

type (
	// Feeds configures a platform and the configuration feeds of the other daemons of a data centre.
	Feeds struct {
		Peers, Targets, Workspaces int
		// Subject is the address of the measured process's node.
		Subject   string
		Authority usherkey.KeyPair
		Directory string
	}

	// FeedEndpoints are the addresses that the measured process needs to run its own feed.
	FeedEndpoints struct {
		Platform string
		// Address is the address at which peers reach the measured process.
		Address string
	}

	// feeds are the running feeds and their platform.
	feeds struct {
		Feeds
		meter    meter
		platform *usherplatform.Platform
		snapshot usherconfig.Snapshot
		running  []*usherfeed.Feed
	}
)

var errChangeTimeout = errors.New("a configuration change did not take effect in all feeds before the timeout")

// Feeds implements the RPC Load.Feeds.
func (s *service) Feeds(config Feeds, endpoints *FeedEndpoints) error {
	f := &feeds{Feeds: config, platform: usherplatform.New(usherplatform.Config{HostLag: time.Millisecond})}
	f.snapshot = Fleet{Gateways: config.Peers + 1, Targets: config.Targets, Workspaces: config.Workspaces}.Snapshot()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: f.platform, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(listener) }()
	endpoints.Platform = listener.Addr().String()
	if endpoints.Address, err = forward(config.Subject, f.meter.receive, f.meter.send); err != nil {
		return err
	}
	f.snapshot.Hosts[0].Address = netip.MustParseAddrPort(endpoints.Address)
	startFuncs := []func(){}
	for i := 1; i <= config.Peers; i++ {
		run, err := f.start(i, netip.MustParseAddrPort(endpoints.Platform))
		if err != nil {
			return err
		}
		startFuncs = append(startFuncs, run)
	}
	if err := f.publish(); err != nil {
		return err
	}
	for _, run := range startFuncs {
		go run()
	}
	s.feeds = f
	return nil
}

// Publish implements the RPC Load.Publish. It changes the quota of one workspace and waits until the change is in effect
// in all feeds but that of the measured process.
func (s *service) Publish(_ Empty, took *time.Duration) error {
	f := s.feeds
	f.snapshot.Revision++
	f.snapshot.Workspaces[0] = f.snapshot.Workspaces[0].WithQuota(float64(f.snapshot.Revision), 1)
	began := time.Now()
	if err := f.publish(); err != nil {
		return err
	}
	for _, feed := range f.running {
		for feed.Revision() < f.snapshot.Revision {
			time.Sleep(pollInterval)
			if time.Since(began) > changeTimeout {
				return errChangeTimeout
			}
		}
	}
	*took = time.Since(began)
	return nil
}

// Calls implements the RPC Load.Calls.
func (s *service) Calls(_ Empty, calls *int) error {
	*calls = s.feeds.platform.Record().Calls
	return nil
}

func (f *feeds) start(i int, platform netip.AddrPort) (func(), error) {
	name := Gateway(i)
	keys, err := NewKeys(f.Authority, f.Directory, name)
	if err != nil {
		return nil, err
	}
	mux, log := &usherlink.Mux{}, slog.New(slog.DiscardHandler)
	node, err := usherlink.Listen("127.0.0.1:0", keys, usherlink.HandlerFunc(mux.ServeMessage), log)
	if err != nil {
		return nil, err
	}
	subject, err := netip.ParseAddrPort(f.Subject)
	if err != nil {
		return nil, err
	}
	address, err := forwardCounted(subject, node.Address(), f.meter.send, f.meter.receive)
	if err != nil {
		return nil, err
	}
	f.snapshot.Hosts[i].Address = netip.MustParseAddrPort(address)
	feed := usherfeed.New(usherfeed.Options{
		Address: f.snapshot.Hosts[i].Address, DataCentre: DataCentre, Platform: usherfeed.NewPlatform(platform), Link: node, Log: log, Seed: uint64(i),
	})
	feed.Register(mux)
	f.running = append(f.running, feed)
	return func() { feed.Run(context.Background()) }, nil
}

func (f *feeds) publish() error {
	values := []usherplatform.Value{}
	for _, v := range usherconfig.Render(f.snapshot) {
		values = append(values, usherplatform.Value{Key: v.Key, Body: v.Data})
	}
	_, err := f.platform.Publish(values)
	return err
}
