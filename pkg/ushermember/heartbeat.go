package ushermember

import "time"

type (
	// Heartbeat is the datagram that one member sends to another. The QUIC transport encodes it as CBOR.
	//
	// Sets of members are sent as bitmaps over the sender's list if the receiver has confirmed that list. Otherwise
	// only the candidates are sent, as keys.
	// Settled reports that the sender knows that no other list is in force, and Fresh that it has never known another
	// one. A heartbeat carries no time: Echo identifies the last heartbeat that the sender received from the receiver.
	Heartbeat struct {
		Cell          string `cbor:"1,keyasint"`
		From          Key    `cbor:"2,keyasint"`
		Incarnation   uint64 `cbor:"3,keyasint"`
		Sequence      uint64 `cbor:"4,keyasint"`
		Echo          Echo   `cbor:"5,keyasint,omitzero"`
		List          uint64 `cbor:"6,keyasint"`
		Revision      uint64 `cbor:"7,keyasint"`
		Total         int    `cbor:"8,keyasint"`
		Heard         []byte `cbor:"9,keyasint,omitempty"`
		Candidates    []byte `cbor:"10,keyasint,omitempty"`
		CandidateKeys []Key  `cbor:"12,keyasint,omitempty"`
		Settled       bool   `cbor:"13,keyasint,omitempty"`
		Leaving       bool   `cbor:"14,keyasint,omitempty"`
		Ballot        Ballot `cbor:"15,keyasint,omitzero"`
		Fresh         bool   `cbor:"16,keyasint,omitempty"`
	}

	// Echo identifies a heartbeat of the receiver.
	Echo struct {
		_           struct{} `cbor:",toarray"`
		Incarnation uint64
		Sequence    uint64
	}

	// Ballot is the part of a heartbeat that lends votes on targets to its receiver. It is written and read by package
	// usherlease.
	//
	// If Explicit is false, the sender lends its votes on all targets for which the receiver ranks first by rendezvous
	// hash among the heartbeat's candidates, except those in Withheld. This requires that both know the same targets,
	// so Targets carries the digest of the sender's. If Explicit is true, the sender lends its votes on the targets in
	// Lent.
	Ballot struct {
		Targets  uint64 `cbor:"1,keyasint,omitempty"`
		Abstain  bool   `cbor:"2,keyasint,omitempty"`
		Explicit bool   `cbor:"3,keyasint,omitempty"`
		Returned bool   `cbor:"4,keyasint,omitempty"`
		Withheld []byte `cbor:"5,keyasint,omitempty"`
		Lent     []byte `cbor:"6,keyasint,omitempty"`
	}

	// Outgoing is a heartbeat to send.
	Outgoing struct {
		To Member
		// Key and Incarnation are those of the receiver. EchoReceivedAt is when the echoed heartbeat was received.
		Key            Key
		Incarnation    uint64
		EchoReceivedAt time.Time
		Heartbeat      Heartbeat
	}

	// Received is an accepted heartbeat with its member sets decoded.
	Received struct {
		From        Member
		Key         Key
		Incarnation uint64
		// EchoSentAt is when this member sent the heartbeat that is echoed. It is zero if the send time is no longer
		// known.
		EchoSentAt time.Time
		Candidates []Key
		Total      int
		Ballot     Ballot
	}
)
