package daemon_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/service/usherhost"
)

// oddEntries are entries that another writer left among those of the targets. None names a target to use.
var oddEntries = map[string]struct{ key, value string }{
	"nested arrays":                    {"servers/odd", strings.Repeat("[", 200_000)},
	"nested objects in a field":        {"servers/odd", `{"service":` + strings.Repeat(`{"a":`, 100_000) + "1" + strings.Repeat("}", 100_000) + "}"},
	"nested arrays in an unused field": {"servers/odd", oddEntry(`"extra":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000))},
	"number beyond a float":            {"servers/odd", oddEntry(`"coldLeftMs":1e999`)},
	"number beyond a duration":         {"servers/odd", oddEntry(`"coldLeftMs":1e300`)},
	"negative number":                  {"servers/odd", oddEntry(`"coldLeftMs":-1e300`)},
	"slots beyond an integer":          {"servers/odd", oddEntry(`"slots":1e30`)},
	"no slots":                         {"servers/odd", oddEntry(`"slots":0`)},
	"negative slots":                   {"servers/odd", oddEntry(`"slots":-9223372036854775808`)},
	"start beyond an integer":          {"servers/odd", oddEntry(`"born":123456789012345678901234567890`)},
	"long number":                      {"servers/odd", oddEntry(`"born":` + strings.Repeat("9", 500_000))},
	"port out of range":                {"servers/odd", oddEntry(`"address":"10.128.9.9:70000"`)},
	"negative port":                    {"servers/odd", oddEntry(`"address":"10.128.9.9:-1"`)},
	"port zero":                        {"servers/odd", oddEntry(`"address":"10.128.9.9:0"`)},
	"no port":                          {"servers/odd", oddEntry(`"address":"10.128.9.9"`)},
	"host name":                        {"servers/odd", oddEntry(`"address":"localhost:80"`)},
	"unspecified address":              {"servers/odd", oddEntry(`"address":"0.0.0.0:8080"`)},
	"address with a zone":              {"servers/odd", oddEntry(`"address":"[fe80::1%` + strings.Repeat("z", 50_000) + `]:80"`)},
	"long address":                     {"servers/odd", oddEntry(`"address":"` + strings.Repeat("1", 500_000) + `"`)},
	"long state":                       {"servers/odd", oddEntry(`"state":"` + strings.Repeat("x", 500_000) + `"`)},
	"long data centre":                 {"servers/odd", oddEntry(`"zone":"` + strings.Repeat("z", 500_000) + `"`)},
	"no id":                            {"servers/", oddEntry(`"seq":1`)},
	"id that ends a header line":       {"servers/a\r\nTenant: b", oddEntry(`"seq":1`)},
	"null":                             {"servers/odd", "null"},
	"nothing":                          {"servers/odd", ""},
	"no text":                          {"servers/odd", "\xff\xfe\x00"},
	"text that is no text":             {"servers/odd", oddEntry(`"zone":"` + "\xff\xfe" + `"`)},
}

// oddEntry returns an entry of a target with one field replaced or added. A later field of the same name counts.
func oddEntry(field string) string {
	return `{"service":"` + plainService + `","address":"10.128.9.9:8080","zone":"kochi","version":"v1","slots":6,"state":"ready","coldLeftMs":0,"seq":1,"born":1,` + field + `}`
}

// Another writer leaves one odd entry among those of the targets. Reported by operators of similar systems: the hosts that
// read the list ended again and again, or no longer followed it.
func TestOddEntryOfAnotherWriterDoesNoHarm(t *testing.T) {
	for name, odd := range oddEntries {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, options{hosts: 3, plainTargets: 2}, func(t *testing.T, b *testbed) {
				b.store.Put(odd.key, []byte(odd.value))
				time.Sleep(time.Second)
				// A host that starts later lists the entry, the others learn of it as a change.
				b.startHost(3)
				time.Sleep(2 * time.Second)
				b.declare(2, func(d map[string]any) {
					d["routes"].([]any)[3].(map[string]any)["prefix"] = "/moved/"
				})
				b.addTarget("plain-9", plainService, 9)
				b.store.Delete("servers/plain-0")
				b.store.Delete("servers/plain-1")
				time.Sleep(2 * time.Second)
				for _, h := range b.hosts {
					select {
					case err := <-h.done:
						t.Errorf("%s has ended: %v", h.name, err)
						h.done <- err
					default:
					}
					for range 6 {
						if got := b.do(b.request(t.Context(), h, http.MethodGet, "/moved/x", "")); got.status != http.StatusOK || !strings.HasSuffix(got.body, "by plain-9") {
							t.Errorf("%s: status %d, error %v, body %q; want an answer of plain-9", h.name, got.status, got.err, got.body)
						}
					}
				}
				for _, h := range b.hosts {
					if dump := b.getAt(h, adminPort, usherhost.DumpPath).body; strings.Contains(dump, "10.128.9.9") || strings.Contains(dump, "fe80") || strings.Contains(dump, "0.0.0.0:8080") {
						t.Errorf("%s takes the entry for a target: %s", h.name, dump)
					}
				}
				if n := b.logBuffer.longestLine(); n > maxLogLine {
					t.Errorf("a log line of %d bytes, want at most %d", n, maxLogLine)
				}
			})
		})
	}
}

const maxLogLine = 16 << 10

// longestLine returns the number of bytes of the longest log line.
func (l *logBuffer) longestLine() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	longest := 0
	for line := range strings.Lines(l.text.String()) {
		longest = max(longest, len(line))
	}
	return longest
}

// Another writer leaves large entries at once, so that the changes of one call to the store are more than a host reads. It must
// get the declarations that come with them in time, and not take the store for unavailable.
func TestLargeEntriesOfAnotherWriterHoldNothingUp(t *testing.T) {
	withTestbed(t, options{hosts: 3, plainTargets: 1}, func(t *testing.T, b *testbed) {
		b.store.SetWatchDelay(100 * time.Millisecond)
		for i := range 12 {
			b.store.Put(fmt.Sprint("servers/large-", i), []byte(strings.Repeat("x", 1<<20)))
		}
		b.declare(2, addRoute("new"))
		time.Sleep(maxConfigDelay)
		if n := b.hostsServing("/new/"); n != 3 {
			t.Errorf("configuration in effect on %d of 3 hosts after %s", n, maxConfigDelay)
		}
		if n := b.logBuffer.count("store unavailable"); n > 0 {
			t.Errorf("the store is taken for unavailable %d times", n)
		}
	})
}
