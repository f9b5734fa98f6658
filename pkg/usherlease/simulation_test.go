package usherlease_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherlease"
	"github.com/samphireusher/samphireusher/pkg/ushermember"
	"pgregory.net/rapid"
)

const (
	processes       = 7 // the first five are on the member list at the start
	listed          = 5
	gateways        = 3
	lease           = 2 * time.Second
	maxArrivalDelay = 5 * time.Millisecond
	runTime         = 30 * time.Second
	slowStepTime    = 40 * time.Millisecond // step time at which no target leaves the cold state
)

var (
	// faultKinds contains few changes of the member list, since few votes count until a changed list has settled.
	faultKinds = []int{
		blockLink, blockOutgoing, blockPair, partition, pause, restart, movePartition, returnVotes, restartTarget, blockOutgoing, blockPair, partition,
		pause, restart, movePartition, blockOutgoing, partition, restart, movePartition, changeList, partitionWithListChange, removePartitioned,
	}
	targets    = coldTargets(1, 3, 7, 1, 3, 7, 1, 3, 7)
	allMembers = memberList(processes)
)

type (
	// disabled selects the mechanisms that are switched off.
	disabled struct {
		margin, sentTime, abstention, evidence, validity, settling, contact bool
	}

	// plan lists the faults of a run.
	plan struct {
		Seed       uint64
		Loss       int   // percentage of messages that are lost
		Delayed    int   // percentage of messages that are delayed by up to half a lease
		ClockRates []int // per mille, of processes and gateways
		Faults     []fault
	}

	fault struct {
		Kind         int
		At, Duration time.Duration
		From, To     int
	}

	// simulation runs processes in virtual time. Every process has a clock with its own rate.
	simulation struct {
		plan
		disabled
		random  *rand.Rand
		now     time.Duration
		events  []event // sorted by time
		procs   []*process
		list    ushermember.List
		running []int
		// targetIncarnations counts the restarts of each target
		targetIncarnations []uint64
		blockedUntil       [processes + gateways][processes + gateways]time.Duration // time until which the link is blocked
		granted            int
		overloaded         bool // more requests ran on a target than its capacity
		overshared         bool // the shares of a target added up to more than its capacity
		doubleVote         bool // a vote counted for two holders
	}

	process struct {
		index, incarnation int
		pausedUntil        time.Duration
		down               bool
		deferred           []func()
		list               ushermember.List
		members            *ushermember.Membership
		leases             *usherlease.Leases
	}

	event struct {
		at time.Duration
		do func()
	}
)

const (
	blockLink     = iota // in one direction
	blockOutgoing        // all messages that one process sends
	blockPair            // between two processes; all others receive from both
	partition            // separates some processes from the others
	pause
	restart
	changeList
	returnVotes
	movePartition           // one partition is replaced by another without healing; processes that change sides may restart
	partitionWithListChange // one side of a partition sees another member list
	removePartitioned       // two processes are separated and removed from the list, which they see only when the partition heals
	restartTarget
)

// plans generates random plans.
func plans() *rapid.Generator[plan] {
	return rapid.Custom(func(t *rapid.T) plan {
		p := plan{
			Seed:    rapid.Uint64().Draw(t, "seed"),
			Loss:    rapid.IntRange(0, 30).Draw(t, "loss"),
			Delayed: rapid.IntRange(0, 30).Draw(t, "delayed"),
		}
		for range processes + gateways {
			p.ClockRates = append(p.ClockRates, rapid.SampledFrom([]int{980, 1020}).Draw(t, "rate"))
		}
		for range rapid.IntRange(8, 50).Draw(t, "faults") {
			p.Faults = append(p.Faults, fault{
				Kind:     rapid.SampledFrom(faultKinds).Draw(t, "kind"),
				At:       time.Duration(rapid.IntRange(4000, 27000).Draw(t, "at")) * time.Millisecond,
				Duration: time.Duration(rapid.IntRange(100, 4000).Draw(t, "duration")) * time.Millisecond,
				From:     rapid.IntRange(0, listed-1).Draw(t, "from"),
				To:       rapid.IntRange(0, processes-1).Draw(t, "to"),
			})
		}
		return p
	})
}

