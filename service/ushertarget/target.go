// Package ushertarget is the adapter of model engines and plain services: the only place that knows their protocol.
//
// Both speak HTTP with JSON bodies; an engine answers with server-sent events. Before a request is written the
// caller's guard is asked, after the connection stands, so that a grant that ran out while a link stalled is not
// used. What is known of a failed sending comes back as Evidence, from which the outcome of the request follows.
//
// # Usage
//
//	client := ushertarget.NewClient()
//	stream, evidence, err := client.Generate(ctx, target, generation, grant.Check)
//	if err != nil {
//		return refusal(evidence)
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
)

const (
	dialTimeout     = 500 * time.Millisecond
	idleConnections = 256
	maxAnswerBytes  = 1 << 20

	incarnationHeader = "Usher-Incarnation"
	reportPath        = "/v1/report"
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("usher_target")
	// ErrConnection says that the connection to a target failed.
	ErrConnection = Errors.NewType("broken", errorx.Temporary())
	// ErrMalformed says that a target sent something that is not of its protocol.
	ErrMalformed = Errors.NewType("malformed")
	// ErrRefused says that the target answered with an error status.
	ErrRefused = Errors.NewType("refused")
	// ErrUnknownGeneration says that a target does not have the generation that was to be resumed.
	ErrUnknownGeneration = Errors.NewType("unknown_generation")
	// ErrGuard says that the guard forbade the sending once the connection stood.
	ErrGuard = Errors.NewType("guard")
)

