package usheroperation

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"github.com/samphireusher/samphireusher/service/usherclient"
)

const (
	// fileMark begins the value of a parameter that stands in a file.
	fileMark = "@"
	// needsIDReason is the reason of a gateway whose template needs a request id.
	needsIDReason = "needs_request_id"
	locateLimit   = 2 * time.Second
	defaultRetry  = 500 * time.Millisecond
)

type (
	// delivery says how an answer is printed.
	delivery struct {
		credentials
		Events bool `help:"Print a JSON line for each event instead of text."`
	}

	sendCommand struct {
		delivery
		Address        string            `arg:"" help:"Address of the gateway to send to."`
		Template       string            `arg:"" help:"Template of the request."`
		Parameters     map[string]string `name:"parameter" short:"p" mapsep:"none" placeholder:"NAME=VALUE" help:"Parameter of the template; @FILE stands for the text in a file."`
		Once           bool              `help:"Ask for a request id first, under which the request runs at most once."`
		ID             string            `name:"id" help:"Send under this request id, for instance again."`
		IdempotencyKey string            `help:"Ids with the same key stand for one request; implies --once."`
		Retry          time.Duration     `help:"How long to send again what was refused as not run for the moment. A given id is refused for good."`
	}

	resumeCommand struct {
		delivery
		Address string `arg:"" help:"Address of any gateway."`
		Handle  string `arg:"" help:"Handle that the stream began with."`
		From    int    `help:"Index of the first token that is wanted."`
	}
)

// Run sends a request.
func (c *sendCommand) Run(k *kong.Context, format Format) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	request, err := c.request()
	if err != nil {
		return err
	}
	ctx, stop := interruptible()
	defer stop()
	printed := newPrinter(k, format, c.Events)
	answer, err := c.retrying(ctx, client, request, printed)
	return printed.end(answer, err)
}

// Run resumes a stream.
func (c *resumeCommand) Run(k *kong.Context, format Format) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if c.From < 0 {
		return ErrUsage.New("--from must not be negative")
	}
	defer client.Close()
	ctx, stop := interruptible()
	defer stop()
	printed := newPrinter(k, format, c.Events)
	answer, err := client.ResumeWithFailover(ctx, alternatives(ctx, client, c.Address), c.Handle, c.From, printed.watcher())
	return printed.end(answer, err)
}

// request reads the parameters that stand in files.
func (c *sendCommand) request() (usherclient.Request, error) {
	request := usherclient.Request{Template: c.Template, RequestID: c.ID, Parameters: map[string]string{}}
	for name, value := range c.Parameters {
		if path, ok := strings.CutPrefix(value, fileMark); ok {
			text, err := os.ReadFile(path)
			if err != nil {
				return request, ErrFile.Wrap(err, "parameter %s", name)
			}
			value = string(text)
		}
		request.Parameters[name] = value
	}
	return request, nil
}

// retrying sends a request until it is no longer refused for the moment, or the time for that is over.
func (c *sendCommand) retrying(ctx context.Context, client *usherclient.Client, request usherclient.Request, printed *printer) (usherclient.Answer, error) {
	until := time.Now().Add(c.Retry)
	for {
		answer, err := c.send(ctx, client, request, printed)
		wait, again := retryAfter(err)
		if !again || c.ID != "" || ctx.Err() != nil || time.Now().Add(wait).After(until) {
			return answer, err
		}
		time.Sleep(wait)
	}
}

// send sends a request once, under an id if its template needs one.
func (c *sendCommand) send(ctx context.Context, client *usherclient.Client, request usherclient.Request, printed *printer) (usherclient.Answer, error) {
	var err error
	if request.RequestID == "" && (c.Once || c.IdempotencyKey != "") {
		if request.RequestID, err = client.NewRequestID(ctx, c.Address, c.IdempotencyKey); err != nil {
			return usherclient.Answer{}, err
		}
	}
	if request.RequestID != "" {
		return sendOnce(ctx, client, c.Address, request, printed)
	}
	answer, err := client.SendWithFailover(ctx, alternatives(ctx, client, c.Address), request, printed.watcher())
	if !needsID(err) {
		return answer, err
	}
	if request.RequestID, err = client.NewRequestID(ctx, c.Address, ""); err != nil {
		return usherclient.Answer{}, err
	}
	return sendOnce(ctx, client, c.Address, request, printed)
}

// sendOnce shows the id before the request is sent: if the answer is lost, asking again under it is safe.
func sendOnce(ctx context.Context, client *usherclient.Client, address string, request usherclient.Request, printed *printer) (usherclient.Answer, error) {
	printed.identified(request.RequestID)
	return client.Send(ctx, address, request, printed.watcher())
}

// needsID reports whether a gateway wants the request under an id. It has run nothing.
func needsID(err error) bool {
	var refusal usherclient.Refusal
	return errors.As(err, &refusal) && refusal.Reason == needsIDReason
}

// retryAfter reports whether the request was refused, as not run, for a reason that passes.
func retryAfter(err error) (time.Duration, bool) {
	var refusal usherclient.Refusal
	if !errors.As(err, &refusal) || refusal.Outcome != "not_run" || refusal.Status != http.StatusServiceUnavailable {
		return 0, false
	}
	return max(refusal.RetryAfter, defaultRetry), true
}

// alternatives returns address and, after it, the gateways that it names.
func alternatives(ctx context.Context, client *usherclient.Client, address string) []string {
	ctx, cancel := context.WithTimeout(ctx, locateLimit)
	defer cancel()
	addresses := []string{address}
	location, err := client.Locate(ctx, address)
	if err != nil {
		return addresses
	}
	for _, other := range location.Addresses {
		if other != address {
			addresses = append(addresses, other)
		}
	}
	return addresses
}
