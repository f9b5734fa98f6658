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
	processes = 7 // of which the first five are listed at the start
	listed    = 5
	gateways  = 3
	lease     = 2 * time.Second
	arrival   = 5 * time.Millisecond
	runTime   = 30 * time.Second
	slow      = 40 * time.Millisecond // a step time that lets no target warm up
)

var (
	// kinds has changes of the list seldom, since votes are scarce until it has settled.
	kinds = []int{
		cutLink, cutFrom, overlap, split, pause, restart, moveSplit, giveBack, restartTarget, cutFrom, overlap, split,
		pause, restart, moveSplit, cutFrom, split, restart, moveSplit, changeList, splitList, removeSide,
	}
	targets = coldTargets(1, 3, 7, 1, 3, 7, 1, 3, 7)
	names   = memberList(processes)
)

type (
	// without says which mechanisms are taken out.
	without struct {
		margin, sentTime, abstention, evidence, validity, settling, contact bool
	}

	// plan is what goes wrong in a run.
	plan struct {
		Seed     uint64
		Loss     int // percent of messages lost, and late by up to half a lease
		Late     int
		Rates    []int // clock rates in per mille, for processes and gateways
		Troubles []trouble
	}

	trouble struct {
		Kind     int
		At, For  time.Duration
		From, To int
	}

	// world runs processes in virtual time. Every process has a clock of its own rate.
	world struct {
		plan
		without
		random  *rand.Rand
		now     time.Duration
		events  []event // in the order of time
		procs   []*process
		list    ushermember.List
		running []int
		// incarnations are those of the targets
		incarnations []uint64
		cut          [processes + gateways][processes + gateways]time.Duration // until when the link is cut
		granted      int
		over         bool // more ran on a target than it bears
		shared       bool // the shares in a target summed to more than it bears
		twice        bool // a vote counted for two holders
	}

	process struct {
		index, incarnation int
		pausedUntil        time.Duration
		down               bool
		waiting            []func()
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
	cutLink = iota // one way
	cutFrom        // all that one process sends
	overlap        // two processes don't hear each other, others hear both
	split          // some processes from the others
	pause
	restart
	changeList
	giveBack
	moveSplit  // a split moves at once; who changes sides may restart
	splitList  // one part of a split sees another list
	removeSide // two are split off and taken off the list, which they see only when it heals
	restartTarget
)

// plans draws what goes wrong.
func plans() *rapid.Generator[plan] {
	return rapid.Custom(func(t *rapid.T) plan {
		p := plan{
			Seed: rapid.Uint64().Draw(t, "seed"),
			Loss: rapid.IntRange(0, 30).Draw(t, "loss"),
			Late: rapid.IntRange(0, 30).Draw(t, "late"),
		}
		for range processes + gateways {
			p.Rates = append(p.Rates, rapid.SampledFrom([]int{980, 1020}).Draw(t, "rate"))
		}
		for range rapid.IntRange(8, 50).Draw(t, "troubles") {
			p.Troubles = append(p.Troubles, trouble{
				Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
				At:   time.Duration(rapid.IntRange(4000, 27000).Draw(t, "at")) * time.Millisecond,
				For:  time.Duration(rapid.IntRange(100, 4000).Draw(t, "for")) * time.Millisecond,
				From: rapid.IntRange(0, listed-1).Draw(t, "from"),
				To:   rapid.IntRange(0, processes-1).Draw(t, "to"),
			})
		}
		return p
	})
}

// run plays a plan.
func run(p plan, out without) *world {
	w := &world{plan: p, without: out, random: rand.New(rand.NewPCG(p.Seed, 1))}
	w.list = ushermember.NewList(1, names[:listed])
	w.running, w.incarnations = make([]int, len(targets)), make([]uint64, len(targets))
	for i := range processes {
		p := &process{index: i, list: w.list}
		w.procs = append(w.procs, p)
		w.start(p)
		w.every(lease/10, p, w.heartbeat)
		w.every(40*time.Millisecond, p, w.poll)
	}
	for g := range gateways {
		w.gateway(g)
	}
	for _, t := range p.Troubles {
		w.after(t.At, func() { w.trouble(t) })
	}
	for w.now < runTime {
		next := w.events[0]
		w.events, w.now = w.events[1:], next.at
		next.do()
	}
	return w
}

func coldTargets(bearable ...int) []usherlease.Target {
	var cold []usherlease.Target
	for i, b := range bearable {
		cold = append(cold, usherlease.Target{ID: fmt.Sprint("t", i), ColdCapacity: b, WarmCapacity: 100})
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

func (w *world) after(d time.Duration, do func()) {
	at := w.now + d
	next := sort.Search(len(w.events), func(i int) bool { return w.events[i].at > at })
	w.events = slices.Insert(w.events, next, event{at: at, do: do})
}

func (w *world) upTo(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d)))
}

