package daemon_test

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	plannedDuration = 9 * time.Second
	plannedSeries   = 2
	// plannedCallers is the number of callers that keep connections, keptCallersPerHost the lowest for each host.
	plannedCallers     = 60
	keptCallersPerHost = 4
	// limitCallers is the number of further callers in runs with targets that name limits.
	limitCallers = 48
	// stopsPerHost is one in how many hosts are stopped at once in runs with many hosts.
	stopsPerHost = 10
)

type (
	// plannedWork is what the operators did, as far as the check of lost requests asks for it.
	plannedWork struct {
		version int
		// stops and reloads have the times of SIGTERM and SIGHUP by host.
		stops, reloads map[string][]time.Time
		timeouts       []declaredTimeouts
	}

	// declaredTimeouts are the timeouts of routes by prefix in declarations that were published at a time.
	declaredTimeouts struct {
		at       time.Time
		timeouts map[string]time.Duration
	}
)

func (p *plannedWork) noteDeclarations(d map[string]any) {
	declared := declaredTimeouts{at: time.Now(), timeouts: map[string]time.Duration{}}
	for _, r := range d["routes"].([]any) {
		r := r.(map[string]any)
		declared.timeouts[r["prefix"].(string)] = time.Duration(r["timeoutMs"].(int)) * time.Millisecond
	}
	p.timeouts = append(p.timeouts, declared)
}

// shortestTimeout returns the shortest timeout of a path in the declarations that may have been in force in a span.
func (p *plannedWork) shortestTimeout(path string, from, to time.Time) time.Duration {
	prefix := path[:strings.IndexByte(path[1:], '/')+2]
	var shortest time.Duration
	for i, declared := range p.timeouts {
		replaced := i+1 < len(p.timeouts) && p.timeouts[i+1].at.Add(soakConfigTime).Before(from)
		if t := declared.timeouts[prefix]; !replaced && declared.at.Before(to) && t > 0 && (shortest == 0 || t < shortest) {
			shortest = t
		}
	}
	return shortest
}

// runPlannedWork lets operators do planned work in concurrent series while callers send requests. The callers go on until the
// last host that was stopped is gone.
func (s *soak) runPlannedWork() {
	ctx, cancel := context.WithTimeout(s.t.Context(), plannedDuration)
	defer cancel()
	callersCtx, endCallers := context.WithCancel(s.t.Context())
	var callers, operators sync.WaitGroup
	for i := range max(plannedCallers, keptCallersPerHost*len(s.hosts)) {
		callers.Go(func() { s.useKeptConnections(callersCtx, s.random(i+1000)) })
	}
	series, atOnce := plannedSeries, max(2, len(s.hosts)/stopsPerHost)
	work := []func(context.Context, *rand.Rand){s.changeDeclarations, s.reloadHost, s.injectNotice, s.replaceEngineSoon}
	if s.seed%2 == 0 {
		// Only every other run has targets that name limits, since each stop excuses a host from these, and the targets serve few.
		series, atOnce = 1, max(1, len(s.hosts)/stopsPerHost)
		work = append(work, s.injectLimits)
		for i := range limitCallers {
			callers.Go(func() { s.sendRequests(callersCtx, s.random(i+2)) })
		}
	}
	for i := range series {
		random := s.random(i + 200)
		operators.Go(func() {
			for ctx.Err() == nil {
				s.stopHosts(random, 1+random.IntN(atOnce))
				sleepFor(ctx, randomTime(random, 500))
			}
		})
	}
	for i, work := range work {
		random := s.random(i + 300)
		operators.Go(func() {
			for ctx.Err() == nil {
				work(ctx, random)
				sleepFor(ctx, randomTime(random, 1500))
			}
		})
	}
	operators.Wait()
	endCallers()
	callers.Wait()
	for _, h := range s.hosts {
		select {
		case <-h.exited:
			s.fail("host %s ended by itself: %v", h.ip, h.command.ProcessState)
		default:
		}
	}
}

func randomTime(random *rand.Rand, milliseconds int) time.Duration {
	return time.Duration(random.IntN(milliseconds)) * time.Millisecond
}

