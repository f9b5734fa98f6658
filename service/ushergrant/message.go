// Package ushergrant is the protocol by which gateways ask schedulers for grants.
//
// A gateway acquires a grant before it sends a request to a target. While the request waits in the scheduler's queue the
// gateway asks again every second or so: a grant is valid from the last time that it asked, so that two clocks of
// different rate part by little, and a gateway that is gone is noticed. The gateway reports while the request runs how many tokens it
// has made, and says how it ended. A scheduler advertises which targets it holds and how much room each service
// has. Client is the gateway's side, Register the scheduler's; the messages on the wire stay inside this package.
//
// # Usage
//
//	client := ushergrant.NewClient(node)
//	asked := time.Now()
//	grant, err := client.Acquire(ctx, scheduler, request)
//	if err != nil {
//		return err
//	}
//	check := grant.Check(asked)
package ushergrant

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/usherlink"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
)

// Kinds of messages.
const (
	kindAcquire   = "grant.acquire"
	kindProgress  = "grant.progress"
	kindFinish    = "grant.finish"
	kindAdvertise = "grant.advertise"
)

const (
	// clockMargin shortens a grant by a fiftieth, for clocks of different rate.
	clockMargin = 50

	targetKeyBytes = 4
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("usher_grant")
	// ErrExpired says that a grant ran out before it was used.
	ErrExpired = Errors.NewType("expired")
	// ErrWaiting says that a request is still in the queue and must be asked for again.
	ErrWaiting = Errors.NewType("waiting")
)

type (
	// Request asks for a grant for one attempt.
	Request struct {
		// GatewayAddress is the address of the gateway that asks. The receiver sets it; it is not part of the message.
		GatewayAddress string
		Attempt        usherrequest.AttemptID
		Service        string
		Template       string
		Workspace      string
		PromptTokens   int
		MaxTokens      int
		Priority       int
		CacheKey       uint64
		Fingerprint    uint64
		// Isolated asks for a target that runs no other suspect.
		Isolated bool
		// Retry says that an earlier attempt of the request was lost.
		Retry bool
		// Avoid names targets that this request must not be sent to again.
		Avoid []string
		// Revision is the configuration that the request was admitted under.
		Revision uint64
		// MaxWait is how much longer the request may stay in the queue.
		MaxWait time.Duration
		// PollTimeout is how long the scheduler may hold the call before it answers that the request is still queued.
		PollTimeout time.Duration
	}

	// Grant is the permission to send one attempt to one target.
	Grant struct {
		Target      string
		Address     netip.AddrPort
		Incarnation uint64
		Revision    uint64
		// ValidFor counts from when the gateway asked.
		ValidFor time.Duration
	}

	// Running is an attempt that a gateway has at a target.
	Running struct {
		Attempt     usherrequest.AttemptID
		Target      string
		Incarnation uint64
		MadeTokens  int
	}

	// AttemptResult reports how an attempt ended.
	AttemptResult struct {
		Attempt    usherrequest.AttemptID
		Target     string
		MadeTokens int
		Completed  bool
		// Lost says that the target died or cannot be reached.
		Lost bool
		// Unsent says that nothing was written to the target, or that it refused the request.
		Unsent bool
	}

	// ServiceCapacity is how much more work of one service a scheduler can accept.
	ServiceCapacity struct {
		Service string
		// Requests is how many more requests fit now.
		Requests int
		// Waiting is how many requests are in the queue.
		Waiting int
	}

	// TargetKey stands for a target in advertisements.
	TargetKey uint32

	// Advertisement is what a scheduler tells the gateways.
	Advertisement struct {
		Scheduler  string
		Revision   uint64
		Stopping   bool
		Capacities []ServiceCapacity
		// Held has the keys of the targets that the scheduler holds; see KeyOf.
		Held []TargetKey
	}

	requestWire struct {
		Incarnation  uint64   `cbor:"1,keyasint"`
		Counter      uint64   `cbor:"2,keyasint"`
		Service      string   `cbor:"3,keyasint"`
		Template     string   `cbor:"4,keyasint"`
		Workspace    string   `cbor:"5,keyasint"`
		PromptTokens int      `cbor:"6,keyasint"`
		MaxTokens    int      `cbor:"7,keyasint"`
		Priority     int      `cbor:"8,keyasint"`
		CacheKey     uint64   `cbor:"9,keyasint"`
		Fingerprint  uint64   `cbor:"10,keyasint"`
		Isolated     bool     `cbor:"11,keyasint,omitempty"`
		Avoid        []string `cbor:"12,keyasint,omitempty"`
		Revision     uint64   `cbor:"13,keyasint"`
		WaitMillis   int64    `cbor:"14,keyasint"`
		SliceMillis  int64    `cbor:"15,keyasint"`
		Retry        bool     `cbor:"16,keyasint,omitempty"`
	}

	answerWire struct {
		Target         string `cbor:"1,keyasint,omitempty"`
		Address        string `cbor:"2,keyasint,omitempty"`
		Incarnation    uint64 `cbor:"3,keyasint,omitempty"`
		Revision       uint64 `cbor:"4,keyasint,omitempty"`
		ValidForMillis int64  `cbor:"5,keyasint,omitempty"`
		Reason         string `cbor:"6,keyasint,omitempty"`
		RetryMillis    int64  `cbor:"7,keyasint,omitempty"`
		Waiting        bool   `cbor:"8,keyasint,omitempty"`
	}

	// progressWire has what runs by target.
	progressWire struct {
		_           struct{} `cbor:",toarray"`
		Incarnation uint64
		Targets     []targetProgressWire
	}

	// targetProgressWire has two numbers for each attempt: its counter, less that of the attempt before, and the tokens
	// that it has made.
	targetProgressWire struct {
		_           struct{} `cbor:",toarray"`
		Target      string
		Incarnation uint64
		Attempts    []uint64
	}

	finishWire struct {
		Incarnation uint64 `cbor:"1,keyasint"`
		Counter     uint64 `cbor:"2,keyasint"`
		Target      string `cbor:"3,keyasint"`
		MadeTokens  int    `cbor:"4,keyasint"`
		Completed   bool   `cbor:"5,keyasint,omitempty"`
		Lost        bool   `cbor:"6,keyasint,omitempty"`
		Unsent      bool   `cbor:"7,keyasint,omitempty"`
	}

	advertisementWire struct {
		Revision uint64     `cbor:"1,keyasint"`
		Stopping bool       `cbor:"2,keyasint,omitempty"`
		Rooms    []roomWire `cbor:"3,keyasint"`
		Held     []byte     `cbor:"4,keyasint"`
	}

	roomWire struct {
		_        struct{} `cbor:",toarray"`
		Service  string
		Requests int
		Waiting  int
	}
)

