// Package usherclient implements a client for the gateways' public API.
//
// A caller should locate gateways first, obtain a request id before a request that is not idempotent, resume a broken
// stream by its handle at another gateway, and resend a refused request only if its outcome is not_run.
//
// # Usage
//
//	client := usherclient.New("kochi", key)
//	answer, err := client.Send(ctx, address, usherclient.Request{Template: "standing", Parameters: parameters}, nil)
//	answer, err = client.SendWithFailover(ctx, location.Addresses, usherclient.Request{Template: "appraisal", Parameters: parameters}, callbacks)
//	var refusal usherclient.Refusal
//	if errors.As(err, &refusal) && refusal.Outcome == "not_run" {
//		// safe to send again after refusal.RetryAfter
//	}
package usherclient

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/ushercall"
	"github.com/samphireusher/samphireusher/pkg/usherconn"
	"github.com/samphireusher/samphireusher/pkg/usherresponse"
)

const (
	// maxHeaderBytes and maxBodyBytes bound what is read of a response of a gateway.
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 64 << 20
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("usher_client")
	// ErrConnection is the type of errors for connections to a gateway that fail. The outcome of the request is unknown.
	ErrConnection = Errors.NewType("broken", errorx.Temporary())
	// ErrUnreachable is the type of errors for gateways to which no connection could be established, so the request was
	// not sent.
	ErrUnreachable = ErrConnection.NewSubtype("unreachable")
	// ErrMalformed is the type of errors for requests that cannot be encoded and responses of a gateway that are not as
	// expected.
	ErrMalformed = Errors.NewType("malformed")
)

type (
	// Dial opens a connection to a gateway.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// Client sends requests for one workspace.
	Client struct {
		workspace string
		key       string
		scheme    string
		http      *http.Client
	}

	// Request is a caller's request. RequestID is required if the template is not idempotent.
	Request struct {
		Template   string            `json:"template"`
		Parameters map[string]string `json:"parameters"`
		RequestID  string            `json:"request_id,omitempty"`
	}

	// Answer is a complete response. Text is the text of a generation, Result the result of a call.
	Answer struct {
		RequestID string          `json:"request_id"`
		Outcome   string          `json:"outcome"`
		Tokens    int             `json:"tokens"`
		Finish    string          `json:"finish"`
		Text      string          `json:"text"`
		Result    json.RawMessage `json:"result"`
	}

	// Refusal is the error for a request that a gateway refused or could not complete. Outcome tells whether it ran.
	Refusal struct {
		Outcome      string        `json:"outcome"`
		Reason       string        `json:"reason"`
		Message      string        `json:"message"`
		RetryMillis  int64         `json:"retry_after_ms"`
		OtherAddress string        `json:"other_address"`
		RequestID    string        `json:"request_id"`
		Status       int           `json:"-"`
		RetryAfter   time.Duration `json:"-"`
	}

	// Location lists the gateways that a caller should use, in order of preference.
	Location struct {
		Addresses []string `json:"addresses"`
		ValidMS   int64    `json:"valid_ms"`
	}

	// Status is the state of a request and, once it has ended, its outcome.
	Status struct {
		RequestID string          `json:"request_id"`
		State     string          `json:"state"`
		Outcome   string          `json:"outcome"`
		Reason    string          `json:"reason"`
		Tokens    int             `json:"tokens"`
		Text      string          `json:"text"`
		Result    json.RawMessage `json:"result"`
	}

	// StreamCallbacks is called with the events of a stream as they arrive. Each function may be nil.
	StreamCallbacks struct {
		// Started receives the id of the request and the handle with which any gateway can resume the stream.
		Started func(requestID, handle string)
		// Token receives one token.
		Token func(index int, text string)
		// Resumed is called when the stream is resumed at another gateway, from the token with index from.
		Resumed func(address string, from int)
	}

	requestIDResponse struct {
		RequestID string `json:"request_id"`
	}
)

// New returns a client for a workspace.
func New(workspace, key string) *Client {
	return NewWith(workspace, key, (&net.Dialer{}).DialContext)
}

// NewWith returns a client for a workspace that opens connections with dial.
func NewWith(workspace, key string, dial Dial) *Client {
	return &Client{workspace: workspace, key: key, scheme: "http", http: newHTTPClient(dial, nil)}
}

// WithTLS returns a client that uses TLS and verifies the gateways' certificates according to config.
func (c *Client) WithTLS(config *tls.Config) *Client {
	return &Client{workspace: c.workspace, key: c.key, scheme: "https", http: newHTTPClient((&net.Dialer{}).DialContext, config)}
}

