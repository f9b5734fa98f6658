// Package usherlife gives a stand-in the faults of a process: it dies and comes back, freezes and answers late.
//
// # Usage
//
//	gate := usherlife.NewGate(1)
//	handler := gate.Middleware(surface)
//	gate.Die(2 * time.Second) // open requests are cut, new ones too until the restart
package usherlife

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// IncarnationHeader carries the incarnation of the target on each of its answers.
const IncarnationHeader = "Usher-Incarnation"

type (
	// Life is the time from one start of a target to its death.
	Life struct {
		Incarnation int64
		Born        time.Time
		ended       context.Context
		end         context.CancelFunc
	}

	// Gate stands before the handlers of a target.
	Gate struct {
		mu          sync.Mutex
		life        *Life
		frozenUntil time.Time
		delay       time.Duration
		// conns has the incarnation that each connection was opened to.
		conns map[net.Conn]int64
	}

	lifeKey struct{}
	connKey struct{}
)

// NewGate returns the gate of a target that starts now with the given incarnation; zero counts as one.
func NewGate(incarnation int64) *Gate {
	return &Gate{life: newLife(max(incarnation, 1), time.Now())}
}

func newLife(incarnation int64, born time.Time) *Life {
	ended, end := context.WithCancel(context.Background())
	return &Life{Incarnation: incarnation, Born: born, ended: ended, end: end}
}

// Ended reports whether the target has died since.
func (l *Life) Ended() bool {
	return l.ended.Err() != nil
}

// Context ends at the death of the target.
func (l *Life) Context() context.Context {
	return l.ended
}

// Current returns the life of the target, which lies in the future while the target is dead.
func (g *Gate) Current() (life *Life, alive bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.life, !time.Now().Before(g.life.Born)
}

// Die ends the current life; the next one begins after restartAfter. It reports whether there was a life to end.
func (g *Gate) Die(restartAfter time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if now.Before(g.life.Born) {
		return false
	}
	g.life.end()
	g.closeConns()
	g.life = newLife(g.life.Incarnation+1, now.Add(restartAfter))
	g.frozenUntil = time.Time{}
	return true
}

// Freeze stops all that the target does for a time, as a paused process does.
func (g *Gate) Freeze(pause time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.frozenUntil = time.Now().Add(pause)
}

// SetDelay makes each answer, and each event of a stream, late by delay.
func (g *Gate) SetDelay(delay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delay = delay
}

// Thaw waits until the target is not frozen.
func (g *Gate) Thaw(ctx context.Context) error {
	for {
		g.mu.Lock()
		left := time.Until(g.frozenUntil)
		g.mu.Unlock()
		if left <= 0 {
			return ctx.Err()
		}
		if err := Sleep(ctx, left); err != nil {
			return err
		}
	}
}

// Pause waits as long as an answer has to wait: for the end of a freeze and for the delay.
func (g *Gate) Pause(ctx context.Context) error {
	g.mu.Lock()
	delay := g.delay
	g.mu.Unlock()
	if err := Sleep(ctx, delay); err != nil {
		return err
	}
	return g.Thaw(ctx)
}

// Middleware passes requests to next while the target lives, and drops their connections when it dies.
// The context of a request ends with the life that took it.
func (g *Gate) Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		life, alive := g.Current()
		if !alive || !g.belongs(r, life) {
			panic(http.ErrAbortHandler)
		}
		ctx, cancel := context.WithCancel(context.WithValue(r.Context(), lifeKey{}, life))
		defer cancel()
		defer context.AfterFunc(life.ended, cancel)()
		if err := g.Thaw(ctx); err != nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(IncarnationHeader, strconv.FormatInt(life.Incarnation, 10))
		next.ServeHTTP(w, r.WithContext(ctx))
		if life.Ended() {
			panic(http.ErrAbortHandler)
		}
	})
}

// ConnContext is for http.Server: it lets a gate close the connections of a process that dies, idle ones too.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// belongs notes a connection and reports whether it was opened in this life. A server without ConnContext has none to
// tell.
func (g *Gate) belongs(r *http.Request, life *Life) bool {
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
	if known && opened != life.Incarnation {
		return false
	}
	g.conns[conn] = life.Incarnation
	return true
}

// closeConns ends the connections of the life that has ended. The caller holds the lock.
func (g *Gate) closeConns() {
	for conn := range g.conns {
		_ = conn.Close()
	}
	clear(g.conns)
}

// FromContext returns the life that took the request of ctx.
func FromContext(ctx context.Context) *Life {
	life, _ := ctx.Value(lifeKey{}).(*Life)
	return life
}

// Sleep waits for pause or until ctx ends, and returns the error of ctx.
func Sleep(ctx context.Context, pause time.Duration) error {
	if pause <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}
