package usherhost

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rcrowley/go-metrics"

	"github.com/samphireusher/samphireusher/pkg/ushercall"
	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/usherconn"
	"github.com/samphireusher/samphireusher/pkg/usherresponse"
)

const (
	// connectTimeout bounds the opening of a connection to a target: a hundred round trips within a region.
	connectTimeout = 250 * time.Millisecond
	readBufferSize = 4 << 10
	// maxResponses bounds the responses read in one exchange: interim responses (1xx) and responses to other attempts
	// may precede the expected one.
	maxResponses = 8
)

var (
	errNamespace = errorx.NewNamespace("usher_host").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// errConnect is the type of errors on connections that could not be opened, so that nothing was sent.
	errConnect = errNamespace.NewType("connect")
	// errConnectionLost is the type of errors on connections that ended before the response was complete.
	errConnectionLost = errNamespace.NewType("broken")
	// errUnexpectedResponse is the type of errors on responses that are not the target's response to the attempt.
	errUnexpectedResponse = errNamespace.NewType("foreign_response")
	// errStatus is the type of errors on complete responses with a failure status.
	errStatus = errNamespace.NewType("status")
)

type (
	// exchange is one send of a call to one target, on a connection of its own. Connections are not reused, so a late,
	// duplicate or mismatched response cannot be taken for the response to another attempt, and no request is lost
	// because the target dropped an idle connection.
	exchange struct {
		conn     net.Conn
		reader   *bufio.Reader
		request  *http.Request
		response *http.Response
		info     ushercall.ResponseInfo
		limiter  *limitedReader
		limits   responseLimits
		// foreign counts the responses that were skipped as they do not name the attempt.
		foreign metrics.Counter
		// unframed counts the responses whose end only that of their connection shows.
		unframed metrics.Counter
		// sentAt is when the request was begun to be sent.
		sentAt      time.Time
		containment *containment
		stopCancel  func() bool
	}

	// countedConn counts the bytes read and written, and records when the target has sent some.
	countedConn struct {
		net.Conn
		bytes   metrics.Counter
		contact *contact
	}
)

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Inc(int64(n))
	if n > 0 {
		c.contact.record()
	}
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Inc(int64(n))
	return n, err
}

// connect opens a connection to a target.
func (h *Host) connect(ctx context.Context, target ushercatalog.Target) (*exchange, error) {
	dialCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := h.platform.Network.Dial(dialCtx, "tcp", target.Address.String())
	if err != nil {
		return nil, errConnect.Wrap(err, "%s", target.Address)
	}
	bytes := h.metrics.localBytes
	if target.DataCentre != h.settings.Process.DataCentre {
		bytes = h.metrics.remoteBytes
	}
	conn = countedConn{Conn: usherconn.New(conn), bytes: bytes, contact: h.contacts.of(target.Address)}
	r := &limitedReader{reader: conn}
	x := &exchange{conn: conn, limiter: r, reader: bufio.NewReaderSize(r, readBufferSize), limits: h.settings.Answers, foreign: h.metrics.foreign, unframed: h.metrics.unframed, containment: h.containment}
	// The connection is closed when the caller leaves or the deadline passes, which ends the target's work as well.
	x.stopCancel = context.AfterFunc(ctx, func() { conn.Close() })
	return x, nil
}

