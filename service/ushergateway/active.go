package ushergateway

import (
	"context"
	"sync"

	"github.com/samphireusher/samphireusher/service/ushergrant"
)

type (
	// active holds the requests in progress by the text of their id.
	active struct {
		mu       sync.Mutex
		requests map[string]*execution
	}

	// progress is what other goroutines may know of an execution.
	progress struct {
		mu      sync.Mutex
		running ushergrant.Running
		sent    bool
		cancel  context.CancelCauseFunc
	}
)

// add takes in e unless the limit is reached.
func (a *active) add(e *execution, limit int) bool {
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

func (a *active) remove(e *execution) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.requests, e.idText)
}

func (a *active) find(idText string) (*execution, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e, ok := a.requests[idText]
	return e, ok
}

func (a *active) len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.requests)
}

func (a *active) all() []*execution {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := make([]*execution, 0, len(a.requests))
	for _, e := range a.requests {
		all = append(all, e)
	}
	return all
}

// byHolder returns what runs at the targets of each holder.
func (a *active) byHolder(holder func(target string) (string, bool)) map[string][]ushergrant.Running {
	holders := map[string][]ushergrant.Running{}
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

func (p *progress) start(running ushergrant.Running) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running, p.sent = running, true
}

func (p *progress) made(tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running.MadeTokens = tokens
}

func (p *progress) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent = false
}

func (p *progress) read() (ushergrant.Running, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running, p.sent
}

// cancelBy says how the execution is cancelled.
func (p *progress) cancelBy(cancel context.CancelCauseFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancel = cancel
}

func (p *progress) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel != nil {
		p.cancel(errCancelled.New("the caller cancelled the request"))
	}
}
