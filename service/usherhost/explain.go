package usherhost

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercluster"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
	"github.com/samphireusher/samphireusher/pkg/usherroute"
	"github.com/samphireusher/samphireusher/pkg/ushersuspect"
)

const (
	// ExplainPath is served at the admin address.
	ExplainPath = "/explain"
	// maxExplainedTargets bounds the targets of a service in an answer.
	maxExplainedTargets = 32
)

type (
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
		ChosenBy string              `json:"chosen_by"`
		Notes    []string            `json:"notes"`
		Target   string              `json:"target,omitempty"`
		Refusal  *explainRefusalWire `json:"refusal,omitempty"`
		// Waits reports that the request would wait for room first, behind Waiting others as far as this host knows.
		Waits      bool                   `json:"waits"`
		Waiting    int                    `json:"waiting"`
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
		// NoRoom reports that streams compete for the service and that the target has no room for this one.
		NoRoom     bool           `json:"no_room"`
		KeptTokens int            `json:"kept_tokens"`
		Load       usherpool.Load `json:"load"`
		EntryAgeMs int64          `json:"entry_age_ms"`
	}
)

// explain tells where a request would go now, and why. It sends nothing and changes nothing.
func (h *Host) explain(w http.ResponseWriter, r *http.Request) {
	table := h.state.table()
	req, refusal, err := h.decodeQuestion(table, http.MaxBytesReader(w, r.Body, maxQuestionBytes))
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
	noRoom := h.explainRoom(&answer, r, req.route.Kind == usherroute.Stream)
	for i, c := range candidates {
		if c.PassedOver != "" {
			answer.PassedOver[c.PassedOver]++
		}
		if i < maxExplainedTargets {
			candidate := explainCandidate(c)
			candidate.NoRoom = noRoom(c.Target.ID)
			answer.Candidates = append(answer.Candidates, candidate)
		}
	}
	answer.Omitted = len(candidates) - len(answer.Candidates)
	if refusal := h.explainSuspicion(req); refusal != nil {
		answer.Refusal = refusal.explain()
	} else if len(candidates) == 0 || !isChoosable(candidates[0]) {
		answer.Refusal = h.explainUnplaced(req.service.Name, answer.PassedOver)
	} else if i := slices.IndexFunc(candidates, func(c usherpool.Candidate) bool { return isChoosable(c) && !noRoom(c.Target.ID) }); i >= 0 && answer.Waiting == 0 {
		answer.Target = candidates[i].Target.ID
	} else {
		answer.Waits = true
		answer.Notes = append(answer.Notes, "the placer decides whether room is expected in time when a request asks for it")
	}
	return answer
}

// explainRoom sets how many requests wait for the service, and returns whether a target has no room for the request. Where streams do not
// compete, or half of the room is free, none is passed over for that.
func (h *Host) explainRoom(answer *explainServiceWire, r usherpool.Request, stream bool) (noRoom func(target string) bool) {
	contention, competes := h.state.contention(r.Service)
	if !stream || !competes {
		return func(string) bool { return false }
	}
	for _, waiting := range h.peers.placement.room.list() {
		if waiting.Service == r.Service {
			answer.Waiting++
		}
	}
	withRoom := h.state.withRoom(r, usherpool.Room{Contention: contention})
	beyond := len(withRoom) == 0 && h.state.isHalfFree(r.Service)
	return func(target string) bool { return !beyond && !slices.Contains(withRoom, target) }
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

func (s *sharedState) withRoom(r usherpool.Request, room usherpool.Room) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.WithRoom(time.Now(), r, room)
}

// peekAtTarget is admitToTarget for a request that is not sent.
func (s *sharedState) peekAtTarget(req *requestState) ushersuspect.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspicion.tracker.Peek(time.Now(), req.suspect(), s.servingNames)
}
