// Package ushergrant implements the protocol by which gateways request grants from schedulers.
//
// A gateway acquires a grant before it sends a request to a target. While the request is in the scheduler's queue, the
// gateway polls about every second. The validity of a grant counts from the last poll, so that clocks of different rate
// diverge little, and the scheduler notices a gateway that has crashed. While a request runs, the gateway reports the
// number of tokens generated so far, and at the end the result. A scheduler advertises which targets it holds, that is,
// on which it has a majority of the votes, and the free capacity of each service. Client is the gateway's side and
// Register the scheduler's; the wire types are private to this package.
//
// # Usage
//
//	client := ushergrant.NewClient(node)
//	requestedAt := time.Now()
//	grant, err := client.Acquire(ctx, scheduler, request)
//	if err != nil {
//		return err
//	}
//	check := grant.Check(requestedAt)
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
	// clockMarginDivisor shortens the validity of a grant by a fiftieth, to allow for clocks of different rate.
	clockMarginDivisor = 50

	targetKeyBytes = 4
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("usher_grant")
	// ErrExpired is returned for a grant that expired before it was used.
	ErrExpired = Errors.NewType("expired")
	// ErrWaiting is returned if a request is still in the queue, so that the gateway must poll again.
	ErrWaiting = Errors.NewType("waiting")
)

type (
	// Request is a request for a grant for one attempt.
	Request struct {
		// GatewayAddress is the address of the calling gateway. The receiver sets it; it is not part of the message.
		GatewayAddress  string
		Attempt         usherrequest.AttemptID
		Service         string
		Template        string
		Workspace       string
		PromptTokens    int
		MaxOutputTokens int
		Priority        int
		// Prefix identifies the template and the start of the prompt, which a target may have cached.
		Prefix uint64
		// ContentHash is the usherconfig.Call.ContentHash of the request; schedulers do not use it.
		ContentHash uint64
		// Isolated requires a target that runs no other isolated request, because the request may crash its target.
		Isolated bool
		// Retry is true if an earlier attempt of the request was lost.
		Retry bool
		// ExcludedTargets has the targets that the request must not be sent to again.
		ExcludedTargets []string
		// Revision is the revision of the configuration in which the gateway resolved the request.
		Revision uint64
		// QueueTimeout is how much longer the request may stay in the queue.
		QueueTimeout time.Duration
		// PollTimeout is how long the scheduler may hold the call before it answers that the request is still queued.
		PollTimeout time.Duration
	}

	// Grant is the permission to send one attempt to one target.
	Grant struct {
		Target      string
		Address     netip.AddrPort
		Incarnation uint64
		Revision    uint64
		// ValidFor counts from when the gateway sent the request for the grant.
		ValidFor time.Duration
	}

	// RunningAttempt is an attempt that a gateway has running on a target.
	RunningAttempt struct {
		Attempt         usherrequest.AttemptID
		Target          string
		Incarnation     uint64
		GeneratedTokens int
	}

	// AttemptResult reports how an attempt ended.
	AttemptResult struct {
		Attempt         usherrequest.AttemptID
		Target          string
		GeneratedTokens int
		Completed       bool
		// Lost is true if the target crashed or cannot be reached.
		Lost bool
		// Unsent is true if nothing was written to the target, or the target refused the request.
		Unsent bool
	}

	// ServiceCapacity is how much more work of one service a scheduler can accept.
	ServiceCapacity struct {
		Service string
		// Requests is the number of further requests that can be granted now.
		Requests int
		// Waiting is the number of requests in the queue.
		Waiting int
	}

	// TargetKey is a hash that identifies a target in advertisements.
	TargetKey uint32

	// Advertisement tells gateways which targets a scheduler holds and the free capacity of its services.
	Advertisement struct {
		Scheduler  string
		Revision   uint64
		Stopping   bool
		Capacities []ServiceCapacity
		// Held has the keys of the targets on which the scheduler holds a majority of the votes; see KeyOf.
		Held []TargetKey
	}

	requestWire struct {
		Incarnation        uint64   `cbor:"1,keyasint"`
		Counter            uint64   `cbor:"2,keyasint"`
		Service            string   `cbor:"3,keyasint"`
		Template           string   `cbor:"4,keyasint"`
		Workspace          string   `cbor:"5,keyasint"`
		PromptTokens       int      `cbor:"6,keyasint"`
		MaxOutputTokens    int      `cbor:"7,keyasint"`
		Priority           int      `cbor:"8,keyasint"`
		Prefix             uint64   `cbor:"9,keyasint"`
		ContentHash        uint64   `cbor:"10,keyasint"`
		Isolated           bool     `cbor:"11,keyasint,omitempty"`
		ExcludedTargets    []string `cbor:"12,keyasint,omitempty"`
		Revision           uint64   `cbor:"13,keyasint"`
		QueueTimeoutMillis int64    `cbor:"14,keyasint"`
		PollTimeoutMillis  int64    `cbor:"15,keyasint"`
		Retry              bool     `cbor:"16,keyasint,omitempty"`
	}

	grantReplyWire struct {
		Target         string `cbor:"1,keyasint,omitempty"`
		Address        string `cbor:"2,keyasint,omitempty"`
		Incarnation    uint64 `cbor:"3,keyasint,omitempty"`
		Revision       uint64 `cbor:"4,keyasint,omitempty"`
		ValidForMillis int64  `cbor:"5,keyasint,omitempty"`
		Reason         string `cbor:"6,keyasint,omitempty"`
		RetryMillis    int64  `cbor:"7,keyasint,omitempty"`
		Waiting        bool   `cbor:"8,keyasint,omitempty"`
	}

	// progressWire has the running attempts, grouped by target.
	progressWire struct {
		_           struct{} `cbor:",toarray"`
		Incarnation uint64
		Targets     []targetProgressWire
	}

	// targetProgressWire has two numbers for each attempt: the difference of its counter to that of the previous
	// attempt, and the number of tokens that it has generated.
	targetProgressWire struct {
		_           struct{} `cbor:",toarray"`
		Target      string
		Incarnation uint64
		Attempts    []uint64
	}

	attemptResultWire struct {
		Incarnation     uint64 `cbor:"1,keyasint"`
		Counter         uint64 `cbor:"2,keyasint"`
		Target          string `cbor:"3,keyasint"`
		GeneratedTokens int    `cbor:"4,keyasint"`
		Completed       bool   `cbor:"5,keyasint,omitempty"`
		Lost            bool   `cbor:"6,keyasint,omitempty"`
		Unsent          bool   `cbor:"7,keyasint,omitempty"`
	}

	advertisementWire struct {
		Revision   uint64         `cbor:"1,keyasint"`
		Stopping   bool           `cbor:"2,keyasint,omitempty"`
		Capacities []capacityWire `cbor:"3,keyasint"`
		Held       []byte         `cbor:"4,keyasint"`
	}

	capacityWire struct {
		_        struct{} `cbor:",toarray"`
		Service  string
		Requests int
		Waiting  int
	}
)

