package ushermeasure

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/samphireusher/samphireusher/bench/usherload"
	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/pkg/usherkey"
	"github.com/samphireusher/samphireusher/pkg/usherlink"
)

const keyValidity = time.Hour

type (
	// subject is the process under measurement, with its node and its load process.
	subject struct {
		name      string
		directory string
		mux       *usherlink.Mux
		node      *usherlink.Node
		load      *usherload.Load
		peers     []string
	}

	// countingLink counts the datagrams that the measured process tries to send, and the failures.
	countingLink struct {
		*usherlink.Node
		attempted, failed atomic.Int64
	}
)

// newSubject starts a node called name in this process, and the rest of the fleet in a load process.
func newSubject(name string, fleet usherload.Fleet) (*subject, error) {
	s := &subject{name: name, mux: &usherlink.Mux{}}
	var err error
	if s.directory, err = os.MkdirTemp("", "usher-bench-"); err != nil {
		return nil, err
	}
	authority, err := usherkey.NewAuthority(time.Now(), keyValidity)
	if err != nil {
		return nil, err
	}
	if err := s.listen(authority); err != nil {
		return nil, err
	}
	if s.load, err = usherload.Start(); err != nil {
		return nil, err
	}
	s.peers, err = s.load.Peers(usherload.Peers{Fleet: fleet, Subject: s.node.Address(), Name: name, Authority: authority, Directory: s.directory})
	return s, err
}

// listen issues the node's keys and starts it.
func (s *subject) listen(authority usherkey.KeyPair) error {
	keys, err := usherload.NewKeys(authority, s.directory, s.name)
	if err != nil {
		return err
	}
	s.node, err = usherlink.Listen("127.0.0.1:0", keys, usherlink.HandlerFunc(s.mux.ServeMessage), slog.New(slog.DiscardHandler))
	return err
}

// close closes the node, stops the load process and removes the directory.
func (s *subject) close() error {
	return errors.Join(s.node.Close(), s.load.Close(), os.RemoveAll(s.directory))
}

// view returns the fleet's configuration with the addresses at which the subject reaches its peers.
func (s *subject) view(fleet usherload.Fleet) (usherload.View, error) {
	snapshot := fleet.Snapshot()
	next := 0
	for _, role := range []usherconfig.Role{usherconfig.SchedulerRole, usherconfig.GatewayRole} {
		for i, h := range snapshot.Hosts {
			if h.Role != role || h.Name == s.name {
				continue
			}
			snapshot.Hosts[i].Address = netip.MustParseAddrPort(s.peers[next])
			next++
		}
	}
	return usherload.NewView(snapshot)
}

// SendDatagram implements ushergrant.Link.
func (l *countingLink) SendDatagram(address, kind string, value any) error {
	err := l.Node.SendDatagram(address, kind, value)
	l.attempted.Add(1)
	if err != nil {
		l.failed.Add(1)
	}
	return err
}

// Call implements ushergrant.Link.
func (l *countingLink) Call(ctx context.Context, address, kind string, value, response any) error {
	return l.Node.Call(ctx, address, kind, value, response)
}

// serve serves handler on a free port and returns the address.
func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}
