package daemon_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// uploadBytes is the size of a body that does not fit into the buffers of a connection.
	uploadBytes = 4 << 20
	// wholeBody is the body of a complete early response, partialBody the first part of one.
	wholeBody   = "the whole body"
	partialBody = "the whole"
	// longPart is the size of a part that is relayed before the response ends.
	longPart = 400 << 10
)

type (
	// earlyResponse is a response that a target sends before it has read the body of the request.
	earlyResponse struct {
		name string
		// status is 200 if zero, fields are lines of the header.
		status int
		fields string
		body   string
		// end ends the connection; request is the rest of the request.
		end func(conn net.Conn, request io.Reader)
	}

	// earlyResponder lets targets respond early.
	earlyResponder struct {
		// respond returns the response to the n-th request, at whichever target, and whether the target responds early.
		respond func(n int64) (earlyResponse, bool)
		// requests counts the requests at all targets.
		requests atomic.Int64
	}
)

// resetDuringUpload makes a target reset the connection while the request is still being written.
func resetDuringUpload(conn net.Conn, _ io.Reader) {
	time.Sleep(5 * time.Millisecond)
	_ = conn.(interface{ SetLinger(seconds int) error }).SetLinger(0)
}

// halfCloseAndRead makes a target close its sending side and read on.
func halfCloseAndRead(conn net.Conn, request io.Reader) {
	_ = conn.(interface{ CloseWrite() error }).CloseWrite()
	_, _ = io.Copy(io.Discard, request)
}

// halfCloseAndStall makes a target close its sending side and read nothing more.
func halfCloseAndStall(conn net.Conn, _ io.Reader) {
	_ = conn.(interface{ CloseWrite() error }).CloseWrite()
	time.Sleep(time.Minute)
}

// readUploadAndClose makes a target read the rest of the request before it closes the connection.
func readUploadAndClose(_ net.Conn, request io.Reader) {
	_, _ = io.CopyN(io.Discard, request, uploadBytes)
}

// halfCloseLate makes a target end its response after a hedged call was sent.
func halfCloseLate(conn net.Conn, request io.Reader) {
	time.Sleep(100 * time.Millisecond)
	halfCloseAndRead(conn, request)
}

// wholeResponses are the ways in which an early response is complete.
func wholeResponses() []earlyResponse {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(wholeBody))
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(wholeBody), wholeBody)
	return []earlyResponse{
		{name: "length, then reset", fields: length, body: wholeBody, end: resetDuringUpload},
		{name: "chunks, then reset", fields: "Transfer-Encoding: chunked\r\n", body: chunks, end: resetDuringUpload},
		{name: "failure with a length, then reset", status: http.StatusRequestEntityTooLarge, fields: length, body: wholeBody, end: resetDuringUpload},
		{name: "sending side closed, reads on", body: wholeBody, end: halfCloseAndRead},
		{name: "sending side closed, reads no more", body: wholeBody, end: halfCloseAndStall},
		{name: "closed after the upload", body: wholeBody, end: readUploadAndClose},
	}
}

// send responds to a request of which only the header was read.
func (e earlyResponse) send(w http.ResponseWriter, r *http.Request) {
	attempt, status := r.Header.Get("Attempt-Id"), e.status
	if status == 0 {
		status = http.StatusOK
	}
	sendRaw(w, fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nServer-Seal: s.%s\r\n%s\r\n%s", status, http.StatusText(status), attempt, attempt, e.fields,
		strings.ReplaceAll(e.body, "ATTEMPT", attempt)), e.end)
}

// someEvents returns the first events of a stream.
func someEvents(n int) string {
	var body strings.Builder
	for id := 1; id <= n; id++ {
		fmt.Fprintf(&body, "id: %d\ndata: piece %d of ATTEMPT\n\n", id, id)
	}
	return body.String()
}

func (e *earlyResponder) wrap(_ string, target http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Attempt-Id") != "" {
			if response, ok := e.respond(e.requests.Add(1)); ok {
				response.send(w, r)
				return
			}
		}
		target.ServeHTTP(w, r)
	})
}

