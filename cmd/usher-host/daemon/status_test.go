package daemon_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// invalidStatuses are no status codes in the protocol, which has those from 100 to 599.
var invalidStatuses = []string{"000", "001", "099", "600", "999"}

// sendInvalidStatus responds to an attempt with a status line that is no valid one.
func sendInvalidStatus(w http.ResponseWriter, r *http.Request, status, body string, keepOpen bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	attempt := r.Header.Get("Attempt-Id")
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Trouble\r\nAttempt-Id: %s\r\nServer-Seal: s.%s\r\nContent-Length: %d\r\n\r\n%s", status, attempt, attempt, len(body), body)
	if keepOpen {
		time.Sleep(time.Minute)
	}
}

// A target in trouble answers with a status like 000. It is no answer: callers got it as one, or the bytes of its body as another one, or waited until
// their time was over.
func TestResponseWithAnInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range invalidStatuses {
		for _, c := range []struct {
			name, method, path string
			body               func(attempt string) string
			keepOpen           bool
			want               int
		}{
			{"call that may run once", http.MethodPost, "/allotment/", nil, true, http.StatusBadGateway},
			{"idempotent call", http.MethodGet, "/status/", nil, true, http.StatusOK},
			{"idempotent call whose connection ends", http.MethodGet, "/status/", nil, false, http.StatusOK},
			{"stream that runs once", http.MethodPost, "/appraisal/5", nil, true, http.StatusBadGateway},
			{"body that looks like a response", http.MethodPost, "/allotment/", func(attempt string) string {
				return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s.%s\r\nContent-Length: 4\r\n\r\nelse", attempt, attempt)
			}, true, http.StatusBadGateway},
		} {
			t.Run(fmt.Sprint(status, ", ", c.name), func(t *testing.T) {
				o := options{hosts: 1, engines: 1, plainTargets: 2, wrapTarget: func(id string, target http.Handler) http.Handler {
					return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						if id == "plain-1" && c.want == http.StatusOK || r.Header.Get("Attempt-Id") == "" {
							target.ServeHTTP(w, r)
							return
						}
						body := "trouble"
						if c.body != nil {
							body = c.body(r.Header.Get("Attempt-Id"))
						}
						sendInvalidStatus(w, r, status, body, c.keepOpen)
					})
				}}
				withTestbed(t, o, func(t *testing.T, b *testbed) {
					for range 4 {
						got := b.do(b.request(t.Context(), b.hosts[0], c.method, c.path, ""))
						if got.err != nil || got.status != c.want || got.elapsed > time.Second {
							t.Errorf("status %d after %s, error %v; want %d at once", got.status, got.elapsed, got.err, c.want)
						}
					}
				})
			})
		}
	}
}
