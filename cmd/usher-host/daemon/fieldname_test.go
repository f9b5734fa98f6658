package daemon_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// malformedFields are malformed lines of a header, by what is wrong with them.
var malformedFields = map[string]string{
	"blank in a name":                        "X Y: v\r\nContent-Length: 4\r\n",
	"blank before the colon":                 "X : v\r\nContent-Length: 4\r\n",
	"blank before the colon, length":         "Content-Length : 2\r\n",
	"blank before the colon, second length":  "Content-Length : 2\r\nContent-Length: 4\r\n",
	"blank before the colon, chunks":         "Transfer-Encoding : chunked\r\n",
	"blank before the colon, chunks, length": "Transfer-Encoding : chunked\r\nContent-Length: 4\r\n",
	"blank before the colon, attempt":        "Attempt-Id : other\r\nContent-Length: 4\r\n",
	"blank before the colon, seal":           "Server-Seal : s\r\nContent-Length: 4\r\n",
	"tab before the colon":                   "X\t: v\r\nContent-Length: 4\r\n",
	"control byte in a name":                 "X\x01Y: v\r\nContent-Length: 4\r\n",
	"NUL in a name":                          "X\x00Y: v\r\nContent-Length: 4\r\n",
	"vertical tab in a name":                 "X\x0bY: v\r\nContent-Length: 4\r\n",
	"DEL in a name":                          "X\x7fY: v\r\nContent-Length: 4\r\n",
	"byte above 127 in a name":               "X\xa0Y: v\r\nContent-Length: 4\r\n",
	"parenthesis in a name":                  "X(Y): v\r\nContent-Length: 4\r\n",
	"no name":                                ": v\r\nContent-Length: 4\r\n",
	"no colon":                               "X\r\nContent-Length: 4\r\n",
	"control byte in a value":                "X: \x01\r\nContent-Length: 4\r\n",
}

// sendFields responds with the given lines in the header, and keeps the connection open where the response ends before.
func sendFields(w http.ResponseWriter, r *http.Request, status int, fields, body string) {
	var end func(conn net.Conn, request io.Reader)
	if strings.Contains(fields, "Content-Length: ") || strings.Contains(fields, "Transfer-Encoding: ") {
		end = func(_ net.Conn, request io.Reader) { _, _ = io.Copy(io.Discard, request) }
	}
	attempt := r.Header.Get("Attempt-Id")
	sendRaw(w, fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nServer-Seal: s.%s\r\n%s\r\n%s", status, http.StatusText(status), attempt, attempt, fields, body), end)
}

// A target in trouble sends a header with a malformed name. Callers got the response, with a body that was not the target's where the name
// was almost that of a length or of chunks.
func TestResponseWithAMalformedFieldIsNoAnswer(t *testing.T) {
	for name, fields := range malformedFields {
		for _, c := range []struct {
			name, method, path string
			status             int
			// before is sent ahead of the response.
			before string
			want   int
		}{
			{name: "call that may run once", method: http.MethodPost, path: "/allotment/", status: http.StatusOK, want: http.StatusBadGateway},
			{name: "idempotent call", method: http.MethodGet, path: "/status/", status: http.StatusOK, want: http.StatusOK},
			{name: "failure", method: http.MethodPost, path: "/allotment/", status: http.StatusInternalServerError, want: http.StatusBadGateway},
			{name: "rejection", method: http.MethodPost, path: "/allotment/", status: http.StatusServiceUnavailable, before: "Not-Executed: 1\r\n", want: http.StatusBadGateway},
			{name: "stream that runs once", method: http.MethodPost, path: "/appraisal/5", status: http.StatusOK, want: http.StatusBadGateway},
			{name: "stream that may be resumed", method: http.MethodPost, path: "/eligibility/5", status: http.StatusOK, want: http.StatusOK},
		} {
			t.Run(name+", "+c.name, func(t *testing.T) {
				broken := func(id string) bool { return c.want != http.StatusOK || strings.HasSuffix(id, "-0") }
				o := options{hosts: 1, engines: 2, plainTargets: 2, manyRetries: true, wrapTarget: func(id string, target http.Handler) http.Handler {
					return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						if r.Header.Get("Attempt-Id") == "" || !broken(id) {
							target.ServeHTTP(w, r)
							return
						}
						sendFields(w, r, c.status, c.before+fields, "4\r\nbody\r\n0\r\n\r\n")
					})
				}}
				withTestbed(t, o, func(t *testing.T, b *testbed) {
					for range 4 {
						got := b.do(b.request(t.Context(), b.hosts[0], c.method, c.path, ""))
						if got.err != nil || got.status != c.want || strings.Contains(got.body, "4\r\n") || got.elapsed > time.Second {
							t.Errorf("status %d, body %q, error %v after %s; want %d at once", got.status, got.body, got.err, got.elapsed, c.want)
						}
					}
					if c.want != http.StatusOK && b.logBuffer.count("read response header") == 0 {
						t.Error("no log line names the cause")
					}
					if strings.HasPrefix(name, "blank") && c.want != http.StatusOK && b.logBuffer.count(`"msg":"response refused"`) < 4 {
						t.Error("no log line for each refused response")
					}
				})
			})
		}
	}
}