// Check returns a guard that forbids the grant's use once it ran out, counted from when it was asked for.
func (g Grant) Check(asked time.Time) func() error {
	valid := g.ValidFor - g.ValidFor/clockMargin
	return func() error {
		if age := time.Since(asked); age >= valid {
			return ErrExpired.New("grant for %s is %s old and was valid for %s", g.Target, age, valid)
		}
		return nil
	}
}

func (r Request) wire() requestWire {
	return requestWire{
		Incarnation: r.Attempt.Incarnation, Counter: r.Attempt.Counter, Service: r.Service, Template: r.Template,
		Workspace: r.Workspace, PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens, Priority: r.Priority,
		CacheKey: r.CacheKey, Fingerprint: r.Fingerprint, Isolated: r.Isolated, Avoid: r.Avoid,
		Revision: r.Revision, WaitMillis: r.MaxWait.Milliseconds(), SliceMillis: r.PollTimeout.Milliseconds(), Retry: r.Retry,
	}
}

func (w requestWire) request(gateway string) Request {
	return Request{
		Attempt: attempt(gateway, w.Incarnation, w.Counter), Service: w.Service, Template: w.Template,
		Workspace: w.Workspace, PromptTokens: max(w.PromptTokens, 0), MaxTokens: max(w.MaxTokens, 0),
		Priority: w.Priority, CacheKey: w.CacheKey, Fingerprint: w.Fingerprint, Isolated: w.Isolated,
		Avoid: w.Avoid, Revision: w.Revision, MaxWait: milliseconds(w.WaitMillis), PollTimeout: milliseconds(w.SliceMillis), Retry: w.Retry,
	}
}

func (g Grant) wire() answerWire {
	return answerWire{
		Target: g.Target, Address: g.Address.String(), Incarnation: g.Incarnation,
		Revision: g.Revision, ValidForMillis: g.ValidFor.Milliseconds(),
	}
}

// grant returns what the scheduler granted, or its refusal as an error.
func (w answerWire) grant() (Grant, error) {
	if w.Waiting {
		return Grant{}, ErrWaiting.New("still in the queue")
	}
	if w.Target == "" {
		refusal := usherrequest.Refuse(usherrequest.Evidence{}, usherrequest.Reason(w.Reason))
		return Grant{}, refusal.WithRetryAfter(time.Duration(w.RetryMillis) * time.Millisecond)
	}
	address, err := netip.ParseAddrPort(w.Address)
	if err != nil {
		return Grant{}, usherlink.ErrMalformed.Wrap(err, "grant for %s", w.Target)
	}
	return Grant{
		Target: w.Target, Address: address, Incarnation: w.Incarnation, Revision: w.Revision,
		ValidFor: time.Duration(w.ValidForMillis) * time.Millisecond,
	}, nil
}

func (w advertisementWire) advertisement(scheduler string) Advertisement {
	a := Advertisement{Scheduler: scheduler, Revision: w.Revision, Stopping: w.Stopping}
	for held := w.Held; len(held) >= targetKeyBytes; held = held[targetKeyBytes:] {
		a.Held = append(a.Held, TargetKey(binary.BigEndian.Uint32(held)))
	}
	for _, r := range w.Rooms {
		a.Capacities = append(a.Capacities, ServiceCapacity{Service: r.Service, Requests: r.Requests, Waiting: r.Waiting})
	}
	return a
}

// KeyOf returns the key of the target called name.
func KeyOf(name string) TargetKey {
	return TargetKey(xxhash.Sum64String(name))
}

func milliseconds(n int64) time.Duration {
	return max(time.Duration(n)*time.Millisecond, 0)
}

func attempt(gateway string, incarnation, counter uint64) usherrequest.AttemptID {
	return usherrequest.AttemptID{Gateway: gateway, Incarnation: incarnation, Counter: counter}
}
