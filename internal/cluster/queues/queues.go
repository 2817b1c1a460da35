// Package queues holds the operator's configuration in force: which queues exist, how callers reach them, and the service
// whose workers run their jobs. Versions only rise within a process.
package queues

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Queue is one queue of jobs.
type Queue struct {
	Name          string        `json:"Name"`
	Host          string        `json:"Host"`        // Host header that selects the queue
	PathPrefix    string        `json:"PathPrefix"`  // the longest prefix of the path selects among queues of a host
	Service       string        `json:"Service"`     // pool of workers that run the jobs
	Priority      int           `json:"Priority"`    // 0 is the most urgent
	MaxAttempts   int           `json:"MaxAttempts"` // failed runs of a task after which its job fails
	SlackFactor   float64       `json:"SlackFactor"`
	TargetLatency time.Duration `json:"TargetLatency"`
	Timeout       time.Duration `json:"Timeout"`
	Advice        *Advice       `json:"Advice"` // nil: every worker of the service may run the jobs
}

// Advice describes the policy service that must approve each worker of a step.
type Advice struct {
	Base      time.Duration `json:"Base"`      // time of one call
	PerWorker time.Duration `json:"PerWorker"` // additional time for each worker that a call names
	Validity  time.Duration `json:"Validity"`  // lifetime of a ticket
}

// Cost is how long the policy service takes to answer a call that names so many workers.
func (a *Advice) Cost(workers int) time.Duration {
	return a.Base + time.Duration(workers)*a.PerWorker
}

// Service is a pool of workers.
type Service struct {
	Name             string `json:"Name"`
	EnforcesCapacity bool   `json:"EnforcesCapacity"` // its workers reject what doesn't fit
	Standby          bool   `json:"Standby"`
}

// Limits bound callers' requests.
type Limits struct {
	MaxHeaderBytes int           `json:"MaxHeaderBytes"`
	MaxBodyBytes   int64         `json:"MaxBodyBytes"`
	HeaderTimeout  time.Duration `json:"HeaderTimeout"`
	IdleTimeout    time.Duration `json:"IdleTimeout"`
}

// Config is one version of the operator's configuration.
type Config struct {
	Version  int64     `json:"Version"`
	Queues   []Queue   `json:"Queues"`
	Services []Service `json:"Services"`
	Limits   Limits    `json:"Limits"`

	index  sync.Once
	byName map[string]int
}

// ByName returns the queue with the name.
func (c *Config) ByName(name string) (Queue, bool) {
	c.index.Do(func() {
		c.byName = make(map[string]int, len(c.Queues))
		for i, q := range c.Queues {
			c.byName[q.Name] = i
		}
	})
	i, ok := c.byName[name]
	if !ok {
		return Queue{}, false
	}
	return c.Queues[i], true
}

// Select returns the queue of a request: of the queues of the host, the one with the longest prefix of the path.
func (c *Config) Select(host, path string) (Queue, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	best, found := Queue{}, false
	for _, q := range c.Queues {
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.PathPrefix) &&
			(!found || len(q.PathPrefix) > len(best.PathPrefix)) {
			best, found = q, true
		}
	}
	return best, found
}

// Holder holds the newest configuration that this process has seen.
type Holder struct {
	current atomic.Pointer[Config]
}

// NewHolder returns a holder without a configuration.
func NewHolder() *Holder { return &Holder{} }

// Current returns the configuration in force, or nil before the first one.
func (h *Holder) Current() *Config { return h.current.Load() }

// Offer puts c in force unless a configuration with the same or a higher version is. It reports whether it did.
func (h *Holder) Offer(c *Config) bool {
	for {
		old := h.current.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if h.current.CompareAndSwap(old, c) {
			return true
		}
	}
}
