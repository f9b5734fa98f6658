package usherfeed

import (
	"context"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/pkg/usherlink"
	"github.com/samphireusher/samphireusher/pkg/usherview"
)

const (
	kindView    = "view"
	sendTimeout = 2 * time.Second
	// postedShards is how many shards a Want may name and still fit a datagram.
	postedShards = 40
)

type (
	// messageWire is a usherview.Message as it crosses the network. One of its bodies is set.
	messageWire struct {
		From    string       `cbor:"1,keyasint"`
		Poll    *pollWire    `cbor:"2,keyasint,omitempty"`
		Summary *summaryWire `cbor:"3,keyasint,omitempty"`
		Want    *wantWire    `cbor:"4,keyasint,omitempty"`
		Have    *haveWire    `cbor:"5,keyasint,omitempty"`
		Hosts   *hostsNews   `cbor:"6,keyasint,omitempty"`
	}

	versionWire struct {
		_        struct{} `cbor:",toarray"`
		Revision uint64
		Digest   usherconfig.Digest
	}

	pollWire struct {
		_        struct{} `cbor:",toarray"`
		Sequence uint64
		Version  versionWire
	}

	summaryWire struct {
		_           struct{} `cbor:",toarray"`
		Echo        uint64
		Version     versionWire
		PlatformAge int64 // milliseconds; negative if not known
	}

	wantWire struct {
		_      struct{} `cbor:",toarray"`
		Index  bool
		Shards []usherconfig.Digest
	}

	haveWire struct {
		_       struct{} `cbor:",toarray"`
		Version versionWire
		Index   []byte
		Shards  [][]byte
	}
)

// Register adds what feeds say to each other to mux.
func (f *Feed) Register(mux *usherlink.Mux) {
	mux.Handle(kindView, func(_ context.Context, from usherlink.Peer, body usherlink.Payload) (any, error) {
		var wire messageWire
		if err := body.Decode(&wire); err != nil {
			return nil, err
		}
		if wire.From != from.Address.String() {
			return nil, ErrForeign.New("message of %s came from %s", wire.From, from.Address)
		}
		if wire.Hosts != nil && wire.Summary != nil {
			f.hearHosts(wire.Summary.Echo, *wire.Hosts)
		}
		f.step(func(s *usherview.Store) usherview.Effects { return s.Receive(time.Now(), wire.message()) })
		return nil, nil
	})
}

// send posts what fits a datagram, and calls with the rest.
func (f *Feed) send(m usherview.Message) {
	wire := wireOf(m)
	if m.Summary != nil {
		wire.Hosts = f.hostsNews(time.Now())
	}
	if m.Poll != nil {
		f.notePoll(time.Now(), m.Poll.Sequence)
	}
	if wire.fitsDatagram() {
		if err := f.options.Link.SendDatagram(m.To, kindView, wire); err != nil {
			f.options.Log.Debug("message not sent", "peer", m.To, "error", err)
		}
		return
	}
	f.background(func() {
		ctx, cancel := context.WithTimeout(f.ctx, sendTimeout)
		defer cancel()
		if err := f.options.Link.Call(ctx, m.To, kindView, wire, nil); err != nil {
			f.options.Log.Debug("message not sent", "peer", m.To, "error", err)
		}
	})
}

// fitsDatagram reports whether the message may be posted.
func (w messageWire) fitsDatagram() bool {
	return w.Have == nil && (w.Want == nil || len(w.Want.Shards) <= postedShards) &&
		(w.Hosts == nil || len(w.Hosts.Leaving) <= postedLeaving)
}

func wireOf(m usherview.Message) messageWire {
	wire := messageWire{From: m.From}
	switch {
	case m.Poll != nil:
		wire.Poll = &pollWire{Sequence: m.Poll.Sequence, Version: versionOf(m.Poll.Version)}
	case m.Summary != nil:
		age := m.Summary.PlatformAge.Milliseconds()
		if m.Summary.PlatformAge < 0 {
			age = -1
		}
		wire.Summary = &summaryWire{Echo: m.Summary.Echo, Version: versionOf(m.Summary.Version), PlatformAge: age}
	case m.Want != nil:
		wire.Want = &wantWire{Index: m.Want.Index, Shards: m.Want.Shards}
	case m.Have != nil:
		wire.Have = &haveWire{Version: versionOf(m.Have.Version), Index: m.Have.Index, Shards: m.Have.Shards}
	}
	return wire
}

func (w messageWire) message() usherview.Message {
	m := usherview.Message{From: w.From}
	switch {
	case w.Poll != nil:
		m.Poll = &usherview.Poll{Sequence: w.Poll.Sequence, Version: w.Poll.Version.version()}
	case w.Summary != nil:
		age := time.Duration(w.Summary.PlatformAge) * time.Millisecond
		m.Summary = &usherview.Summary{Echo: w.Summary.Echo, Version: w.Summary.Version.version(), PlatformAge: age}
	case w.Want != nil:
		m.Want = &usherview.FetchRequest{Index: w.Want.Index, Shards: w.Want.Shards}
	case w.Have != nil:
		m.Have = &usherview.FetchResponse{Version: w.Have.Version.version(), Index: w.Have.Index, Shards: w.Have.Shards}
	}
	return m
}

func versionOf(v usherconfig.Version) versionWire {
	return versionWire{Revision: v.Revision, Digest: v.Digest}
}

func (w versionWire) version() usherconfig.Version {
	return usherconfig.Version{Revision: w.Revision, Digest: w.Digest}
}
