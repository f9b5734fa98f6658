package usherview

import (
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
)

// Bounds of messages.
const (
	maxWantedShards = 64
	maxHaveBytes    = 256 << 10
	unknownAge      = time.Duration(-1)
)

type (
	// Message is what one process's store sends to another's. Exactly one of the bodies is set.
	Message struct {
		From    string
		To      string
		Poll    *Poll
		Summary *Summary
		Want    *FetchRequest
		Have    *FetchResponse
	}

	// Poll asks for a summary and tells the sender's own version.
	Poll struct {
		Sequence uint64
		Version  usherconfig.Version
	}

	// Summary tells which version is in force at its sender.
	Summary struct {
		Echo        uint64 // sequence of the poll that it answers; 0 if it was not asked for
		Version     usherconfig.Version
		PlatformAge time.Duration // since the platform is known to have had nothing newer; negative if that is not known
	}

	// FetchRequest asks for the index in force and for shards.
	FetchRequest struct {
		Index  bool
		Shards []usherconfig.Digest
	}

	// FetchResponse brings what a FetchRequest asked for, as far as its sender has it.
	FetchResponse struct {
		Version usherconfig.Version
		Index   []byte
		Shards  [][]byte
	}

	// Read asks the caller to read a key of the platform, and to hand the result to Store.ReadDone.
	Read struct {
		ID  uint64
		Key string
	}

	// Effects are what a store wants done.
	Effects struct {
		Send  []Message
		Reads []Read
	}
)

// add appends the effects of a further step.
func (e *Effects) add(other Effects) {
	e.Send = append(e.Send, other.Send...)
	e.Reads = append(e.Reads, other.Reads...)
}
