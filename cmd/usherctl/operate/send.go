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
	// filePrefix marks a parameter value as the path of the file to read the value from.
	filePrefix = "@"
	// requiresIDReason is the reason of a gateway's refusal if the template requires a request id.
	requiresIDReason = "needs_request_id"
	locateTimeout    = 2 * time.Second
	defaultRetry     = 500 * time.Millisecond
)

type (
	// answerOptions are the flags of the commands that print an answer.
	answerOptions struct {
		credentials
		Events bool `help:"Print a JSON line for each event instead of text."`
	}

	sendCommand struct {
		answerOptions
		Address        string            `arg:"" help:"Address of the gateway to send to."`
		Template       string            `arg:"" help:"Template of the request."`
		Parameters     map[string]string `name:"parameter" short:"p" mapsep:"none" placeholder:"NAME=VALUE" help:"Parameter of the template; @FILE stands for the text in a file."`
		Once           bool              `help:"Ask for a request id first, under which the request runs at most once."`
		ID             string            `name:"id" help:"Send under this request id, for instance again."`
		IdempotencyKey string            `help:"Ids with the same key stand for one request; implies --once."`
		Retry          time.Duration     `help:"How long to send again what was refused as not run for the moment. A given id is refused for good."`
	}

	resumeCommand struct {
		answerOptions
		Address string `arg:"" help:"Address of any gateway."`
		Handle  string `arg:"" help:"Handle that the stream began with."`
		From    int    `help:"Index of the first token that is wanted."`
	}
)

// Run sends a request and prints its answer.
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
	ctx, stop := signalContext()
	defer stop()
	output := newPrinter(k, format, c.Events)
	answer, err := c.sendWithRetry(ctx, client, request, output)
	return output.finish(answer, err)
}

// Run resumes a stream and prints the rest of its answer.
func (c *resumeCommand) Run(k *kong.Context, format Format) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if c.From < 0 {
		return ErrUsage.New("--from must not be negative")
	}
	defer client.Close()
	ctx, stop := signalContext()
	defer stop()
	output := newPrinter(k, format, c.Events)
	answer, err := client.ResumeWithFailover(ctx, failoverAddresses(ctx, client, c.Address), c.Handle, c.From, output.callbacks())
	return output.finish(answer, err)
}

// request builds the request, reading the parameter values that are given as @FILE.
func (c *sendCommand) request() (usherclient.Request, error) {
	request := usherclient.Request{Template: c.Template, RequestID: c.ID, Parameters: map[string]string{}}
	for name, value := range c.Parameters {
		if path, ok := strings.CutPrefix(value, filePrefix); ok {
			text, err := os.ReadFile(path)
			if err != nil {
				return request, ErrFile.Wrap(err, "cannot read the value of parameter %s", name)
			}
			value = string(text)
		}
		request.Parameters[name] = value
	}
	return request, nil
}

// sendWithRetry sends a request again while it is refused temporarily, until the time of --retry is over. A request with
// a given id is sent once, as the gateways refuse an id for good.
func (c *sendCommand) sendWithRetry(ctx context.Context, client *usherclient.Client, request usherclient.Request, output *printer) (usherclient.Answer, error) {
	deadline := time.Now().Add(c.Retry)
	for {
		answer, err := c.sendOnce(ctx, client, request, output)
		wait, retryable := retryAfter(err)
		if !retryable || c.ID != "" || ctx.Err() != nil || time.Now().Add(wait).After(deadline) {
			return answer, err
		}
		time.Sleep(wait)
	}
}

// sendOnce sends a request once. It gets a request id first if --once or --idempotency-key is set, or if the gateway
// replies that the template requires one.
func (c *sendCommand) sendOnce(ctx context.Context, client *usherclient.Client, request usherclient.Request, output *printer) (usherclient.Answer, error) {
	var err error
	if request.RequestID == "" && (c.Once || c.IdempotencyKey != "") {
		if request.RequestID, err = client.NewRequestID(ctx, c.Address, c.IdempotencyKey); err != nil {
			return usherclient.Answer{}, err
		}
	}
	if request.RequestID != "" {
		return sendWithID(ctx, client, c.Address, request, output)
	}
	answer, err := client.SendWithFailover(ctx, failoverAddresses(ctx, client, c.Address), request, output.callbacks())
	if !requiresID(err) {
		return answer, err
	}
	if request.RequestID, err = client.NewRequestID(ctx, c.Address, ""); err != nil {
		return usherclient.Answer{}, err
	}
	return sendWithID(ctx, client, c.Address, request, output)
}

// sendWithID prints the request id before sending the request, so that the request can be repeated safely under the same
// id if the answer is lost.
func sendWithID(ctx context.Context, client *usherclient.Client, address string, request usherclient.Request, output *printer) (usherclient.Answer, error) {
	output.identified(request.RequestID)
	return client.Send(ctx, address, request, output.callbacks())
}

// requiresID reports whether the gateway refused the request, without running it, because the template requires a request
// id.
func requiresID(err error) bool {
	var refusal usherclient.Refusal
	return errors.As(err, &refusal) && refusal.Reason == requiresIDReason
}

// retryAfter reports whether the request was refused temporarily without having run, and returns the time to wait before
// sending it again.
func retryAfter(err error) (time.Duration, bool) {
	var refusal usherclient.Refusal
	if !errors.As(err, &refusal) || refusal.Outcome != "not_run" || refusal.Status != http.StatusServiceUnavailable {
		return 0, false
	}
	return max(refusal.RetryAfter, defaultRetry), true
}

// failoverAddresses returns address, followed by the other gateways that the gateway at address advertises.
func failoverAddresses(ctx context.Context, client *usherclient.Client, address string) []string {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
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
