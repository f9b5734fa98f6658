package daemon_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/platform/usherstandin"
)

func TestCallReachesOneTargetUnchanged(t *testing.T) {
	withTestbed(t, options{hosts: 3, engines: 2, plainTargets: 3}, func(t *testing.T, b *testbed) {
		r := b.request(t.Context(), b.hosts[0], http.MethodPost, "/allotment/a%20b/?x=1&y=%2F", "stall 41")
		// Headers that only the system may set must not be forwarded from callers.
		for _, name := range []string{"Tenant", "Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Kv-Fetch", "Expected-Version"} {
			r.Header.Set(name, "forged")
		}
		r.Header.Set("Accept-Language", "ml")
		got := b.do(r)
		if got.status != http.StatusOK || got.header.Get("Server-Seal") == "" {
			t.Fatalf("response %+v", got)
		}
		id, run := b.onlyRun(got.attempt)
		if run.Method != http.MethodPost || run.URI != "/allotment/a%20b/?x=1&y=%2F" || run.Body != "stall 41" || run.Tenant != "weavers" {
			t.Errorf("the target received %+v", run)
		}
		if run.Header.Get("Api-Key") != "" || run.Header.Get("Expected-Replica") != id || run.Header.Get("Accept-Language") != "ml" {
			t.Errorf("the target received the headers %v", run.Header)
		}
		for name, values := range run.Header {
			if strings.Contains(strings.Join(values, ","), "forged") {
				t.Errorf("the target received the caller's value of %s", name)
			}
		}
	})
}

func TestStreamIsRelayedWithoutDelay(t *testing.T) {
	withTestbed(t, options{hosts: 1, engines: 3}, func(t *testing.T, b *testbed) {
		r := b.request(t.Context(), b.hosts[0], http.MethodPost, "/appraisal/100", "entry")
		response, err := b.client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		start := time.Now()
		buffer := make([]byte, 1000)
		n, err := response.Body.Read(buffer)
		if err != nil || !strings.HasPrefix(string(buffer[:n]), "id: 1\n") || time.Since(start) > 100*time.Millisecond {
			t.Errorf("first read after %s: %q, %v", time.Since(start), buffer[:n], err)
		}
	})
}

func TestRefusedRequests(t *testing.T) {
	withTestbed(t, options{hosts: 1, engines: 1, plainTargets: 1}, func(t *testing.T, b *testbed) {
		for _, c := range []struct {
			name   string
			change func(r *http.Request)
			path   string
			body   string
			want   int
		}{
			{"no route", nil, "/nothing/", "", http.StatusNotFound},
			{"another host", func(r *http.Request) { r.Host = "other.example" }, "/status/", "", http.StatusNotFound},
			{"no key", func(r *http.Request) { r.Header.Del("Api-Key") }, "/status/", "", http.StatusUnauthorized},
			{"an unknown key", func(r *http.Request) { r.Header.Set("Api-Key", "key-9") }, "/status/", "", http.StatusUnauthorized},
			{"no id", func(r *http.Request) { r.Header.Del("Attempt-Id") }, "/status/", "", http.StatusBadRequest},
			{"a deadline that is no number", func(r *http.Request) { r.Header.Set("Deadline-Ms", "soon") }, "/status/", "", http.StatusBadRequest},
			{"a large body", nil, "/allotment/", strings.Repeat("x", 65537), http.StatusRequestEntityTooLarge},
			{"a large body without a length", func(r *http.Request) { r.ContentLength = -1 }, "/allotment/", strings.Repeat("x", 65537), http.StatusRequestEntityTooLarge},
			{"a large header", func(r *http.Request) { r.Header.Set("X", strings.Repeat("x", 17000)) }, "/status/", "", http.StatusRequestHeaderFieldsTooLarge},
		} {
			r := b.request(t.Context(), b.hosts[0], http.MethodPost, c.path, c.body)
			if c.change != nil {
				c.change(r)
			}
			if got := b.do(r); got.status != c.want {
				t.Errorf("%s: status %d %v, want %d", c.name, got.status, got.err, c.want)
			}
		}
		if got := b.get(b.hosts[0], "/status/"); got.status != http.StatusOK {
			t.Errorf("valid request afterwards: %+v", got)
		}
	})
}

