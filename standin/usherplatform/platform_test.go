package usherplatform_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphireusher/samphireusher/standin/usherpipe"
	"github.com/samphireusher/samphireusher/standin/usherplatform"
)

type (
	// bench is one platform and its client in a bubble of virtual time.
	bench struct {
		*testing.T
		platform *usherplatform.Platform
		client   *usherpipe.Client
	}

	watchAnswer struct {
		Version int      `json:"version"`
		Keys    []string `json:"keys"`
	}
)

func run(t *testing.T, config usherplatform.Config, test func(b bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		platform := usherplatform.New(config)
		client := usherpipe.Serve(platform)
		defer client.Close()
		test(bench{t, platform, client})
	})
}

// call returns the status, the body and the version of an answer; the status of a dropped connection is zero.
func (b bench) call(method, path string, body []byte) (status int, text, version string) {
	b.Helper()
	request, err := http.NewRequest(method, "http://platform"+path, bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	response, err := b.client.Do(request)
	if err != nil {
		return 0, "", ""
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", ""
	}
	return response.StatusCode, string(got), response.Header.Get("Usher-Version")
}

func (b bench) put(key, value string) {
	b.Helper()
	if status, text, _ := b.call("PUT", "/admin/values/"+key, []byte(value)); status != http.StatusOK {
		b.Fatalf("writing %s: status %d, body %s", key, status, text)
	}
}

func (b bench) wantValue(key, value, version string) {
	b.Helper()
	status, text, got := b.call("GET", "/v1/values/"+key, nil)
	if status != http.StatusOK || text != value || got != version {
		b.Errorf("%s: status %d, %q at version %s, want %q at %s", key, status, text, got, value, version)
	}
}

func (b bench) wantWatch(after string, version int, keys ...string) {
	b.Helper()
	var got watchAnswer
	_, text, _ := b.call("GET", "/v1/watch?after="+after, nil)
	if err := json.Unmarshal([]byte(text), &got); err != nil {
		b.Fatalf("watch: %q: %v", text, err)
	}
	if got.Version != version || !slices.Equal(got.Keys, keys) {
		b.Errorf("watch after %s: %+v, want %d, %v", after, got, version, keys)
	}
}

func TestValuesHaveTheVersionOfTheirWrite(t *testing.T) {
	run(t, usherplatform.Config{}, func(b bench) {
		b.put("usher/templates", "one")
		b.put("usher/hosts", "two")
		b.put("usher/templates", "three")
		b.wantValue("usher/templates", "three", "3")
		b.wantValue("usher/hosts", "two", "2")
		if status, _, version := b.call("GET", "/v1/values/usher/nothing", nil); status != http.StatusNotFound || version != "3" {
			b.Errorf("unknown key: status %d at version %s, want 404 at 3", status, version)
		}
	})
}

func TestBatchIsOneVersionOrNone(t *testing.T) {
	large := usherplatform.Value{Key: "large", Body: make([]byte, usherplatform.MaxValueBytes+1)}
	tests := []struct {
		name    string
		values  []usherplatform.Value
		status  int
		version int
	}{
		{"whole", []usherplatform.Value{{Key: "a", Body: []byte("1")}, {Key: "b", Body: []byte("2")}}, http.StatusOK, 2},
		{"too large", []usherplatform.Value{{Key: "a", Body: []byte("1")}, large}, http.StatusBadRequest, 1},
		{"no key", []usherplatform.Value{{Key: "a", Body: []byte("1")}, {}}, http.StatusBadRequest, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, usherplatform.Config{}, func(b bench) {
				b.put("a", "0")
				body, err := json.Marshal(map[string]any{"values": test.values})
				if err != nil {
					b.Fatal(err)
				}
				if status, text, _ := b.call("PUT", "/admin/batch", body); status != test.status {
					b.Errorf("status %d, body %s, want %d", status, text, test.status)
				}
				if test.status == http.StatusOK {
					b.wantWatch("1", test.version, "a", "b")
					return
				}
				b.wantValue("a", "0", "1")
				b.wantWatch("0", test.version, "a")
			})
		})
	}
}

func TestValueOfAMegabyte(t *testing.T) {
	run(t, usherplatform.Config{}, func(b bench) {
		value := strings.Repeat("x", usherplatform.MaxValueBytes)
		b.put("large", value)
		b.wantValue("large", value, "1")
		if status, _, _ := b.call("PUT", "/admin/values/large", []byte(value+"x")); status != http.StatusBadRequest {
			b.Errorf("status %d for a byte more, want 400", status)
		}
	})
}

func TestWatchWaitsForAChange(t *testing.T) {
	run(t, usherplatform.Config{}, func(b bench) {
		b.put("a", "1")
		b.wantWatch("0", 1, "a")
		time.AfterFunc(5*time.Second, func() { b.put("b", "2") })
		start := time.Now()
		b.wantWatch("1", 2, "b")
		if took := time.Since(start); took != 5*time.Second {
			b.Errorf("answered after %v, want 5 s", took)
		}
		b.wantWatch("2", 2)
		if took := time.Since(start); took != 35*time.Second {
			b.Errorf("gave up after %v, want 30 s later", took)
		}
	})
}

