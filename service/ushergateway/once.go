package ushergateway

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/pkg/usherledger"
	"github.com/samphireusher/samphireusher/pkg/usherlink"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
)

const (
	kindForward = "request.forward"
	// forwardReplyGrace is how long a planned stop waits for the answers to forwarded requests to reach other gateways.
	forwardReplyGrace = time.Second
)

type (
	// atMostOnce guards the ledger of requests that are not idempotent, and notifies the goroutines that wait for the
	// end of a run in progress.
	atMostOnce struct {
		mu      sync.Mutex
		ledger  *usherledger.Ledger
		waiters map[string]chan struct{}
	}

	// forwardWire asks the gateway that issued a request ID to run the request, or to return its result if it has run.
	forwardWire struct {
		RequestID  string            `cbor:"1,keyasint"`
		Workspace  string            `cbor:"2,keyasint"`
		Template   string            `cbor:"3,keyasint"`
		Parameters map[string]string `cbor:"4,keyasint"`
		Revision   uint64            `cbor:"5,keyasint"`
	}

	forwardReplyWire struct {
		Answer      []byte `cbor:"1,keyasint,omitempty"`
		Completed   bool   `cbor:"2,keyasint,omitempty"`
		Outcome     string `cbor:"3,keyasint,omitempty"`
		Reason      string `cbor:"4,keyasint,omitempty"`
		RetryMillis int64  `cbor:"5,keyasint,omitempty"`
	}
)

func (o *atMostOnce) begin(id usherrequest.ID, content usherledger.Digest) (usherledger.Decision, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.Begin(time.Now(), id, content)
}

// finish records the result and notifies the goroutines that wait for it.
func (o *atMostOnce) finish(id usherrequest.ID, result usherledger.Result) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if done, ok := o.waiters[runKey(id)]; ok {
		close(done)
		delete(o.waiters, runKey(id))
	}
	return o.ledger.Finish(time.Now(), id, result)
}

// wait blocks until the run in progress has ended and returns its result.
func (o *atMostOnce) wait(ctx context.Context, id usherrequest.ID) (usherledger.Result, error) {
	for {
		decision, done, err := o.lookup(id)
		if err != nil || decision.Action == usherledger.ReturnResult {
			return decision.Result, err
		}
		select {
		case <-done:
		case <-ctx.Done():
			return usherledger.Result{}, ctx.Err()
		}
	}
}

func (o *atMostOnce) lookup(id usherrequest.ID) (usherledger.Decision, chan struct{}, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	decision, err := o.ledger.Lookup(time.Now(), id)
	if err != nil || decision.Action == usherledger.ReturnResult {
		return decision, nil, err
	}
	if o.waiters == nil {
		o.waiters = map[string]chan struct{}{}
	}
	done, ok := o.waiters[runKey(id)]
	if !ok {
		done = make(chan struct{})
		o.waiters[runKey(id)] = done
	}
	return decision, done, nil
}

// peek returns the ledger's decision on id without starting the run or waiting for it.
func (o *atMostOnce) peek(id usherrequest.ID) (usherledger.Decision, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.Lookup(time.Now(), id)
}

func (o *atMostOnce) stop() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ledger.Stop()
}

func (o *atMostOnce) len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.Len()
}

// runKey returns the key of the run that id identifies. IDs with the same idempotency key have the same run.
func runKey(id usherrequest.ID) string {
	if id.Key != "" {
		return "key " + id.Workspace + "\x00" + id.Key
	}
	return "id " + usherrequest.AttemptID{Gateway: id.Gateway, Incarnation: id.Incarnation, Counter: id.Counter}.String()
}

// runAtMostOnce runs a request that is not idempotent, or returns its result if it has run before. The sink receives
// tokens only if this call starts the run on this gateway.
func (g *Gateway) runAtMostOnce(ctx context.Context, resolved usherconfig.ResolvedRequest, id usherrequest.ID, idText string, to sink) (usherledger.Result, error) {
	decision, err := g.atMostOnce.begin(id, contentDigest(resolved))
	if err != nil {
		return usherledger.Result{}, err
	}
	switch decision.Action {
	case usherledger.Run:
		return g.runLocally(ctx, resolved, id, idText, to)
	case usherledger.ReturnResult:
		return decision.Result, nil
	case usherledger.Wait:
		return g.atMostOnce.wait(ctx, id)
	default:
		return g.forward(ctx, resolved, idText, decision.Gateway)
	}
}

// serveUnresolved answers a request with an ID that does not resolve in the current configuration. The request may have
// run before its template or workspace was changed. Cause implies not_run, so it is returned only if the ledger does
// not contain the ID.
func (g *Gateway) serveUnresolved(w http.ResponseWriter, workspace, idText string, cause error) error {
	id, err := g.Keyring.ParseID(workspace, idText)
	if err != nil {
		writeRefusal(w, idText, usherledger.InvalidID(err))
		return nil
	}
	decision, err := g.atMostOnce.peek(id)
	switch {
	case err != nil:
		writeRefusal(w, idText, err)
	case decision.Action == usherledger.NotStarted:
		return cause
	default: // the stored outcome may belong to a request with other content, which cannot be compared with this one
		writeRefusal(w, idText, usherrequest.ReceivedRefusal(usherrequest.Unknown, usherrequest.ReasonConflict))
	}
	return nil
}

