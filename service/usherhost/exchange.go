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
	maxInterim = 8
)

var (
	errHost = errorx.NewNamespace("usher_host").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// errConnect is the type of errors on connections that could not be opened: nothing was sent.
	errConnect = errHost.NewType("connect")
	// errBroken is the type of errors on connections that ended before the response was complete.
	errBroken = errHost.NewType("broken")
	// errForeign is the type of errors on responses that are not the target's answer to the attempt.
	errForeign = errHost.NewType("foreign_response")
	// errStatus is the type of errors on complete responses that are failures.
	errStatus = errHost.NewType("status")
)

// exchange is one sending of a call to one target, on a connection of its own. Responses that come late, twice or to
// another request so have nowhere to go but to the attempt they belong to, and a connection that was dropped while it
// was idle cannot take a request with it.
type exchange struct {
	conn     net.Conn
	reader   *bufio.Reader
	request  *http.Request
	response *http.Response
	answer   ushercall.Answer
	written  chan error
	stop     func() bool
}

// countedConn counts the bytes that pass in both directions.
type countedConn struct {
	net.Conn
	bytes metrics.Counter
}

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
func (h *Host) open(ctx context.Context, target ushercatalog.Target) (*exchange, error) {
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
	x := &exchange{conn: conn, reader: bufio.NewReaderSize(conn, readBufferSize), written: make(chan error, 1)}
	// The caller's leaving and the end of its time both end the connection, and with it the target's work.
	x.stop = context.AfterFunc(ctx, func() { conn.Close() })
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
	if bound > 0 {
		if err := x.await(bound, giveUp); err != nil {
			return err
		}
	}
	return x.readHeader(codec, attempt)
}

// await waits for the first byte of the response.
func (x *exchange) await(bound time.Duration, giveUp func() bool) error {
	if err := x.conn.SetReadDeadline(time.Now().Add(bound)); err != nil {
		return errBroken.Wrap(err, "read deadline")
	}
	_, err := x.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && giveUp() {
		return errSilence.Wrap(err, "no response header for %s", bound)
	}
	// Any other error comes again when the header is read.
	if err := x.conn.SetReadDeadline(time.Time{}); err != nil {
		return errBroken.Wrap(err, "read deadline")
	}
	return nil
}

func (x *exchange) readHeader(codec Codec, attempt string) error {
	for range maxInterim {
		response, err := http.ReadResponse(x.reader, x.request)
		if err != nil {
			return errBroken.Wrap(err, "response header")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		answer := codec.DecodeAnswer(response.StatusCode, response.Header)
		if answer.Attempt != "" && answer.Attempt != attempt {
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return errBroken.Wrap(err, "response to another attempt")
			}
			continue
		}
		if response.StatusCode < http.StatusMultipleChoices && (!answer.Signed || answer.Attempt == "") {
			return errForeign.New("status %d without proof of origin", response.StatusCode)
		}
		x.response, x.answer = response, answer
		return nil
	}
	return errForeign.New("no response to this attempt among %d", maxInterim)
}

// body reads the whole body of the response.
func (x *exchange) body() ([]byte, error) {
	body, err := io.ReadAll(x.response.Body)
	if err != nil {
		return nil, errBroken.Wrap(err, "response body")
	}
	return body, nil
}

// close ends the connection; the target drops what it still does for it.
func (x *exchange) close() {
	x.stop()
	if err := x.conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		// A connection that cannot be closed is gone already.
		return
	}
}
