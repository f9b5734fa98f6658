package ushertarget_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/service/ushertarget"
)

func serve(t *testing.T, handler http.HandlerFunc) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/report" {
			fmt.Fprint(w, `{"incarnation":7}`)
			return
		}
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func allow(uint64) error { return nil }

func TestGenerateReadsEventsInOrder(t *testing.T) {
	target := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		for i := range 3 {
			fmt.Fprintf(w, "event: token\ndata: {\"generation_id\":\"g\",\"incarnation\":7,\"index\":%d,\"text\":\"a%d\"}\n\n", i, i)
		}
		fmt.Fprint(w, "event: note\ndata: {}\n\nevent: end\ndata: {\"generation_id\":\"g\",\"incarnation\":7,\"tokens\":3,\"finish\":\"complete\"}\n\n")
	})
	stream, _, err := ushertarget.NewClient().Generate(t.Context(), target, ushertarget.Generation{ID: "g"}, allow)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	for i := range 3 {
		event, err := stream.Next()
		if err != nil {
			t.Fatal(err)
		}
		if event.Index != i || string(event.Text) != fmt.Sprintf("%q", fmt.Sprintf("a%d", i)) || event.Incarnation != 7 {
			t.Fatalf("event %+v", event)
		}
	}
	if event, err := stream.Next(); err != nil || !event.End || event.Tokens != 3 {
		t.Fatalf("end event %+v, error %v", event, err)
	}
	if _, err := stream.Next(); !errors.Is(err, io.EOF) {
		t.Fatalf("after the end: %v", err)
	}
}

// TestGuardRejectsBeforeFirstByte checks that nothing is sent when the guard rejects a request, on a new and on a reused
// connection.
func TestGuardRejectsBeforeFirstByte(t *testing.T) {
	var served atomic.Int64
	target := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		served.Add(1)
		fmt.Fprint(w, `{"call_id":"c","result":1}`)
	})
	client := ushertarget.NewClient()
	reject := func(uint64) error { return errors.New("expired") }
	call := ushertarget.Call{ID: "c", Operation: "checkout"}
	for round := range 2 {
		_, result, err := client.Call(t.Context(), target, call, reject)
		if !errorx.IsOfType(err, ushertarget.ErrGuard) || result.Written {
			t.Fatalf("round %d: error %v, result %+v", round, err, result)
		}
		if got := served.Load(); got != int64(round) {
			t.Fatalf("round %d: target received %d requests", round, got)
		}
		if _, _, err := client.Call(t.Context(), target, call, allow); err != nil {
			t.Fatal(err)
		}
	}
}

// The connection ends while the guard decides. The rejection was reported as a broken connection, as net/http saw the end first.
func TestRejectionIsReportedAlsoIfTheConnectionEnds(t *testing.T) {
	var server *httptest.Server
	var served atomic.Int64
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/report" {
			fmt.Fprint(w, `{"incarnation":7}`)
			return
		}
		served.Add(1)
	}))
	defer server.Close()
	reject := func(uint64) error {
		server.CloseClientConnections()
		// The transport reports the end of the connection meanwhile.
		time.Sleep(200 * time.Millisecond)
		return errors.New("expired")
	}
	_, result, err := ushertarget.NewClient().Call(t.Context(), netip.MustParseAddrPort(server.Listener.Addr().String()), ushertarget.Call{ID: "c"}, reject)
	if !errorx.IsOfType(err, ushertarget.ErrGuard) || result.Written || served.Load() > 0 {
		t.Errorf("error %v, result %+v, %d requests received; want the guard's rejection", err, result, served.Load())
	}
}

