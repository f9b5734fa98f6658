package daemon_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"
)

// awaitServed sends requests through one host alone until one is served, and returns the time that took.
func (b *testbed) awaitServed(h *host, path string, atMost time.Duration) time.Duration {
	b.t.Helper()
	for begin := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		if got := b.post(h, path); got.status == http.StatusOK {
			return time.Since(begin)
		}
		if time.Since(begin) > atMost {
			b.t.Errorf("%s does not serve within %s", h.name, atMost)
			return atMost
		}
	}
}

// Load: callers of one host alone, after a limit has ended that all hosts know of. No host had learned of the end, as all others were
// idle and let their turns lapse, and callers were refused until the host's own turn, up to 50 s later.
func TestHostAskedAloneUsesTheTurnsOfOthers(t *testing.T) {
	for _, c := range []struct {
		path, prefix string
		hosts        int
		limits       []string
	}{{"/allotment/x", "plain-", 40, []string{"1"}}, {"/allotment/x", "plain-", 5, []string{"0.5"}}, {"/allotment/x", "plain-", 40, []string{"3.9", "0.6", "2"}}, {"/appraisal/2", "engine-", 40, []string{"0.6", "3.9"}}} {
		t.Run(fmt.Sprintf("%d hosts, %s, limits %v", c.hosts, c.path, c.limits), func(t *testing.T) {
			withTestbed(t, options{hosts: c.hosts, engines: 1, plainTargets: 1}, func(t *testing.T, b *testbed) {
				target := b.targets[c.prefix+"0"]
				for _, limit := range c.limits {
					// Few hosts learn of the later limits.
					target.NameLimit(limit)
					b.surge(c.path, 100, 4*time.Second)
				}
				if n := b.logBuffer.count(`"target names a limit"`); n < c.hosts {
					t.Fatalf("%d of %d hosts know of a limit, so the test shows nothing", n, c.hosts)
				}
				target.NameLimit()
				t.Logf("served after %s", b.awaitServed(b.hosts[c.hosts/2], c.path, 6*time.Second))
				if excess := limitExcess(target.Arrivals(), fromAddress); excess != "" {
					t.Error(excess)
				}
			})
		})
	}
}

// Load: callers of one host alone that has not heard of the end of a limit, as the target named the limit to it within the margin for
// notices, or as all notices were lost. Callers were refused until the host's own turn.
func TestHostThatHearsLateAsksBeforeItRefuses(t *testing.T) {
	const path = "/allotment/x"
	for _, lost := range []time.Duration{0, 8 * time.Second, 2 * time.Minute} {
		t.Run(fmt.Sprintf("notices lost for %s", lost), func(t *testing.T) {
			withTestbed(t, options{hosts: 40, plainTargets: 1}, func(t *testing.T, b *testbed) {
				target := b.targets["plain-0"]
				late := b.hosts[30]
				var others []netip.Addr
				for _, h := range b.hosts {
					if h != late {
						others = append(others, mustAddr(h.ip))
					}
				}
				target.NameLimit("4")
				b.surge(path, 100, 15*time.Second)
				b.awaitServed(late, path, 15*time.Second)
				target.NameLimit()
				if lost > 0 {
					b.network.Partition([]netip.Addr{mustAddr(late.ip)}, others)
				}
				b.awaitServed(b.hosts[3], path, 5*time.Second)
				time.Sleep(50*time.Millisecond + lost)
				if lost > 0 {
					b.network.Heal()
					// Hosts hear of each other again.
					time.Sleep(2 * time.Second)
				}
				b.awaitServed(late, path, 0)
			})
		})
	}
}

// Load: callers of one host alone, which alone was told of a limit that has ended. Callers were refused until its own turn, while all other
// hosts sent what they got.
func TestOnlyHostThatKnowsALimitUsesTheTurnsOfOthers(t *testing.T) {
	withTestbed(t, options{hosts: 40, plainTargets: 1}, func(t *testing.T, b *testbed) {
		target, knows := b.targets["plain-0"], b.hosts[30]
		target.NameLimit("1")
		b.post(knows, "/allotment/x")
		time.Sleep(2 * time.Second)
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			b.post(knows, "/allotment/x")
		}
		if n := b.logBuffer.count(`"target names a limit"`); n != 1 {
			t.Fatalf("%d hosts know of the limit, so the test shows nothing", n)
		}
		if excess := limitExcess(target.Arrivals(), fromAddress); excess != "" {
			t.Error(excess)
		}
		target.NameLimit()
		t.Logf("served after %s", b.awaitServed(knows, "/allotment/x", 2500*time.Millisecond))
	})
}

// Load: 300 callers a second at three targets whose limits end together. Hosts that the targets had told of their limits just before
// refused callers for more than a second after others had learned of the end.
func TestCallersAreServedOnceAnyHostKnowsOfTheEnd(t *testing.T) {
	// Hosts ask again after that time at the latest.
	const within = 300 * time.Millisecond
	for _, hosts := range []int{5, 40} {
		for _, limit := range []string{"1", "4", "15"} {
			t.Run(fmt.Sprintf("%d hosts, limit %s", hosts, limit), func(t *testing.T) {
				withTestbed(t, options{hosts: hosts, plainTargets: 3}, func(t *testing.T, b *testbed) {
					name := func(values ...string) {
						for _, target := range b.targets {
							target.NameLimit(values...)
						}
					}
					name(limit)
					b.surge("/status/x", 300, 8*time.Second)
					name()
					end, known, refused, late := time.Now(), time.Time{}, 0, 0
					for time.Since(end) < 8*time.Second {
						for _, got := range b.surge("/status/x", 300, 10*time.Millisecond) {
							if got.status != http.StatusOK {
								refused++
								if !known.IsZero() && time.Since(known) > within {
									late++
								}
							}
						}
						if known.IsZero() && b.logBuffer.count(`"kind":"limit"`) > 0 {
							known = time.Now()
						}
					}
					t.Logf("%d callers refused, an end is known after %s", refused, known.Sub(end))
					if late > 0 {
						t.Errorf("%d callers are refused more than %s after a host learned of an end", late, within)
					}
				})
			})
		}
	}
}
