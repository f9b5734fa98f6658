// Package usherlease decides how many requests a scheduler may have in progress on a target, so that the schedulers of a
// cell together never exceed the capacity of a cold target.
//
// Every member of the cell has one vote on each target and lends it to one member at a time: the first by rendezvous
// hash among the members it receives heartbeats from. A loan is a lease. The holder counts it from when it sent the
// heartbeat that the lender echoes, shortened by a margin for differences in clock rate; the lender counts it from when
// it received that heartbeat, lengthened by the margin, and lends the vote to another holder only after that. A holder of
// v of N votes may have ceil(c*v/N) requests on a target with capacity c if v is a majority, else floor(c*v/N); the sum
// over all holders is at most c.
//
// A gained vote counts only once a load report requested after the gain has shown which requests still run. The capacity
// of a target rises as its load reports show that it copes, and is reset when its incarnation changes or its step time
// jumps. A grant expires no later than the votes that it needs.
//
// A Leases does no I/O and does not read the clock.
//
// # Usage
//
//	leases := usherlease.New(now, usherlease.Options{})
//	leases.SetTargets(targets)
//	outgoing := membership.Heartbeats(now)
//	leases.FillBallots(now, membership.View(now), outgoing)  // each round of heartbeats
//	leases.Receive(now, received)                            // each accepted heartbeat
//	leases.Report(now, report)                               // each load report
//	grant, err := leases.Admit(now, usherlease.Request{Attempt: id, Target: target})
//	leases.Finish(id, usherlease.Completed)
package usherlease

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/joomcode/errorx"
	"github.com/samphireusher/samphireusher/pkg/ushermember"
)

const (
	defaultLease              = 4 * time.Second
	defaultMargin             = 0.05
	defaultGrantValidity      = 500 * time.Millisecond
	defaultMinValidity        = 20 * time.Millisecond
	defaultMaxArrivalDelay    = 100 * time.Millisecond
	defaultMaxRequestDuration = 2 * time.Hour
	defaultMaxReportAge       = 2 * time.Second
	assignmentCacheSize       = 128
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("usherlease").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrUnknownTarget is the type of errors on targets that aren't declared.
	ErrUnknownTarget = Errors.NewType("unknown_target")
	// ErrNoCapacity is the type of errors on targets whose budget allows no further request now.
	ErrNoCapacity = Errors.NewType("no_room", errorx.Temporary())
	// ErrUnproven is the type of errors on targets without a load report since votes on them were gained.
	ErrUnproven = Errors.NewType("unproven", errorx.Temporary())
	// ErrReturned is the type of errors after ReturnVotes.
	ErrReturned = Errors.NewType("returned")
	// ErrDuplicate is the type of errors on attempts that already have a grant.
	ErrDuplicate = Errors.NewType("duplicate")
)

type (
	// Options configures a Leases. Zero values select defaults.
	Options struct {
		// Lease is the duration for which a vote is lent.
		Lease time.Duration
		// Margin is the fraction by which the holder shortens a lease and the lender lengthens it, to allow for
		// differences in clock rate.
		Margin float64
		// GrantValidity is the maximum time from a grant to the write to the target.
		GrantValidity time.Duration
		// MinValidity is the minimum validity of a grant; if less is left, the request is refused.
		MinValidity time.Duration
		// MaxArrivalDelay is the maximum time from the start of a write until the target counts the request.
		MaxArrivalDelay time.Duration
		// MaxRequestDuration is the time after which an attempt whose end was never reported is discarded.
		MaxRequestDuration time.Duration
		// MaxReportAge is the maximum age of a load report that allows requests beyond a holder's share.
		MaxReportAge time.Duration
		// Ramp sets when the capacity of a target rises and falls.
		Ramp Ramp
	}

	// Target is a declared target.
	Target struct {
		ID string
		// ColdCapacity and WarmCapacity are the numbers of requests that the target can run at once when just started
		// and when warm.
		ColdCapacity int
		WarmCapacity int
	}

	// Leases holds the votes that one scheduler has lent and borrowed, and the attempts that it has granted. It isn't
	// safe for concurrent use.
	Leases struct {
		options      Options
		view         ushermember.View
		abstainUntil time.Time
		targets      []*target // sorted by ID
		byID         map[string]*target
		byHash       map[uint64]*target
		retired      map[string]*target // removed targets, kept while attempts granted by this scheduler may run on them
		digest       uint64             // of the IDs of the targets
		assignments  *simplelru.LRU[uint64, *assignment]
		loans        map[uint64]loan            // by target hash; kept until they expire, also for removed targets
		peerDigests  map[ushermember.Key]uint64 // digest of the targets that each member knows
		attempts     map[string]*attempt
		announced    map[string]announcedAttempt
		rampMachine  rampStateMachine
		returning    bool
		returnAt     time.Time
		acceptAfter  time.Time // votes that echo heartbeats sent up to this time have been returned
	}

	// target is the state of one target as known to this scheduler.
	target struct {
		Target
		hash      uint64
		votes     []vote
		load      load
		ramp      ramp
		own       map[string]*attempt
		announced int // attempts granted by other schedulers that gateways have in progress
	}
)