// send starts to write the request. Targets may respond before they have read all of it, so the body is written
// concurrently with reading the response.
func (x *exchange) send(call *ushercall.Call, header http.Header) {
	x.request = &http.Request{
		Method: call.Method, URL: &url.URL{Opaque: call.URI}, Host: call.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	x.sentAt = time.Now()
	go func() {
		// A request that is not written whole shows by the target's response, or by none. The connection returns the error to the reader
		// as well, if it shows that the response is incomplete.
		_ = x.containment.run("request to a target", func() { _ = x.write(call, header) })
	}()
}

func (x *exchange) write(call *ushercall.Call, header http.Header) error {
	w := bufio.NewWriterSize(x.conn, readBufferSize)
	header = header.Clone()
	header.Set("Connection", "close")
	header.Del("Content-Length")
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut {
		header.Set("Content-Length", strconv.Itoa(len(call.Body)))
	}
	_, _ = w.WriteString(call.Method + " " + call.URI + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	if err := header.Write(w); err != nil {
		return err
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(call.Body)
	return w.Flush()
}

// receive reads up to the end of the response header and skips responses to other attempts. If the target has sent
// nothing within bound, giveUp reports whether to stop waiting; zero means no bound.
func (x *exchange) receive(codec Codec, attempt string, bound time.Duration, giveUp func() bool) error {
	x.limiter.setLimit(int64(x.limits.HeaderBytes) + int64(x.limits.StrayBytes))
	for range maxResponses {
		if err := x.awaitFirstByte(bound, giveUp); err != nil {
			return err
		}
		matched, err := x.readHeader(codec, attempt)
		if err != nil {
			return err
		}
		if matched {
			x.limiter.clearLimit()
			return nil
		}
	}
	return errUnexpectedResponse.New("no response to this attempt among the first %d responses", maxResponses)
}

// awaitFirstByte waits for the first byte of a response.
func (x *exchange) awaitFirstByte(bound time.Duration, giveUp func() bool) error {
	if bound > 0 {
		if err := x.conn.SetReadDeadline(time.Now().Add(bound)); err != nil {
			return errConnectionLost.Wrap(err, "set read deadline")
		}
	}
	_, err := x.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && giveUp() {
		return errStalled.Wrap(err, "no response header within %s", bound)
	}
	// Any other error is returned again when the header is read.
	if err := x.conn.SetReadDeadline(time.Time{}); err != nil {
		return errConnectionLost.Wrap(err, "set read deadline")
	}
	_, _ = x.reader.Peek(1)
	return nil
}

// interrupt ends the wait for the first byte of a response.
func (x *exchange) interrupt() {
	// If the connection is already closed, the wait has ended.
	_ = x.conn.SetReadDeadline(time.Now())
}

// readHeader reads one response header, of which the first byte has arrived. It reports whether the response is the one
// to the attempt, and skips it otherwise.
func (x *exchange) readHeader(codec Codec, attempt string) (bool, error) {
	if err := x.conn.SetReadDeadline(time.Now().Add(x.limits.HeaderTime)); err != nil {
		return false, errConnectionLost.Wrap(err, "set read deadline")
	}
	response, err := http.ReadResponse(x.reader, x.request)
	if err != nil {
		return false, errConnectionLost.Wrap(x.limiter.cause(err), "read response header")
	}
	if err := usherresponse.Check(response); err != nil {
		return false, errUnexpectedResponse.Wrap(err, "read response header")
	}
	response.Body = responseBody{response.Body, x.limiter}
	switch {
	case !ushercall.IsStatus(response.StatusCode):
		// What follows belongs to no response either.
		return false, errUnexpectedResponse.New("invalid status %q", response.Status)
	case response.StatusCode < http.StatusOK:
		return false, nil
	}
	info := codec.DecodeResponse(response.StatusCode, response.Header)
	if info.Attempt != attempt {
		// A response that names no attempt may be one to an earlier request, so not even a refusal counts.
		x.foreign.Inc(1)
		if isUnframed(response) {
			return false, errUnexpectedResponse.New("response with status %d to attempt %q ends only with the connection", response.StatusCode, info.Attempt)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return false, errConnectionLost.Wrap(err, "skip response to another attempt")
		}
		return false, nil
	}
	if response.StatusCode < http.StatusMultipleChoices && !info.Signed {
		return false, errUnexpectedResponse.New("response with status %d is unsigned", response.StatusCode)
	}
	if err := x.conn.SetReadDeadline(time.Time{}); err != nil {
		return false, errConnectionLost.Wrap(err, "set read deadline")
	}
	if isUnframed(response) {
		x.unframed.Inc(1)
	}
	x.response, x.info = response, info
	return true, nil
}

// isUnframed reports whether a response has neither a length nor chunks, so that its end looks like that of a connection
// whose target has crashed.
func isUnframed(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// promisesBody reports whether a response is a success that has a body. A target that has none to send says so by a length.
func (x *exchange) promisesBody() bool {
	return x.response.StatusCode < http.StatusMultipleChoices && x.request.Method != http.MethodHead
}

// readBody reads as much of the response body as may be buffered, and reports whether that is the complete body.
func (x *exchange) readBody(reservation *bufferReservation) (body []byte, complete bool, err error) {
	step := bufferStep
	if length := x.response.ContentLength; length >= 0 && length < bufferStep {
		// One more byte detects the end of the body.
		step = int(length) + 1
	}
	for len(body) < x.limits.HeldBytes {
		if len(body) == cap(body) {
			if !reservation.reserve(int64(step)) {
				break
			}
			body = slices.Grow(body, min(step, x.limits.HeldBytes-len(body)))
		}
		n, err := x.response.Body.Read(body[len(body):min(cap(body), x.limits.HeldBytes)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		// After a truncated body the next Read reports a regular end, so the first error is returned.
		if err != nil {
			return nil, false, errConnectionLost.Wrap(err, "read response body")
		}
	}
	return body, false, nil
}

// readFailureBody reads the body of a response that is relayed only if it is complete.
func (x *exchange) readFailureBody(reservation *bufferReservation) ([]byte, error) {
	body, complete, err := x.readBody(reservation)
	if err == nil && !complete {
		err = errUnexpectedResponse.New("body of failure response exceeds %d bytes", len(body))
	}
	return body, err
}

// close closes the connection; the target cancels any work that remains.
func (x *exchange) close() {
	x.stopCancel()
	if err := x.conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		// The connection is already gone.
		return
	}
}