// run executes a plan with the given mechanisms switched off.
func run(p plan, off disabled) *simulation {
	sim := &simulation{plan: p, disabled: off, random: rand.New(rand.NewPCG(p.Seed, 1))}
	sim.list = ushermember.NewList(1, allMembers[:listed])
	sim.running, sim.targetIncarnations = make([]int, len(targets)), make([]uint64, len(targets))
	for i := range processes {
		p := &process{index: i, list: sim.list}
		sim.procs = append(sim.procs, p)
		sim.start(p)
		sim.schedule(lease/10, p, sim.heartbeat)
		sim.schedule(40*time.Millisecond, p, sim.pollReports)
	}
	for g := range gateways {
		sim.sendRequests(g)
	}
	for _, f := range p.Faults {
		sim.after(f.At, func() { sim.applyFault(f) })
	}
	for sim.now < runTime {
		next := sim.events[0]
		sim.events, sim.now = sim.events[1:], next.at
		next.do()
	}
	return sim
}

func coldTargets(capacities ...int) []usherlease.Target {
	var cold []usherlease.Target
	for i, capacity := range capacities {
		cold = append(cold, usherlease.Target{ID: fmt.Sprint("t", i), ColdCapacity: capacity, WarmCapacity: 100})
	}
	return cold
}

func memberList(count int) []ushermember.Member {
	var members []ushermember.Member
	for i := range count {
		members = append(members, ushermember.Member{ID: fmt.Sprint("m", i)})
	}
	return members
}

func (sim *simulation) after(d time.Duration, do func()) {
	at := sim.now + d
	next := sort.Search(len(sim.events), func(i int) bool { return sim.events[i].at > at })
	sim.events = slices.Insert(sim.events, next, event{at: at, do: do})
}

func (sim *simulation) randomBelow(d time.Duration) time.Duration {
	return time.Duration(sim.random.Int64N(int64(d)))
}

// schedule runs a task of a process periodically. A paused process runs it when it resumes.
func (sim *simulation) schedule(d time.Duration, p *process, task func(*process)) {
	sim.after(d*3/4+sim.randomBelow(d/2), func() {
		sim.runOn(p, func() { task(p) })
		sim.schedule(d, p, task)
	})
}

// runOn runs a function on a process now, or when the process resumes.
func (sim *simulation) runOn(p *process, do func()) {
	if p.down {
		return
	}
	if p.pausedUntil > sim.now {
		p.deferred = append(p.deferred, do)
		return
	}
	do()
}

// clock returns the time by the clock of a process or gateway.
func (sim *simulation) clock(index int) time.Time {
	return time.Unix(1_000_000, 0).Add(sim.now / 1000 * time.Duration(sim.ClockRates[index]))
}

// send delivers a message over a link that may lose it, delay it or be blocked.
func (sim *simulation) send(from, to int, deliver func()) {
	if sim.blockedUntil[from][to] > sim.now || sim.random.IntN(100) < sim.Loss {
		return
	}
	delay := time.Millisecond + sim.randomBelow(3*time.Millisecond)
	if sim.random.IntN(100) < sim.Delayed {
		delay += sim.randomBelow(lease / 2)
	}
	sim.after(delay, deliver)
}

// start starts or restarts a process.
func (sim *simulation) start(p *process) {
	p.incarnation++
	p.down = false
	p.deferred = nil
	now := sim.clock(p.index)
	p.members = ushermember.New(now, ushermember.Options{
		Cell: "kochi", ID: allMembers[p.index].ID, Incarnation: uint64(p.incarnation), Interval: lease / 10,
		SuspectAfter: lease / 4, DeadAfter: lease / 2, SettleAfter: lease * 22 / 10, Bootstrap: lease,
	})
	p.members.SetList(now, p.list)
	options := usherlease.Options{Lease: lease, GrantValidity: lease / 10, MaxArrivalDelay: maxArrivalDelay, MinValidity: time.Millisecond}
	if sim.disabled.margin {
		options.Margin = 1e-9
	}
	if sim.disabled.abstention {
		now = now.Add(-10 * lease)
	}
	p.leases = usherlease.New(now, options)
	p.leases.SetTargets(targets)
}

func (sim *simulation) heartbeat(p *process) {
	now := sim.clock(p.index)
	p.members.Tick(now)
	outgoing := p.members.Heartbeats(now)
	view := p.members.View(now)
	if sim.settling {
		view.Abstain, view.Total = !p.list.Contains(view.Self), p.list.Len()
		view.Voters = nil
		for _, mv := range view.Members {
			view.Voters = append(view.Voters, mv.Key)
		}
		for i := range outgoing {
			outgoing[i].Heartbeat.Total = view.Total
		}
	}
	if sim.contact {
		view.CurrentUntil = now.Add(time.Hour)
	}
	p.leases.FillBallots(now, view, outgoing)
	for _, out := range outgoing {
		to := sim.procs[slices.IndexFunc(allMembers, func(m ushermember.Member) bool { return m.ID == out.To.ID })]
		sim.send(p.index, to.index, func() { sim.runOn(to, func() { sim.receive(to, out.Heartbeat) }) })
	}
}

