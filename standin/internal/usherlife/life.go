// Package usherlife simulates process faults of a target stand-in: crashes with a later restart, freezes and delayed
// responses.
//
// # Usage
//
//	gate := usherlife.NewGate(1)
//	handler := gate.Middleware(routes)
//	gate.Crash(2 * time.Second) // drops the connections of open requests, and of new ones until the restart
package usherlife

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// IncarnationHeader is the header of each response with the incarnation of the target.
const IncarnationHeader = "Usher-Incarnation"

type (
	// Instance is one instance of the target's process, from its start to its crash.
	Instance struct {
		Incarnation int64
		StartTime   time.Time
		ctx         context.Context
		cancel      context.CancelFunc
	}

	// Gate applies the faults of a target to the requests for its handlers.
	Gate struct {
		mu          sync.Mutex
		instance    *Instance
		frozenUntil time.Time
		delay       time.Duration
		// conns maps each connection to the incarnation that accepted it.
		conns map[net.Conn]int64
	}

	instanceKey struct{}
	connKey     struct{}
)

// NewGate returns the gate of a target that starts now with the given incarnation. Zero counts as one.
func NewGate(incarnation int64) *Gate {
	return &Gate{instance: newInstance(max(incarnation, 1), time.Now())}
}

func newInstance(incarnation int64, startTime time.Time) *Instance {
	ctx, cancel := context.WithCancel(context.Background())
	return &Instance{Incarnation: incarnation, StartTime: startTime, ctx: ctx, cancel: cancel}
}

// Ended reports whether the instance has crashed.
func (i *Instance) Ended() bool {
	return i.ctx.Err() != nil
}

// Context returns a context that is cancelled when the instance crashes.
func (i *Instance) Context() context.Context {
	return i.ctx
}

// Current returns the current instance. While the target is down, that is the next instance, which starts later.
func (g *Gate) Current() (instance *Instance, alive bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.instance, !time.Now().Before(g.instance.StartTime)
}

// Crash ends the current instance; the next one starts after restartAfter. It reports false if the target is already
// down.
func (g *Gate) Crash(restartAfter time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if now.Before(g.instance.StartTime) {
		return false
	}
	g.instance.cancel()
	g.closeConns()
	g.instance = newInstance(g.instance.Incarnation+1, now.Add(restartAfter))
	g.frozenUntil = time.Time{}
	return true
}

// Freeze suspends the target for the duration, as if its process was paused.
func (g *Gate) Freeze(duration time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.frozenUntil = time.Now().Add(duration)
}

// SetDelay delays each response and each event of a stream.
func (g *Gate) SetDelay(delay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delay = delay
}

// WaitUnfrozen waits until the target is no longer frozen.
func (g *Gate) WaitUnfrozen(ctx context.Context) error {
	for {
		g.mu.Lock()
		remaining := time.Until(g.frozenUntil)
		g.mu.Unlock()
		if remaining <= 0 {
			return ctx.Err()
		}
		if err := Sleep(ctx, remaining); err != nil {
			return err
		}
	}
}

// DelayResponse waits for the delay of responses and then for the end of a freeze.
func (g *Gate) DelayResponse(ctx context.Context) error {
	g.mu.Lock()
	delay := g.delay
	g.mu.Unlock()
	if err := Sleep(ctx, delay); err != nil {
		return err
	}
	return g.WaitUnfrozen(ctx)
}

// Middleware passes requests to next while the target is up, and drops their connections when it crashes. The context
// of a request is cancelled when the instance that accepted it crashes.
func (g *Gate) Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		instance, alive := g.Current()
		if !alive || !g.registerConn(r, instance) {
			panic(http.ErrAbortHandler)
		}
		ctx, cancel := context.WithCancel(context.WithValue(r.Context(), instanceKey{}, instance))
		defer cancel()
		defer context.AfterFunc(instance.ctx, cancel)()
		if err := g.WaitUnfrozen(ctx); err != nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(IncarnationHeader, strconv.FormatInt(instance.Incarnation, 10))
		next.ServeHTTP(w, r.WithContext(ctx))
		if instance.Ended() {
			panic(http.ErrAbortHandler)
		}
	})
}

// ConnContext is for http.Server.ConnContext. It lets a gate close the connections of an instance that crashes,
// including idle ones.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// registerConn registers the connection of r and reports whether the instance accepted it. It reports true if the server
// does not use ConnContext, because the connection is unknown then.
func (g *Gate) registerConn(r *http.Request, instance *Instance) bool {
	conn, ok := r.Context().Value(connKey{}).(net.Conn)
	if !ok {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conns == nil {
		g.conns = map[net.Conn]int64{}
	}
	opened, known := g.conns[conn]
	if known && opened != instance.Incarnation {
		return false
	}
	g.conns[conn] = instance.Incarnation
	return true
}

// closeConns closes the connections of the instance that has crashed. The caller must hold the lock.
func (g *Gate) closeConns() {
	for conn := range g.conns {
		_ = conn.Close()
	}
	clear(g.conns)
}

// FromContext returns the instance that accepted the request of ctx.
func FromContext(ctx context.Context) *Instance {
	instance, _ := ctx.Value(instanceKey{}).(*Instance)
	return instance
}

// Sleep waits for the duration or until ctx is done, and returns the error of ctx.
func Sleep(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}
