package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// configTime is the bound for a new version, from the store's response to the write (configMs).
	configTime  = 2 * time.Second
	tenantCalls = 45
	tenantPause = 60 * time.Millisecond
)

// lastTenant checks that no request runs with a key that has been taken away, or that no configuration ever held, after the last tenant has been
// removed.
func lastTenant(record string, trouble bool) (bool, error) {
	l, err := newLab(record, 284)
	if err != nil {
		return false, err
	}
	defer l.close()
	l.publish("op/config", configuration(7))
	desk, err := l.startReplica(0, "i-7f3a91c0", "hiraman-desk", 15*time.Millisecond)
	if err != nil {
		return false, err
	}
	l.publish("servers/"+desk.id, desk.entry(1))
	if err := l.startHosts(9); err != nil {
		return false, err
	}
	keys := []struct{ what, key string }{{"withdrawn", apiKey}, {"unknown", "k0never0held0by0any0one"}, {"absent", ""}}
	send := func(phase string, n int) (map[string]int, map[string]int) {
		statuses, attempts := map[string]int{}, map[string]string{}
		for i := range n {
			k := keys[i%len(keys)]
			attempt := fmt.Sprintf("%s%014x", map[string]string{"before": "0b", "after": "0a"}[phase], i)
			attempts[attempt] = k.what
			r := callWithKey(l.hosts[(i/len(keys))%len(l.hosts)], attempt, http.MethodPost, fmt.Sprintf("/checkout/%d", i), "a recorder", time.Second, k.key)
			l.note("%s: consumer with %s key: %s at %s: status %d, body %q, error %v", phase, k.what, attempt, r.host, r.status, r.body, r.err)
			statuses[fmt.Sprintf("%s key: status %d", k.what, r.status)]++
			time.Sleep(tenantPause)
		}
		ran := map[string]int{}
		for _, run := range desk.ran() {
			if what, ours := attempts[run.attempt]; ours {
				ran[what]++
				l.note("%s: %s with %s key ran at %s, tenant %q", phase, run.attempt, what, desk.id, run.tenant)
			}
		}
		return statuses, ran
	}
	statuses, ran := send("before", 27)
	l.say("with one tenant: %v; ran: %v", statuses, ran)
	if ran["withdrawn"] == 0 || ran["unknown"]+ran["absent"] > 0 {
		return false, fmt.Errorf("the keys do not work as declared before the change: ran %v", ran)
	}
	if trouble {
		next := configuration(12)
		next["tenants"] = []any{}
		l.publish("op/config", next)
		l.note("the store has acknowledged version 12, which has no tenant any more")
	}
	time.Sleep(configTime + time.Second)
	statuses, ran = send("after", tenantCalls)
	if !trouble {
		l.say("the tenant stays: %v; ran: %v", statuses, ran)
		return ran["unknown"]+ran["absent"] > 0, nil
	}
	l.say("3 s after the last tenant was removed: %v; ran: %v", statuses, ran)
	return ran["withdrawn"]+ran["unknown"]+ran["absent"] > 0, nil
}