// Check returns a function that returns ErrExpired after the grant's validity, counted from requestedAt, has ended.
func (g Grant) Check(requestedAt time.Time) func() error {
	valid := g.ValidFor - g.ValidFor/clockMarginDivisor
	return func() error {
		if age := time.Since(requestedAt); age >= valid {
			return ErrExpired.New("grant for %s is %s old and was valid for %s", g.Target, age, valid)
		}
		return nil
	}
}

func (r Request) wire() requestWire {
	return requestWire{
		Incarnation: r.Attempt.Incarnation, Counter: r.Attempt.Counter, Service: r.Service, Template: r.Template,
		Workspace: r.Workspace, PromptTokens: r.PromptTokens, MaxOutputTokens: r.MaxOutputTokens, Priority: r.Priority,
		Prefix: r.Prefix, ContentHash: r.ContentHash, Isolated: r.Isolated, ExcludedTargets: r.ExcludedTargets,
		Revision: r.Revision, QueueTimeoutMillis: r.QueueTimeout.Milliseconds(), PollTimeoutMillis: r.PollTimeout.Milliseconds(), Retry: r.Retry,
	}
}

func (w requestWire) request(gateway string) Request {
	return Request{
		Attempt: attemptID(gateway, w.Incarnation, w.Counter), Service: w.Service, Template: w.Template,
		Workspace: w.Workspace, PromptTokens: max(w.PromptTokens, 0), MaxOutputTokens: max(w.MaxOutputTokens, 0),
		Priority: w.Priority, Prefix: w.Prefix, ContentHash: w.ContentHash, Isolated: w.Isolated,
		ExcludedTargets: w.ExcludedTargets, Revision: w.Revision, QueueTimeout: milliseconds(w.QueueTimeoutMillis), PollTimeout: milliseconds(w.PollTimeoutMillis), Retry: w.Retry,
	}
}

func (g Grant) wire() grantReplyWire {
	return grantReplyWire{
		Target: g.Target, Address: g.Address.String(), Incarnation: g.Incarnation,
		Revision: g.Revision, ValidForMillis: g.ValidFor.Milliseconds(),
	}
}

// grant returns the grant, or ErrWaiting or the scheduler's refusal as an error.
func (w grantReplyWire) grant() (Grant, error) {
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
	for _, r := range w.Capacities {
		a.Capacities = append(a.Capacities, ServiceCapacity{Service: r.Service, Requests: r.Requests, Waiting: r.Waiting})
	}
	return a
}

// KeyOf returns the key of the target with this name.
func KeyOf(name string) TargetKey {
	return TargetKey(xxhash.Sum64String(name))
}

func milliseconds(n int64) time.Duration {
	return max(time.Duration(n)*time.Millisecond, 0)
}

func attemptID(gateway string, incarnation, counter uint64) usherrequest.AttemptID {
	return usherrequest.AttemptID{Gateway: gateway, Incarnation: incarnation, Counter: counter}
}
