// Package admin implements the operators' HTTP API on the peer listener: health, readiness, state dump, metrics, editing
// of the lists, and drain.
package admin

import (
	"net/http"
	"net/http/pprof"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/gin-gonic/gin"
)

// Readiness decides whether the platform's load balancer may send new callers to this daemon.
type Readiness struct {
	draining atomic.Bool
	mu       sync.Mutex
	checks   map[string]func() error
}

// NewReadiness returns a Readiness without checks; it is ready.
func NewReadiness() *Readiness { return &Readiness{checks: map[string]func() error{}} }

// Check adds a readiness check. The daemon is ready only while fn returns nil.
func (r *Readiness) Check(name string, fn func() error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checks[name] = fn
}

// Drain makes the daemon permanently not ready.
func (r *Readiness) Drain() { r.draining.Store(true) }

// Draining reports whether a drain has begun.
func (r *Readiness) Draining() bool { return r.draining.Load() }

// Failing returns the reasons why the daemon is not ready, sorted. It returns none if the daemon is ready.
func (r *Readiness) Failing() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	if r.Draining() {
		out = append(out, "draining")
	}
	for name, fn := range r.checks {
		if err := fn(); err != nil {
			out = append(out, name+": "+err.Error())
		}
	}
	sort.Strings(out)
	return out
}

// States holds the functions that dump the state of the daemon's components.
type States struct {
	mu    sync.Mutex
	parts map[string]func() any
}

// NewStates returns a States without components.
func NewStates() *States { return &States{parts: map[string]func() any{}} }

// Add registers the function that dumps the state of a component under a name.
func (s *States) Add(name string, fn func() any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parts[name] = fn
}

// Dump returns the state of the named component, or of all components if name is empty.
func (s *States) Dump(name string) map[string]any {
	s.mu.Lock()
	parts := make(map[string]func() any, len(s.parts))
	for n, fn := range s.parts {
		if name == "" || name == n {
			parts[n] = fn
		}
	}
	s.mu.Unlock()
	out := make(map[string]any, len(parts))
	for n, fn := range parts {
		out[n] = fn()
	}
	return out
}

// NewHealth registers the routes for health probes and for the metrics scraper. They need no secret.
func NewHealth(e *gin.Engine, r *Readiness, metrics http.Handler, version string) {
	e.GET("/healthz", func(c *gin.Context) { c.JSON(http.StatusOK, gin.H{"status": "ok"}) })
	e.GET("/readyz", Ready(r))
	e.GET("/metrics", gin.WrapH(metrics))
	e.GET("/version", func(c *gin.Context) { c.JSON(http.StatusOK, gin.H{"version": version}) })
}

// Ready returns the handler of the load balancer's readiness probe.
func Ready(r *Readiness) gin.HandlerFunc {
	return func(c *gin.Context) {
		if failing := r.Failing(); len(failing) > 0 {
			c.JSON(http.StatusServiceUnavailable, gin.H{"ready": false, "failing": failing})
			return
		}
		c.JSON(http.StatusOK, gin.H{"ready": true})
	}
}

// NewOperations registers the routes for the state dump, the drain and the Go runtime profiles on a group that checks the
// secret. The drain function must not block.
func NewOperations(g *gin.RouterGroup, s *States, drain func()) {
	g.GET("/state", func(c *gin.Context) { c.IndentedJSON(http.StatusOK, s.Dump(c.Query("part"))) })
	g.POST("/admin/v1/drain", func(c *gin.Context) {
		drain()
		c.JSON(http.StatusAccepted, gin.H{"draining": true})
	})
	g.GET("/debug/pprof/profile", gin.WrapF(pprof.Profile))
	g.GET("/debug/pprof/:profile", func(c *gin.Context) {
		pprof.Handler(c.Param("profile")).ServeHTTP(c.Writer, c.Request)
	})
}
