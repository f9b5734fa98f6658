package ushergateway

import (
	"context"
	"sync"

	"github.com/samphireusher/samphireusher/service/ushergrant"
)

type (
	// activeRequests indexes the requests in progress by the text of their ID.
	activeRequests struct {
		mu       sync.Mutex
		requests map[string]*execution
	}

	// progress is the part of an execution that other goroutines read.
	progress struct {
		mu       sync.Mutex
		running  ushergrant.RunningAttempt
		inFlight bool
		cancel   context.CancelCauseFunc
	}
)

// add reports false, and adds nothing, if the limit is reached.
func (a *activeRequests) add(e *execution, limit int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.requests == nil {
		a.requests = map[string]*execution{}
	}
	if len(a.requests) >= limit {
		return false
	}
	a.requests[e.idText] = e
	return true
}

func (a *activeRequests) remove(e *execution) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.requests, e.idText)
}

func (a *activeRequests) find(idText string) (*execution, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e, ok := a.requests[idText]
	return e, ok
}

func (a *activeRequests) len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.requests)
}

func (a *activeRequests) all() []*execution {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := make([]*execution, 0, len(a.requests))
	for _, e := range a.requests {
		all = append(all, e)
	}
	return all
}

// runningByHolder groups the attempts in flight by the address of the scheduler that holds their target.
func (a *activeRequests) runningByHolder(holder func(target string) (string, bool)) map[string][]ushergrant.RunningAttempt {
	holders := map[string][]ushergrant.RunningAttempt{}
	for _, e := range a.all() {
		running, ok := e.progress.read()
		if !ok {
			continue
		}
		if address, ok := holder(running.Target); ok {
			holders[address] = append(holders[address], running)
		}
	}
	return holders
}

func (p *progress) start(running ushergrant.RunningAttempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running, p.inFlight = running, true
}

func (p *progress) setTokens(tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running.GeneratedTokens = tokens
}

func (p *progress) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight = false
}

func (p *progress) read() (ushergrant.RunningAttempt, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running, p.inFlight
}

func (p *progress) setCancel(cancel context.CancelCauseFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancel = cancel
}

func (p *progress) cancelExecution() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel != nil {
		p.cancel(errCancelled.New("request cancelled by the caller"))
	}
}
