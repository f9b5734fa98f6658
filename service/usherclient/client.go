// Package usherclient speaks the callers' interface of a gateway.
//
// It follows the rules that a caller needs: locate first, ask for a request id before anything that may not be
// repeated, resume a broken stream by its handle at another gateway, and send a refused request again only if its outcome
// is not_run.
//
// # Usage
//
//	client := usherclient.New("kochi", key)
//	answer, err := client.Send(ctx, address, usherclient.Request{Template: "standing", Parameters: parameters}, nil)
//	answer, err = client.Follow(ctx, location.Addresses, usherclient.Request{Template: "appraisal", Parameters: parameters}, watcher)
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
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("usher_client")
	// ErrConnection says that the connection to a gateway failed; what became of a request is not known.
	ErrConnection = Errors.NewType("broken", errorx.Temporary())
	// ErrUnreachable says that no connection to a gateway came about, so that nothing was asked of it.
	ErrUnreachable = ErrConnection.NewSubtype("unreachable")
	// ErrMalformed says that a gateway sent something unexpected.
	ErrMalformed = Errors.NewType("malformed")
)

type (
	// Dial opens a connection to a gateway.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// Client speaks for one workspace.
	Client struct {
		workspace string
		key       string
		scheme    string
		http      *http.Client
	}

	// Request is what a caller asks. RequestID is needed where the template is not idempotent.
	Request struct {
		Template   string            `json:"template"`
		Parameters map[string]string `json:"parameters"`
		RequestID  string            `json:"request_id,omitempty"`
	}

	// Answer is a whole answer. Text has the text of a generation, Result that of a call.
	Answer struct {
		RequestID string          `json:"request_id"`
		Outcome   string          `json:"outcome"`
		Tokens    int             `json:"tokens"`
		Finish    string          `json:"finish"`
		Text      string          `json:"text"`
		Result    json.RawMessage `json:"result"`
	}

	// Refusal is a truthful refusal.
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

	// Location is what a gateway says about which gateways to use, the best first.
	Location struct {
		Addresses []string `json:"addresses"`
		ValidMS   int64    `json:"valid_ms"`
	}

	// Status tells how a request ended, or that it has not.
	Status struct {
		RequestID string          `json:"request_id"`
		State     string          `json:"state"`
		Outcome   string          `json:"outcome"`
		Reason    string          `json:"reason"`
		Tokens    int             `json:"tokens"`
		Text      string          `json:"text"`
		Result    json.RawMessage `json:"result"`
	}

	// StreamCallbacks sees a stream as it comes. Each function may be nil.
	StreamCallbacks struct {
		// Started has the id of the request and the handle by which any gateway resumes the stream.
		Started func(requestID, handle string)
		// Token has one token.
		Token func(index int, text string)
		// Resumed says that Follow goes on at another gateway, from the token with index from.
		Resumed func(address string, from int)
	}

	minted struct {
		RequestID string `json:"request_id"`
	}
)

// New returns a client of a workspace.
func New(workspace, key string) *Client {
	return &Client{workspace: workspace, key: key, scheme: "http", http: &http.Client{Transport: &http.Transport{}}}
}

// NewWith returns a client of a workspace whose connections dial opens.
func NewWith(workspace, key string, dial Dial) *Client {
	return &Client{workspace: workspace, key: key, scheme: "http", http: &http.Client{Transport: &http.Transport{DialContext: dial}}}
}

// WithTLS returns a client that speaks TLS and checks gateways' certificates as config says.
func (c *Client) WithTLS(config *tls.Config) *Client {
	transport := &http.Transport{TLSClientConfig: config}
	return &Client{workspace: c.workspace, key: c.key, scheme: "https", http: &http.Client{Transport: transport}}
}

// Error implements error.
func (r Refusal) Error() string {
	text := r.Outcome + ": " + r.Reason
	if r.Message != "" {
		text += ": " + r.Message
	}
	return text
}

