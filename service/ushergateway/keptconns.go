package ushergateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// keptConnGrace is how long a stopping gateway keeps idle connections open. A request that callers send on one meanwhile is
	// refused as not run, with the advice to close it. Closed amid that request, it would look as if it had run.
	keptConnGrace = time.Second
	keptConnPoll  = 10 * time.Millisecond
)

// KeptConns tracks the connections that callers keep open between two requests. The zero value is ready for use.
type KeptConns struct {
	mu   sync.Mutex
	idle map[net.Conn]bool
}

// Track records the state of a connection; it is the ConnState hook of the server.
func (k *KeptConns) Track(conn net.Conn, state http.ConnState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if state != http.StateIdle {
		delete(k.idle, conn)
		return
	}
	if k.idle == nil {
		k.idle = map[net.Conn]bool{}
	}
	k.idle[conn] = true
}

// Drain waits, after Gateway.Stop and before the server is shut down, until callers have used their idle connections once more
// or have had the time to.
func (k *KeptConns) Drain(ctx context.Context) {
	for latest := time.Now().Add(keptConnGrace); k.anyIdle() && time.Now().Before(latest) && ctx.Err() == nil; {
		sleep(ctx, keptConnPoll)
	}
}

func (k *KeptConns) anyIdle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.idle) > 0
}
