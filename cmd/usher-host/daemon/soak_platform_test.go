package daemon_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samphireusher/samphireusher/platform/usherstandin"
)

// targetFaults are the faults that targets have for a while.
var targetFaults = []usherstandin.Fault{
	usherstandin.Refuses, usherstandin.Fails, usherstandin.DropsConnection, usherstandin.NeverResponds, usherstandin.TruncatesResponse, usherstandin.SendsForeignFirst,
	usherstandin.StallsAfterFirstEvent, usherstandin.StallsBeforeFirstEvent,
}

// injectPlatformFault injects a fault into a link, the store or a target, publishes new declarations, or replaces an
// engine.
func (s *soak) injectPlatformFault(ctx context.Context, random *rand.Rand) {
	pause := time.Duration(200+random.IntN(800)) * time.Millisecond
	switch random.IntN(7) {
	case 0, 1:
		s.mu.Lock()
		p := s.proxies[random.IntN(len(s.proxies))]
		disturbed := ""
		for id, target := range s.targets {
			if target.proxy == p {
				disturbed = id
			}
		}
		s.mu.Unlock()
		s.disturb(disturbed, func() {
			p.setMode(proxyMode(1 + random.IntN(int(proxyModes)-1)))
			sleepFor(ctx, pause)
			p.setMode(proxyPasses)
		})
	case 2:
		s.store.SetMode("", []usherstandin.Mode{usherstandin.Unavailable, usherstandin.TooManyRequests, usherstandin.Reset, usherstandin.Unresponsive}[random.IntN(4)])
		sleepFor(ctx, 2*pause)
		s.store.SetMode("", usherstandin.Serving)
		s.store.CompactHistory()
	case 3:
		s.publish(1+random.IntN(3), nil)
	case 4:
		s.replaceEngine(ctx)
	case 5, 6:
		s.mu.Lock()
		target := s.targets[fmt.Sprint("i-", random.IntN(s.nextID))]
		s.mu.Unlock()
		target.SetFault(targetFaults[random.IntN(len(targetFaults))])
		sleepFor(ctx, pause)
		target.SetFault(usherstandin.NoFault)
	}
	sleepFor(ctx, pause/4)
}

// replaceCrashed replaces an engine that has crashed.
func (s *soak) replaceCrashed(id string) {
	s.mu.Lock()
	crashed := s.targets[id]
	known := crashed.reclaimed
	crashed.reclaimed = true
	s.mu.Unlock()
	_ = crashed.server.Close()
	if known {
		// replaceEngine starts another one.
		return
	}
	time.Sleep(time.Second)
	s.store.Delete("servers/" + id)
	s.addTarget(true)
}

// replaceEngine reclaims an engine after a notice period, and starts another one.
func (s *soak) replaceEngine(ctx context.Context) {
	s.mu.Lock()
	var draining *soakTarget
	for i := range s.nextID {
		if target := s.targets[fmt.Sprint("i-", i)]; target.engine && !target.reclaimed {
			draining = target
			break
		}
	}
	if draining == nil {
		// All have crashed and are about to be replaced.
		s.mu.Unlock()
		return
	}
	draining.reclaimed = true
	s.mu.Unlock()
	draining.Drain()
	key, value := draining.Entry("draining")
	s.store.PutJSON(key, value)
	s.addTarget(true)
	sleepFor(ctx, 1500*time.Millisecond)
	s.remove(draining, key)
}

// remove ends a target and removes its entry.
func (s *soak) remove(target *soakTarget, key string) {
	s.mu.Lock()
	target.gone = time.Now()
	s.mu.Unlock()
	target.Kill()
	_ = target.server.Close()
	s.store.Delete(key)
}
