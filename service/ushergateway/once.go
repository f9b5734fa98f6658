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
	// answerTime is how long the answer to another gateway may be under way at a planned stop.
	answerTime = time.Second
)

type (
	// once runs requests that are not idempotent at most once. It guards the ledger, and wakes those that wait for a
	// run in progress.
	once struct {
		mu      sync.Mutex
		ledger  *usherledger.Ledger
		waiters map[string]chan struct{}
	}

	// forwardWire asks the gateway that minted an id to run the request, or to tell how it ended.
	forwardWire struct {
		RequestID  string            `cbor:"1,keyasint"`
		Workspace  string            `cbor:"2,keyasint"`
		Template   string            `cbor:"3,keyasint"`
		Parameters map[string]string `cbor:"4,keyasint"`
		Revision   uint64            `cbor:"5,keyasint"`
	}

	forwardedWire struct {
		Answer      []byte `cbor:"1,keyasint,omitempty"`
		Completed   bool   `cbor:"2,keyasint,omitempty"`
		Outcome     string `cbor:"3,keyasint,omitempty"`
		Reason      string `cbor:"4,keyasint,omitempty"`
		RetryMillis int64  `cbor:"5,keyasint,omitempty"`
	}
)

func (o *once) begin(id usherrequest.ID, content usherledger.Digest) (usherledger.Decision, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.Begin(time.Now(), id, content)
}

// finish records the result and wakes those that wait for it.
func (o *once) finish(id usherrequest.ID, result usherledger.Result) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if done, ok := o.waiters[waitKey(id)]; ok {
		close(done)
		delete(o.waiters, waitKey(id))
	}
	return o.ledger.Finish(time.Now(), id, result)
}

// wait returns the result of a run in progress once it has ended.
func (o *once) wait(ctx context.Context, id usherrequest.ID) (usherledger.Result, error) {
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

func (o *once) lookup(id usherrequest.ID) (usherledger.Decision, chan struct{}, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	decision, err := o.ledger.Lookup(time.Now(), id)
	if err != nil || decision.Action == usherledger.ReturnResult {
		return decision, nil, err
	}
	if o.waiters == nil {
		o.waiters = map[string]chan struct{}{}
	}
	done, ok := o.waiters[waitKey(id)]
	if !ok {
		done = make(chan struct{})
		o.waiters[waitKey(id)] = done
	}
	return decision, done, nil
}

// known tells what the ledger knows of id, without starting or awaiting it.
func (o *once) known(id usherrequest.ID) (usherledger.Decision, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.Lookup(time.Now(), id)
}

func (o *once) stop() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ledger.Stop()
}

func (o *once) len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.Len()
}

// waitKey names the run that id stands for: ids of one idempotency key share it.
func waitKey(id usherrequest.ID) string {
	if id.Key != "" {
		return "key " + id.Workspace + "\x00" + id.Key
	}
	return "id " + usherrequest.AttemptID{Gateway: id.Gateway, Incarnation: id.Incarnation, Counter: id.Counter}.String()
}

// runOnce runs an identified request that is not idempotent, or tells how it ended when it ran before. To is the sink
// of the caller, which sees tokens only if the run begins here and now.
func (g *Gateway) runOnce(ctx context.Context, call usherconfig.Call, id usherrequest.ID, text string, to sink) (usherledger.Result, error) {
	decision, err := g.once.begin(id, contentOf(call))
	if err != nil {
		return usherledger.Result{}, err
	}
	switch decision.Action {
	case usherledger.Run:
		return g.runHere(ctx, call, id, text, to)
	case usherledger.ReturnResult:
		return decision.Result, nil
	case usherledger.Wait:
		return g.once.wait(ctx, id)
	default:
		return g.forward(ctx, call, text, decision.Gateway)
	}
}

// serveUnresolved answers a request with an id that does not resolve. It may have run before its template or the settings of
// its workspace changed, so cause, which says that it has not, is given only for an id that the ledger has not seen.
func (g *Gateway) serveUnresolved(w http.ResponseWriter, workspace, text string, cause error) error {
	id, err := g.Keyring.ParseID(workspace, text)
	if err != nil {
		writeRefusal(w, text, usherledger.InvalidID(err))
		return nil
	}
	decision, err := g.once.known(id)
	switch {
	case err != nil:
		writeRefusal(w, text, err)
	case decision.Action == usherledger.NotStarted:
		return cause
	default: // a kept outcome may be that of another content, which can't be compared with this one
		writeRefusal(w, text, usherrequest.ReceivedRefusal(usherrequest.Unknown, usherrequest.ReasonConflict))
	}
	return nil
}

