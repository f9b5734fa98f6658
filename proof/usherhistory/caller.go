package usherhistory

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/service/usherclient"
)

// Caller sends requests and records what it saw.
type Caller struct {
	History *History
	Client  *usherclient.Client
}

// Stream asks for a generation at the first address. Where its stream breaks off, it goes on at the other addresses by its
// handle.
func (c Caller) Stream(ctx context.Context, addresses []string, mark string, request usherclient.Request) Observation {
	seen := Observation{Mark: mark, Gateway: addresses[0], IsGeneration: true, SentAt: time.Now()}
	handle := ""
	watcher := &usherclient.StreamCallbacks{
		Started: func(requestID, given string) { seen.RequestID, handle = requestID, given },
		Token:   func(index int, text string) { seen.Tokens = append(seen.Tokens, Token{index, text}) },
		Resumed: func(string, int) { seen.Resumptions++ },
	}
	answer, err := c.Client.Send(ctx, addresses[0], request, watcher)
	if others := addresses[1:]; len(others) > 0 && handle != "" && errorx.IsOfType(err, usherclient.ErrConnection) {
		seen.DisconnectedAt = time.Now()
		answer, err = c.Client.ResumeWithFailover(ctx, others, handle, len(seen.Tokens), watcher)
		answer.Text = textOf(seen.Tokens)
	}
	return c.add(seen, answer, err)
}

func textOf(tokens []Token) string {
	text := strings.Builder{}
	for _, token := range tokens {
		text.WriteString(token.Text)
	}
	return text.String()
}

// Call asks for a call of a plain service. With a RequestID in the request the call may not run twice.
func (c Caller) Call(ctx context.Context, address, mark string, request usherclient.Request) Observation {
	seen := Observation{Mark: mark, Gateway: address, AtMostOnce: request.RequestID != "", RequestID: request.RequestID, SentAt: time.Now()}
	answer, err := c.Client.Send(ctx, address, request, nil)
	return c.add(seen, answer, err)
}

func (c Caller) add(seen Observation, answer usherclient.Answer, err error) Observation {
	seen.EndedAt = time.Now()
	seen.Text, seen.Result, seen.Outcome = answer.Text, answer.Result, answer.Outcome
	if err != nil {
		seen.Outcome, seen.Error = Disconnected, err.Error()
	}
	if errorx.IsOfType(err, usherclient.ErrUnreachable) && seen.DisconnectedAt.IsZero() {
		seen.Outcome = Unreachable
	}
	var refusal usherclient.Refusal
	if errors.As(err, &refusal) {
		seen.Outcome, seen.Reason = refusal.Outcome, refusal.Reason
	}
	c.History.Add(seen)
	return seen
}
