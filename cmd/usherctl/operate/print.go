package usheroperation

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"github.com/samphireusher/samphireusher/service/usherclient"
)

type (
	// printer prints the answer to a request: as text while it streams, as one JSON value at its end, or as a JSON line for
	// each event.
	printer struct {
		out, diagnostics io.Writer
		format           Format
		events           bool
		requestID        string
		tokens           int
	}

	startedLine struct {
		Event     string `json:"event"`
		RequestID string `json:"request_id"`
		Handle    string `json:"handle,omitempty"`
	}

	tokenLine struct {
		Event string `json:"event"`
		Index int    `json:"index"`
		Text  string `json:"text"`
	}

	resumedLine struct {
		Event   string `json:"event"`
		Address string `json:"address"`
		From    int    `json:"from"`
	}

	endLine struct {
		Event     string          `json:"event,omitempty"`
		RequestID string          `json:"request_id"`
		Outcome   string          `json:"outcome"`
		Tokens    int             `json:"tokens"`
		Finish    string          `json:"finish,omitempty"`
		Text      string          `json:"text,omitempty"`
		Result    json.RawMessage `json:"result,omitempty"`
	}

	refusedLine struct {
		Event        string `json:"event,omitempty"`
		RequestID    string `json:"request_id,omitempty"`
		Outcome      string `json:"outcome"`
		Reason       string `json:"reason,omitempty"`
		Message      string `json:"message,omitempty"`
		RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
		OtherAddress string `json:"other_address,omitempty"`
	}
)

func newPrinter(k *kong.Context, format Format, events bool) *printer {
	return &printer{out: k.Stdout, diagnostics: k.Stderr, format: format, events: events}
}

func (p *printer) callbacks() *usherclient.StreamCallbacks {
	return &usherclient.StreamCallbacks{Started: p.started, Token: p.token, Resumed: p.resumed}
}

func (p *printer) started(requestID, handle string) {
	p.requestID = requestID
	if p.events {
		_ = printJSON(p.out, startedLine{"started", requestID, handle})
	}
}

// identified prints the request id before the request is sent.
func (p *printer) identified(requestID string) {
	p.requestID = requestID
	switch {
	case p.events:
		_ = printJSON(p.out, startedLine{Event: "identified", RequestID: requestID})
	case !p.format.JSON:
		fmt.Fprintf(p.diagnostics, "request id %s\n", requestID)
	}
}

func (p *printer) token(index int, text string) {
	p.tokens++
	switch {
	case p.events:
		_ = printJSON(p.out, tokenLine{"token", index, text})
	case !p.format.JSON:
		fmt.Fprint(p.out, text)
	}
}

func (p *printer) resumed(address string, from int) {
	if p.events {
		_ = printJSON(p.out, resumedLine{"resumed", address, from})
		return
	}
	fmt.Fprintf(p.diagnostics, "\n[resumed at %s from token %d]\n", address, from)
}

// finish prints the end of the answer. If the request failed, it prints the failure and returns a requestError.
func (p *printer) finish(answer usherclient.Answer, err error) error {
	if err != nil {
		return p.printFailure(toRequestError(err))
	}
	if answer.RequestID == "" {
		answer.RequestID = p.requestID
	}
	line := endLine{"", answer.RequestID, answer.Outcome, answer.Tokens, answer.Finish, answer.Text, answer.Result}
	switch {
	case p.events:
		line.Event = "end"
		if p.tokens > 0 {
			line.Text = ""
		}
		return printJSON(p.out, line)
	case p.format.JSON:
		return printJSON(p.out, line)
	}
	if p.tokens > 0 {
		answer.Text = ""
	}
	fmt.Fprintln(p.out, answer.Text+string(answer.Result))
	fmt.Fprintf(p.diagnostics, "%s: %d tokens, request %s\n", answer.Outcome, answer.Tokens, answer.RequestID)
	return nil
}

func (p *printer) printFailure(err error) error {
	line := refusedLine{RequestID: p.requestID, Message: err.Error()}
	var request requestError
	if errors.As(err, &request) {
		line.Outcome = request.outcome.String()
	}
	var refusal usherclient.Refusal
	if errors.As(err, &refusal) {
		line.Reason, line.Message = refusal.Reason, refusal.Message
		line.RetryAfterMS, line.OtherAddress = refusal.RetryMillis, refusal.OtherAddress
	}
	switch {
	case p.events:
		line.Event = "refused"
		return errors.Join(err, printJSON(p.out, line))
	case p.format.JSON:
		return errors.Join(err, printJSON(p.out, line))
	}
	if p.tokens > 0 {
		fmt.Fprintln(p.out)
	}
	return err
}