// TestRestartedTargetReceivesNoRequest restarts a target at the same address. A request whose grant names the previous
// incarnation must not reach the new one, neither over an old nor over a new connection.
func TestRestartedTargetReceivesNoRequest(t *testing.T) {
	var incarnation, served atomic.Int64
	incarnation.Store(1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/report" {
			fmt.Fprintf(w, `{"incarnation":%d}`, incarnation.Load())
			return
		}
		served.Add(1)
		fmt.Fprint(w, `{"call_id":"c"}`)
	}))
	defer server.Close()
	target := netip.MustParseAddrPort(server.Listener.Addr().String())
	client := ushertarget.NewClient()
	only := func(granted uint64) ushertarget.Guard {
		return func(incarnation uint64) error {
			if incarnation != granted {
				return fmt.Errorf("incarnation %d, granted %d", incarnation, granted)
			}
			return nil
		}
	}
	call := ushertarget.Call{ID: "c"}
	if _, _, err := client.Call(t.Context(), target, call, only(1)); err != nil {
		t.Fatal(err)
	}
	incarnation.Store(2)
	server.CloseClientConnections()
	_, result, err := client.Call(t.Context(), target, call, only(1))
	if err == nil || errorx.IsOfType(err, ushertarget.ErrGuard) && result.Written {
		t.Fatalf("request sent to the new incarnation: error %v, result %+v", err, result)
	}
	if got := served.Load(); got != 1 {
		t.Fatalf("targets ran %d calls, want 1: the new incarnation ran a call granted for the previous one", got)
	}
	if _, _, err := client.Call(t.Context(), target, call, only(2)); err != nil {
		t.Fatal(err)
	}
	if got := served.Load(); got != 2 {
		t.Fatalf("target ran %d calls, want 2", got)
	}
}

// TestAbandonedRequestIsReported delays the first byte in the guard until the caller has cancelled the request. Whatever
// the transport does then, a request that ran must not be reported as unwritten.
func TestAbandonedRequestIsReported(t *testing.T) {
	var served atomic.Int64
	target := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		served.Add(1)
		fmt.Fprint(w, `{"call_id":"c"}`)
	})
	ctx, cancel := context.WithCancel(t.Context())
	slow := func(uint64) error {
		cancel()
		time.Sleep(50 * time.Millisecond)
		return nil
	}
	_, result, err := ushertarget.NewClient().Call(ctx, target, ushertarget.Call{ID: "c"}, slow)
	if err == nil {
		t.Fatal("a call succeeded after its caller had cancelled it")
	}
	time.Sleep(50 * time.Millisecond)
	if served.Load() > 0 && !result.Written {
		t.Fatal("a request ran that was reported as unwritten")
	}
}

func TestSendResult(t *testing.T) {
	unreachable := netip.MustParseAddrPort("127.0.0.1:1")
	refusing := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusTooManyRequests)
		fmt.Fprint(w, `{"error":"overloaded","not_run":true}`)
	})
	failing := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	crashing := serve(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	mismatched := serve(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"call_id":"other"}`) })
	tests := []struct {
		name   string
		target netip.AddrPort
		want   ushertarget.SendResult
	}{
		{"unreachable", unreachable, ushertarget.SendResult{}},
		{"refused", refusing, ushertarget.SendResult{Written: true, Refused: true, Status: http.StatusTooManyRequests}},
		{"error status without a body", failing, ushertarget.SendResult{Written: true, Status: http.StatusInternalServerError}},
		{"crashed", crashing, ushertarget.SendResult{Written: true}},
		{"response to another call", mismatched, ushertarget.SendResult{Written: true, Status: http.StatusOK}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, result, err := ushertarget.NewClient().Call(t.Context(), test.target, ushertarget.Call{ID: "c"}, allow)
			if err == nil || result != test.want {
				t.Fatalf("result %+v with error %v, want %+v", result, err, test.want)
			}
		})
	}
}

func FuzzStream(f *testing.F) {
	for _, seed := range []string{"", "event: token\ndata: {}\n\n", "event: token\ndata: {", "data: x\n", "event: end\ndata: {\"tokens\":-1}\n\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		stream := ushertarget.NewStream(io.NopCloser(strings.NewReader(text)))
		for range len(text) + 1 {
			if _, err := stream.Next(); err != nil {
				return
			}
		}
		t.Fatal("more events than bytes")
	})
}