// New returns the Leases of a process that started at now. It lends no votes for the duration of one lease, since it
// can't know which votes it had lent before a restart.
func New(now time.Time, options Options) *Leases {
	if options.Lease == 0 {
		options.Lease = defaultLease
	}
	if options.Margin == 0 {
		options.Margin = defaultMargin
	}
	if options.GrantValidity == 0 {
		options.GrantValidity = defaultGrantValidity
	}
	if options.MinValidity == 0 {
		options.MinValidity = defaultMinValidity
	}
	if options.MaxArrivalDelay == 0 {
		options.MaxArrivalDelay = defaultMaxArrivalDelay
	}
	if options.MaxRequestDuration == 0 {
		options.MaxRequestDuration = defaultMaxRequestDuration
	}
	if options.MaxReportAge == 0 {
		options.MaxReportAge = defaultMaxReportAge
	}
	l := &Leases{
		options:     options,
		byID:        make(map[string]*target),
		byHash:      make(map[uint64]*target),
		retired:     make(map[string]*target),
		loans:       make(map[uint64]loan),
		peerDigests: make(map[ushermember.Key]uint64),
		attempts:    make(map[string]*attempt),
		announced:   make(map[string]announcedAttempt),
		rampMachine: newRampStateMachine(),
	}
	l.options.Ramp = options.Ramp.withDefaults()
	l.abstainUntil = now.Add(l.lenderLease())
	if cache, err := simplelru.NewLRU[uint64, *assignment](assignmentCacheSize, nil); err == nil {
		l.assignments = cache
	}
	return l
}

// SetTargets sets the targets of the cell. The state of targets that remain is kept.
func (l *Leases) SetTargets(targets []Target) {
	sorted := slices.Clone(targets)
	slices.SortFunc(sorted, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	sorted = slices.CompactFunc(sorted, func(a, b Target) bool { return a.ID == b.ID })
	previous := l.byID
	for id, t := range l.retired {
		if len(t.own) == 0 {
			delete(l.retired, id)
		}
	}
	l.byID = make(map[string]*target, len(sorted))
	l.byHash = make(map[uint64]*target, len(sorted))
	l.targets = l.targets[:0]
	var digest xxhash.Digest
	digest.Reset()
	for _, declared := range sorted {
		t := previous[declared.ID]
		delete(previous, declared.ID)
		if t == nil {
			t = l.retired[declared.ID]
			delete(l.retired, declared.ID)
		}
		if t == nil {
			t = &target{hash: xxhash.Sum64String(declared.ID)}
		}
		t.Target = declared
		l.targets = append(l.targets, t)
		l.byID[t.ID] = t
		l.indexByHash(t)
		_, _ = digest.WriteString(t.ID)
		_, _ = digest.Write([]byte{0})
	}
	for id, t := range previous {
		t.votes = nil
		l.retired[id] = t
	}
	l.digest = digest.Sum64()
	l.assignments.Purge()
}

// indexByHash indexes the target by the truncated hash that identifies it in ballots. Targets with the same hash are not
// found by it.
func (l *Leases) indexByHash(t *target) {
	short := t.hash >> lentShift
	if _, taken := l.byHash[short]; taken {
		l.byHash[short] = nil
		return
	}
	l.byHash[short] = t
}

// holderLease returns the duration for which the holder of a loan relies on it.
func (l *Leases) holderLease() time.Duration {
	return scale(l.options.Lease, 1-l.options.Margin)
}

// lenderLease returns the duration for which the lender treats a loan as outstanding.
func (l *Leases) lenderLease() time.Duration {
	return scale(l.options.Lease, 1+l.options.Margin)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
