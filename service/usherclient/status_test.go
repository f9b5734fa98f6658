package usherclient_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/service/usherclient"
)

// A response with a status like 000 was taken for a success, as it is below 300.
func TestResponseWithAnInvalidStatusIsAnError(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			fmt.Fprintf(conn, "HTTP/1.1 %s Trouble\r\nContent-Length: 2\r\n\r\n{}", status)
		}))
		defer server.Close()
		address := strings.TrimPrefix(server.URL, "http://")
		if location, err := usherclient.New("w", "k").Locate(t.Context(), address); err == nil {
			t.Errorf("status %s: %+v, want an error", status, location)
		}
	}
}

// The header of a gateway's response is malformed.
func TestResponseWithAMalformedFieldIsAnError(t *testing.T) {
	for _, field := range []string{"X Y: v", "X : v", "Content-Length : 2"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\nContent-Length: 2\r\n\r\n{}", field)
		}))
		defer server.Close()
		address, client := strings.TrimPrefix(server.URL, "http://"), usherclient.New("w", "k")
		if location, err := client.Locate(t.Context(), address); !errorx.IsOfType(err, usherclient.ErrConnection) {
			t.Errorf("%q: %+v, error %v; want that of a broken connection", field, location, err)
		}
		if answer, err := client.Send(t.Context(), address, usherclient.Request{Template: "standing"}, nil); !errorx.IsOfType(err, usherclient.ErrConnection) {
			t.Errorf("%q: %+v, error %v; want that of a broken connection", field, answer, err)
		}
	}
}
