package ushertarget_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/service/ushertarget"
)

// A target in trouble answers with a status like 000. Its promise that it did not run the request was taken for true.
func TestResponseWithAnInvalidStatusPromisesNothing(t *testing.T) {
	client := ushertarget.NewClient()
	defer client.Close()
	for _, status := range []string{"000", "099", "600", "999"} {
		const body = `{"error":"full","not_run":true}`
		target := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			hijack(t, w, func(conn net.Conn) {
				fmt.Fprintf(conn, "HTTP/1.1 %s Trouble\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
			})
		})
		if _, result, err := client.Call(t.Context(), target, ushertarget.Call{ID: "c"}, allow); err == nil || !result.Written || result.Refused {
			t.Errorf("call with status %s: %+v, error %v; want that it may have run", status, result, err)
		}
		if _, result, err := client.Generate(t.Context(), target, ushertarget.Generation{ID: "g"}, allow); err == nil || !result.Written || result.Refused {
			t.Errorf("generation with status %s: %+v, error %v; want that it may have run", status, result, err)
		}
	}
}

// A target whose load report is an error has named no incarnation, but its new connections were used as those of incarnation zero.
func TestFailedLoadReportNamesNoIncarnation(t *testing.T) {
	var called atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/report" {
			called.Store(true)
		}
		w.WriteHeader(http.StatusInternalServerError)
		fmt.Fprint(w, `{}`)
	}))
	defer server.Close()
	client := ushertarget.NewClient()
	defer client.Close()
	_, result, err := client.Call(t.Context(), netip.MustParseAddrPort(server.Listener.Addr().String()), ushertarget.Call{ID: "c"}, allow)
	if err == nil || result.Written || called.Load() {
		t.Errorf("result %+v, error %v, called %v; want that nothing is sent", result, err, called.Load())
	}
}

// hijack lets respond write the bytes of a response.
func hijack(t *testing.T, w http.ResponseWriter, respond func(conn net.Conn)) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	respond(conn)
}

// The header of a target's response is malformed, so its promise that it did not run the request counts for nothing, nor does its
// result.
func TestResponseWithAMalformedFieldPromisesNothing(t *testing.T) {
	client := ushertarget.NewClient()
	defer client.Close()
	for _, field := range []string{"X Y: v", "X : v", "Usher-Incarnation : 7"} {
		for status, body := range map[string]string{"503 Service Unavailable": `{"error":"full","not_run":true}`, "200 OK": `{"call_id":"c","result":{}}`} {
			target := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				hijack(t, w, func(conn net.Conn) {
					fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s\r\nContent-Length: %d\r\n\r\n%s", status, field, len(body), body)
				})
			})
			if _, result, err := client.Call(t.Context(), target, ushertarget.Call{ID: "c"}, allow); !errorx.IsOfType(err, ushertarget.ErrConnection) || !result.Written || result.Refused {
				t.Errorf("call with %q, status %s: %+v, error %v; want that it may have run", field, status, result, err)
			}
			if _, result, err := client.Generate(t.Context(), target, ushertarget.Generation{ID: "g"}, allow); !errorx.IsOfType(err, ushertarget.ErrConnection) || !result.Written || result.Refused {
				t.Errorf("generation with %q, status %s: %+v, error %v; want that it may have run", field, status, result, err)
			}
		}
	}
}

// A load report with such a head names no incarnation.
func TestLoadReportWithAMalformedFieldNamesNoIncarnation(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		const body = `{"incarnation":7}`
		hijack(t, w, func(conn net.Conn) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX : v\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			// The connection is kept for the next request.
			_, _ = conn.Read(make([]byte, 1))
		})
	}))
	defer server.Close()
	client := ushertarget.NewClient()
	defer client.Close()
	_, result, err := client.Call(t.Context(), netip.MustParseAddrPort(server.Listener.Addr().String()), ushertarget.Call{ID: "c"}, allow)
	if err == nil || result.Written {
		t.Errorf("result %+v, error %v; want that nothing is sent", result, err)
	}
}