// Close drops idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Locate asks the gateway at address which gateways to use.
func (c *Client) Locate(ctx context.Context, address string) (Location, error) {
	return c.LocateNear(ctx, address, nil)
}

// LocateNear asks the gateway at address which gateways to use for a caller near the data centres, the nearest first.
func (c *Client) LocateNear(ctx context.Context, address string, dataCentres []string) (Location, error) {
	path := "/v1/locate"
	if len(dataCentres) > 0 {
		path += "?" + url.Values{"near": {strings.Join(dataCentres, ",")}}.Encode()
	}
	var location Location
	err := c.exchange(ctx, http.MethodGet, address, path, nil, &location)
	return location, err
}

// NewRequestID asks for an id under which the gateway runs a request at most once.
func (c *Client) NewRequestID(ctx context.Context, address, idempotencyKey string) (string, error) {
	var id minted
	body := map[string]string{"idempotency_key": idempotencyKey}
	err := c.exchange(ctx, http.MethodPost, address, "/v1/ids", body, &id)
	return id.RequestID, err
}

// Status asks how a request ended.
func (c *Client) Status(ctx context.Context, address, requestID string) (Status, error) {
	var status Status
	err := c.exchange(ctx, http.MethodGet, address, "/v1/requests/"+url.PathEscape(requestID), nil, &status)
	return status, err
}

// Cancel ends a request in progress.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	return c.exchange(ctx, http.MethodDelete, address, "/v1/requests/"+url.PathEscape(requestID), nil, nil)
}

// Send sends a request and returns its answer. A streamed answer is shown to watcher token by token and returned whole.
func (c *Client) Send(ctx context.Context, address string, request Request, watcher *StreamCallbacks) (Answer, error) {
	response, err := c.do(ctx, http.MethodPost, address, "/v1/requests", request)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	return c.answer(response, watcher)
}

// Resume takes up a stream at the token with index from, at any gateway.
func (c *Client) Resume(ctx context.Context, address, handle string, from int, watcher *StreamCallbacks) (Answer, error) {
	query := url.Values{"handle": {handle}, "from": {strconv.Itoa(from)}}
	response, err := c.do(ctx, http.MethodGet, address, "/v1/resume?"+query.Encode(), nil)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	return c.answer(response, watcher)
}

func (c *Client) answer(response *http.Response, watcher *StreamCallbacks) (Answer, error) {
	if response.StatusCode != http.StatusOK {
		return Answer{}, refusalOf(response)
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(response.Body, watcher)
	}
	var answer Answer
	err := decode(response.Body, &answer)
	return answer, err
}

func (c *Client) exchange(ctx context.Context, method, address, path string, body, answer any) error {
	response, err := c.do(ctx, method, address, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return refusalOf(response)
	}
	if answer == nil {
		return nil
	}
	return decode(response.Body, answer)
}

func (c *Client) do(ctx context.Context, method, address, path string, body any) (*http.Response, error) {
	data := []byte{}
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return nil, ErrMalformed.Wrap(err, "request")
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+address+path, bytes.NewReader(data))
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "request")
	}
	request.GetBody = nil // never sent twice behind the caller's back
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Usher-Workspace", c.workspace)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, brokenBy(err, method, address)
	}
	return response, nil
}

func brokenBy(cause error, method, address string) error {
	var failed *net.OpError
	if errors.As(cause, &failed) && failed.Op == "dial" {
		return ErrUnreachable.Wrap(cause, "%s %s", method, address)
	}
	return ErrConnection.Wrap(cause, "%s %s", method, address)
}

func refusalOf(response *http.Response) error {
	var refusal Refusal
	if err := decode(response.Body, &refusal); err != nil {
		return err
	}
	refusal.Status = response.StatusCode
	refusal.RetryAfter = time.Duration(refusal.RetryMillis) * time.Millisecond
	return refusal
}

func decode(body io.Reader, value any) error {
	if err := json.NewDecoder(body).Decode(value); err != nil {
		return ErrConnection.Wrap(err, "answer")
	}
	return nil
}
