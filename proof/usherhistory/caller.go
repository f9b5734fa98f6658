package usherhistory

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/service/usherclient"
)

// Caller sends requests with a client and records what the client observed.
type Caller struct {
	History *History
	Client  *usherclient.Client
}

// Stream requests a generation from the first address. If the stream is disconnected, it resumes the stream from the other
// addresses by its handle.
func (c Caller) Stream(ctx context.Context, addresses []string, mark string, request usherclient.Request) Observation {
	observed := Observation{Mark: mark, Gateway: addresses[0], IsGeneration: true, SentAt: time.Now()}
	handle := ""
	callbacks := &usherclient.StreamCallbacks{
		Started: func(requestID, newHandle string) { observed.RequestID, handle = requestID, newHandle },
		Token:   func(index int, text string) { observed.Tokens = append(observed.Tokens, Token{index, text}) },
		Resumed: func(string, int) { observed.Resumptions++ },
	}
	answer, err := c.Client.Send(ctx, addresses[0], request, callbacks)
	if others := addresses[1:]; len(others) > 0 && handle != "" && errorx.IsOfType(err, usherclient.ErrConnection) {
		observed.DisconnectedAt = time.Now()
		answer, err = c.Client.ResumeWithFailover(ctx, others, handle, len(observed.Tokens), callbacks)
		answer.Text = joinTokens(observed.Tokens)
	}
	return c.add(observed, answer, err)
}

func joinTokens(tokens []Token) string {
	text := strings.Builder{}
	for _, token := range tokens {
		text.WriteString(token.Text)
	}
	return text.String()
}

// Call requests a call of a plain service. If the request has a RequestID, the call must not run twice.
func (c Caller) Call(ctx context.Context, address, mark string, request usherclient.Request) Observation {
	observed := Observation{
		Mark: mark, Gateway: address, AtMostOnce: request.RequestID != "", RequestID: request.RequestID, SentAt: time.Now(),
	}
	answer, err := c.Client.Send(ctx, address, request, nil)
	return c.add(observed, answer, err)
}

func (c Caller) add(observed Observation, answer usherclient.Answer, err error) Observation {
	observed.EndedAt = time.Now()
	observed.Text, observed.Result, observed.Outcome = answer.Text, answer.Result, answer.Outcome
	if err != nil {
		observed.Outcome, observed.Error = Disconnected, err.Error()
	}
	if errorx.IsOfType(err, usherclient.ErrUnreachable) && observed.DisconnectedAt.IsZero() {
		observed.Outcome = Unreachable
	}
	var refusal usherclient.Refusal
	if errors.As(err, &refusal) {
		observed.Outcome, observed.Reason = refusal.Outcome, refusal.Reason
	}
	c.History.Add(observed)
	return observed
}