type (
	// Client speaks to targets. It is safe for use by several goroutines.
	Client struct {
		http *http.Client
	}

	// Dial opens a connection to a target.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// Guard is asked when the connection stands and before anything is written. It learns which incarnation of the
	// target is at the other end.
	Guard func(incarnation uint64) error

	// SendResult is what is known of one sending.
	SendResult struct {
		// Written says that at least one byte of the request may have reached the target.
		Written bool
		// Refused says that the target answered that it does not run the request.
		Refused bool
		// Status is the target's HTTP status, or zero where none came.
		Status int
	}

	// Generation is the order to an engine to generate.
	Generation struct {
		ID        string `json:"generation_id"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Priority  int    `json:"priority"`
		Isolated  bool   `json:"isolated"`
		CacheKey  string `json:"cache_key"`
	}

	// Call is the order to a plain service.
	Call struct {
		ID         string            `json:"call_id"`
		Operation  string            `json:"operation"`
		Parameters map[string]string `json:"parameters"`
	}

	// Report is an engine's account of its load.
	Report struct {
		Incarnation uint64 `json:"incarnation"`
		// AgeMillis is how old the report was when it was sent, by the target's own clock; nil where it does not say.
		AgeMillis        *int64  `json:"age_ms"`
		Running          int     `json:"running"`
		Waiting          int     `json:"waiting"`
		MemoryUsedTokens int     `json:"memory_used_tokens"`
		MemoryTokens     int     `json:"memory_tokens"`
		StepTimeMillis   float64 `json:"step_time_ms"`
		Preemptions      int     `json:"preemptions"`
		Completed        int     `json:"completed"`
		Model            string  `json:"model"`
		// Warm is whether the target bears its full load, by its own account; nil where it does not say.
		Warm *bool `json:"warm"`
	}

	callAnswer struct {
		ID     string          `json:"call_id"`
		Result json.RawMessage `json:"result"`
	}

	refusal struct {
		Error  string `json:"error"`
		NotRun bool   `json:"not_run"`
	}
)

// NewClient returns a client that keeps idle connections to targets, so that a grant is rarely spent on connecting.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return NewClientWith(dialer.DialContext)
}

// NewClientWith returns a client whose connections dial opens.
func NewClientWith(dial Dial) *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         dialGuarded(dial),
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true,
	}}}
}

// Close drops idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Generate starts a generation. The evidence counts where err is not nil.
func (c *Client) Generate(ctx context.Context, target netip.AddrPort, g Generation, guard Guard) (*Stream, SendResult, error) {
	response, evidence, err := c.post(ctx, address(target, "/v1/generations"), g, guard)
	if err != nil {
		return nil, evidence, err
	}
	return streamOf(response), evidence, nil
}

// Resume reads the same generation again from the token with the given index.
func (c *Client) Resume(ctx context.Context, target netip.AddrPort, generation string, index int) (*Stream, error) {
	from := address(target, "/v1/generations/"+url.PathEscape(generation)) + "?from=" + strconv.Itoa(index)
	response, err := c.get(ctx, from)
	if err != nil {
		return nil, err
	}
	return streamOf(response), nil
}

// Cancel tells the engine to drop a generation.
func (c *Client) Cancel(ctx context.Context, target netip.AddrPort, generation string) error {
	_, ctx = newSending(ctx, noGuard)
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, address(target, "/v1/generations/"+url.PathEscape(generation)), nil)
	if err != nil {
		return ErrMalformed.Wrap(err, "cancel")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return ErrConnection.Wrap(err, "cancel")
	}
	return response.Body.Close()
}

// Report reads an engine's load report.
func (c *Client) Report(ctx context.Context, target netip.AddrPort) (Report, error) {
	response, err := c.get(ctx, address(target, reportPath))
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
	response, evidence, err := c.post(ctx, address(target, "/v1/calls"), call, guard)
	if err != nil {
		return nil, evidence, err
	}
	defer response.Body.Close()
	var answer callAnswer
	if err := decode(response.Body, &answer); err != nil {
		return nil, evidence, err
	}
	if answer.ID != call.ID {
		return nil, evidence, ErrMalformed.New("answer to call %q, asked %q", answer.ID, call.ID)
	}
	return answer.Result, evidence, nil
}

func (c *Client) post(ctx context.Context, to string, body any, guard Guard) (*http.Response, SendResult, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, SendResult{}, ErrMalformed.Wrap(err, "encode")
	}
	sending, ctx := newSending(ctx, guard)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, to, &onceBody{Reader: bytes.NewReader(data)})
	if err != nil {
		return nil, SendResult{}, ErrMalformed.Wrap(err, "request")
	}
	request.ContentLength = int64(len(data))
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, SendResult{Written: sending.evidence()}, sendError(err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, refused(response), ErrRefused.New("target answered %s", response.Status)
	}
	return response, SendResult{Written: true, Status: response.StatusCode}, nil
}

func (c *Client) get(ctx context.Context, from string) (*http.Response, error) {
	_, ctx = newSending(ctx, noGuard)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, from, nil)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, ErrConnection.Wrap(err, "read")
	}
	switch response.StatusCode {
	case http.StatusOK:
		return response, nil
	case http.StatusNotFound:
		_ = response.Body.Close()
		return nil, ErrUnknownGeneration.New("%s", from)
	default:
		_ = response.Body.Close()
		return nil, ErrRefused.New("target answered %s", response.Status)
	}
}

// onceBody hides the reader's type from net/http, so that a request is never sent twice behind the caller's back.
type onceBody struct {
	io.Reader
}

func streamOf(response *http.Response) *Stream {
	stream := NewStream(response.Body)
	stream.Incarnation, _ = strconv.ParseUint(response.Header.Get(incarnationHeader), 10, 64)
	return stream
}

// sendError keeps apart what the guard forbade and what the connection did.
func sendError(err error) error {
	var cause *errorx.Error
	if errors.As(err, &cause) && cause.IsOfType(ErrGuard) {
		return cause
	}
	return ErrConnection.Wrap(err, "send")
}

func refused(response *http.Response) SendResult {
	defer response.Body.Close()
	evidence := SendResult{Written: true, Status: response.StatusCode}
	var r refusal
	if err := decode(response.Body, &r); err == nil {
		evidence.Refused = r.NotRun
	}
	return evidence
}

func decode(body io.Reader, value any) error {
	if err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(value); err != nil {
		return ErrMalformed.Wrap(err, "decode %T", value)
	}
	return nil
}

func address(target netip.AddrPort, path string) string {
	return "http://" + target.String() + path
}
