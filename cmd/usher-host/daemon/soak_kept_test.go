package daemon_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// soakKeptCallers is the number of callers that keep connections in TestSoak.
	soakKeptCallers  = 12
	keptDialTimeout  = time.Second
	keptAnswerMargin = 2 * time.Second
	// keptIdleTime is the longest time for which a caller leaves a connection idle.
	keptIdleTime  = 8 * time.Second
	slowReadPause = 15 * time.Millisecond
	slowReadBytes = 64 << 10
	// smallReadBuffer keeps a large body from fitting into the buffers of the kernel.
	smallReadBuffer   = 64 << 10
	largeBodyBytes    = 1 << 20
	hugeBodyBytes     = 6 << 20
	halfClosedForm    = "closes its sending side"
	lateChunkForm     = "last chunk late"
	slowReadForm      = "reads slowly"
	keptRequestHeader = "%s %s HTTP/1.1\r\nHost: " + hostName + "\r\nApi-Key: " + apiKey + "\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n" +
		"Model: m\r\nToken-Counts: 3000,900\r\nPrompt-Prefix: %s\r\n"
)

type (
	// keptCaller uses each connection to a host until that host closes it, and then connects to the same host or to another.
	keptCaller struct {
		s      *soak
		random *rand.Rand
		host   *soakHost
		conn   net.Conn
		reader *bufio.Reader
	}

	// keptRequest is a request on a kept connection.
	keptRequest struct {
		attempt, host, method, path, form string
		budget                            time.Duration
		// sentWhole is when the last byte was written, or zero.
		begun, sentWhole, ended time.Time
		err                     error
	}
)

// keptRequests are the requests of kept connections: short and long calls and streams, with small and large answers.
var keptRequests = []keptRequest{
	{method: http.MethodGet, path: "/status/x"},
	{method: http.MethodGet, path: "/status/x?ms=1200"},
	{method: http.MethodGet, path: fmt.Sprint("/status/x?bytes=", largeBodyBytes), form: slowReadForm},
	{method: http.MethodPost, path: "/allotment/x"},
	{method: http.MethodPost, path: "/allotment/x"},
	{method: http.MethodPost, path: "/allotment/x?ms=300"},
	{method: http.MethodPost, path: "/allotment/x?ms=1800"},
	{method: http.MethodPost, path: fmt.Sprint("/allotment/x?bytes=", hugeBodyBytes), form: slowReadForm},
	{method: http.MethodPost, path: "/appraisal/8"},
	{method: http.MethodPost, path: "/appraisal/60"},
	{method: http.MethodPost, path: "/appraisal/130"},
	{method: http.MethodPost, path: "/eligibility/4"},
	{method: http.MethodPost, path: "/eligibility/60"},
}

// useKeptConnections sends requests on kept connections until ctx ends.
func (s *soak) useKeptConnections(ctx context.Context, random *rand.Rand) {
	c := &keptCaller{s: s, random: random}
	defer c.close()
	for ctx.Err() == nil {
		if !c.connected() {
			sleepFor(ctx, 50*time.Millisecond)
			continue
		}
		c.send()
		if random.IntN(4) == 0 {
			c.awaitStop(ctx)
			continue
		}
		sleepFor(ctx, time.Duration(random.IntN(80))*time.Millisecond)
	}
}

// awaitStop leaves the connection idle until some time in the grace period of its host, or for a while if no stop comes.
func (c *keptCaller) awaitStop(ctx context.Context) {
	after, began := time.Duration(c.random.Int64N(int64(soakGrace))), time.Now()
	for c.conn != nil && ctx.Err() == nil && time.Since(began) < keptIdleTime {
		if stopped := c.s.lastStop(c.host.ip); stopped.After(began.Add(-soakGrace)) && time.Since(stopped) >= after {
			return
		}
		sleepFor(ctx, 5*time.Millisecond)
	}
}

// lastStop returns when a host got SIGTERM last, or zero.
func (s *soak) lastStop(ip string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stops := s.planned.stops[ip]; len(stops) > 0 {
		return stops[len(stops)-1]
	}
	return time.Time{}
}