func (sim *simulation) receive(p *process, h ushermember.Heartbeat) {
	now := sim.clock(p.index)
	received, err := p.members.Receive(now, h)
	if err != nil {
		return
	}
	if sim.sentTime && !received.EchoSentAt.IsZero() {
		received.EchoSentAt = now
	}
	p.leases.Receive(now, received)
}

// pollReports requests load reports from the targets.
func (sim *simulation) pollReports(p *process) {
	requestedAt, leases := sim.clock(p.index), p.leases
	sim.after(sim.randomBelow(5*time.Millisecond), func() {
		reports := make([]usherlease.LoadReport, 0, len(targets))
		for i, target := range targets {
			if sim.random.IntN(100) < sim.Loss {
				continue
			}
			reports = append(reports, usherlease.LoadReport{
				Target: target.ID, Incarnation: sim.targetIncarnations[i] + 1, RequestedAt: requestedAt, Requests: sim.running[i], StepTime: slowStepTime,
			})
		}
		sim.after(sim.randomBelow(lease/20), func() {
			sim.runOn(p, func() {
				for _, report := range reports {
					if sim.evidence {
						report.RequestedAt = sim.clock(p.index)
					}
					_ = leases.Report(sim.clock(p.index), report)
				}
			})
		})
	})
}

// sendRequests makes a gateway request grants in bursts. A gateway uses a grant if it arrives in time.
func (sim *simulation) sendRequests(g int) {
	sim.after(time.Millisecond+sim.randomBelow(18*time.Millisecond), func() { sim.sendRequests(g) })
	self, target := processes+g, sim.random.IntN(len(targets))
	p := sim.processWithCapacity(target)
	if burst := uint64(sim.now/(120*time.Millisecond)) * (sim.Seed | 1) >> 9; p == nil || burst%3 != 0 {
		return
	}
	requestedAt, id := sim.clock(self), fmt.Sprint(g, "-", sim.now)
	sim.send(self, p.index, func() {
		sim.runOn(p, func() {
			grant, err := p.leases.Admit(sim.clock(p.index), usherlease.Request{Attempt: id, Target: targets[target].ID})
			if err != nil {
				return
			}
			validity := usherlease.NewValidity(requestedAt, grant.ValidFor)
			if sim.disabled.margin {
				validity = validity.WithMargin(-0.05 / 0.95)
			}
			sim.send(p.index, self, func() {
				if !sim.disabled.validity && !validity.Covers(sim.clock(self)) {
					sim.finish(p, self, id, usherlease.NotRun)
					return
				}
				sim.after(sim.randomBelow(maxArrivalDelay*9/10), func() { sim.startRequest(p, self, target, grant) })
			})
		})
	})
}

// processWithCapacity returns one of the processes that would grant a request. It also checks that no vote counts for two
// holders, and that the shares of all processes, used or not, don't add up to more than the capacity of the target.
func (sim *simulation) processWithCapacity(target int) *process {
	var candidates []*process
	shares, votes := 0, make(map[ushermember.Key]int, processes)
	for _, p := range sim.procs {
		if p.down {
			continue
		}
		now := sim.clock(p.index)
		budget := p.leases.Budget(now, targets[target].ID)
		shares += budget.Share
		if budget.FreeCapacity > 0 {
			candidates = append(candidates, p)
		}
		for _, lender := range p.leases.Lenders(now, targets[target].ID) {
			votes[lender]++
			sim.doubleVote = sim.doubleVote || votes[lender] > 1
		}
	}
	sim.overshared = sim.overshared || shares > targets[target].ColdCapacity
	if len(candidates) == 0 {
		return nil
	}
	return candidates[sim.random.IntN(len(candidates))]
}