// every runs a duty of a process again and again; a paused process runs it when it wakes up.
func (w *world) every(d time.Duration, p *process, duty func(*process)) {
	w.after(d*3/4+w.upTo(d/2), func() {
		w.on(p, func() { duty(p) })
		w.every(d, p, duty)
	})
}

// on lets a process do something now, or when it wakes up.
func (w *world) on(p *process, do func()) {
	if p.down {
		return
	}
	if p.pausedUntil > w.now {
		p.waiting = append(p.waiting, do)
		return
	}
	do()
}

// clock returns the time on the clock of a process or gateway.
func (w *world) clock(index int) time.Time {
	return time.Unix(1_000_000, 0).Add(w.now / 1000 * time.Duration(w.Rates[index]))
}

// send carries a message over a link that may lose it, delay it or be cut.
func (w *world) send(from, to int, deliver func()) {
	if w.cut[from][to] > w.now || w.random.IntN(100) < w.Loss {
		return
	}
	delay := time.Millisecond + w.upTo(3*time.Millisecond)
	if w.random.IntN(100) < w.Late {
		delay += w.upTo(lease / 2)
	}
	w.after(delay, deliver)
}

// start starts a process anew.
func (w *world) start(p *process) {
	p.incarnation++
	p.down = false
	p.waiting = nil
	now := w.clock(p.index)
	p.members = ushermember.New(now, ushermember.Options{
		Cell: "kochi", ID: names[p.index].ID, Incarnation: uint64(p.incarnation), Interval: lease / 10,
		SuspectAfter: lease / 4, DeadAfter: lease / 2, SettleAfter: lease * 22 / 10, Bootstrap: lease,
	})
	p.members.SetList(now, p.list)
	options := usherlease.Options{Lease: lease, GrantValidity: lease / 10, Arrival: arrival, MinValidity: time.Millisecond}
	if w.without.margin {
		options.Margin = 1e-9
	}
	if w.without.abstention {
		now = now.Add(-10 * lease)
	}
	p.leases = usherlease.New(now, options)
	p.leases.SetTargets(targets)
}

func (w *world) heartbeat(p *process) {
	now := w.clock(p.index)
	p.members.Tick(now)
	outgoing := p.members.Heartbeats(now)
	view := p.members.View(now)
	if w.settling {
		view.Abstain, view.Total = !p.list.Contains(view.Self), p.list.Len()
		view.Voters = nil
		for _, mv := range view.Members {
			view.Voters = append(view.Voters, mv.Key)
		}
		for i := range outgoing {
			outgoing[i].Heartbeat.Total = view.Total
		}
	}
	if w.contact {
		view.CurrentUntil = now.Add(time.Hour)
	}
	p.leases.FillBallots(now, view, outgoing)
	for _, out := range outgoing {
		to := w.procs[slices.IndexFunc(names, func(m ushermember.Member) bool { return m.ID == out.To.ID })]
		w.send(p.index, to.index, func() { w.on(to, func() { w.receive(to, out.Heartbeat) }) })
	}
}

