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
)

const (
	// connectTimeout bounds the opening of a connection to a target: a hundred round trips within a region.
	connectTimeout = 250 * time.Millisecond
	readBufferSize = 4 << 10
	// maxInterim bounds the interim responses (1xx) and the responses to other attempts before the one expected.
	maxResponses = 8
)

var (
	errNamespace = errorx.NewNamespace("usher_host").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// errConnect is the type of errors on connections that could not be opened: nothing was sent.
	errConnect = errNamespace.NewType("connect")
	// errBroken is the type of errors on connections that ended before the response was complete.
	errBroken = errNamespace.NewType("broken")
	// errForeign is the type of errors on responses that are not the target's answer to the attempt.
	errUnexpectedResponse = errNamespace.NewType("foreign_response")
	// errStatus is the type of errors on complete responses that are failures.
	errStatus = errNamespace.NewType("status")
)

type (
	// exchange is one sending of a call to one target, on a connection of its own. Responses that come late, twice or to
	// another request so have nowhere to go but to the attempt they belong to, and a connection that was dropped while it
	// was idle cannot take a request with it.
	exchange struct {
		conn       net.Conn
		reader     *bufio.Reader
		request    *http.Request
		response   *http.Response
		answer     ushercall.Answer
		limiter    *limitedReader
		limits     answerLimits
		written    chan error
		stopCancel func() bool
	}

	// countedConn counts the bytes that pass in both directions.
	countedConn struct {
		net.Conn
		bytes metrics.Counter
	}
)

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Inc(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Inc(int64(n))
	return n, err
}

// open connects to a target.
func (h *Host) connect(ctx context.Context, target ushercatalog.Target) (*exchange, error) {
	dialing, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := h.platform.Network.Dial(dialing, "tcp", target.Address.String())
	if err != nil {
		return nil, errConnect.Wrap(err, "%s", target.Address)
	}
	bytes := h.metrics.nearBytes
	if target.DataCentre != h.settings.Process.DataCentre {
		bytes = h.metrics.farBytes
	}
	conn = countedConn{Conn: conn, bytes: bytes}
	r := &limitedReader{reader: conn}
	x := &exchange{conn: conn, limiter: r, reader: bufio.NewReaderSize(r, readBufferSize), limits: h.settings.Answers, written: make(chan error, 1)}
	// The caller's leaving and the end of its time both end the connection, and with it the target's work.
	x.stopCancel = context.AfterFunc(ctx, func() { conn.Close() })
	return x, nil
}

// send writes the request. Targets may answer before they have read all of it, so the body is written beside the
// reading of the response.
func (x *exchange) send(call *ushercall.Call, header http.Header) {
	x.request = &http.Request{
		Method: call.Method, URL: &url.URL{Opaque: call.URI}, Host: call.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	go func() { x.written <- x.write(call, header) }()
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

// receive reads up to the end of the response's header. Responses to other attempts are passed over. Where the target
// has sent nothing for bound, giveUp tells whether to stop waiting for it; zero stands for no bound.
func (x *exchange) receive(codec Codec, attempt string, bound time.Duration, giveUp func() bool) error {
	x.limiter.setLimit(int64(x.limits.HeaderBytes) + int64(x.limits.StrayBytes))
	for range maxResponses {
		if err := x.awaitFirstByte(bound, giveUp); err != nil {
			return err
		}
		answered, err := x.readHeader(codec, attempt)
		if err != nil {
			return err
		}
		if answered {
			x.limiter.clearLimit()
			return nil
		}
	}
	return errUnexpectedResponse.New("no response to this attempt among %d", maxResponses)
}

// await waits for the first byte of a response.
func (x *exchange) awaitFirstByte(bound time.Duration, giveUp func() bool) error {
	if bound > 0 {
		if err := x.conn.SetReadDeadline(time.Now().Add(bound)); err != nil {
			return errBroken.Wrap(err, "read deadline")
		}
	}
	_, err := x.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && giveUp() {
		return errSilence.Wrap(err, "no response header for %s", bound)
	}
	// Any other error comes again when the header is read.
	if err := x.conn.SetReadDeadline(time.Time{}); err != nil {
		return errBroken.Wrap(err, "read deadline")
	}
	_, _ = x.reader.Peek(1)
	return nil
}

// interrupt ends the wait for the first byte of a response.
func (x *exchange) interrupt() {
	// Where the connection is closed already, the wait is over.
	_ = x.conn.SetReadDeadline(time.Now())
}

// readHeader reads one header, once its first byte is there. It passes over responses that are not the answer to the
// attempt, and tells whether this one is.
func (x *exchange) readHeader(codec Codec, attempt string) (bool, error) {
	if err := x.conn.SetReadDeadline(time.Now().Add(x.limits.HeaderTime)); err != nil {
		return false, errBroken.Wrap(err, "read deadline")
	}
	response, err := http.ReadResponse(x.reader, x.request)
	if err != nil {
		return false, errBroken.Wrap(err, "response header")
	}
	if response.StatusCode < http.StatusOK {
		return false, nil
	}
	answer := codec.DecodeAnswer(response.StatusCode, response.Header)
	if answer.Attempt != "" && answer.Attempt != attempt {
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return false, errUnexpectedResponse.New("a response to another attempt takes the rest of the connection")
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return false, errBroken.Wrap(err, "response to another attempt")
		}
		return false, nil
	}
	if response.StatusCode < http.StatusMultipleChoices && (!answer.Signed || answer.Attempt == "") {
		return false, errUnexpectedResponse.New("status %d without proof of origin", response.StatusCode)
	}
	if err := x.conn.SetReadDeadline(time.Time{}); err != nil {
		return false, errBroken.Wrap(err, "read deadline")
	}
	x.response, x.answer = response, answer
	return true, nil
}

// body reads the body of the response as far as it may be held in memory, and tells whether that was all of it.
func (x *exchange) readBody(buffered *bufferReservation) (body []byte, complete bool, err error) {
	step := bufferStep
	if length := x.response.ContentLength; length >= 0 && length < bufferStep {
		// One more byte shows the end.
		step = int(length) + 1
	}
	for len(body) < x.limits.HeldBytes {
		if len(body) == cap(body) {
			if !buffered.reserve(int64(step)) {
				break
			}
			body = slices.Grow(body, min(step, x.limits.HeldBytes-len(body)))
		}
		n, err := x.response.Body.Read(body[len(body):min(cap(body), x.limits.HeldBytes)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		// After a body that was cut short the next Read tells a regular end, so the first error counts.
		if err != nil {
			return nil, false, errBroken.Wrap(err, "response body")
		}
	}
	return body, false, nil
}

// failureBody reads the body of an answer that is not passed on before it is whole.
func (x *exchange) readFailureBody(buffered *bufferReservation) ([]byte, error) {
	body, complete, err := x.readBody(buffered)
	if err == nil && !complete {
		err = errUnexpectedResponse.New("a failure with a body of more than %d bytes", len(body))
	}
	return body, err
}

// close ends the connection; the target drops what it still does for it.
func (x *exchange) close() {
	x.stopCancel()
	if err := x.conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		// A connection that cannot be closed is gone already.
		return
	}
}
