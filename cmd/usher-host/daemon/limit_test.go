package daemon_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

// surge sends requests through all hosts in turn, so many a second, for a time. It returns the results.
func (b *testbed) surge(path string, perSecond int, duration time.Duration) []result {
	var mu sync.Mutex
	var results []result
	var calls sync.WaitGroup
	for end, i := time.Now().Add(duration), 0; time.Now().Before(end); i++ {
		calls.Go(func() {
			got := b.post(b.hosts[i%len(b.hosts)], path)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, got)
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	calls.Wait()
	return results
}

// Targets name in their answers how many requests a second they take from all hosts together. Hosts sent them what they would have
// sent anyway.
func TestLimitedTargetsGetNoMoreThanTheyName(t *testing.T) {
	for _, c := range []struct {
		name, path, prefix string
		hosts, perSecond   int
		limits             []string
	}{
		{"calls, 9 hosts", "/allotment/x", "plain-", 9, 60, []string{"3.5", "3.5"}},
		{"calls, 40 hosts", "/allotment/x", "plain-", 40, 120, []string{"2", "4.9"}},
		{"calls that may be repeated, all limited", "/status/x", "plain-", 9, 60, []string{"2", "4.9", "0.2"}},
		{"no requests at all", "/allotment/x", "plain-", 9, 60, []string{"0", "3.5"}},
		{"streams, 9 hosts", "/eligibility/2", "engine-", 9, 60, []string{"3.5", "2"}},
		{"streams, 40 hosts", "/appraisal/2", "engine-", 40, 120, []string{"3.5", "2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTestbed(t, options{hosts: c.hosts, engines: 3, plainTargets: 3}, func(t *testing.T, b *testbed) {
				b.surge(c.path, c.perSecond/2, 2*time.Second)
				for i, limit := range c.limits {
					b.targets[fmt.Sprint(c.prefix, i)].NameLimit(limit)
				}
				// Most calls go to the targets without a limit; then those are gone, and more callers come at once.
				results := b.surge(c.path, c.perSecond/2, 8*time.Second)
				for i := len(c.limits); i < 3; i++ {
					b.kill(fmt.Sprint(c.prefix, i))
				}
				time.Sleep(3 * time.Second)
				surge := time.Now()
				results = append(results, b.surge(c.path, c.perSecond, 10*time.Second)...)
				for i, limit := range c.limits {
					id := fmt.Sprint(c.prefix, i)
					perSecond, _ := strconv.ParseFloat(limit, 64)
					if got := len(b.requestsAfter(id, surge)); float64(got) < perSecond*10/4 {
						t.Errorf("%s: %d requests in 10 s with a limit of %s; want a quarter of that at least", id, got, limit)
					}
					if excess := limitExcess(b.targets[id].Arrivals(), fromAddress); excess != "" {
						t.Errorf("%s: %s", id, excess)
					}
				}
				for _, got := range results {
					if got.status == http.StatusServiceUnavailable && (got.header.Get("Retry-After") == "" || got.elapsed > time.Second) {
						t.Errorf("refused after %s, Retry-After %q", got.elapsed, got.header.Get("Retry-After"))
					}
				}
			})
		})
	}
}