func TestHostWithoutConfigurationIsNotReady(t *testing.T) {
	withTestbed(t, options{hosts: 1}, func(t *testing.T, b *testbed) {
		b.store.SetMode("", usherstandin.Unresponsive)
		lateHost := b.startHost(5)
		time.Sleep(200 * time.Millisecond)
		b.network.Block(mustAddr(lateHost.ip), mustAddr(hostIP(0)))
		b.network.Block(mustAddr(hostIP(0)), mustAddr(lateHost.ip))
		isolatedHost := b.startHost(6)
		b.network.Block(mustAddr(isolatedHost.ip), mustAddr(hostIP(0)))
		time.Sleep(time.Second)
		got := b.get(isolatedHost, "/status/")
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
			t.Errorf("request: %+v, want 503 with Retry-After", got)
		}
		if got := b.getAt(isolatedHost, readyPort, "/readyz"); got.status != http.StatusServiceUnavailable {
			t.Errorf("readiness probe: status %d, want 503", got.status)
		}
	})
}

func TestUnsafeCallRunsAtMostOnce(t *testing.T) {
	withTestbed(t, options{hosts: 1, engines: 1, plainTargets: 3}, func(t *testing.T, b *testbed) {
		h := b.hosts[0]
		for _, c := range []struct {
			name  string
			fault usherstandin.Fault
			want  int
			runs  int
		}{
			{"the target refuses", usherstandin.Refuses, http.StatusServiceUnavailable, 0},
			{"the target fails", usherstandin.Fails, http.StatusInternalServerError, 1},
			{"the response is lost", usherstandin.DropsConnection, http.StatusBadGateway, 1},
			{"the response has no proof of origin", usherstandin.Unsigned, http.StatusBadGateway, 1},
			{"the response is truncated", usherstandin.TruncatesResponse, http.StatusBadGateway, 1},
			{"a foreign response comes first", usherstandin.SendsForeignFirst, http.StatusOK, 1},
		} {
			for _, target := range b.targets {
				target.SetFault(c.fault)
			}
			got := b.post(h, "/allotment/")
			ran := 0
			for _, runs := range b.runsOf(got.attempt) {
				ran += len(runs)
			}
			if got.status != c.want || ran != c.runs {
				t.Errorf("%s: status %d after %d runs; want %d after %d", c.name, got.status, ran, c.want, c.runs)
			}
			if c.fault == usherstandin.SendsForeignFirst && got.body != "POST /allotment/ by plain-0" {
				t.Errorf("%s: body %q", c.name, got.body)
			}
			time.Sleep(10 * time.Second)
		}
	})
}

func TestCallIsSentElsewhereIfATargetIsDown(t *testing.T) {
	withTestbed(t, options{hosts: 1, plainTargets: 3}, func(t *testing.T, b *testbed) {
		b.kill("plain-0")
		b.kill("plain-1")
		for range 5 {
			if got := b.post(b.hosts[0], "/allotment/"); got.status != http.StatusOK {
				t.Errorf("response %+v", got)
			}
		}
	})
}

func TestReusedAddressRunsNothing(t *testing.T) {
	withTestbed(t, options{hosts: 1, plainTargets: 2}, func(t *testing.T, b *testbed) {
		// The entry has another id than the process at its address.
		key, value := b.targets["plain-0"].Entry("ready")
		b.store.Delete(key)
		b.store.PutJSON("servers/former", value)
		time.Sleep(time.Second)
		for range 6 {
			if got := b.post(b.hosts[0], "/allotment/"); got.status != http.StatusOK {
				t.Errorf("response %+v", got)
			}
		}
		if runs := b.targets["plain-0"].Runs(); len(runs) != 0 {
			t.Errorf("the process that reuses the address ran %d requests", len(runs))
		}
	})
}