// runHere runs the request although its caller may go away: the ledger needs the outcome.
func (g *Gateway) runHere(ctx context.Context, call usherconfig.Call, id usherrequest.ID, text string, to sink) (usherledger.Result, error) {
	call.Template.KeepAnswer = true
	answer, failure := g.submit(ctx, call, id, text, to)
	result := usherledger.Result{}
	var refusal usherrequest.Refusal
	switch {
	case errors.As(failure, &refusal):
		result = usherledger.Refused(refusal)
	case failure == nil:
		data, err := json.Marshal(answer.wire(text))
		if err != nil {
			return result, err
		}
		result = usherledger.Completed(data)
	}
	return result, g.once.finish(id, result)
}

// forward hands the request to the gateway that minted its id. Whatever goes wrong, this gateway does not run it.
func (g *Gateway) forward(ctx context.Context, call usherconfig.Call, text, gateway string) (usherledger.Result, error) {
	host, ok := g.gatewayNamed(gateway)
	if !ok {
		return usherledger.Result{}, usherledger.GatewayUnreachable()
	}
	message := forwardWire{
		RequestID: text, Workspace: call.Workspace.Name, Template: call.Template.Name,
		Parameters: parametersOf(call), Revision: call.Revision,
	}
	timeout := call.Template.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var wire forwardedWire
	if err := g.Link.Call(ctx, host.Address.String(), kindForward, message, &wire); err != nil {
		g.Log.Warn("request not forwarded", "request", text, "gateway", gateway, "error", err)
		return usherledger.Result{}, usherledger.GatewayUnreachable()
	}
	return wire.result()
}

// serveForward runs what another gateway was asked for under an id of this one.
func (g *Gateway) serveForward(ctx context.Context, from usherlink.Peer, body usherlink.Payload) (any, error) {
	g.requests.Add(1)
	defer g.requests.Done()
	var wire forwardWire
	if err := body.Decode(&wire); err != nil {
		return nil, err
	}
	if err := g.Config.WaitForRevision(ctx, wire.Revision, from.Address.String()); err != nil {
		return nil, err
	}
	call, err := g.Config.Resolve(wire.Workspace, wire.Template, argumentsOf(wire.Parameters))
	if err != nil {
		return nil, err
	}
	id, err := g.Keyring.ParseID(wire.Workspace, wire.RequestID)
	if err != nil {
		return forwardedOf(usherledger.Result{}, usherledger.InvalidID(err)), nil
	}
	if id.Gateway != g.Name {
		return forwardedOf(usherledger.Result{}, usherledger.GatewayUnreachable()), nil
	}
	result, err := g.runOnce(ctx, call, id, wire.RequestID, &collector{})
	return forwardedOf(result, err), nil
}

func (w forwardedWire) result() (usherledger.Result, error) {
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

func forwardedOf(result usherledger.Result, err error) forwardedWire {
	if err == nil && result.Outcome() == usherrequest.Completed {
		return forwardedWire{Completed: true, Answer: result.Answer}
	}
	refusal := result.Refusal
	if err != nil && !errors.As(err, &refusal) {
		refusal = usherledger.GatewayUnreachable()
	}
	return forwardedWire{
		Outcome: refusal.Outcome().String(), Reason: string(refusal.Reason), RetryMillis: refusal.RetryAfter.Milliseconds(),
	}
}

// writeResult answers a caller whose request did not stream here.
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

func contentOf(call usherconfig.Call) usherledger.Digest {
	hash := sha256.New()
	for _, part := range append([]string{call.Workspace.Name, call.Template.Name}, flatten(call.Arguments)...) {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	return usherledger.Digest(hash.Sum(nil))
}

func flatten(arguments []usherconfig.Argument) []string {
	parts := []string{}
	for _, a := range arguments {
		parts = append(parts, a.Name, a.Value)
	}
	return parts
}

func parametersOf(call usherconfig.Call) map[string]string {
	parameters := map[string]string{}
	for _, a := range call.Arguments {
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