func TestEachCallCounts(t *testing.T) {
	run(t, usherplatform.Config{CallsPerSecond: 3}, func(b bench) {
		b.put("a", "1")
		want := []int{http.StatusOK, http.StatusOK, http.StatusOK, http.StatusTooManyRequests}
		for i, path := range []string{"/v1/values/a", "/v1/watch?after=0", "/v1/hosts", "/v1/values/a"} {
			if status, _, _ := b.call("GET", path, nil); status != want[i] {
				b.Errorf("call %d: status %d, want %d", i, status, want[i])
			}
		}
		time.Sleep(time.Second)
		b.wantValue("a", "1", "1")
		b.wantWatch("1", 1)
		seen := b.platform.Record()
		first := seen.Seconds[0]
		first.Second = 0
		if want := (usherplatform.SecondRecord{Calls: 4, Values: 2, Watches: 1, Hosts: 1, Refused: 1}); first != want {
			b.Errorf("first second: %+v, want %+v", first, want)
		}
		if seen.Calls != 6 || seen.Refused != 1 || seen.PeakCalls != 4 || len(seen.Seconds) != 2 {
			b.Errorf("record: %+v", seen)
		}
	})
}

func TestDownPlatformDropsReadersAndWatches(t *testing.T) {
	run(t, usherplatform.Config{}, func(b bench) {
		b.put("a", "1")
		time.AfterFunc(time.Second, func() { b.call("POST", "/faults", []byte(`{"down":true}`)) })
		if status, _, _ := b.call("GET", "/v1/watch?after=1", nil); status != 0 {
			b.Errorf("waiting watch: status %d, want a dropped connection", status)
		}
		if status, _, _ := b.call("GET", "/v1/values/a", nil); status != 0 {
			b.Errorf("reader: status %d, want a dropped connection", status)
		}
		b.call("POST", "/faults", []byte(`{"down":false}`))
		b.wantValue("a", "1", "1")
	})
}

func TestStalePlatformShowsAnOldVersion(t *testing.T) {
	run(t, usherplatform.Config{WatchTimeout: time.Second}, func(b bench) {
		b.put("a", "1")
		b.put("a", "2")
		b.call("POST", "/faults", []byte(`{"stale":true}`))
		b.put("a", "3")
		b.wantValue("a", "2", "2")
		b.wantWatch("2", 2)
		b.call("POST", "/faults", []byte(`{"stale_version":1}`))
		b.wantValue("a", "1", "1")
		b.call("POST", "/faults", []byte(`{"stale":false}`))
		b.wantValue("a", "3", "3")
		b.wantWatch("2", 3, "a")
	})
}

func TestSlowPlatform(t *testing.T) {
	run(t, usherplatform.Config{}, func(b bench) {
		b.put("a", "1")
		b.call("POST", "/faults", []byte(`{"slow_ms":1500}`))
		start := time.Now()
		b.wantValue("a", "1", "1")
		if took := time.Since(start); took != 1500*time.Millisecond {
			b.Errorf("took %v, want 1.5 s", took)
		}
	})
}

func TestHostListLags(t *testing.T) {
	const (
		live    = `{"hosts":[{"name":"h1","address":"127.0.0.1:1","data_centre":"kochi","role":"gateway","state":"live"}]}`
		leaving = `{"hosts":[{"name":"h1","address":"127.0.0.1:1","data_centre":"kochi","role":"gateway","state":"leaving"}]}`
		broken  = `{"hosts":[{"name":"h1","address":"127.0.0.1:1","data_centre":"kochi","role":"juror","state":"live"}]}`
	)
	run(t, usherplatform.Config{HostLag: 3 * time.Second}, func(b bench) {
		want := func(text string) {
			b.Helper()
			if _, got, _ := b.call("GET", "/v1/hosts", nil); got != text+"\n" {
				b.Errorf("hosts %s, want %s", got, text)
			}
		}
		b.call("PUT", "/admin/hosts", []byte(live))
		want(`{"version":0,"hosts":[]}`)
		time.Sleep(3 * time.Second)
		want(strings.Replace(live, "{", `{"version":1,`, 1))
		if status, _, _ := b.call("PUT", "/admin/hosts", []byte(broken)); status != http.StatusBadRequest {
			b.Errorf("unknown role: status %d, want 400", status)
		}
		b.call("POST", "/faults", []byte(`{"host_lag_ms":10000}`))
		b.call("PUT", "/admin/hosts", []byte(leaving))
		time.Sleep(9 * time.Second)
		want(strings.Replace(live, "{", `{"version":1,`, 1))
		time.Sleep(time.Second)
		want(strings.Replace(leaving, "{", `{"version":2,`, 1))
	})
}
