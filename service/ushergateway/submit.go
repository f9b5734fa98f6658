package ushergateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/pkg/usherledger"
	"github.com/samphireusher/samphireusher/pkg/usherlocate"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
)

type (
	submitWire struct {
		Template   string            `json:"template"`
		Parameters map[string]string `json:"parameters"`
		// RequestID comes from POST /v1/ids; a template that is not idempotent needs it.
		RequestID string `json:"request_id"`
	}

	mintWire struct {
		IdempotencyKey string `json:"idempotency_key"`
	}

	mintedWire struct {
		RequestID string `json:"request_id"`
		ValidMS   int64  `json:"valid_ms"`
	}

	statusWire struct {
		RequestID string               `json:"request_id"`
		State     string               `json:"state"`
		Outcome   usherrequest.Outcome `json:"outcome"`
		Reason    string               `json:"reason,omitempty"`
		Tokens    int                  `json:"tokens,omitempty"`
		Text      string               `json:"text,omitempty"`
		Result    json.RawMessage      `json:"result,omitempty"`
	}
)

// serveMint gives an id under which this gateway, and no other, runs a request at most once.
func (g *Gateway) serveMint(w http.ResponseWriter, r *http.Request) error {
	var wire mintWire
	if err := readJSON(r.Body, &wire); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	id, err := g.mintID(callerOf(r), wire.IdempotencyKey)
	if err != nil {
		return err
	}
	text, err := g.Keyring.SignID(id)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, mintedWire{RequestID: text, ValidMS: idLifetime.Milliseconds()})
	return nil
}

// serveSubmit accepts a request and answers it.
func (g *Gateway) serveSubmit(w http.ResponseWriter, r *http.Request) error {
	var wire submitWire
	if err := readJSON(r.Body, &wire); err != nil {
		return err
	}
	call, err := g.Config.Resolve(callerOf(r), wire.Template, argumentsOf(wire.Parameters))
	if err != nil && wire.RequestID != "" {
		return g.serveUnresolved(w, callerOf(r), wire.RequestID, err)
	}
	if err != nil {
		return err
	}
	if call.Template.Idempotent {
		return g.serveIdempotent(w, r, call)
	}
	return g.serveOnce(w, r, call, wire.RequestID)
}

// serveIdempotent runs a request under an id of this gateway's own.
func (g *Gateway) serveIdempotent(w http.ResponseWriter, r *http.Request, call usherconfig.Call) error {
	id, err := g.mintID(call.Workspace.Name, "")
	if err != nil {
		return err
	}
	text, err := g.Keyring.SignID(id)
	if err != nil {
		return err
	}
	to := newSink(w, call, text)
	answer, err := g.submit(r.Context(), call, id, text, to)
	to.end(answer, err)
	return nil
}

// serveOnce runs a request that may not run twice, under the id that its caller was given before.
func (g *Gateway) serveOnce(w http.ResponseWriter, r *http.Request, call usherconfig.Call, text string) error {
	if text == "" {
		return errNeedsID.New("template %s is not idempotent: ask POST /v1/ids for a request_id first", call.Template.Name)
	}
	id, err := g.Keyring.ParseID(call.Workspace.Name, text)
	if err != nil {
		writeRefusal(w, text, usherledger.InvalidID(err))
		return nil
	}
	to := newSink(w, call, text)
	result, err := g.runOnce(r.Context(), call, id, text, to)
	if events, ok := to.(*eventSink); ok && events.begun {
		events.endResult(result, err)
		return nil
	}
	writeResult(w, text, result, err)
	return nil
}

