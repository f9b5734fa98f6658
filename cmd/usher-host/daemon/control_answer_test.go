package daemon_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/samphireusher/samphireusher/cmd/usher-host/daemon"
	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/service/usherhost"
)

type (
	// scriptedNetwork is a network on which each connection leads to a server that responds to its first request with the same bytes.
	scriptedNetwork struct {
		usherhost.Network
		response string
	}

	// rawHead is a status and lines of a header.
	rawHead struct{ status, fields string }
)

func (n scriptedNetwork) Dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		defer func() { _ = server.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(server))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		// The client may have closed the connection.
		_, _ = io.WriteString(server, n.response)
	}()
	return client, nil
}

// brokenHeads returns malformed heads by what is wrong with them. status is theirs unless that is wrong.
func brokenHeads(status string) map[string]rawHead {
	heads := map[string]rawHead{}
	for name, fields := range malformedFields {
		heads[name] = rawHead{status, strings.ReplaceAll(fields, "Content-Length: 4\r\n", "")}
	}
	for _, invalid := range invalidStatuses {
		heads["status "+invalid] = rawHead{invalid + " Trouble", ""}
	}
	return heads
}

// Engines' control interfaces and the store respond with a malformed head. A 404 of an engine counted as the end of a run.
func TestControlResponseWithABrokenHeadIsNoAnswer(t *testing.T) {
	at := netip.MustParseAddrPort("10.0.0.1:80")
	for _, c := range []struct{ status, body string }{
		{"200 OK", `{"handle":"h-1","state":"draining","runs":[],"items":[],"events":[],"storeRevision":7}`}, {"404 Not Found", `{}`}, {"410 Gone", `{}`}, {"503 Service Unavailable", `{"handle":"h-1"}`},
	} {
		for name, head := range brokenHeads(c.status) {
			t.Run(c.status+", "+name, func(t *testing.T) {
				response := fmt.Sprintf("HTTP/1.1 %s\r\n%s\r\n%s", head.status, head.fields, c.body)
				var settings usherhost.Settings
				settings.Store.Address = at
				platform := daemon.Platform(&settings, scriptedNetwork{response: response})
				run, _, err := platform.Engines.Stop(t.Context(), at, "a1", at)
				if err == nil || platform.Engines.IsUnreachable(err) {
					t.Errorf("order to end a run: %+v, error %v; want an error of an engine that can be reached", run, err)
				}
				if made, _, err := platform.Engines.Copy(t.Context(), at, "a1", at); err == nil || platform.Engines.IsDestinationUnavailable(err) {
					t.Errorf("copy: %+v, error %v; want an error that says nothing of the destination", made, err)
				}
				if leaving, notice, err := platform.Engines.Leaving(t.Context(), at); err == nil || leaving || notice.Leaving {
					t.Errorf("report: leaving %v, notice %+v, error %v; want an error", leaving, notice, err)
				}
				if runs, _, err := platform.Engines.Runs(t.Context(), at); err == nil {
					t.Errorf("report: runs %v, want an error", runs)
				}
				if _, err := platform.Engines.Release(t.Context(), at, "h-1"); err == nil {
					t.Error("release of a copy: no error")
				}
				if _, _, revision, _, err := platform.Store.List(t.Context(), "", false); err == nil {
					t.Errorf("list of the store: revision %d, want an error", revision)
				}
				if _, revision, _, err := platform.Store.Watch(t.Context(), 3, time.Millisecond); err == nil || platform.Store.HistoryGone(err) {
					t.Errorf("watch of the store: revision %d, error %v; want one that says nothing of the history", revision, err)
				}
			})
		}
	}
}

// An engine turns orders to end a run away with a malformed 404. That showed the end of the run, so the stream went on at a second engine
// while the first one worked on.
func TestEngineWithABrokenHeadStillRuns(t *testing.T) {
	for name, head := range map[string]rawHead{
		"blank in a name": {"404 Not Found", "X Y: v\r\n"}, "blank before the colon": {"404 Not Found", "Content-Type : application/json\r\n"}, "status 000": {"000 Trouble", ""},
	} {
		for _, path := range []string{"/appraisal/250", "/eligibility/90"} {
			t.Run(name+", "+path, func(t *testing.T) {
				o := options{hosts: 1, engines: 4, wrapTarget: func(_ string, target http.Handler) http.Handler {
					return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						if r.URL.Path != "/kv-move" {
							target.ServeHTTP(w, r)
							return
						}
						sendRaw(w, fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: 2\r\n\r\n{}", head.status, head.fields), nil)
					})
				}}
				withTestbed(t, o, func(t *testing.T, b *testbed) {
					attempt, done := b.startStream(b.hosts[0], path)
					time.Sleep(time.Second)
					b.silence(b.hosts[0], 0)
					got := <-done
					b.checkOverlap(attempt)
					if n := len(events(got.body)); !isComplete(got.body, attempt, n) || n == 0 {
						t.Errorf("error %v, body %q", got.err, got.body)
					}
				})
			})
		}
	}
}

// A peer that is ahead responds to a pull with a malformed head, or with a failure, and changes in the body. The host took the changes.
func TestPullWithABrokenHeadIsNoAnswer(t *testing.T) {
	heads := brokenHeads("200 OK")
	heads["failure"] = rawHead{"500 Internal Server Error", ""}
	heads["well-formed"] = rawHead{"200 OK", ""}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, options{hosts: 1, plainTargets: 1}, func(t *testing.T, b *testbed) {
				revision := b.store.Revision() + 5
				body, err := cbor.Marshal(map[int]any{1: 1, 2: revision, 3: []ushercatalog.Entry{{
					Key: ushercatalog.Key{Kind: ushercatalog.TargetEntry, Name: "plain-0"}, Revision: revision, Removed: true,
				}}})
				if err != nil {
					t.Fatal(err)
				}
				b.serve(elsewhere.Address, "peer", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					sendRaw(w, fmt.Sprintf("HTTP/1.1 %s\r\n%s\r\n%s", head.status, head.fields, body), nil)
				}))
				b.sendPeerReport(b.hosts[0].ip, elsewhere, map[int]any{3: revision})
				time.Sleep(time.Second)
				taken := !strings.Contains(b.getAt(b.hosts[0], adminPort, usherhost.DumpPath).body, `"plain-0"`)
				if want := name == "well-formed"; taken != want {
					t.Errorf("changes taken: %v, want %v", taken, want)
				}
			})
		})
	}
}
