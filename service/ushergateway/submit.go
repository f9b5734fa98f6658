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

	newIDWire struct {
		IdempotencyKey string `json:"idempotency_key"`
	}

	issuedIDWire struct {
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

// serveNewID issues a request ID, under which only this gateway runs a request, and at most once.
func (g *Gateway) serveNewID(w http.ResponseWriter, r *http.Request) error {
	var wire newIDWire
	if err := readJSON(r.Body, &wire); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	id, err := g.newID(workspaceOf(r), wire.IdempotencyKey)
	if err != nil {
		return err
	}
	idText, err := g.Keyring.SignID(id)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, issuedIDWire{RequestID: idText, ValidMS: idLifetime.Milliseconds()})
	return nil
}

// serveSubmit runs a request and writes its answer.
func (g *Gateway) serveSubmit(w http.ResponseWriter, r *http.Request) error {
	var wire submitWire
	if err := readJSON(r.Body, &wire); err != nil {
		return err
	}
	resolved, err := g.Config.Resolve(workspaceOf(r), wire.Template, argumentsOf(wire.Parameters))
	if err != nil && wire.RequestID != "" {
		return g.serveUnresolved(w, workspaceOf(r), wire.RequestID, err)
	}
	if err != nil {
		return err
	}
	if resolved.Template.Idempotent {
		return g.serveIdempotent(w, r, resolved)
	}
	return g.serveNonIdempotent(w, r, resolved, wire.RequestID)
}

// serveIdempotent runs an idempotent request under a new ID of this gateway.
func (g *Gateway) serveIdempotent(w http.ResponseWriter, r *http.Request, resolved usherconfig.ResolvedRequest) error {
	id, err := g.newID(resolved.Workspace.Name, "")
	if err != nil {
		return err
	}
	idText, err := g.Keyring.SignID(id)
	if err != nil {
		return err
	}
	to := newSink(w, resolved, idText)
	answer, err := g.submit(r.Context(), resolved, id, idText, to)
	to.end(answer, err)
	return nil
}

// serveNonIdempotent runs a request that must not run twice, under an ID that the caller obtained from POST /v1/ids.
func (g *Gateway) serveNonIdempotent(w http.ResponseWriter, r *http.Request, resolved usherconfig.ResolvedRequest, idText string) error {
	if idText == "" {
		return errIDRequired.New("template %s is not idempotent and needs a request_id from POST /v1/ids", resolved.Template.Name)
	}
	id, err := g.Keyring.ParseID(resolved.Workspace.Name, idText)
	if err != nil {
		writeRefusal(w, idText, usherledger.InvalidID(err))
		return nil
	}
	to := newSink(w, resolved, idText)
	result, err := g.runAtMostOnce(r.Context(), resolved, id, idText, to)
	if events, ok := to.(*eventSink); ok && events.headerSent {
		events.endResult(result, err)
		return nil
	}
	writeResult(w, idText, result, err)
	return nil
}

// submit runs a request that has an ID until it ends.
func (g *Gateway) submit(ctx context.Context, resolved usherconfig.ResolvedRequest, id usherrequest.ID, idText string, to sink) (answer, error) {
	if !g.requests.begin() {
		return answer{}, g.refuseNotRun(resolved.Workspace.Name, usherrequest.ReasonStopping)
	}
	defer g.requests.end()
	if g.stopping.Load() {
		return answer{}, g.refuseNotRun(resolved.Workspace.Name, usherrequest.ReasonStopping)
	}
	if err := g.checkRate(resolved.Workspace); err != nil {
		return answer{}, err
	}
	if resolved.Template.KeepAnswer {
		ctx = context.WithoutCancel(ctx)
		to = &teeSink{next: to}
	}
	e := g.newExecution(resolved, id, idText, to)
	if !g.active.add(e, g.Limits.Requests) {
		return answer{}, g.refuseNotRun(resolved.Workspace.Name, usherrequest.ReasonOverloaded)
	}
	defer g.active.remove(e)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(g.background, func() { cancel(nil) })()
	e.progress.setCancel(cancel)
	g.meters.accepted.Inc(1)
	result, err := e.run(ctx)
	g.recordEnd(e, result, err)
	return result, err
}

// recordEnd stores the outcome for status queries, updates the metrics and logs the end of the request.
func (g *Gateway) recordEnd(e *execution, result answer, err error) {
	end := endedRequest{Workspace: e.resolved.Workspace.Name, Outcome: usherrequest.Completed, Answer: result, At: time.Now()}
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
	if !e.resolved.Template.KeepAnswer {
		end.Answer.Text, end.Answer.Result = "", nil
	}
	g.outcomes.add(e.idText, end)
	g.Log.Info("request ended", "request", e.idText, "workspace", end.Workspace, "template", e.resolved.Template.Name,
		"revision", e.resolved.Revision, "target", e.lastTarget(), "outcome", end.Outcome.String(), "reason", end.Reason, "tokens", result.Tokens)
}

// refuseNotRun returns a refusal with the outcome not_run and, if there is one, the address of another gateway.
func (g *Gateway) refuseNotRun(workspace string, reason usherrequest.Reason) error {
	const retryAfter = time.Second
	refusal := usherrequest.Refuse(usherrequest.Evidence{}, reason).WithRetryAfter(retryAfter)
	caller := usherlocate.Caller{Workspace: workspace, Near: []string{g.DataCentre}}
	if other, ok := g.gatewayView().Without(g.Name).Locate(caller); ok {
		refusal = refusal.WithOtherAddress(other.Address)
	}
	return refusal
}

// serveStatus returns the outcome of a request, or that it is in progress.
func (g *Gateway) serveStatus(w http.ResponseWriter, r *http.Request) error {
	idText := r.PathValue("id")
	if e, ok := g.active.find(idText); ok && e.resolved.Workspace.Name == workspaceOf(r) {
		writeJSON(w, http.StatusOK, statusWire{RequestID: idText, State: "in_progress"})
		return nil
	}
	end, ok := g.outcomes.find(idText)
	if !ok || end.Workspace != workspaceOf(r) {
		return errNotFound.New("request unknown to this gateway in this workspace")
	}
	writeJSON(w, http.StatusOK, statusWire{
		RequestID: idText, State: "ended", Outcome: end.Outcome, Reason: string(end.Reason),
		Tokens: end.Answer.Tokens, Text: end.Answer.Text, Result: end.Answer.Result,
	})
	return nil
}

func (g *Gateway) serveCancel(w http.ResponseWriter, r *http.Request) error {
	idText := r.PathValue("id")
	e, ok := g.active.find(idText)
	if !ok || e.resolved.Workspace.Name != workspaceOf(r) {
		return errNotFound.New("request not in progress at this gateway in this workspace")
	}
	e.progress.cancelExecution()
	writeJSON(w, http.StatusAccepted, statusWire{RequestID: idText, State: "cancelling"})
	return nil
}

// readJSON decodes the body into value and rejects unknown fields and data after the value.
func readJSON(body io.Reader, value any) error {
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		if errors.Is(err, io.EOF) {
			return errMalformed.Wrap(err, "empty request body")
		}
		return errMalformed.Wrap(err, "invalid request body")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errMalformed.New("request body has data after the JSON value")
	}
	return nil
}