func (w *world) receive(p *process, h ushermember.Heartbeat) {
	now := w.clock(p.index)
	received, err := p.members.Receive(now, h)
	if err != nil {
		return
	}
	if w.sentTime && !received.EchoSentAt.IsZero() {
		received.EchoSentAt = now
	}
	p.leases.Receive(now, received)
}

// poll asks the targets for load reports.
func (w *world) poll(p *process) {
	asked, leases := w.clock(p.index), p.leases
	w.after(w.upTo(5*time.Millisecond), func() {
		reports := make([]usherlease.LoadReport, 0, len(targets))
		for i, target := range targets {
			if w.random.IntN(100) < w.Loss {
				continue
			}
			reports = append(reports, usherlease.LoadReport{
				Target: target.ID, Incarnation: w.incarnations[i] + 1, RequestedAt: asked, Running: w.running[i], StepTime: slow,
			})
		}
		w.after(w.upTo(lease/20), func() {
			w.on(p, func() {
				for _, report := range reports {
					if w.evidence {
						report.RequestedAt = w.clock(p.index)
					}
					_ = leases.Report(w.clock(p.index), report)
				}
			})
		})
	})
}

// gateway asks a scheduler for a grant and uses it if it comes in time. Requests come in bursts.
func (w *world) gateway(g int) {
	w.after(time.Millisecond+w.upTo(18*time.Millisecond), func() { w.gateway(g) })
	self, target := processes+g, w.random.IntN(len(targets))
	p := w.withRoom(target)
	if burst := uint64(w.now/(120*time.Millisecond)) * (w.Seed | 1) >> 9; p == nil || burst%3 != 0 {
		return
	}
	asked, id := w.clock(self), fmt.Sprint(g, "-", w.now)
	w.send(self, p.index, func() {
		w.on(p, func() {
			grant, err := p.leases.Admit(w.clock(p.index), usherlease.Request{Attempt: id, Target: targets[target].ID})
			if err != nil {
				return
			}
			validity := usherlease.NewValidity(asked, grant.ValidFor)
			if w.without.margin {
				validity = validity.WithMargin(-0.05 / 0.95)
			}
			w.send(p.index, self, func() {
				if !w.without.validity && !validity.Covers(w.clock(self)) {
					w.finish(p, self, id, usherlease.NotRun)
					return
				}
				w.after(w.upTo(arrival*9/10), func() { w.begin(p, self, target, grant) })
			})
		})
	})
}

// withRoom returns one of the processes that would grant a request. On the way it checks that no vote counts for two
// holders, and that the shares of all, used or not, don't exceed what the target bears.
func (w *world) withRoom(target int) *process {
	var found []*process
	shares, votes := 0, make(map[ushermember.Key]int, processes)
	for _, p := range w.procs {
		if p.down {
			continue
		}
		now := w.clock(p.index)
		budget := p.leases.Budget(now, targets[target].ID)
		shares += budget.Share
		if budget.Room > 0 {
			found = append(found, p)
		}
		for _, lender := range p.leases.Lenders(now, targets[target].ID) {
			votes[lender]++
			w.twice = w.twice || votes[lender] > 1
		}
	}
	w.shared = w.shared || shares > targets[target].ColdCapacity
	if len(found) == 0 {
		return nil
	}
	return found[w.random.IntN(len(found))]
}

// begin lets a target run a request, sometimes for longer than a lease. Another incarnation refuses it.
func (w *world) begin(p *process, gateway, target int, grant usherlease.Grant) {
	if grant.Incarnation != w.incarnations[target]+1 {
		w.finish(p, gateway, grant.Attempt, usherlease.NotRun)
		return
	}
	w.running[target]++
	w.granted++
	w.over = w.over || w.running[target] > targets[target].ColdCapacity
	longest := lease / 10
	if w.random.IntN(8) == 0 {
		longest = 3 * lease
	}
	w.after(w.upTo(longest), func() {
		if grant.Incarnation != w.incarnations[target]+1 {
			return
		}
		w.running[target]--
		w.finish(p, gateway, grant.Attempt, usherlease.Completed)
	})
}

