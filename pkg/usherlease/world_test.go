package usherlease_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
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
	targets = coldTargets(1, 3, 7, 1, 3, 7, 1, 3, 7)
	names   = memberList(0, 1, 2, 3, 4, 5, 6)
)

type (
	// without says which mechanisms are taken out.
	without struct {
		margin, sentTime, abstention, evidence, validity, settling bool
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
		events  events
		order   int
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
		own                []map[string]bool
	}

	event struct {
		at    time.Duration
		order int
		do    func()
	}

	events []event
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
	moveSplit // a split moves at once; who changes sides may restart
	splitList // one part of a split sees another list
	restartTarget
	kinds
)

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

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
				Kind: rapid.IntRange(0, kinds-1).Draw(t, "kind"),
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
func run(p plan, w without) *world {
	r := newWorld(p, w)
	r.play()
	return r
}

func newWorld(p plan, w without) *world {
	r := &world{plan: p, without: w, random: rand.New(rand.NewPCG(p.Seed, 1)), running: make([]int, len(targets)),
		incarnations: make([]uint64, len(targets))}
	r.list = ushermember.NewList(1, memberList(0, 1, 2, 3, 4))
	for i := range processes {
		r.procs = append(r.procs, &process{index: i})
		r.start(r.procs[i])
		r.every(lease/10, r.procs[i], r.heartbeat)
		r.every(40*time.Millisecond, r.procs[i], r.poll)
	}
	for g := range gateways {
		r.after(r.upTo(30*time.Millisecond), func() { r.gateway(g) })
	}
	for _, t := range p.Troubles {
		r.after(t.At, func() { r.trouble(t) })
	}
	return r
}

func (w *world) play() {
	for len(w.events) > 0 && w.now < runTime {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.do()
	}
}

func coldTargets(bearable ...int) []usherlease.Target {
	var cold []usherlease.Target
	for i, b := range bearable {
		cold = append(cold, usherlease.Target{ID: fmt.Sprint("t", i), Cold: b, Full: 100})
	}
	return cold
}

func memberList(indexes ...int) []ushermember.Member {
	var members []ushermember.Member
	for _, i := range indexes {
		members = append(members, ushermember.Member{ID: fmt.Sprint("m", i)})
	}
	return members
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now + d, order: w.order, do: do})
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
		SuspectAfter: lease / 4, DeadAfter: lease / 2, SettleAfter: lease * 11 / 10,
	})
	if p.list.Len() == 0 {
		p.list = w.list
	}
	p.members.SetList(now, p.list)
	options := usherlease.Options{Lease: lease, GrantValidity: lease / 10, Arrival: arrival, MinValidity: time.Millisecond}
	if w.without.margin {
		options.Margin = 1e-9
	}
	if w.without.abstention {
		now = now.Add(-10 * lease)
	}
	p.leases = usherlease.New(now, options)
	p.own = make([]map[string]bool, len(targets))
	for i := range targets {
		p.own[i] = make(map[string]bool)
	}
	p.leases.SetTargets(targets)
}

func (w *world) heartbeat(p *process) {
	now := w.clock(p.index)
	p.members.Tick(now)
	outgoing := p.members.Heartbeats(now)
	view := p.members.View(now)
	if w.settling {
		view.Abstain, view.Total = !p.list.Contains(view.Self), p.list.Len()
		for i := range outgoing {
			outgoing[i].Heartbeat.Total = view.Total
		}
	}
	p.leases.Ballots(now, view, outgoing)
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
			report := usherlease.LoadReport{
				Target: target.ID, Incarnation: w.incarnations[i] + 1, AskedAt: asked, Running: w.running[i], StepTime: slow,
			}
			if w.evidence {
				report.Running = len(p.own[i])
			}
			reports = append(reports, report)
		}
		w.after(w.upTo(10*time.Millisecond), func() {
			w.on(p, func() {
				for _, report := range reports {
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
	asked, id := w.clock(self), fmt.Sprint(g, "-", w.order)
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
			p.own[target][id] = true
			w.send(p.index, self, func() {
				if !w.without.validity && !validity.Covers(w.clock(self)) {
					w.finish(p, self, target, id, usherlease.NotRun)
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
	w.shared = w.shared || shares > targets[target].Cold
	if len(found) == 0 {
		return nil
	}
	return found[w.random.IntN(len(found))]
}

// begin lets a target run a request, sometimes for longer than a lease. Another incarnation refuses it.
func (w *world) begin(p *process, gateway, target int, grant usherlease.Grant) {
	if grant.Incarnation != w.incarnations[target]+1 {
		w.finish(p, gateway, target, grant.Attempt, usherlease.NotRun)
		return
	}
	w.running[target]++
	w.granted++
	w.over = w.over || w.running[target] > targets[target].Cold
	longest := lease / 10
	if w.random.IntN(8) == 0 {
		longest = 3 * lease
	}
	w.after(w.upTo(longest), func() {
		if grant.Incarnation != w.incarnations[target]+1 {
			return
		}
		w.running[target]--
		w.finish(p, gateway, target, grant.Attempt, usherlease.Completed)
	})
}

func (w *world) finish(p *process, gateway, target int, id string, result usherlease.Result) {
	leases := p.leases
	w.send(gateway, p.index, func() { w.on(p, func() { leases.Finish(id, result); delete(p.own[target], id) }) })
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
			w.heal()
			w.split(t.To, w.now+t.For)
			for i := min(t.From, t.To) + 1; i <= max(t.From, t.To); i++ {
				if w.random.IntN(2) == 0 {
					w.restart(w.procs[i], lease/50)
				}
			}
		})
	case splitList:
		w.split(t.From, until)
		w.changeList(t.From, t.For, w.random.IntN(processes), w.random.IntN(processes))
	case pause:
		w.pause(p, until)
	case restartTarget:
		target := w.random.IntN(len(targets))
		w.incarnations[target]++
		w.running[target] = 0
	case restart:
		w.restart(p, lease/4)
	case changeList:
		w.changeList(processes, 0, t.To)
	case giveBack:
		w.on(p, func() { p.members.Leave(); p.leases.GiveBack(w.clock(p.index)) })
		w.after(t.For, func() { w.on(p, func() { p.members.Return(); p.leases.Resume(w.clock(p.index)) }) })
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

func (w *world) heal() {
	w.cut = [processes + gateways][processes + gateways]time.Duration{}
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

// changeList lists processes or takes them off the list. Each process up to last sees that a little later, one after
// the other; those behind it only after a delay.
func (w *world) changeList(last int, delay time.Duration, toggled ...int) {
	var indexes []int
	for i := range processes {
		if w.list.Contains(names[i].Key()) != slices.Contains(toggled, i) {
			indexes = append(indexes, i)
		}
	}
	if len(indexes) < listed-2 {
		return
	}
	w.list = ushermember.NewList(w.list.Revision()+1, memberList(indexes...))
	list := w.list
	for _, p := range w.procs {
		lag := w.upTo(2 * lease)
		if p.index > last {
			lag += delay
		}
		w.after(lag, func() {
			if list.Revision() > p.list.Revision() {
				p.list = list
				w.on(p, func() { p.members.SetList(w.clock(p.index), list) })
			}
		})
	}
}
