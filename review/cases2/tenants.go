package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// configTime is the bound for a new version, from the store's response to the write (configMs).
	configTime  = 2 * time.Second
	tenantCalls = 27
	tenantPause = 60 * time.Millisecond
	neverHeld   = "k0never0held0by0any0one"
)

// lastTenant checks that no request runs with a key that no configuration ever held, nor with one that has been taken away. One version takes the
// only key away, the next one removes the tenant that has none left.
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
	l.keepPublished("servers/"+desk.id, desk.entry)
	if err := l.startHosts(9); err != nil {
		return false, err
	}
	before := l.tryKeys(desk, 7)
	if before[apiKey] == 0 || before[neverHeld]+before[""] > 0 {
		return false, fmt.Errorf("the keys do not work as declared before the changes: ran %v", before)
	}
	l.changeTenants(12, trouble, []any{map[string]any{"name": "huka270", "apiKeys": []string{}, "priority": 1}})
	withdrawn := l.tryKeys(desk, 12)
	l.changeTenants(17, trouble, []any{})
	after := l.tryKeys(desk, 17)
	unknown := withdrawn[neverHeld] + after[neverHeld]
	l.say("%d requests ran with a key that no configuration ever held; with the withdrawn key %d ran after it was taken away, %d after its tenant was removed", unknown, withdrawn[apiKey], after[apiKey])
	return unknown > 0, nil
}

// changeTenants publishes a version with the given tenants, or with the old ones if there is no trouble, and waits until it must be in force.
func (l *lab) changeTenants(version int, trouble bool, tenants []any) {
	next := configuration(version)
	if trouble {
		next["tenants"] = tenants
	}
	l.publish("op/config", next)
	l.note("the store has acknowledged version %d, with the tenants %v", version, next["tenants"])
	time.Sleep(configTime + time.Second)
}

// tryKeys sends unsafe calls with the first key, with one that was never held, and without one, and returns how many of each ran.
func (l *lab) tryKeys(desk *replica, version int) map[string]int {
	keys := []string{apiKey, neverHeld, ""}
	statuses, keyOf, ran := map[string]int{}, map[string]string{}, map[string]int{}
	for i := range tenantCalls {
		key := keys[i%len(keys)]
		attempt := fmt.Sprintf("%02x%014x", version, i)
		keyOf[attempt] = key
		r := callWithKey(l.hosts[i/len(keys)%len(l.hosts)], attempt, http.MethodPost, fmt.Sprintf("/checkout/%d", i), "a recorder", time.Second, key)
		l.note("version %d, consumer with key %q: %s at %s: status %d, body %q, error %v", version, key, attempt, r.host, r.status, r.body, r.err)
		statuses[fmt.Sprintf("%q: %d", key, r.status)]++
		time.Sleep(tenantPause)
	}
	for _, run := range desk.ran() {
		if key, ours := keyOf[run.attempt]; ours {
			ran[key]++
			l.note("version %d: %s with key %q ran at %s, tenant %q", version, run.attempt, key, desk.id, run.tenant)
		}
	}
	l.say("version %d: answers by key %v; ran by key %v", version, statuses, ran)
	return ran
}