// runLocally runs the request to its end even if the caller disconnects, because the ledger must record the outcome.
func (g *Gateway) runLocally(ctx context.Context, resolved usherconfig.ResolvedRequest, id usherrequest.ID, idText string, to sink) (usherledger.Result, error) {
	resolved.Template.KeepAnswer = true
	answer, failure := g.submit(ctx, resolved, id, idText, to)
	result := usherledger.Result{}
	var refusal usherrequest.Refusal
	switch {
	case errors.As(failure, &refusal):
		result = usherledger.Refused(refusal)
	case failure == nil:
		data, err := json.Marshal(answer.wire(idText))
		if err != nil {
			return result, err
		}
		result = usherledger.Completed(data)
	}
	return result, g.atMostOnce.finish(id, result)
}

// forward sends the request to the gateway that issued its ID. This gateway never runs it, whatever error occurs.
func (g *Gateway) forward(ctx context.Context, resolved usherconfig.ResolvedRequest, idText, gateway string) (usherledger.Result, error) {
	host, ok := g.gatewayByName(gateway)
	if !ok {
		return usherledger.Result{}, usherledger.GatewayUnreachable()
	}
	message := forwardWire{
		RequestID: idText, Workspace: resolved.Workspace.Name, Template: resolved.Template.Name,
		Parameters: parametersOf(resolved), Revision: resolved.Revision,
	}
	timeout := resolved.Template.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var wire forwardReplyWire
	if err := g.Link.Call(ctx, host.Address.String(), kindForward, message, &wire); err != nil {
		g.Log.Warn("failed to forward request to the gateway that issued its ID; its outcome is unknown", "request", idText, "gateway", gateway, "error", err)
		return usherledger.Result{}, usherledger.GatewayUnreachable()
	}
	return wire.result()
}

// serveForward runs a request that another gateway received with an ID issued by this one.
func (g *Gateway) serveForward(ctx context.Context, from usherlink.Peer, body usherlink.Payload) (any, error) {
	var wire forwardWire
	if err := body.Decode(&wire); err != nil {
		return nil, err
	}
	if g.requests.begin() {
		defer g.requests.end()
	}
	// Otherwise nothing new runs any more, but the ledger still knows what an earlier send with the same ID came to.
	if err := g.Config.WaitForRevision(ctx, wire.Revision, from.Address.String()); err != nil {
		return nil, err
	}
	resolved, err := g.Config.Resolve(wire.Workspace, wire.Template, argumentsOf(wire.Parameters))
	if err != nil {
		return nil, err
	}
	id, err := g.Keyring.ParseID(wire.Workspace, wire.RequestID)
	if err != nil {
		return forwardReplyOf(usherledger.Result{}, usherledger.InvalidID(err)), nil
	}
	if id.Gateway != g.Name {
		return forwardReplyOf(usherledger.Result{}, usherledger.GatewayUnreachable()), nil
	}
	result, err := g.runAtMostOnce(ctx, resolved, id, wire.RequestID, &collector{})
	return forwardReplyOf(result, err), nil
}

func (w forwardReplyWire) result() (usherledger.Result, error) {
	if w.Completed {
		return usherledger.Completed(w.Answer), nil
	}
	var outcome usherrequest.Outcome
	if err := outcome.UnmarshalText([]byte(w.Outcome)); err != nil {
		return usherledger.Result{}, usherledger.GatewayUnreachable()
	}
	refusal := usherrequest.ReceivedRefusal(outcome, usherrequest.Reason(w.Reason))
	return usherledger.Refused(refusal.WithRetryAfter(time.Duration(w.RetryMillis) * time.Millisecond)), nil
}

func forwardReplyOf(result usherledger.Result, err error) forwardReplyWire {
	if err == nil && result.Outcome() == usherrequest.Completed {
		return forwardReplyWire{Completed: true, Answer: result.Answer}
	}
	refusal := result.Refusal
	if err != nil && !errors.As(err, &refusal) {
		refusal = usherledger.GatewayUnreachable()
	}
	return forwardReplyWire{
		Outcome: refusal.Outcome().String(), Reason: string(refusal.Reason), RetryMillis: refusal.RetryAfter.Milliseconds(),
	}
}

// writeResult writes the result of a request whose answer was not streamed by this gateway.
func writeResult(w http.ResponseWriter, requestID string, result usherledger.Result, err error) {
	switch {
	case err != nil:
		writeRefusal(w, requestID, err)
	case result.Outcome() != usherrequest.Completed:
		writeRefusal(w, requestID, result.Refusal)
	case result.AnswerDropped || len(result.Answer) == 0:
		writeJSON(w, http.StatusOK, endWire{RequestID: requestID, Outcome: usherrequest.Completed})
	default:
		writeJSON(w, http.StatusOK, json.RawMessage(result.Answer))
	}
}

func contentDigest(resolved usherconfig.ResolvedRequest) usherledger.Digest {
	hash := sha256.New()
	for _, part := range append([]string{resolved.Workspace.Name, resolved.Template.Name}, flattenArguments(resolved.Arguments)...) {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	return usherledger.Digest(hash.Sum(nil))
}

func flattenArguments(arguments []usherconfig.Argument) []string {
	parts := []string{}
	for _, a := range arguments {
		parts = append(parts, a.Name, a.Value)
	}
	return parts
}

func parametersOf(resolved usherconfig.ResolvedRequest) map[string]string {
	parameters := map[string]string{}
	for _, a := range resolved.Arguments {
		parameters[a.Name] = a.Value
	}
	return parameters
}

func argumentsOf(parameters map[string]string) []usherconfig.Argument {
	arguments := []usherconfig.Argument{}
	for name, value := range parameters {
		arguments = append(arguments, usherconfig.Argument{Name: name, Value: value})
	}
	return arguments
}
