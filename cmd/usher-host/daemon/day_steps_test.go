package daemon_test

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/samphireusher/samphireusher/platform/usherday"
)

// changeVariants are the changes of declarations that a day without a variant goes through.
var changeVariants = []string{"route", "move", "key", "timeout", "move back", "drop", "drop key"}

// steps carries the steps of the day out at their times.
func (p *play) steps(ctx context.Context) {
	steps := slices.Clone(p.day.Steps)
	slices.SortStableFunc(steps, func(a, b usherday.Step) int { return cmp.Compare(a.At, b.At) })
	for _, step := range steps {
		if sleepFor(ctx, step.At-p.now()); ctx.Err() != nil {
			return
		}
		p.background.Go(func() { p.step(ctx, step) })
	}
}

func (p *play) step(ctx context.Context, s usherday.Step) {
	switch s.Kind {
	case usherday.ChangeDeclarations:
		p.change(s.Variant)
	case usherday.AddHosts:
		p.addSpares(s.Affected(len(p.site.DataCentres)))
	case usherday.LoseOneWay:
		link := [2]string{p.zone(s.DataCentre), p.zone(s.To)}
		p.breakLinks(link)
		sleepFor(ctx, s.For)
		p.mendLinks(link)
	case usherday.FreezeHosts:
		p.freeze(ctx, s)
	case usherday.LosePower:
		p.losePower(ctx, s)
	case usherday.KillHosts:
		hosts := p.running(s.DataCentre)
		for _, h := range hosts[:s.Affected(len(hosts))] {
			process := p.kill(h)
			p.background.Go(func() {
				sleepFor(ctx, s.For)
				p.backOn(h, process)
			})
		}
	case usherday.StopHosts:
		p.stopHosts(ctx, s)
	case usherday.DrainTargets:
		p.drainTargets(ctx, s)
	}
}

// change publishes a new version that adds, moves or drops a route, adds or drops a key, or changes a timeout.
func (p *play) change(variant string) {
	p.mu.Lock()
	n := p.changes
	p.changes++
	p.mu.Unlock()
	if variant == "" || variant == "all" {
		variant = changeVariants[n%len(changeVariants)]
	}
	plain := p.plainService()
	p.declare(func(next *usherday.Version) {
		routes := next.Routes
		idle := fmt.Sprintf("/idle-%d/", n%max(p.site.IdleRoutes, 1))
		switch variant {
		case "move":
			if route, declared := routes[idle]; declared {
				route.Service = annexService
				routes[idle] = route
			}
		case "move back":
			for prefix, route := range routes {
				if route.Service == annexService {
					route.Service = plain
					routes[prefix] = route
				}
			}
		case "key":
			p.key = fmt.Sprint("added-", n)
			next.Keys[p.key] = true
		case "drop key":
			delete(next.Keys, p.key)
		case "timeout":
			routes["/"+slowRoute+"/"] = usherday.DeclaredRoute{Service: plain, Timeout: slowTimeout + time.Duration(n%3)*100*time.Millisecond}
		case "drop":
			delete(routes, idle)
			p.removed = idle
		default:
			routes[fmt.Sprintf("/new-%d/", n)] = usherday.DeclaredRoute{Service: plain, Timeout: time.Second}
			if old := fmt.Sprintf("/new-%d/", n-2); n >= 2 {
				delete(routes, old)
				p.removed = old
			}
		}
	})
}

// addSpares starts spare hosts, one data centre after the other.
func (p *play) addSpares(n int) {
	for _, dataCentre := range p.site.DataCentres {
		for i := range p.site.Spares[dataCentre] {
			if n--; n < 0 {
				return
			}
			h := p.addHost(dataCentre, p.site.Hosts[dataCentre]+i+1)
			p.record.Disturb(h.name, p.now(), p.now())
			p.startHost(h, false)
		}
	}
}

func (p *play) freeze(ctx context.Context, s usherday.Step) {
	hosts := p.running(s.DataCentre)
	hosts = hosts[:s.Affected(len(hosts))]
	from := p.now()
	for _, h := range hosts {
		h.standing.Store(true)
		h.signal(syscall.SIGSTOP)
	}
	sleepFor(ctx, s.For)
	for _, h := range hosts {
		p.record.Disturb(h.name, from, p.now())
		h.standing.Store(false)
		h.signal(syscall.SIGCONT)
	}
}

// losePower takes the power from a data centre. Its machines do not answer any more, or their addresses refuse connections if the play
// says so, and they come back one after the other.
func (p *play) losePower(ctx context.Context, s usherday.Step) {
	subnet := p.zone(s.DataCentre)
	links := [][2]string{{subnet, "127."}, {"127.", subnet}}
	if p.refuses {
		links = nil
	}
	p.breakLinks(links...)
	from, killed := p.now(), map[*dayHost]*hostProcess{}
	for _, h := range p.running(s.DataCentre) {
		killed[h] = p.kill(h)
	}
	var targets []*dayTarget
	for _, t := range p.targets {
		if t.zone == s.DataCentre {
			targets = append(targets, t)
			t.end()
		}
	}
	sleepFor(ctx, s.For)
	p.mendLinks(links...)
	for _, h := range p.directories(s.DataCentre) {
		// One that was starting has had no path to anywhere.
		p.record.Disturb(h.name, from, p.now())
	}
	for h, process := range killed {
		p.background.Go(func() {
			sleepFor(ctx, time.Duration(p.intn(int(powerSpread))))
			p.backOn(h, process)
		})
	}
	for _, t := range targets {
		p.background.Go(func() {
			sleepFor(ctx, time.Duration(p.intn(int(powerSpread))))
			p.startTarget(t)
		})
	}
}

// stopHosts stops hosts one after the other, as planned work, and starts them again.
func (p *play) stopHosts(ctx context.Context, s usherday.Step) {
	hosts := p.running(s.DataCentre)
	for _, h := range hosts[:s.Affected(len(hosts))] {
		p.background.Go(func() {
			from, process := p.now(), h.process.Load()
			p.record.Stop(h.name, from)
			process.signal(syscall.SIGTERM)
			select {
			case <-process.exited:
			case <-time.After(p.site.Bounds.Grace):
			}
			if !h.running.Load() {
				// It was killed meanwhile, and is started again by that step.
				return
			}
			p.record.Disturb(h.name, from, p.now())
			p.kill(h)
			p.backOn(h, process)
		})
		sleepFor(ctx, s.Gap)
	}
}

// drainTargets lets targets say that they leave, and ends them after the users' drain time. Others start in their places.
func (p *play) drainTargets(ctx context.Context, s usherday.Step) {
	order := p.shuffledTargets(s.DataCentre)
	for _, t := range order[:s.Affected(len(order))] {
		t.mu.Lock()
		t.state = "draining"
		t.mu.Unlock()
		p.background.Go(func() {
			sleepFor(ctx, p.site.Store.Heartbeat+p.site.Bounds.Drain+p.site.Store.Lag+drainTargetTime)
			t.end()
			sleepFor(ctx, s.For)
			p.startTarget(t)
		})
		sleepFor(ctx, s.Gap)
	}
}

func (p *play) shuffledTargets(dataCentre string) []*dayTarget {
	targets := slices.DeleteFunc(slices.Clone(p.targets), func(t *dayTarget) bool { return dataCentre != "" && t.zone != dataCentre })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets
}