// Interim responses and responses to other attempts are skipped only if their headers are well-formed.
func TestResponseAfterAMalformedOneIsNoAnswer(t *testing.T) {
	for name, first := range map[string]string{
		"interim response":            "HTTP/1.1 103 Early Hints\r\nX Y: v\r\n\r\n",
		"response to another attempt": "HTTP/1.1 200 OK\r\nAttempt-Id: another\r\nServer-Seal: s\r\nX : v\r\nContent-Length: 4\r\n\r\nelse",
	} {
		t.Run(name, func(t *testing.T) {
			o := options{hosts: 1, plainTargets: 1, wrapTarget: func(_ string, _ http.Handler) http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					attempt := r.Header.Get("Attempt-Id")
					sendRaw(w, fmt.Sprintf("%sHTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s.%s\r\nContent-Length: 4\r\n\r\nbody", first, attempt, attempt), nil)
				})
			}}
			withTestbed(t, o, func(t *testing.T, b *testbed) {
				if got := b.post(b.hosts[0], "/allotment/"); got.err != nil || got.status != http.StatusBadGateway {
					t.Errorf("status %d, body %q, error %v; want 502", got.status, got.body, got.err)
				}
			})
		})
	}
}

// Folded values and names with any characters of a token are in the protocol, and a trailer does not change a body that has ended.
func TestResponseWithUnusualFieldsIsRelayed(t *testing.T) {
	for name, c := range map[string]struct{ fields, body, field, value string }{
		"all characters of a token":        {"!#$%&'*+-.^_`|~09AZaz: v\r\nContent-Length: 4\r\n", "body", "!#$%&'*+-.^_`|~09AZaz", "v"},
		"folded value":                     {"X: a\r\n b\r\nContent-Length: 4\r\n", "body", "X", "a b"},
		"value folded with a tab":          {"X: a\r\n\tb\r\nContent-Length: 4\r\n", "body", "X", "a b"},
		"empty value":                      {"X:\r\nContent-Length: 4\r\n", "body", "X", ""},
		"trailer":                          {"X: v\r\nTransfer-Encoding: chunked\r\nTrailer: Checked\r\n", "4\r\nbody\r\n0\r\nChecked: 1\r\n\r\n", "X", "v"},
		"trailer with a blank in its name": {"X: v\r\nTransfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\nNot Checked: 1\r\n\r\n", "X", "v"},
	} {
		t.Run(name, func(t *testing.T) {
			o := options{hosts: 1, plainTargets: 1, wrapTarget: func(_ string, _ http.Handler) http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { sendFields(w, r, http.StatusOK, c.fields, c.body) })
			}}
			withTestbed(t, o, func(t *testing.T, b *testbed) {
				got := b.post(b.hosts[0], "/allotment/")
				if got.err != nil || got.status != http.StatusOK || got.body != "body" || got.header.Get(c.field) != c.value {
					t.Errorf("status %d, body %q, %s %q, error %v; want the response with %q", got.status, got.body, c.field, got.header.Get(c.field), got.err, c.value)
				}
			})
		})
	}
}
