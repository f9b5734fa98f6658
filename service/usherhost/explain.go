package usherhost

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercall"
	"github.com/samphireusher/samphireusher/pkg/ushercluster"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
	"github.com/samphireusher/samphireusher/pkg/usherroute"
	"github.com/samphireusher/samphireusher/pkg/ushersuspect"
)

const (
	// ExplainPath is served at the admin address.
	ExplainPath = "/explain"
	// maxExplainBytes bounds a question, maxExplainedTargets the targets of a service in the answer, and maxExplainedParts
	// the parts of a prompt.
	maxExplainBytes     = 64 << 10
	maxExplainedTargets = 32
	maxExplainedParts   = 16
)

// errQuestion is the type of errors for questions that cannot be understood.
var errQuestion = errNamespace.NewType("question")

type (
	// explainRequestWire describes a request: by its head, or by its fields.
	explainRequestWire struct {
		// Head is the request line and the headers as a caller would send them. With it no other field is read.
		Head         string            `json:"head,omitempty"`
		Method       string            `json:"method,omitempty"`
		Host         string            `json:"host,omitempty"`
		Path         string            `json:"path,omitempty"`
		Key          string            `json:"key,omitempty"`
		Model        string            `json:"model,omitempty"`
		PromptTokens int               `json:"prompt_tokens,omitempty"`
		OutputTokens int               `json:"output_tokens,omitempty"`
		Parts        []explainPartWire `json:"parts,omitempty"`
	}

	explainPartWire struct {
		ID     string `json:"id"`
		Tokens int    `json:"tokens"`
	}

	explainWire struct {
		Process   string               `json:"process"`
		Version   int64                `json:"version"`
		Route     string               `json:"route,omitempty"`
		Workspace string               `json:"workspace,omitempty"`
		Rank      int                  `json:"rank"`
		Refusal   *explainRefusalWire  `json:"refusal,omitempty"`
		Services  []explainServiceWire `json:"services"`
	}

	// explainRefusalWire is the refusal that the request would get. Callers are told different times, from RetryAfterMs to
	// RetryAfterMaxMs; both are missing if they are told none.
	explainRefusalWire struct {
		Reason          string `json:"reason"`
		Status          int    `json:"status"`
		RetryAfterMs    *int64 `json:"retry_after_ms,omitempty"`
		RetryAfterMaxMs *int64 `json:"retry_after_max_ms,omitempty"`
		Cause           string `json:"cause,omitempty"`
	}

	explainServiceWire struct {
		Service string `json:"service"`
		// Share is the service's part of the requests of the route.
		Share float64 `json:"share"`
		// ChosenBy is the host that chooses the target. Notes say what this host cannot know of that.
		ChosenBy   string                 `json:"chosen_by"`
		Notes      []string               `json:"notes"`
		Target     string                 `json:"target,omitempty"`
		Refusal    *explainRefusalWire    `json:"refusal,omitempty"`
		Candidates []explainCandidateWire `json:"candidates"`
		// PassedOver counts the targets by the reason why they cannot be chosen, Omitted those that are not in Candidates.
		PassedOver map[usherpool.PassedOver]int `json:"passed_over"`
		Omitted    int                          `json:"omitted"`
	}

	explainCandidateWire struct {
		Target     string               `json:"target"`
		DataCentre string               `json:"data_centre"`
		PassedOver usherpool.PassedOver `json:"passed_over,omitempty"`
		BackInMs   int64                `json:"back_in_ms,omitempty"`
		// DelayMs is what targets are compared by, CostsMs are its parts.
		DelayMs    float64            `json:"delay_ms"`
		CostsMs    map[string]float64 `json:"costs_ms"`
		ExpectedMs int64              `json:"expected_ms"`
		Late       bool               `json:"late"`
		KeptTokens int                `json:"kept_tokens"`
		Load       usherpool.Load     `json:"load"`
		EntryAgeMs int64              `json:"entry_age_ms"`
	}
)

// explain tells where a request would go now, and why. It sends nothing and changes nothing.
func (h *Host) explain(w http.ResponseWriter, r *http.Request) {
	table := h.state.table()
	req, refusal, err := h.decodeQuestion(table, http.MaxBytesReader(w, r.Body, maxExplainBytes))
	if err != nil {
		http.Error(w, errorText(err), http.StatusBadRequest)
		return
	}
	data, err := json.MarshalIndent(h.explainRequest(table, req, refusal), "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(append(data, '\n')); err != nil {
		h.log.Debug("failed to send explanation", "error", errorText(err))
	}
}