// submit runs an identified request to its end.
func (g *Gateway) submit(ctx context.Context, call usherconfig.Call, id usherrequest.ID, text string, to sink) (answer, error) {
	g.requests.Add(1)
	defer g.requests.Done()
	if g.stopping.Load() {
		return answer{}, g.turnAway(call.Workspace.Name, usherrequest.ReasonStopping)
	}
	if err := g.admit(call.Workspace); err != nil {
		return answer{}, err
	}
	if call.Template.KeepAnswer {
		ctx = context.WithoutCancel(ctx)
		to = &keepingSink{to: to}
	}
	e := g.newExecution(call, id, text, to)
	if !g.active.add(e, g.Limits.Requests) {
		return answer{}, g.turnAway(call.Workspace.Name, usherrequest.ReasonOverloaded)
	}
	defer g.active.remove(e)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(g.life, func() { cancel(nil) })()
	e.progress.cancelBy(cancel)
	g.meters.accepted.Inc(1)
	result, err := e.run(ctx)
	g.account(e, result, err)
	return result, err
}

// account records how the request ended.
func (g *Gateway) account(e *execution, result answer, err error) {
	end := ended{Workspace: e.call.Workspace.Name, Outcome: usherrequest.Completed, Answer: result, At: time.Now()}
	var refusal usherrequest.Refusal
	switch {
	case errors.As(err, &refusal):
		end.Outcome, end.Reason = refusal.Outcome(), refusal.Reason
		g.meters.refused.Inc(1)
	case err != nil:
		end.Outcome, end.Reason = usherrequest.Unknown, "internal"
		g.meters.refused.Inc(1)
	default:
		g.meters.completed.Inc(1)
	}
	if !e.call.Template.KeepAnswer {
		end.Answer.Text, end.Answer.Result = "", nil
	}
	g.outcomes.keep(e.idText, end)
	g.Log.Info("request ended", "request", e.idText, "workspace", end.Workspace, "template", e.call.Template.Name,
		"revision", e.call.Revision, "target", e.target(), "outcome", end.Outcome.String(), "reason", end.Reason, "tokens", result.Tokens)
}

// turnAway refuses a request of which nothing was run, and names another gateway.
func (g *Gateway) turnAway(workspace string, reason usherrequest.Reason) error {
	const retryAfter = time.Second
	refusal := usherrequest.Refuse(usherrequest.Evidence{}, reason).WithRetryAfter(retryAfter)
	caller := usherlocate.Caller{Workspace: workspace, Near: []string{g.DataCentre}}
	if other, ok := g.gateways().Without(g.Name).Locate(caller); ok {
		refusal = refusal.WithOtherAddress(other.Address)
	}
	return refusal
}

// serveStatus tells how a request ended, or that it has not.
func (g *Gateway) serveStatus(w http.ResponseWriter, r *http.Request) error {
	text := r.PathValue("id")
	if e, ok := g.active.find(text); ok && e.call.Workspace.Name == callerOf(r) {
		writeJSON(w, http.StatusOK, statusWire{RequestID: text, State: "in_progress"})
		return nil
	}
	end, ok := g.outcomes.find(text)
	if !ok || end.Workspace != callerOf(r) {
		return errNotFound.New("this gateway knows no such request of the workspace")
	}
	writeJSON(w, http.StatusOK, statusWire{
		RequestID: text, State: "ended", Outcome: end.Outcome, Reason: string(end.Reason),
		Tokens: end.Answer.Tokens, Text: end.Answer.Text, Result: end.Answer.Result,
	})
	return nil
}

// serveCancel ends a request that its caller no longer wants.
func (g *Gateway) serveCancel(w http.ResponseWriter, r *http.Request) error {
	text := r.PathValue("id")
	e, ok := g.active.find(text)
	if !ok || e.call.Workspace.Name != callerOf(r) {
		return errNotFound.New("this gateway has no such request of the workspace in progress")
	}
	e.progress.stop()
	writeJSON(w, http.StatusAccepted, statusWire{RequestID: text, State: "cancelling"})
	return nil
}

// readJSON decodes the whole body: what follows the value is no part of a request.
func readJSON(body io.Reader, value any) error {
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		if errors.Is(err, io.EOF) {
			return errMalformed.Wrap(err, "the body is empty")
		}
		return errMalformed.Wrap(err, "the body is no such request")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errMalformed.New("the body goes on after the request")
	}
	return nil
}