// startRequest runs a request on a target, sometimes for longer than a lease. Another incarnation of the target refuses
// it.
func (sim *simulation) startRequest(p *process, gateway, target int, grant usherlease.Grant) {
	if grant.Incarnation != sim.targetIncarnations[target]+1 {
		sim.finish(p, gateway, grant.Attempt, usherlease.NotRun)
		return
	}
	sim.running[target]++
	sim.granted++
	sim.overloaded = sim.overloaded || sim.running[target] > targets[target].ColdCapacity
	maxDuration := lease / 10
	if sim.random.IntN(8) == 0 {
		maxDuration = 3 * lease
	}
	sim.after(sim.randomBelow(maxDuration), func() {
		if grant.Incarnation != sim.targetIncarnations[target]+1 {
			return
		}
		sim.running[target]--
		sim.finish(p, gateway, grant.Attempt, usherlease.Completed)
	})
}

func (sim *simulation) finish(p *process, gateway int, id string, result usherlease.Result) {
	leases := p.leases
	sim.send(gateway, p.index, func() { sim.runOn(p, func() { leases.Finish(id, result) }) })
}

func (sim *simulation) applyFault(f fault) {
	p, until := sim.procs[f.From], sim.now+f.Duration
	switch f.Kind {
	case blockLink:
		sim.blockedUntil[f.From][f.To] = until
	case blockOutgoing:
		for i := range processes {
			sim.blockedUntil[f.From][i] = until
		}
	case blockPair:
		sim.blockedUntil[f.From][f.To], sim.blockedUntil[f.To][f.From] = until, until
	case partition:
		sim.partition(f.From, until)
	case movePartition:
		sim.partition(f.From, until)
		sim.after(f.Duration, func() {
			sim.partition(f.From, 0)
			sim.partition(f.To, sim.now+f.Duration)
			for i := min(f.From, f.To) + 1; i <= max(f.From, f.To); i++ {
				if sim.random.IntN(2) == 0 {
					sim.restart(sim.procs[i], lease/50)
				}
			}
		})
	case partitionWithListChange:
		sim.partition(f.From, until)
		sim.changeList(func(index int) time.Duration {
			if index <= f.From {
				return 0
			}
			return min(f.Duration, lease/2)
		}, sim.random.IntN(processes), sim.random.IntN(processes))
	case pause:
		sim.pause(p, until)
	case removePartitioned:
		sim.partition(1, sim.now+4*lease)
		sim.changeList(func(index int) time.Duration { return 4 * lease * time.Duration(1-min(index/2, 1)) }, 0, 1)
	case restartTarget:
		target := sim.random.IntN(len(targets))
		sim.targetIncarnations[target]++
		sim.running[target] = 0
	case restart:
		sim.restart(p, lease/4)
	case changeList:
		sim.changeList(func(int) time.Duration { return 0 }, f.To)
	case returnVotes:
		sim.runOn(p, func() { p.members.Leave(); p.leases.ReturnVotes(sim.clock(p.index)) })
		sim.after(f.Duration, func() { sim.runOn(p, func() { p.members.CancelLeave(); p.leases.Resume(sim.clock(p.index)) }) })
	}
}

func (sim *simulation) restart(p *process, maxDown time.Duration) {
	p.down, p.pausedUntil = true, 0
	sim.after(sim.randomBelow(maxDown), func() { sim.start(p) })
}

// partition separates the processes up to last from the others.
func (sim *simulation) partition(last int, until time.Duration) {
	for i := range processes {
		for j := range processes {
			if (i <= last) != (j <= last) {
				sim.blockedUntil[i][j] = until
			}
		}
	}
}

func (sim *simulation) pause(p *process, until time.Duration) {
	p.pausedUntil = max(p.pausedUntil, until)
	sim.after(until-sim.now, func() {
		if p.pausedUntil > sim.now {
			return
		}
		deferred := p.deferred
		p.deferred = nil
		for _, do := range deferred {
			do()
		}
	})
}

// changeList adds the toggled processes to the member list, or removes them if they are on it. Each process sees the new
// list after its delay and up to half a lease more.
func (sim *simulation) changeList(delay func(index int) time.Duration, toggled ...int) {
	var members []ushermember.Member
	for i, m := range allMembers {
		if sim.list.Contains(m.Key()) != slices.Contains(toggled, i) {
			members = append(members, m)
		}
	}
	if len(members) < listed-2 {
		return
	}
	list := ushermember.NewList(sim.list.Revision()+1, members)
	sim.list = list
	for _, p := range sim.procs {
		sim.after(delay(p.index)+sim.randomBelow(lease/2), func() {
			if list.Revision() > p.list.Revision() {
				p.list = list
				sim.runOn(p, func() { p.members.SetList(sim.clock(p.index), list) })
			}
		})
	}
}
