package usherview

import (
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
)

// Limits of a FetchResponse, and the encoding of an unknown age in a Summary.
const (
	maxShardsPerRequest = 64
	maxResponseBytes    = 256 << 10
	unknownAge          = time.Duration(-1)
)

type (
	// Message is sent from the store of one process to that of another. Exactly one of Poll, Summary, FetchRequest and
	// FetchResponse is set.
	Message struct {
		From          string
		To            string
		Poll          *Poll
		Summary       *Summary
		FetchRequest  *FetchRequest
		FetchResponse *FetchResponse
	}

	// Poll requests a Summary and carries the sender's own version.
	Poll struct {
		Sequence uint64
		Version  usherconfig.Version
	}

	// Summary reports the version in force at the sender.
	Summary struct {
		Echo        uint64 // sequence of the poll that it answers; 0 if unsolicited
		Version     usherconfig.Version
		PlatformAge time.Duration // time since the platform was known to have no newer version; negative if unknown
	}

	// FetchRequest requests the index in force and the listed shards.
	FetchRequest struct {
		Index  bool
		Shards []usherconfig.Digest
	}

	// FetchResponse carries the requested index and shards, as far as the sender has them.
	FetchResponse struct {
		Version usherconfig.Version
		Index   []byte
		Shards  [][]byte
	}

	// Read is a key that the caller must read from the platform; the result goes to Store.ReadDone.
	Read struct {
		ID  uint64
		Key string
	}

	// Effects are the messages to send and the keys to read.
	Effects struct {
		Send  []Message
		Reads []Read
	}
)

func (e *Effects) add(other Effects) {
	e.Send = append(e.Send, other.Send...)
	e.Reads = append(e.Reads, other.Reads...)
}