func (c *keptCaller) connected() bool {
	if c.conn != nil {
		return true
	}
	if c.host == nil {
		c.host = c.s.hosts[c.random.IntN(len(c.s.hosts))]
	}
	conn, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", c.host.ip, soakPort), keptDialTimeout)
	if err != nil {
		c.host = nil
		return false
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(smallReadBuffer)
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *keptCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends one request and reads the response.
func (c *keptCaller) send() {
	s := c.s
	r := keptRequests[c.random.IntN(len(keptRequests))]
	r.host, r.budget = c.host.ip, soakTimeout
	if strings.HasPrefix(r.path, "/appraisal/") {
		r.budget = 2 * soakTimeout
	}
	var parts string
	r.attempt, parts = s.nextAttempt(r.path)
	if buffered := c.reader.Buffered(); buffered > 0 {
		s.fail("%s: %d bytes from %s with no request waiting", r.attempt, buffered, r.host)
	}
	s.noteSent(r.attempt, r.host)
	r.begun = time.Now()
	_ = c.conn.SetDeadline(r.begun.Add(r.budget + keptAnswerMargin))
	c.write(&r, parts)
	response, body, err := c.read(&r)
	r.ended, r.err = time.Now(), err
	if response != nil {
		s.notePassedOn(r.attempt, r.host, response.Header)
		s.noteResult(r.path, r.attempt, response.StatusCode, response.Header, body, err)
	}
	if err != nil {
		s.mu.Lock()
		s.cuts = append(s.cuts, r)
		s.mu.Unlock()
	}
	if err != nil || response.Close || r.form == halfClosedForm {
		c.close()
		if c.random.IntN(2) == 0 {
			c.host = nil
		}
	}
}

// write writes a request in one of several forms. An error shows in the response.
func (c *keptCaller) write(r *keptRequest, parts string) {
	head := fmt.Sprintf(keptRequestHeader, r.method, r.path, r.attempt, r.budget.Milliseconds(), parts)
	body := strings.Repeat("b", 1+c.random.IntN(3000))
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	pieces := []string{head + "\r\n"}
	if r.method == http.MethodPost {
		switch c.random.IntN(4) {
		case 0:
			pieces = []string{head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)}
		case 1:
			pieces = []string{head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 2*len(body), body), body}
		case 2:
			pieces = []string{head + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n"}
		case 3:
			pieces = []string{head + "Transfer-Encoding: chunked\r\n\r\n" + chunk, chunk, "0\r\n\r\n"}
			r.form = strings.TrimSpace(r.form + " " + lateChunkForm)
		}
	}
	if cut := c.random.IntN(len(head)); c.random.IntN(4) == 0 {
		pieces = append([]string{pieces[0][:cut], pieces[0][cut:]}, pieces[1:]...)
	}
	for i, piece := range pieces {
		if i > 0 {
			time.Sleep(time.Duration(c.random.IntN(300)) * time.Millisecond)
		}
		if _, err := io.WriteString(c.conn, piece); err != nil {
			return
		}
	}
	r.sentWhole = time.Now()
	if tcp, ok := c.conn.(*net.TCPConn); ok && c.random.IntN(20) == 0 {
		_ = tcp.CloseWrite()
		r.form = halfClosedForm
	}
}

// read reads the final response to a request.
func (c *keptCaller) read(r *keptRequest) (*http.Response, string, error) {
	request := &http.Request{Method: r.method}
	response, err := http.ReadResponse(c.reader, request)
	for err == nil && response.StatusCode < http.StatusOK {
		response, err = http.ReadResponse(c.reader, request)
	}
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	var body strings.Builder
	for {
		n, err := io.CopyN(&body, response.Body, slowReadBytes)
		if errors.Is(err, io.EOF) && n < slowReadBytes {
			return response, body.String(), nil
		}
		if err != nil {
			return response, body.String(), err
		}
		if strings.HasPrefix(r.form, slowReadForm) {
			time.Sleep(slowReadPause)
		}
	}
}