func newHTTPClient(dial Dial, config *tls.Config) *http.Client {
	return &http.Client{Transport: usherresponse.Transport{
		Base: &http.Transport{DialContext: usherconn.Dialer(dial), TLSClientConfig: config, MaxResponseHeaderBytes: maxHeaderBytes},
	}}
}

// Error implements error.
func (r Refusal) Error() string {
	text := r.Outcome + ": " + r.Reason
	if r.Message != "" {
		text += ": " + r.Message
	}
	return text
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Locate asks the gateway at address which gateways to use.
func (c *Client) Locate(ctx context.Context, address string) (Location, error) {
	return c.LocateNear(ctx, address, nil)
}

// LocateNear asks the gateway at address which gateways to use for a caller near the given data centres, the nearest of
// which is listed first.
func (c *Client) LocateNear(ctx context.Context, address string, dataCentres []string) (Location, error) {
	path := "/v1/locate"
	if len(dataCentres) > 0 {
		path += "?" + url.Values{"near": {strings.Join(dataCentres, ",")}}.Encode()
	}
	var location Location
	err := c.doJSON(ctx, http.MethodGet, address, path, nil, &location)
	return location, err
}

// NewRequestID requests an id under which the gateways run a request at most once.
func (c *Client) NewRequestID(ctx context.Context, address, idempotencyKey string) (string, error) {
	var id requestIDResponse
	body := map[string]string{"idempotency_key": idempotencyKey}
	err := c.doJSON(ctx, http.MethodPost, address, "/v1/ids", body, &id)
	return id.RequestID, err
}

// Status returns the state of a request.
func (c *Client) Status(ctx context.Context, address, requestID string) (Status, error) {
	var status Status
	err := c.doJSON(ctx, http.MethodGet, address, "/v1/requests/"+url.PathEscape(requestID), nil, &status)
	return status, err
}

// Cancel cancels a request in progress.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	return c.doJSON(ctx, http.MethodDelete, address, "/v1/requests/"+url.PathEscape(requestID), nil, nil)
}

// Send sends a request and returns its complete answer. Tokens of a streamed answer are also passed to callbacks as they
// arrive.
func (c *Client) Send(ctx context.Context, address string, request Request, callbacks *StreamCallbacks) (Answer, error) {
	response, err := c.do(ctx, http.MethodPost, address, "/v1/requests", request)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	return c.readAnswer(response, callbacks)
}

// Resume resumes a stream from the token with index from. Any gateway can resume it.
func (c *Client) Resume(ctx context.Context, address, handle string, from int, callbacks *StreamCallbacks) (Answer, error) {
	query := url.Values{"handle": {handle}, "from": {strconv.Itoa(from)}}
	response, err := c.do(ctx, http.MethodGet, address, "/v1/resume?"+query.Encode(), nil)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	return c.readAnswer(response, callbacks)
}

func (c *Client) readAnswer(response *http.Response, callbacks *StreamCallbacks) (Answer, error) {
	if response.StatusCode != http.StatusOK {
		return Answer{}, refusalOf(response)
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(response.Body, callbacks)
	}
	var answer Answer
	err := decode(response.Body, &answer)
	return answer, err
}

func (c *Client) doJSON(ctx context.Context, method, address, path string, body, result any) error {
	response, err := c.do(ctx, method, address, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode < http.StatusOK || response.StatusCode >= http.StatusMultipleChoices {
		return refusalOf(response)
	}
	if result == nil {
		return nil
	}
	return decode(response.Body, result)
}

func (c *Client) do(ctx context.Context, method, address, path string, body any) (*http.Response, error) {
	data := []byte{}
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return nil, ErrMalformed.Wrap(err, "encode request")
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+address+path, bytes.NewReader(data))
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "create request")
	}
	request.GetBody = nil // prevents net/http from silently resending the request
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Usher-Workspace", c.workspace)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, connectionError(err, method, address)
	}
	return response, nil
}

func connectionError(cause error, method, address string) error {
	var opErr *net.OpError
	if errors.As(cause, &opErr) && opErr.Op == "dial" {
		return ErrUnreachable.Wrap(cause, "%s %s", method, address)
	}
	return ErrConnection.Wrap(cause, "%s %s", method, address)
}

func refusalOf(response *http.Response) error {
	if !ushercall.IsStatus(response.StatusCode) {
		return ErrConnection.New("invalid status %q", response.Status)
	}
	var refusal Refusal
	if err := decode(response.Body, &refusal); err != nil {
		return err
	}
	refusal.Status = response.StatusCode
	refusal.RetryAfter = time.Duration(refusal.RetryMillis) * time.Millisecond
	return refusal
}

func decode(body io.Reader, value any) error {
	if err := json.NewDecoder(io.LimitReader(body, maxBodyBytes)).Decode(value); err != nil {
		return ErrConnection.Wrap(err, "decode response")
	}
	return nil
}
