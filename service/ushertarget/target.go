// Package ushertarget implements the client for model engines and plain services. Their protocol is known nowhere else.
//
// Both use HTTP with JSON bodies; an engine responds with server-sent events. The caller's guard is called after the
// connection is established and before the request is written, so that a grant that expired while the connection
// stalled is not used. After a failure the SendResult tells how far the request got, which determines its outcome.
//
// # Usage
//
//	client := ushertarget.NewClient()
//	stream, result, err := client.Generate(ctx, target, generation, grant.Check)
//	if err != nil {
//		return refusal(result)
//	}
//	defer stream.Close()
//	for {
//		event, err := stream.Next()
//		...
//	}
package ushertarget

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/ushercall"
	"github.com/samphireusher/samphireusher/pkg/usherresponse"
)

const (
	dialTimeout      = 500 * time.Millisecond
	idleConnections  = 256
	maxResponseBytes = 1 << 20
	// maxHeaderBytes bounds the header of a response, far above what targets send.
	maxHeaderBytes = 64 << 10

	incarnationHeader = "Usher-Incarnation"
	reportPath        = "/v1/report"
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("usher_target")
	// ErrConnection is the type of errors for connections to a target that cannot be opened or that fail.
	ErrConnection = Errors.NewType("broken", errorx.Temporary())
	// ErrMalformed is the type of errors for requests that cannot be encoded and responses that cannot be decoded or
	// belong to another call.
	ErrMalformed = Errors.NewType("malformed")
	// ErrRefused is the type of errors for responses with an error status.
	ErrRefused = Errors.NewType("refused")
	// ErrUnknownGeneration is the type of errors for generations to be resumed that the target does not have.
	ErrUnknownGeneration = Errors.NewType("unknown_generation")
	// ErrGuard is the type of errors for requests that the guard rejects on an established connection, or that were
	// abandoned before their first byte was written.
	ErrGuard = Errors.NewType("guard")
)