func (w *world) finish(p *process, gateway int, id string, result usherlease.Result) {
	leases := p.leases
	w.send(gateway, p.index, func() { w.on(p, func() { leases.Finish(id, result) }) })
}

func (w *world) trouble(t trouble) {
	p, until := w.procs[t.From], w.now+t.For
	switch t.Kind {
	case cutLink:
		w.cut[t.From][t.To] = until
	case cutFrom:
		for i := range processes {
			w.cut[t.From][i] = until
		}
	case overlap:
		w.cut[t.From][t.To], w.cut[t.To][t.From] = until, until
	case split:
		w.split(t.From, until)
	case moveSplit:
		w.split(t.From, until)
		w.after(t.For, func() {
			w.split(t.From, 0)
			w.split(t.To, w.now+t.For)
			for i := min(t.From, t.To) + 1; i <= max(t.From, t.To); i++ {
				if w.random.IntN(2) == 0 {
					w.restart(w.procs[i], lease/50)
				}
			}
		})
	case splitList:
		w.split(t.From, until)
		w.changeList(func(index int) time.Duration {
			if index <= t.From {
				return 0
			}
			return min(t.For, lease/2)
		}, w.random.IntN(processes), w.random.IntN(processes))
	case pause:
		w.pause(p, until)
	case removeSide:
		w.split(1, w.now+4*lease)
		w.changeList(func(index int) time.Duration { return 4 * lease * time.Duration(1-min(index/2, 1)) }, 0, 1)
	case restartTarget:
		target := w.random.IntN(len(targets))
		w.incarnations[target]++
		w.running[target] = 0
	case restart:
		w.restart(p, lease/4)
	case changeList:
		w.changeList(func(int) time.Duration { return 0 }, t.To)
	case giveBack:
		w.on(p, func() { p.members.Leave(); p.leases.ReturnVotes(w.clock(p.index)) })
		w.after(t.For, func() { w.on(p, func() { p.members.CancelLeave(); p.leases.Resume(w.clock(p.index)) }) })
	}
}

func (w *world) restart(p *process, most time.Duration) {
	p.down, p.pausedUntil = true, 0
	w.after(w.upTo(most), func() { w.start(p) })
}

// split cuts the processes up to last off from the others.
func (w *world) split(last int, until time.Duration) {
	for i := range processes {
		for j := range processes {
			if (i <= last) != (j <= last) {
				w.cut[i][j] = until
			}
		}
	}
}

func (w *world) pause(p *process, until time.Duration) {
	p.pausedUntil = max(p.pausedUntil, until)
	w.after(until-w.now, func() {
		if p.pausedUntil > w.now {
			return
		}
		waiting := p.waiting
		p.waiting = nil
		for _, do := range waiting {
			do()
		}
	})
}

// changeList lists processes or takes them off the list. Each process sees that a little later than after its delay.
func (w *world) changeList(delay func(index int) time.Duration, toggled ...int) {
	var members []ushermember.Member
	for i, m := range names {
		if w.list.Contains(m.Key()) != slices.Contains(toggled, i) {
			members = append(members, m)
		}
	}
	if len(members) < listed-2 {
		return
	}
	list := ushermember.NewList(w.list.Revision()+1, members)
	w.list = list
	for _, p := range w.procs {
		w.after(delay(p.index)+w.upTo(lease/2), func() {
			if list.Revision() > p.list.Revision() {
				p.list = list
				w.on(p, func() { p.members.SetList(w.clock(p.index), list) })
			}
		})
	}
}