// Targets fail single requests in different ways, among them with status 500 and without any response.
func TestIdempotentCallIsRetried(t *testing.T) {
	withTestbed(t, options{hosts: 1, plainTargets: 3}, func(t *testing.T, b *testbed) {
		for _, fault := range []usherstandin.Fault{usherstandin.Fails, usherstandin.DropsConnection, usherstandin.NeverResponds, usherstandin.Refuses, usherstandin.TruncatesResponse} {
			for _, target := range b.targets {
				target.FailNext(fault)
			}
			b.targets["plain-1"].SetFault(usherstandin.NoFault)
			succeeded := 0
			for range 4 {
				if got := b.get(b.hosts[0], "/status/"); got.status == http.StatusOK {
					succeeded++
				}
			}
			if succeeded < 2 {
				t.Errorf("fault %d: %d of 4 calls succeeded, want at least 2", fault, succeeded)
			}
			time.Sleep(20 * time.Second)
		}
	})
}

func TestResponseBeforeTheBodyIsRead(t *testing.T) {
	withTestbed(t, options{hosts: 1, plainTargets: 1}, func(t *testing.T, b *testbed) {
		b.targets["plain-0"].SetFault(usherstandin.RespondsEarly)
		r := b.request(t.Context(), b.hosts[0], http.MethodPost, "/allotment/", strings.Repeat("x", 60000))
		if got := b.do(r); got.status != http.StatusOK {
			t.Errorf("response %+v", got)
		}
		b.targets["plain-0"].SetFault(usherstandin.NoFault)
		if got := b.post(b.hosts[0], "/allotment/"); got.status != http.StatusOK {
			t.Errorf("response to the next request: %+v", got)
		}
	})
}

func TestCallEndsAtTheRoutesTimeout(t *testing.T) {
	withTestbed(t, options{hosts: 1, plainTargets: 1, engines: 1}, func(t *testing.T, b *testbed) {
		for _, target := range b.targets {
			target.SetFault(usherstandin.NeverResponds)
		}
		for _, path := range []string{"/allotment/", "/status/"} {
			r := b.request(t.Context(), b.hosts[0], http.MethodPost, path, "")
			r.Header.Set("Deadline-Ms", "60000")
			got := b.do(r)
			if got.status != http.StatusGatewayTimeout || got.elapsed < 4900*time.Millisecond || got.elapsed > 5250*time.Millisecond {
				t.Errorf("%s: status %d after %s; want 504 after 5 s", path, got.status, got.elapsed)
			}
		}
	})
}

func TestTargetIsCancelledWhenTheCallerDisconnects(t *testing.T) {
	withTestbed(t, options{hosts: 1, plainTargets: 1, engines: 2}, func(t *testing.T, b *testbed) {
		for _, path := range []string{"/appraisal/500", "/status/"} {
			b.targets["plain-0"].SetFault(usherstandin.NeverResponds)
			ctx, cancel := context.WithCancel(t.Context())
			r := b.request(ctx, b.hosts[0], http.MethodPost, path, "")
			done := make(chan result)
			go func() { done <- b.do(r) }()
			time.Sleep(300 * time.Millisecond)
			cancel()
			disconnected := time.Now()
			<-done
			time.Sleep(500 * time.Millisecond)
			for id, runs := range b.runsOf(r.Header.Get("Attempt-Id")) {
				for _, run := range runs {
					if run.Cancelled.IsZero() || run.Cancelled.Sub(disconnected) > 400*time.Millisecond {
						t.Errorf("%s: %s was not cancelled within 400 ms of the caller's disconnection, but after %s", path, id, run.Cancelled.Sub(disconnected))
					}
				}
			}
		}
	})
}
