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
	// fixture is a platform and its client in a synctest bubble.
	fixture struct {
		*testing.T
		platform *usherplatform.Platform
		client   *usherpipe.Client
	}

	watchResponse struct {
		Version int      `json:"version"`
		Keys    []string `json:"keys"`
	}
)

func run(t *testing.T, config usherplatform.Config, test func(h fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		platform := usherplatform.New(config)
		client := usherpipe.Serve(platform)
		defer client.Close()
		test(fixture{t, platform, client})
	})
}

// call returns the status, the body and the version of a response. The status is 0 if the connection was dropped.
func (h fixture) call(method, path string, body []byte) (status int, text, version string) {
	h.Helper()
	request, err := http.NewRequest(method, "http://platform"+path, bytes.NewReader(body))
	if err != nil {
		h.Fatal(err)
	}
	response, err := h.client.Do(request)
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

func (h fixture) put(key, value string) {
	h.Helper()
	if status, text, _ := h.call("PUT", "/admin/values/"+key, []byte(value)); status != http.StatusOK {
		h.Fatalf("writing %s: status %d, body %s", key, status, text)
	}
}

func (h fixture) wantValue(key, value, version string) {
	h.Helper()
	status, text, got := h.call("GET", "/v1/values/"+key, nil)
	if status != http.StatusOK || text != value || got != version {
		h.Errorf("%s: status %d, %q at version %s, want %q at %s", key, status, text, got, value, version)
	}
}

func (h fixture) wantWatch(after string, version int, keys ...string) {
	h.Helper()
	var got watchResponse
	_, text, _ := h.call("GET", "/v1/watch?after="+after, nil)
	if err := json.Unmarshal([]byte(text), &got); err != nil {
		h.Fatalf("watch: %q: %v", text, err)
	}
	if got.Version != version || !slices.Equal(got.Keys, keys) {
		h.Errorf("watch after %s: %+v, want %d, %v", after, got, version, keys)
	}
}

func TestValuesHaveTheVersionOfTheirWrite(t *testing.T) {
	run(t, usherplatform.Config{}, func(h fixture) {
		h.put("usher/templates", "one")
		h.put("usher/hosts", "two")
		h.put("usher/templates", "three")
		h.wantValue("usher/templates", "three", "3")
		h.wantValue("usher/hosts", "two", "2")
		if status, _, version := h.call("GET", "/v1/values/usher/nothing", nil); status != http.StatusNotFound || version != "3" {
			h.Errorf("unknown key: status %d at version %s, want 404 at 3", status, version)
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
			run(t, usherplatform.Config{}, func(h fixture) {
				h.put("a", "0")
				body, err := json.Marshal(map[string]any{"values": test.values})
				if err != nil {
					h.Fatal(err)
				}
				if status, text, _ := h.call("PUT", "/admin/batch", body); status != test.status {
					h.Errorf("status %d, body %s, want %d", status, text, test.status)
				}
				if test.status == http.StatusOK {
					h.wantWatch("1", test.version, "a", "b")
					return
				}
				h.wantValue("a", "0", "1")
				h.wantWatch("0", test.version, "a")
			})
		})
	}
}

func TestValueOfAMegabyte(t *testing.T) {
	run(t, usherplatform.Config{}, func(h fixture) {
		value := strings.Repeat("x", usherplatform.MaxValueBytes)
		h.put("large", value)
		h.wantValue("large", value, "1")
		if status, _, _ := h.call("PUT", "/admin/values/large", []byte(value+"x")); status != http.StatusBadRequest {
			h.Errorf("status %d for a byte more, want 400", status)
		}
	})
}

func TestWatchWaitsForAChange(t *testing.T) {
	run(t, usherplatform.Config{}, func(h fixture) {
		h.put("a", "1")
		h.wantWatch("0", 1, "a")
		time.AfterFunc(5*time.Second, func() { h.put("b", "2") })
		start := time.Now()
		h.wantWatch("1", 2, "b")
		if elapsed := time.Since(start); elapsed != 5*time.Second {
			h.Errorf("watch returned after %v, want 5 s", elapsed)
		}
		h.wantWatch("2", 2)
		if elapsed := time.Since(start); elapsed != 35*time.Second {
			h.Errorf("watch without changes returned %v after the start, want 35 s", elapsed)
		}
	})
}

func TestEachCallCounts(t *testing.T) {
	run(t, usherplatform.Config{CallsPerSecond: 3}, func(h fixture) {
		h.put("a", "1")
		want := []int{http.StatusOK, http.StatusOK, http.StatusOK, http.StatusTooManyRequests}
		for i, path := range []string{"/v1/values/a", "/v1/watch?after=0", "/v1/hosts", "/v1/values/a"} {
			if status, _, _ := h.call("GET", path, nil); status != want[i] {
				h.Errorf("call %d: status %d, want %d", i, status, want[i])
			}
		}
		time.Sleep(time.Second)
		h.wantValue("a", "1", "1")
		h.wantWatch("1", 1)
		record := h.platform.Record()
		first := record.Seconds[0]
		first.Second = 0
		if want := (usherplatform.SecondRecord{Calls: 4, Values: 2, Watches: 1, Hosts: 1, Refused: 1}); first != want {
			h.Errorf("first second: %+v, want %+v", first, want)
		}
		if record.Calls != 6 || record.Refused != 1 || record.PeakCalls != 4 || len(record.Seconds) != 2 {
			h.Errorf("record: %+v", record)
		}
	})
}

func TestDownPlatformDropsReadersAndWatches(t *testing.T) {
	run(t, usherplatform.Config{}, func(h fixture) {
		h.put("a", "1")
		time.AfterFunc(time.Second, func() { h.call("POST", "/faults", []byte(`{"down":true}`)) })
		if status, _, _ := h.call("GET", "/v1/watch?after=1", nil); status != 0 {
			h.Errorf("waiting watch: status %d, want a dropped connection", status)
		}
		if status, _, _ := h.call("GET", "/v1/values/a", nil); status != 0 {
			h.Errorf("reader: status %d, want a dropped connection", status)
		}
		h.call("POST", "/faults", []byte(`{"down":false}`))
		h.wantValue("a", "1", "1")
	})
}

func TestStalePlatformShowsAnOldVersion(t *testing.T) {
	run(t, usherplatform.Config{WatchTimeout: time.Second}, func(h fixture) {
		h.put("a", "1")
		h.put("a", "2")
		h.call("POST", "/faults", []byte(`{"stale":true}`))
		h.put("a", "3")
		h.wantValue("a", "2", "2")
		h.wantWatch("2", 2)
		h.call("POST", "/faults", []byte(`{"stale_version":1}`))
		h.wantValue("a", "1", "1")
		h.call("POST", "/faults", []byte(`{"stale":false}`))
		h.wantValue("a", "3", "3")
		h.wantWatch("2", 3, "a")
	})
}

func TestSlowPlatform(t *testing.T) {
	run(t, usherplatform.Config{}, func(h fixture) {
		h.put("a", "1")
		h.call("POST", "/faults", []byte(`{"slow_ms":1500}`))
		start := time.Now()
		h.wantValue("a", "1", "1")
		if elapsed := time.Since(start); elapsed != 1500*time.Millisecond {
			h.Errorf("took %v, want 1.5 s", elapsed)
		}
	})
}

func TestHostListLags(t *testing.T) {
	const (
		live    = `{"hosts":[{"name":"h1","address":"127.0.0.1:1","data_centre":"kochi","role":"gateway","state":"live"}]}`
		leaving = `{"hosts":[{"name":"h1","address":"127.0.0.1:1","data_centre":"kochi","role":"gateway","state":"leaving"}]}`
		broken  = `{"hosts":[{"name":"h1","address":"127.0.0.1:1","data_centre":"kochi","role":"juror","state":"live"}]}`
	)
	run(t, usherplatform.Config{HostLag: 3 * time.Second}, func(h fixture) {
		want := func(text string) {
			h.Helper()
			if _, got, _ := h.call("GET", "/v1/hosts", nil); got != text+"\n" {
				h.Errorf("hosts %s, want %s", got, text)
			}
		}
		h.call("PUT", "/admin/hosts", []byte(live))
		want(`{"version":0,"hosts":[]}`)
		time.Sleep(3 * time.Second)
		want(strings.Replace(live, "{", `{"version":1,`, 1))
		if status, _, _ := h.call("PUT", "/admin/hosts", []byte(broken)); status != http.StatusBadRequest {
			h.Errorf("unknown role: status %d, want 400", status)
		}
		h.call("POST", "/faults", []byte(`{"host_lag_ms":10000}`))
		h.call("PUT", "/admin/hosts", []byte(leaving))
		time.Sleep(9 * time.Second)
		want(strings.Replace(live, "{", `{"version":1,`, 1))
		time.Sleep(time.Second)
		want(strings.Replace(leaving, "{", `{"version":2,`, 1))
	})
}