type (
	// Client sends requests to targets. It is safe for concurrent use.
	Client struct {
		http *http.Client
	}

	// Dial opens a connection to a target.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// Guard decides whether a request may be sent. It is called after the connection is established and before anything is
	// written, with the incarnation of the target at the other end.
	Guard func(incarnation uint64) error

	// SendResult describes how far the sending of one request got.
	SendResult struct {
		// Written is true if at least one byte of the request may have reached the target.
		Written bool
		// Refused is true if the target responded that it does not run the request.
		Refused bool
		// Status is the HTTP status of the target's response, or zero if there was none.
		Status int
	}

	// Generation is the request body that starts a generation at an engine.
	Generation struct {
		ID        string `json:"generation_id"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Priority  int    `json:"priority"`
		Isolated  bool   `json:"isolated"`
		CacheKey  string `json:"cache_key"`
	}

	// Call is the request body that runs an operation of a plain service.
	Call struct {
		ID         string            `json:"call_id"`
		Operation  string            `json:"operation"`
		Parameters map[string]string `json:"parameters"`
	}

	// Report is an engine's load report.
	Report struct {
		Incarnation uint64 `json:"incarnation"`
		// AgeMillis is the age of the report when it was sent, by the target's own clock; nil if not given.
		AgeMillis        *int64  `json:"age_ms"`
		Running          int     `json:"running"`
		Waiting          int     `json:"waiting"`
		MemoryUsedTokens int     `json:"memory_used_tokens"`
		MemoryTokens     int     `json:"memory_tokens"`
		StepTimeMillis   float64 `json:"step_time_ms"`
		Preemptions      int     `json:"preemptions"`
		Completed        int     `json:"completed"`
		Model            string  `json:"model"`
		// Warm tells whether the target considers itself ready for its full load; nil if not given.
		Warm *bool `json:"warm"`
	}

	callResponse struct {
		ID     string          `json:"call_id"`
		Result json.RawMessage `json:"result"`
	}

	errorResponse struct {
		Error  string `json:"error"`
		NotRun bool   `json:"not_run"`
	}
)

// NewClient returns a client that keeps idle connections to targets, so that connecting rarely uses up the lifetime of a
// grant.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return NewClientWith(dialer.DialContext)
}

// NewClientWith returns a client that opens connections with dial.
func NewClientWith(dial Dial) *Client {
	return &Client{http: &http.Client{Transport: usherresponse.Transport{Base: &http.Transport{
		DialContext:            dialGuarded(dial),
		MaxIdleConnsPerHost:    idleConnections,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}}}}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Generate starts a generation. The SendResult is meaningful if err is not nil.
func (c *Client) Generate(ctx context.Context, target netip.AddrPort, g Generation, guard Guard) (*Stream, SendResult, error) {
	response, result, err := c.post(ctx, urlOf(target, "/v1/generations"), g, guard)
	if err != nil {
		return nil, result, err
	}
	return newResponseStream(response), result, nil
}

// Resume reads the events of a running generation from the token with the given index.
func (c *Client) Resume(ctx context.Context, target netip.AddrPort, generation string, index int) (*Stream, error) {
	address := urlOf(target, "/v1/generations/"+url.PathEscape(generation)) + "?from=" + strconv.Itoa(index)
	response, err := c.get(ctx, address)
	if err != nil {
		return nil, err
	}
	return newResponseStream(response), nil
}

// Cancel cancels a generation at an engine.
func (c *Client) Cancel(ctx context.Context, target netip.AddrPort, generation string) error {
	_, ctx = newWriteGuard(ctx, allowAll)
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, urlOf(target, "/v1/generations/"+url.PathEscape(generation)), nil)
	if err != nil {
		return ErrMalformed.Wrap(err, "create request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return ErrConnection.Wrap(err, "cancel generation")
	}
	return response.Body.Close()
}

// Report reads an engine's load report.
func (c *Client) Report(ctx context.Context, target netip.AddrPort) (Report, error) {
	response, err := c.get(ctx, urlOf(target, reportPath))
	if err != nil {
		return Report{}, err
	}
	defer response.Body.Close()
	var report Report
	if err := decode(response.Body, &report); err != nil {
		return Report{}, err
	}
	return report, nil
}

// Call runs an operation of a plain service and returns its result as JSON.
func (c *Client) Call(ctx context.Context, target netip.AddrPort, call Call, guard Guard) (json.RawMessage, SendResult, error) {
	response, result, err := c.post(ctx, urlOf(target, "/v1/calls"), call, guard)
	if err != nil {
		return nil, result, err
	}
	defer response.Body.Close()
	var reply callResponse
	if err := decode(response.Body, &reply); err != nil {
		return nil, result, err
	}
	if reply.ID != call.ID {
		return nil, result, ErrMalformed.New("response is for call %q, want %q", reply.ID, call.ID)
	}
	return reply.Result, result, nil
}

func (c *Client) post(ctx context.Context, address string, body any, guard Guard) (*http.Response, SendResult, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, SendResult{}, ErrMalformed.Wrap(err, "encode request")
	}
	sent, ctx := newWriteGuard(ctx, guard)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, &onceBody{Reader: bytes.NewReader(data)})
	if err != nil {
		return nil, SendResult{}, ErrMalformed.Wrap(err, "create request")
	}
	request.ContentLength = int64(len(data))
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		result := SendResult{Written: sent.mayHaveWritten()}
		// A rejected write closes the connection, and net/http may report that one in its place.
		if rejected := sent.rejection(); rejected != nil {
			return nil, result, rejected
		}
		return nil, result, sendError(err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, resultOf(response), ErrRefused.New("target responded with status %s", response.Status)
	}
	return response, SendResult{Written: true, Status: response.StatusCode}, nil
}

func (c *Client) get(ctx context.Context, address string) (*http.Response, error) {
	_, ctx = newWriteGuard(ctx, allowAll)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "create request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, ErrConnection.Wrap(err, "send request")
	}
	switch response.StatusCode {
	case http.StatusOK:
		return response, nil
	case http.StatusNotFound:
		_ = response.Body.Close()
		return nil, ErrUnknownGeneration.New("%s", address)
	default:
		_ = response.Body.Close()
		return nil, ErrRefused.New("target responded with status %s", response.Status)
	}
}

// onceBody hides the reader's type from net/http, which could otherwise rewind the body and silently resend the request.
type onceBody struct {
	io.Reader
}

func newResponseStream(response *http.Response) *Stream {
	stream := NewStream(response.Body)
	stream.Incarnation, _ = strconv.ParseUint(response.Header.Get(incarnationHeader), 10, 64)
	return stream
}

// sendError distinguishes a rejection by the guard from a connection error.
func sendError(err error) error {
	var cause *errorx.Error
	if errors.As(err, &cause) && cause.IsOfType(ErrGuard) {
		return cause
	}
	return ErrConnection.Wrap(err, "send request")
}

func resultOf(response *http.Response) SendResult {
	defer response.Body.Close()
	if !ushercall.IsStatus(response.StatusCode) {
		// Nothing that it says counts, not even that the request was not run.
		return SendResult{Written: true}
	}
	result := SendResult{Written: true, Status: response.StatusCode}
	var r errorResponse
	if err := decode(response.Body, &r); err == nil {
		result.Refused = r.NotRun
	}
	return result
}

func decode(body io.Reader, value any) error {
	if err := json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(value); err != nil {
		return ErrMalformed.Wrap(err, "decode %T", value)
	}
	return nil
}

func urlOf(target netip.AddrPort, path string) string {
	return "http://" + target.String() + path
}