// decodeQuestion returns the request in question, resolved as far as it is not refused.
func (h *Host) decodeQuestion(table *usherroute.Table, body io.Reader) (*requestState, *refusal, error) {
	var question explainRequestWire
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&question); err != nil {
		return nil, nil, errQuestion.Wrap(err, "not a question about a request")
	}
	req := &requestState{received: time.Now()}
	if table == nil {
		return req, refuse(reasonNoConfiguration, retryAfterStarting, nil), nil
	}
	req.version = table.Version()
	var refusal *refusal
	var err error
	if question.Head == "" {
		req.Call, err = question.call()
	} else {
		req.Call, refusal, err = h.decodeHead(question.Head, table.Limits())
	}
	if err == nil && refusal == nil {
		refusal = req.resolve(table)
	}
	return req, refusal, err
}

func (h *Host) decodeHead(head string, limits usherroute.Limits) (ushercall.Call, *refusal, error) {
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(strings.TrimRight(head, "\r\n") + "\r\n\r\n")))
	if err != nil {
		return ushercall.Call{}, nil, errQuestion.Wrap(err, "not the head of a request")
	}
	call, err := h.codec.DecodeCall(r)
	if err != nil {
		return call, refuse(reasonMalformed, noRetryAfter, err), nil
	}
	if limits.HeaderBytes > 0 && headerBytes(r) > limits.HeaderBytes {
		return call, refuse(reasonHeaderTooLarge, noRetryAfter, nil), nil
	}
	return call, nil, nil
}

// call returns the call that the fields describe.
func (q explainRequestWire) call() (ushercall.Call, error) {
	path, _, _ := strings.Cut(q.Path, "?")
	call := ushercall.Call{Method: q.Method, Host: q.Host, URI: q.Path, Path: path, APIKey: q.Key, Model: q.Model, PromptTokens: q.PromptTokens, MaxOutputTokens: q.OutputTokens}
	if call.Method == "" {
		call.Method = http.MethodPost
	}
	switch {
	case q.Host == "" || !strings.HasPrefix(q.Path, "/"):
		return call, errQuestion.New("a host and a path that begins with a slash are needed")
	case q.PromptTokens < 0 || q.OutputTokens < 0:
		return call, errQuestion.New("numbers of tokens must not be negative")
	case len(q.Parts) > maxExplainedParts:
		return call, errQuestion.New("%d parts of a prompt, at most %d are allowed", len(q.Parts), maxExplainedParts)
	}
	for _, p := range q.Parts {
		if p.ID == "" || p.Tokens <= 0 {
			return call, errQuestion.New("part %q with %d tokens: an id and a number above zero are needed", p.ID, p.Tokens)
		}
		call.SharedParts, call.SharedTokens = append(call.SharedParts, p.ID), append(call.SharedTokens, p.Tokens)
	}
	return call, nil
}

func (h *Host) explainRequest(table *usherroute.Table, req *requestState, refusal *refusal) explainWire {
	answer := explainWire{
		Process: h.state.self().Name, Version: req.version, Route: req.route.Name, Workspace: req.workspace.Name, Rank: req.rank(), Services: []explainServiceWire{},
	}
	if refusal == nil && req.route.Kind == usherroute.Stream && !h.mayFinish(req.timeout()) {
		refusal = refuse(reasonStopping, 0, nil)
	}
	if refusal != nil {
		answer.Refusal = refusal.explain()
		return answer
	}
	total := 0.0
	for _, share := range req.route.Shares {
		total += share.Weight
	}
	for _, share := range req.route.Shares {
		req.service, _ = table.Service(share.Service)
		req.service.Name, req.fingerprints = share.Service, ushersuspect.Request{}
		answer.Services = append(answer.Services, h.explainService(req, share.Weight/total))
	}
	return answer
}