// withEarlyResponses runs a test with a testbed whose callers may send long bodies.
func withEarlyResponses(t *testing.T, respond func(n int64) (earlyResponse, bool), test func(t *testing.T, b *testbed, early *earlyResponder)) {
	t.Helper()
	early := &earlyResponder{respond: respond}
	withTestbed(t, options{hosts: 1, engines: 3, plainTargets: 3, wrapTarget: early.wrap, editDeclarations: acceptUploads}, func(t *testing.T, b *testbed) {
		test(t, b, early)
	})
}

// acceptUploads declares that callers may send long bodies.
func acceptUploads(d map[string]any) {
	d["limits"].(map[string]any)["maxBodyBytes"] = 2 * uploadBytes
}

func (b *testbed) upload(method, path string) result {
	b.t.Helper()
	return b.do(b.request(b.t.Context(), b.hosts[0], method, path, strings.Repeat("u", uploadBytes)))
}

// A target sends a part of a response without framing and resets the connection while the request is still being written. The write gets the
// error of the socket and the read an ordinary end, so callers got the part as the whole.
func TestResponseResetDuringAnUploadIsNotWhole(t *testing.T) {
	part := earlyResponse{body: partialBody, end: resetDuringUpload}
	broken := earlyResponse{fields: "Content-Type: text/event-stream\r\n", body: someEvents(5), end: resetDuringUpload}
	for _, c := range []struct {
		name, method, path string
		response           earlyResponse
		// broken is the number of requests that are responded to so.
		broken int64
		// want is the status, zero for a response that is broken off; wantEvents the number of events of a complete stream.
		want, wantEvents int
		// wantRequests is the number of requests that targets get, zero for any.
		wantRequests int64
	}{
		{name: "call that may run once", method: http.MethodPost, path: "/allotment/", response: part, broken: 9, want: http.StatusBadGateway, wantRequests: 1},
		{name: "idempotent call", method: http.MethodPut, path: "/status/", response: part, broken: 1, want: http.StatusOK, wantRequests: 2},
		{name: "idempotent call, each time", method: http.MethodPut, path: "/status/", response: part, broken: 9, want: http.StatusBadGateway, wantRequests: 2},
		{name: "response that is relayed as it comes", method: http.MethodPost, path: "/allotment/", response: earlyResponse{body: strings.Repeat("p", longPart), end: resetDuringUpload}, broken: 9, wantRequests: 1},
		{name: "failure", method: http.MethodPost, path: "/allotment/", response: earlyResponse{status: http.StatusInternalServerError, body: partialBody, end: resetDuringUpload}, broken: 9, want: http.StatusBadGateway, wantRequests: 1},
		{name: "rejection", method: http.MethodPost, path: "/allotment/", response: earlyResponse{status: http.StatusServiceUnavailable, fields: "Not-Executed: 1\r\n", body: partialBody, end: resetDuringUpload}, broken: 9, want: http.StatusServiceUnavailable, wantRequests: 1},
		{name: "stream that runs once", method: http.MethodPost, path: "/appraisal/20", response: broken, broken: 9},
		{name: "stream that may be resumed", method: http.MethodPost, path: "/eligibility/20", response: broken, broken: 1, want: http.StatusOK, wantEvents: 20, wantRequests: 2},
		{name: "stream that may be resumed, each time", method: http.MethodPost, path: "/eligibility/20", response: broken, broken: 9, wantRequests: 2},
		{name: "failure of a stream", method: http.MethodPost, path: "/appraisal/20", response: earlyResponse{status: http.StatusInternalServerError, body: partialBody, end: resetDuringUpload}, broken: 9, want: http.StatusBadGateway, wantRequests: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			withEarlyResponses(t, func(n int64) (earlyResponse, bool) { return c.response, n <= c.broken }, func(t *testing.T, b *testbed, early *earlyResponder) {
				got := b.upload(c.method, c.path)
				switch {
				case c.want == 0 && got.err == nil:
					t.Errorf("status %d, %d bytes as a complete response; want one that is broken off", got.status, len(got.body))
				case c.want != 0 && (got.err != nil || got.status != c.want || got.body == partialBody):
					t.Errorf("status %d, body %q, error %v; want status %d", got.status, got.body, got.err, c.want)
				case c.wantEvents > 0 && !isComplete(got.body, got.attempt, c.wantEvents):
					t.Errorf("events %v, want 1 to %d", events(got.body), c.wantEvents)
				}
				if n := early.requests.Load(); c.wantRequests > 0 && n != c.wantRequests {
					t.Errorf("targets got %d requests, want %d", n, c.wantRequests)
				}
				if b.logBuffer.count("connection reset by peer") == 0 {
					t.Error("no log line names the reset")
				}
			})
		})
	}
}

