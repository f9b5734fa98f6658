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
	// maxDatagramShards is the number of shards that a fetch request may name to fit in a datagram.
	maxDatagramShards = 40
)

type (
	// messageWire is the network encoding of a usherview.Message. Exactly one of Poll, Summary, FetchRequest and
	// FetchResponse is set; Hosts may accompany Summary.
	messageWire struct {
		From          string             `cbor:"1,keyasint"`
		Poll          *pollWire          `cbor:"2,keyasint,omitempty"`
		Summary       *summaryWire       `cbor:"3,keyasint,omitempty"`
		FetchRequest  *fetchRequestWire  `cbor:"4,keyasint,omitempty"`
		FetchResponse *fetchResponseWire `cbor:"5,keyasint,omitempty"`
		Hosts         *hostsUpdate       `cbor:"6,keyasint,omitempty"`
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
		PlatformAge int64 // in milliseconds; negative if unknown
	}

	fetchRequestWire struct {
		_      struct{} `cbor:",toarray"`
		Index  bool
		Shards []usherconfig.Digest
	}

	fetchResponseWire struct {
		_       struct{} `cbor:",toarray"`
		Version versionWire
		Index   []byte
		Shards  [][]byte
	}
)

// Register registers the handler for messages between feeds with mux.
func (f *Feed) Register(mux *usherlink.Mux) {
	mux.Handle(kindView, func(_ context.Context, from usherlink.Peer, body usherlink.Payload) (any, error) {
		var wire messageWire
		if err := body.Decode(&wire); err != nil {
			return nil, err
		}
		if wire.From != from.Address.String() {
			return nil, ErrForeign.New("message names %s as its origin but was sent by %s", wire.From, from.Address)
		}
		if wire.Hosts != nil && wire.Summary != nil {
			f.receiveHosts(wire.Summary.Echo, *wire.Hosts)
		}
		f.step(func(s *usherview.Store) usherview.Effects { return s.Receive(time.Now(), wire.message()) })
		return nil, nil
	})
}

// send sends m in a datagram if it fits, otherwise in a call.
func (f *Feed) send(m usherview.Message) {
	wire := newMessageWire(m)
	if m.Summary != nil {
		wire.Hosts = f.hostsUpdate(time.Now())
	}
	if m.Poll != nil {
		f.recordPoll(time.Now(), m.Poll.Sequence)
	}
	if wire.fitsDatagram() {
		if err := f.options.Link.SendDatagram(m.To, kindView, wire); err != nil {
			f.options.Log.Debug("failed to send message", "peer", m.To, "error", err)
		}
		return
	}
	f.background(func() {
		ctx, cancel := context.WithTimeout(f.ctx, sendTimeout)
		defer cancel()
		if err := f.options.Link.Call(ctx, m.To, kindView, wire, nil); err != nil {
			f.options.Log.Debug("failed to send message", "peer", m.To, "error", err)
		}
	})
}

// fitsDatagram reports whether the message fits in a datagram.
func (w messageWire) fitsDatagram() bool {
	return w.FetchResponse == nil && (w.FetchRequest == nil || len(w.FetchRequest.Shards) <= maxDatagramShards) &&
		(w.Hosts == nil || len(w.Hosts.Leaving) <= maxDatagramLeaving)
}

func newMessageWire(m usherview.Message) messageWire {
	wire := messageWire{From: m.From}
	switch {
	case m.Poll != nil:
		wire.Poll = &pollWire{Sequence: m.Poll.Sequence, Version: newVersionWire(m.Poll.Version)}
	case m.Summary != nil:
		age := m.Summary.PlatformAge.Milliseconds()
		if m.Summary.PlatformAge < 0 {
			age = -1
		}
		wire.Summary = &summaryWire{Echo: m.Summary.Echo, Version: newVersionWire(m.Summary.Version), PlatformAge: age}
	case m.FetchRequest != nil:
		wire.FetchRequest = &fetchRequestWire{Index: m.FetchRequest.Index, Shards: m.FetchRequest.Shards}
	case m.FetchResponse != nil:
		wire.FetchResponse = &fetchResponseWire{Version: newVersionWire(m.FetchResponse.Version), Index: m.FetchResponse.Index, Shards: m.FetchResponse.Shards}
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
	case w.FetchRequest != nil:
		m.FetchRequest = &usherview.FetchRequest{Index: w.FetchRequest.Index, Shards: w.FetchRequest.Shards}
	case w.FetchResponse != nil:
		m.FetchResponse = &usherview.FetchResponse{Version: w.FetchResponse.Version.version(), Index: w.FetchResponse.Index, Shards: w.FetchResponse.Shards}
	}
	return m
}

func newVersionWire(v usherconfig.Version) versionWire {
	return versionWire{Revision: v.Revision, Digest: v.Digest}
}

func (w versionWire) version() usherconfig.Version {
	return usherconfig.Version{Revision: w.Revision, Digest: w.Digest}
}