// explainService explains a request that goes to one of the services of its route.
func (h *Host) explainService(req *requestState, share float64) explainServiceWire {
	answer := explainServiceWire{
		Service: req.service.Name, Share: share, ChosenBy: h.state.self().Name, Notes: []string{}, Candidates: []explainCandidateWire{},
		PassedOver: map[usherpool.PassedOver]int{},
	}
	r, placed := usherpool.Request{Service: req.service.Name}, false
	if req.route.Kind == usherroute.Stream {
		r = (&generation{host: h, req: req}).placementRequest(nil)
		placer, own := h.peers.placement.selectPlacer()
		if placed = placer.Name != ""; placed {
			answer.ChosenBy = placer.Name
		}
		answer.Notes = append(answer.Notes, placerNotes(placer, own)...)
	}
	candidates := h.state.explain(r, placed)
	if placed && !slices.ContainsFunc(candidates, isChoosable) {
		// Hosts choose by themselves where the placer finds no target.
		candidates = h.state.explain(r, false)
	}
	if !placed && len(candidates) > 0 {
		answer.Notes = append(answer.Notes, "the host compares some of the targets only, selected at random")
	}
	for i, c := range candidates {
		if c.PassedOver != "" {
			answer.PassedOver[c.PassedOver]++
		}
		if i < maxExplainedTargets {
			answer.Candidates = append(answer.Candidates, explainCandidate(c))
		}
	}
	answer.Omitted = len(candidates) - len(answer.Candidates)
	if refusal := h.explainSuspicion(req); refusal != nil {
		answer.Refusal = refusal.explain()
	} else if len(candidates) > 0 && isChoosable(candidates[0]) {
		answer.Target = candidates[0].Target.ID
	} else {
		answer.Refusal = h.explainUnplaced(req.service.Name, answer.PassedOver)
	}
	return answer
}

func isChoosable(c usherpool.Candidate) bool { return c.PassedOver == "" }

// placerNotes returns what this host cannot know of the choices for streams.
func placerNotes(placer ushercluster.Member, own bool) []string {
	switch {
	case own:
		return nil
	case placer.Name == "":
		return []string{"no placer answers: each host chooses by itself, without knowledge of what others chose in the last half second"}
	default:
		return []string{fmt.Sprintf("%s chooses; this host does not know what it has chosen for others in the last half second, and what targets keep of their prompts", placer.Name)}
	}
}

// explainSuspicion returns the refusal of a request that has parts of its prompt in common with requests that crashed targets. The
// content of requests is not known here.
func (h *Host) explainSuspicion(req *requestState) *refusal {
	decision := h.state.peekAtTarget(req)
	if decision.Verdict != ushersuspect.Refused {
		return nil
	}
	return refuse(reasonSuspect, decision.RetryAfter, errSuspect.New("%d targets crashed under requests that share %s with this one", decision.Crashes, req.describeTraits(decision.Cause)))
}

// explainUnplaced returns the refusal of a request for which no target can be chosen.
func (h *Host) explainUnplaced(service string, passedOver map[usherpool.PassedOver]int) *explainRefusalWire {
	reason, wait := reasonNoTarget, retryAfterNoTarget
	switch {
	case passedOver[usherpool.PassedOverLimited] > 0:
		reason, wait = reasonLimited, retryAfterShort
	case passedOver[usherpool.PassedOverCold] > 0:
		wait = retryAfterShort
	}
	answer := refuse(reason, wait, nil).explain()
	if wait, most, rests := h.state.backWithin(service); rests {
		earliest, latest := wait.Milliseconds(), most.Milliseconds()
		answer.RetryAfterMs, answer.RetryAfterMaxMs = &earliest, &latest
	}
	return answer
}

func (r *refusal) explain() *explainRefusalWire {
	answer := &explainRefusalWire{Reason: string(r.reason), Status: r.status()}
	if r.retryAfter >= 0 {
		ms := r.retryAfter.Milliseconds()
		answer.RetryAfterMs, answer.RetryAfterMaxMs = &ms, &ms
	}
	if r.cause != nil {
		answer.Cause = errorText(r.cause)
	}
	return answer
}

func explainCandidate(c usherpool.Candidate) explainCandidateWire {
	answer := explainCandidateWire{
		Target: c.Target.ID, DataCentre: c.Target.DataCentre, PassedOver: c.PassedOver, BackInMs: c.BackIn.Milliseconds(), DelayMs: toMs(c.Delay), CostsMs: map[string]float64{},
		ExpectedMs: c.PrefillTime.Milliseconds(), Late: c.Late, KeptTokens: c.Kept.Tokens, Load: c.Load, EntryAgeMs: c.EntryAge.Milliseconds(),
	}
	for _, cost := range c.Costs {
		answer.CostsMs[cost.Name] = toMs(cost.Delay)
	}
	return answer
}

// toMs returns d in milliseconds, rounded to a tenth.
func toMs(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond)) / float64(time.Millisecond)
}

func (s *sharedState) explain(r usherpool.Request, placed bool) []usherpool.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Explain(time.Now(), r, placed)
}

// peekAtTarget is admitToTarget for a request that is not sent.
func (s *sharedState) peekAtTarget(req *requestState) ushersuspect.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspicion.tracker.Peek(time.Now(), req.suspect(), s.servingNames)
}
