package usheroperation_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	usheroperation "github.com/samphireusher/samphireusher/cmd/usherctl/operate"
)

func TestDumpAndMetrics(t *testing.T) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"process":"kochi-1","state":{"targets":[{"name":"a","room":1796361521469357552},{"name":"b","warm":true}]},"empty":[]}`)
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"gateway.accepted":{"count":3}}`) })
	admin := httptest.NewServer(mux)
	t.Cleanup(admin.Close)
	broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "{") }))
	t.Cleanup(broken.Close)
	other := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(other.Close)
	address := admin.Listener.Addr().String()
	tests := []struct {
		name      string
		code      int
		arguments []string
		out       string
	}{
		{"dump", 0, []string{"dump", address}, "process = kochi-1\nstate.targets[0].name = a\nstate.targets[0].room = 1796361521469357552\n" +
			"state.targets[1].name = b\nstate.targets[1].warm = true\n"},
		{"metrics", 0, []string{"metrics", address}, "gateway.accepted.count = 3\n"},
		{"as JSON", 0, []string{"metrics", address, "--json"}, `{"gateway.accepted":{"count":3}}`},
		{"invalid JSON", usheroperation.ExitFailure, []string{"dump", broken.Listener.Addr().String()}, ""},
		{"not the admin address", usheroperation.ExitFailure, []string{"dump", other.Listener.Addr().String()}, ""},
		{"connection refused", usheroperation.ExitFailure, []string{"dump", "127.0.0.1:1"}, ""},
		{"invalid address", usheroperation.ExitUsage, []string{"dump", "%"}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := run(t, test.arguments...)
			wantCode(t, got, test.code)
			if got.out != test.out {
				t.Errorf("printed %q, want %q", got.out, test.out)
			}
		})
	}
}