// reserve returns up to n random hosts that nobody else stops.
func (s *soak) reserve(random *rand.Rand, n int) []*soakHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reserved []*soakHost
	for _, i := range random.Perm(len(s.hosts)) {
		if h := s.hosts[i]; !h.busy && len(reserved) < n {
			h.busy = true
			reserved = append(reserved, h)
		}
	}
	return reserved
}

// stopHosts stops n hosts at almost the same time and starts them again.
func (s *soak) stopHosts(random *rand.Rand, n int) {
	var stopping sync.WaitGroup
	for _, h := range s.reserve(random, n) {
		before, early, apart := random.IntN(3) == 0, random.IntN(3) == 0, randomTime(random, 200)
		later := make([]syscall.Signal, random.IntN(3))
		pauses := make([]time.Duration, len(later))
		for i := range later {
			later[i] = []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[random.IntN(2)]
			pauses[i] = randomTime(random, 1500)
		}
		stopping.Go(func() {
			time.Sleep(apart)
			if before {
				s.reload(h)
				time.Sleep(apart)
			}
			s.stop(h, func() {
				for i, signal := range later {
					time.Sleep(pauses[i])
					h.signal(signal)
				}
			})
			s.start(h)
			if early {
				s.reloadEarly(h)
			}
			s.mu.Lock()
			h.busy = false
			s.mu.Unlock()
		})
	}
	stopping.Wait()
}

// stop stops a host as the platform does, with SIGKILL after the grace period, and calls during meanwhile.
func (s *soak) stop(h *soakHost, during func()) {
	s.mu.Lock()
	s.planned.stops[h.ip] = append(s.planned.stops[h.ip], time.Now())
	s.mu.Unlock()
	begin := time.Now()
	// What hosts pass on of targets is excused around stops, as in TestSoak.
	s.disturb(h.ip, func() {
		h.signal(syscall.SIGTERM)
		during()
		select {
		case <-h.exited:
		case <-time.After(time.Until(begin.Add(soakGrace))):
			s.fail("host %s did not exit within its grace period", h.ip)
			h.signal(syscall.SIGKILL)
			<-h.exited
		}
	})
}

// reload changes a host's settings file and signals that.
func (s *soak) reload(h *soakHost) {
	s.writeSettings(h)
	s.mu.Lock()
	s.planned.reloads[h.ip] = append(s.planned.reloads[h.ip], time.Now())
	s.mu.Unlock()
	h.signal(syscall.SIGHUP)
}

// reloadEarly signals a changed settings file to a host that has just opened its listener.
func (s *soak) reloadEarly(h *soakHost) {
	for begin := time.Now(); time.Since(begin) < soakGrace; {
		if conn, err := net.Dial("tcp4", net.JoinHostPort(h.ip, strconv.Itoa(soakPort))); err == nil {
			_ = conn.Close()
			s.reload(h)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// reloadHost signals a changed settings file to a host that may be stopping.
func (s *soak) reloadHost(_ context.Context, random *rand.Rand) {
	reserved := s.reserve(random, 1)
	for _, h := range reserved {
		s.reload(h)
		s.mu.Lock()
		h.busy = false
		s.mu.Unlock()
	}
}

// changeDeclarations publishes up to three versions in a row, which change idle times, timeouts and routes.
func (s *soak) changeDeclarations(ctx context.Context, random *rand.Rand) {
	for range 1 + random.IntN(3) {
		idle, timeout := 1000*(1+random.IntN(15)), 1000*(1+random.IntN(5))
		service := []string{plainService, engineService}[random.IntN(2)]
		s.publish(1+random.IntN(3), func(d map[string]any) {
			d["limits"].(map[string]any)["idleTimeoutMs"] = idle
			for _, r := range d["routes"].([]any) {
				if r := r.(map[string]any); r["service"] == plainService {
					r["timeoutMs"] = timeout
				}
			}
			d["routes"] = append(d["routes"].([]any), map[string]any{
				"name": "moving", "host": hostName, "prefix": "/moving/", "routeKind": "safe", "service": service,
				"timeoutMs": timeout, "goalMs": 100, "priority": 1, "maxAttempts": 2, "public": true,
			})
		})
		sleepFor(ctx, randomTime(random, 400))
	}
}

func (s *soak) replaceEngineSoon(ctx context.Context, random *rand.Rand) {
	sleepFor(ctx, randomTime(random, 3000))
	s.replaceEngine(ctx)
}
