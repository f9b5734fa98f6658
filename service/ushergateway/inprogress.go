package ushergateway

import (
	"context"
	"sync"
)

// inProgress counts the work that a planned stop waits for. Unlike with a sync.WaitGroup, work may begin from zero while
// the stop waits; once the stop has seen none, no more begins. The zero value is ready for use.
type inProgress struct {
	mu     sync.Mutex
	count  int
	closed bool
	// idle is closed as soon as nothing is in progress, if somebody waits.
	idle chan struct{}
}

// begin counts work and reports whether it may begin. If so, end must be called.
func (p *inProgress) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.count++
	return true
}

func (p *inProgress) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.count--; p.count == 0 && p.idle != nil {
		p.closed = true
		close(p.idle)
		p.idle = nil
	}
}

// run runs f in a goroutine as part of work that is in progress.
func (p *inProgress) run(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count++
	go func() {
		defer p.end()
		f()
	}()
}

// finish waits until nothing is in progress, after which nothing begins, or until ctx is done.
func (p *inProgress) finish(ctx context.Context) error {
	idle := p.awaitIdle()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *inProgress) awaitIdle() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.count == 0 {
		p.closed = true
		done := make(chan struct{})
		close(done)
		return done
	}
	if p.idle == nil {
		p.idle = make(chan struct{})
	}
	return p.idle
}
