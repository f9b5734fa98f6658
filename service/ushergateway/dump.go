package ushergateway

import (
	"context"
	"slices"
	"strings"
	"time"
)

type (
	dumpWire struct {
		Stopping   bool            `json:"stopping"`
		InProgress int             `json:"in_progress"`
		Ledger     int             `json:"ledger_entries"`
		Requests   []requestDump   `json:"requests"`
		Schedulers []schedulerDump `json:"schedulers"`
	}

	requestDump struct {
		RequestID       string `json:"request_id"`
		Workspace       string `json:"workspace"`
		Template        string `json:"template"`
		Revision        uint64 `json:"revision"`
		Target          string `json:"target,omitempty"`
		GeneratedTokens int    `json:"made_tokens"`
	}

	schedulerDump struct {
		Name     string `json:"name"`
		AgeMS    int64  `json:"age_ms"`
		Revision uint64 `json:"revision"`
		Stopping bool   `json:"stopping"`
		Held     int    `json:"held"`
	}
)

// Dump returns the gateway's state for the dump endpoint.
func (g *Gateway) Dump(context.Context) any {
	dump := dumpWire{
		Stopping: g.stopping.Load(), InProgress: g.active.len(), Ledger: g.atMostOnce.len(),
		Requests: []requestDump{}, Schedulers: g.schedulers.dump(time.Now()),
	}
	for _, e := range g.active.all() {
		running, _ := e.progress.read()
		dump.Requests = append(dump.Requests, requestDump{
			RequestID: e.idText, Workspace: e.resolved.Workspace.Name, Template: e.resolved.Template.Name,
			Revision: e.resolved.Revision, Target: running.Target, GeneratedTokens: running.GeneratedTokens,
		})
	}
	return dump
}

func (s *schedulers) dump(now time.Time) []schedulerDump {
	s.mu.Lock()
	defer s.mu.Unlock()
	dumps := []schedulerDump{}
	for name, known := range s.known {
		dumps = append(dumps, schedulerDump{
			Name: name, AgeMS: now.Sub(known.at).Milliseconds(), Revision: known.Revision, Stopping: known.Stopping, Held: len(known.Held),
		})
	}
	slices.SortFunc(dumps, func(a, b schedulerDump) int { return strings.Compare(a.Name, b.Name) })
	return dumps
}