// The header of a rejection says all that counts, also what the target says of itself.
func TestRejectionResetDuringAnUploadCounts(t *testing.T) {
	rejection := earlyResponse{status: http.StatusServiceUnavailable, fields: "Not-Executed: 1\r\nRetry-After: 1\r\n", body: partialBody, end: resetDuringUpload}
	withEarlyResponses(t, func(n int64) (earlyResponse, bool) { return rejection, n == 1 }, func(t *testing.T, b *testbed, early *earlyResponder) {
		got := b.upload(http.MethodPut, "/status/")
		if got.err != nil || got.status != http.StatusOK || early.requests.Load() != 2 {
			t.Errorf("status %d, error %v after %d requests; want the response of a second target", got.status, got.err, early.requests.Load())
		}
		if b.logBuffer.count("target asks for a rest") == 0 {
			t.Error("the rest that the target asks for is not known")
		}
	})
}

// The response to a hedged call that is reset does not count; the other one does.
func TestHedgedResponseResetDuringAnUploadIsNotWhole(t *testing.T) {
	withEarlyResponses(t, func(n int64) (earlyResponse, bool) {
		if n == 1 {
			return earlyResponse{body: wholeBody, end: halfCloseLate}, true
		}
		return earlyResponse{body: partialBody, end: resetDuringUpload}, true
	}, func(t *testing.T, b *testbed, early *earlyResponder) {
		got := b.upload(http.MethodPut, "/status/")
		if got.err != nil || got.status != http.StatusOK || got.body != wholeBody || early.requests.Load() != 2 {
			t.Errorf("status %d, body %q, error %v after %d requests; want the whole one of two", got.status, got.body, got.err, early.requests.Load())
		}
	})
}

// Responses that come before the end of the request and end whole must stay so.
func TestEarlyResponseThatEndsWholeIsRelayed(t *testing.T) {
	for _, response := range wholeResponses() {
		for _, c := range []struct{ method, path string }{{http.MethodPost, "/allotment/"}, {http.MethodPut, "/status/"}} {
			t.Run(response.name+", "+c.path, func(t *testing.T) {
				withEarlyResponses(t, func(int64) (earlyResponse, bool) { return response, true }, func(t *testing.T, b *testbed, early *earlyResponder) {
					got := b.upload(c.method, c.path)
					want := max(response.status, http.StatusOK)
					if got.err != nil || got.status != want || got.body != wholeBody || got.elapsed > time.Second || early.requests.Load() != 1 {
						t.Errorf("status %d, body %q, error %v after %s and %d requests; want %d and the whole body at once", got.status, got.body, got.err, got.elapsed, early.requests.Load(), want)
					}
				})
			})
		}
	}
	for _, end := range []struct {
		name string
		end  func(conn net.Conn, request io.Reader)
	}{{"reads on", halfCloseAndRead}, {"reads no more", halfCloseAndStall}, {"closed after the upload", readUploadAndClose}} {
		for _, path := range []string{"/appraisal/20", "/eligibility/20"} {
			t.Run("stream, "+end.name+", "+path, func(t *testing.T) {
				whole := earlyResponse{fields: "Content-Type: text/event-stream\r\n", body: someEvents(20), end: end.end}
				withEarlyResponses(t, func(int64) (earlyResponse, bool) { return whole, true }, func(t *testing.T, b *testbed, early *earlyResponder) {
					got := b.upload(http.MethodPost, path)
					if got.err != nil || !isComplete(got.body, got.attempt, 20) || early.requests.Load() != 1 {
						t.Errorf("status %d, error %v, events %v after %d requests; want 1 to 20", got.status, got.err, events(got.body), early.requests.Load())
					}
				})
			})
		}
	}
}
