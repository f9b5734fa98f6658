// Package usherplatform is a stand-in of what the platform publishes: the configuration service and the host list.
//
// The product reads values, waits for their changes and reads the hosts below /v1/. Only the operators' pipeline
// and tests write, below /admin/. One version counter rises with each write; a batch is one write. Every call below
// /v1/ counts, a waiting watch as one, and beyond the rate it is refused.
//
// # Usage
//
//	platform := usherplatform.New(usherplatform.Config{})
//	http.Serve(listener, platform)
//	version, err := platform.Publish([]usherplatform.Value{{Key: "templates", Body: rendered}})
package usherplatform

import (
	"net/http"
	"sync"
	"time"

	"github.com/justinas/alice"

	"github.com/samphireusher/samphireusher/standin/internal/usherhttp"
	"github.com/samphireusher/samphireusher/standin/internal/usherlife"
)

const (
	// MaxValueBytes is the size of the largest value.
	MaxValueBytes = 1 << 20
	// VersionHeader carries the version at which a value was written.
	VersionHeader = "Usher-Version"
)

// Defaults of a Config whose field is zero.
const (
	defaultCallsPerSecond = 2000
	defaultHostLag        = 2 * time.Second
	defaultWatchTimeout   = 30 * time.Second
)

type (
	// Config describes a platform. Zero fields have defaults.
	Config struct {
		// CallsPerSecond bounds the calls of all readers together.
		CallsPerSecond int
		// HostLag is how long a change of the hosts takes to show.
		HostLag time.Duration
		// WatchTimeout is how long a watch waits for a change.
		WatchTimeout time.Duration
	}

	// Platform is an http.Handler that serves the configuration service and the host list.
	Platform struct {
		config  Config
		handler http.Handler

		mu     sync.Mutex
		faults Faults
		values store
		hosts  hostLists
		counts counter
		// changed is closed and replaced whenever a waiting watch has to look again.
		changed chan struct{}
	}
)

// New returns a platform that serves at once.
func New(config Config) *Platform {
	p := &Platform{config: config.withDefaults(), changed: make(chan struct{})}
	surface := http.NewServeMux()
	surface.HandleFunc("GET /v1/values/{key...}", p.serveValue)
	surface.HandleFunc("GET /v1/watch", p.serveWatch)
	surface.HandleFunc("GET /v1/hosts", p.serveHosts)

	routes := http.NewServeMux()
	routes.Handle("/v1/", alice.New(p.counted, p.disturbed).Then(surface))
	routes.HandleFunc("PUT /admin/values/{key...}", p.servePutValue)
	routes.HandleFunc("PUT /admin/batch", p.servePutBatch)
	routes.HandleFunc("PUT /admin/hosts", p.servePutHosts)
	usherhttp.HandleControl(routes, p, p.Record)
	p.handler = routes
	return p
}

func (c Config) withDefaults() Config {
	if c.CallsPerSecond == 0 {
		c.CallsPerSecond = defaultCallsPerSecond
	}
	if c.HostLag == 0 {
		c.HostLag = defaultHostLag
	}
	if c.WatchTimeout == 0 {
		c.WatchTimeout = defaultWatchTimeout
	}
	return c
}

// ServeHTTP serves the readers' and the operators' surface, the fault switches and the record.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.handler.ServeHTTP(w, r)
}

// counted counts each call and refuses those beyond the rate.
func (p *Platform) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		within := p.counts.count(time.Now(), r.URL.Path, p.config.CallsPerSecond)
		p.mu.Unlock()
		if !within {
			w.Header().Set("Retry-After", "1")
			usherhttp.Refuse(w, http.StatusTooManyRequests, "too_many_calls")
			return
		}
		next.ServeHTTP(w, r)
	})
}

// disturbed drops the connection while the platform is down, and makes the answer late while it is slow.
func (p *Platform) disturbed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		slow := time.Duration(p.Faults().SlowMS) * time.Millisecond
		if err := usherlife.Sleep(r.Context(), slow); err != nil {
			return
		}
		if p.Faults().Down {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// wake makes all waiting watches look again. The caller holds the lock.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}
