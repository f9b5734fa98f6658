package usherfeed_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/samphireusher/samphireusher/service/usherfeed"
)

// A value of the platform whose response has a malformed head, or breaks off, must not be taken for the value.
func TestValueOfABrokenResponseIsNoValue(t *testing.T) {
	for name, response := range map[string]string{
		"blank in a name":                "HTTP/1.1 200 OK\r\nX Y: v\r\nContent-Length: 5\r\n\r\nvalue",
		"blank before the colon, length": "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nvalue",
		"blank before the colon, chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nvalue\r\n0\r\n\r\n",
		"status 000":                     "HTTP/1.1 000 Trouble\r\nContent-Length: 5\r\n\r\nvalue",
		"shorter than its length":        "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nvalue",
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				fmt.Fprint(conn, response)
			}))
			defer server.Close()
			platform := usherfeed.NewPlatform(netip.MustParseAddrPort(server.Listener.Addr().String()))
			defer platform.Close()
			if value, err := platform.Value(t.Context(), "declarations"); err == nil {
				t.Errorf("value %q, want an error", value)
			}
		})
	}
}
