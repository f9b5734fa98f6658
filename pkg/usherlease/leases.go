// Package usherlease decides how many requests a scheduler may have in progress on a target, so that all schedulers
// of a cell together never give a cold target more than it bears.
//
// Every member of the cell has one vote on each target and lends it to one member at a time: the first by rendezvous
// hash among the members it hears. A loan is a lease. The holder counts it from when it sent the heartbeat that the
// lender echoes, shortened by a margin for clock rate; the lender counts it from when that heartbeat came, lengthened
// by the margin, and lends anew only after that. A holder of v of N votes may load a target that bears b requests
// with ceil(b*v/N) if v is a majority, else with floor(b*v/N); the sum over all holders is at most b.
//
// A gained vote counts only once a load report that was asked for later has shown what still runs. What a target
// bears rises by evidence and falls back to the start when the target's incarnation or step time changes. A grant
// ends no later than the votes that it needs.
//
// A Leases does no I/O and reads no clock.
//
// # Usage
//
//	leases := usherlease.New(now, usherlease.Options{})
//	leases.SetTargets(targets)
//	outgoing := membership.Heartbeats(now)
//	leases.FillBallots(now, membership.View(now), outgoing)  // a round of heartbeats
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
	defaultLease          = 4 * time.Second
	defaultMargin         = 0.05
	defaultGrantValidity  = 500 * time.Millisecond
	defaultMinValidity    = 20 * time.Millisecond
	defaultArrival        = 100 * time.Millisecond
	defaultLongestRequest = 2 * time.Hour
	defaultFresh          = 2 * time.Second
	assignmentsKept       = 128
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("usherlease").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrUnknownTarget is the type of errors on targets that aren't declared.
	ErrUnknownTarget = Errors.NewType("unknown_target")
	// ErrNoRoom is the type of errors on targets that bear no further request now.
	ErrNoRoom = Errors.NewType("no_room", errorx.Temporary())
	// ErrUnproven is the type of errors on targets whose load isn't known since votes were gained.
	ErrUnproven = Errors.NewType("unproven", errorx.Temporary())
	// ErrReturned is the type of errors after ReturnVotes.
	ErrReturned = Errors.NewType("returned")
	// ErrDuplicate is the type of errors on attempts that already have a grant.
	ErrDuplicate = Errors.NewType("duplicate")
)

type (
	// Options configures a Leases. Zero values stand for defaults.
	Options struct {
		// Lease is the time for which a vote is lent.
		Lease time.Duration
		// Margin is the fraction by which a holder counts a lease shorter and a lender longer.
		Margin float64
		// GrantValidity is the longest time from a grant to the write to the target.
		GrantValidity time.Duration
		// MinValidity is the shortest validity that is worth a grant.
		MinValidity time.Duration
		// Arrival is the longest time from the begin of a write until the target counts the request.
		Arrival time.Duration
		// LongestRequest is the time after which an attempt whose end was never told is forgotten.
		LongestRequest time.Duration
		// Fresh is the age up to which a report may show room beyond a holder's share.
		Fresh time.Duration
		// Ramp says what evidence raises the load of a target.
		Ramp Ramp
	}

	// Target is a declared target.
	Target struct {
		ID string
		// ColdCapacity and Full are the numbers of requests that it bears when just started and when warm.
		ColdCapacity int
		WarmCapacity int
	}

	// Leases is what one scheduler lends and holds. It isn't safe for concurrent use.
	Leases struct {
		options      Options
		view         ushermember.View
		abstainUntil time.Time
		targets      []*target // sorted by id
		byID         map[string]*target
		byHash       map[uint64]*target
		retired      map[string]*target // targets taken away, for as long as own attempts may run on them
		digest       uint64
		assignments  *simplelru.LRU[uint64, *assignment]
		loans        map[uint64]loan // by hash of the target; kept while they run, also of targets taken away
		peers        map[ushermember.Key]uint64
		attempts     map[string]*attempt
		announced    map[string]announced
		ramps        lifecycle
		returning    bool
		returnAt     time.Time
		acceptAfter  time.Time // votes that echo heartbeats sent up to then have been given back
	}

	// target is what this scheduler knows of one target.
	target struct {
		Target
		hash      uint64
		votes     []vote
		load      load
		ramp      ramp
		own       map[string]*attempt
		announced int // attempts of other schedulers that gateways have in progress
	}
)

// New returns the leases of a process that started at now. It abstains for one lease, since it can't know what it
// had lent before.
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
	if options.Arrival == 0 {
		options.Arrival = defaultArrival
	}
	if options.LongestRequest == 0 {
		options.LongestRequest = defaultLongestRequest
	}
	if options.Fresh == 0 {
		options.Fresh = defaultFresh
	}
	l := &Leases{
		options:   options,
		byID:      make(map[string]*target),
		byHash:    make(map[uint64]*target),
		retired:   make(map[string]*target),
		loans:     make(map[uint64]loan),
		peers:     make(map[ushermember.Key]uint64),
		attempts:  make(map[string]*attempt),
		announced: make(map[string]announced),
		ramps:     newLifecycle(),
	}
	l.options.Ramp = options.Ramp.withDefaults()
	l.abstainUntil = now.Add(l.lenderLease())
	if cache, err := simplelru.NewLRU[uint64, *assignment](assignmentsKept, nil); err == nil {
		l.assignments = cache
	}
	return l
}

// SetTargets declares the targets of the cell. What is known of targets that stay is kept.
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
		l.index(t)
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

// index makes the target known by the hash that ballots name it by. Of two with one hash neither is.
func (l *Leases) index(t *target) {
	short := t.hash >> lentShift
	if _, taken := l.byHash[short]; taken {
		l.byHash[short] = nil
		return
	}
	l.byHash[short] = t
}

// holderLease is the time for which a holder counts a loan.
func (l *Leases) holderLease() time.Duration {
	return scale(l.options.Lease, 1-l.options.Margin)
}

// lenderLease is the time for which a lender counts a loan.
func (l *Leases) lenderLease() time.Duration {
	return scale(l.options.Lease, 1+l.options.Margin)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
