// Package usherplatform is a stand-in for what the platform publishes: the configuration service and the host list.
//
// The product reads values, watches them for changes and reads the host list, all under /v1/. Only the operators'
// pipeline and tests write, under /admin/. One version counter is incremented by each write; a batch is one write. Each
// call under /v1/ counts towards the rate limit, a waiting watch as one call; calls above the limit are refused.
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
	// MaxValueBytes is the maximum size of a value.
	MaxValueBytes = 1 << 20
	// VersionHeader is the response header with the version at which a value was written.
	VersionHeader = "Usher-Version"
)

// Defaults for Config fields that are zero.
const (
	defaultCallsPerSecond = 2000
	defaultHostLag        = 2 * time.Second
	defaultWatchTimeout   = 30 * time.Second
)

type (
	// Config configures a platform. Zero fields select defaults.
	Config struct {
		// CallsPerSecond limits the calls of all readers together.
		CallsPerSecond int
		// HostLag is the delay until a change of the host list is visible to readers.
		HostLag time.Duration
		// WatchTimeout is the time after which a watch without changes returns.
		WatchTimeout time.Duration
	}

	// Platform is an http.Handler that serves the configuration service and the host list.
	Platform struct {
		config  Config
		handler http.Handler

		mu     sync.Mutex
		faults Faults
		values store
		hosts  hostHistory
		counts callCounter
		// changed is closed and replaced whenever the waiting watches have to check for changes.
		changed chan struct{}
	}
)

// New returns a platform that is ready to serve.
func New(config Config) *Platform {
	p := &Platform{config: config.withDefaults(), changed: make(chan struct{})}
	readerRoutes := http.NewServeMux()
	readerRoutes.HandleFunc("GET /v1/values/{key...}", p.serveValue)
	readerRoutes.HandleFunc("GET /v1/watch", p.serveWatch)
	readerRoutes.HandleFunc("GET /v1/hosts", p.serveHosts)

	routes := http.NewServeMux()
	routes.Handle("/v1/", alice.New(p.limitRate, p.injectFaults).Then(readerRoutes))
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

// ServeHTTP serves the endpoints of readers and operators, the fault switches and the record.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.handler.ServeHTTP(w, r)
}

// limitRate counts each call and refuses those above the rate limit.
func (p *Platform) limitRate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		allowed := p.counts.count(time.Now(), r.URL.Path, p.config.CallsPerSecond)
		p.mu.Unlock()
		if !allowed {
			w.Header().Set("Retry-After", "1")
			usherhttp.Refuse(w, http.StatusTooManyRequests, "too_many_calls")
			return
		}
		next.ServeHTTP(w, r)
	})
}

// injectFaults delays the response while the platform is slow, and drops the connection while it is down.
func (p *Platform) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		delay := time.Duration(p.Faults().SlowMS) * time.Millisecond
		if err := usherlife.Sleep(r.Context(), delay); err != nil {
			return
		}
		if p.Faults().Down {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// notifyWatches makes all waiting watches check for changes. The caller must hold the lock.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}
