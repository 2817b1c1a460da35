// Package queues defines the operator's configuration: which queues exist, how callers reach them, and which service's workers
// run their jobs. A ConfigHolder keeps the configuration in force, whose version never decreases within a process.
package queues

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
	"unicode"
	"unicode/utf8"
)

// Queue is the configuration of a queue of jobs.
type Queue struct {
	Name          string         `json:"Name"`
	Host          string         `json:"Host"`        // value of the HTTP Host header that selects the queue
	PathPrefix    string         `json:"PathPrefix"`  // among the queues with the same Host, the one with the longest matching prefix is selected
	Service       string         `json:"Service"`     // name of the service whose workers run the jobs
	Priority      int            `json:"Priority"`    // 0 is the most urgent
	MaxAttempts   int            `json:"MaxAttempts"` // number of failed runs of a task after which its job fails
	SlackFactor   float64        `json:"SlackFactor"`
	TargetLatency time.Duration  `json:"TargetLatency"`
	Timeout       time.Duration  `json:"Timeout"`
	PolicyService *PolicyService `json:"Advice"`           // nil: no approval is needed, every worker of the service may run the jobs
	Public        bool           `json:"Public,omitempty"` // callers need no API key
}

// PolicyService describes the policy service that must approve the workers for the tasks of a step. An approval is a ticket.
type PolicyService struct {
	Base      time.Duration `json:"Base"`      // fixed time of a call
	PerWorker time.Duration `json:"PerWorker"` // additional time for each worker in the call
	Validity  time.Duration `json:"Validity"`  // lifetime of a ticket
}

// ExpectedDuration returns how long the policy service takes to answer a call with this number of workers.
func (a *PolicyService) ExpectedDuration(workers int) time.Duration {
	return a.Base + time.Duration(workers)*a.PerWorker
}

// Service is a pool of workers.
type Service struct {
	Name             string `json:"Name"`
	EnforcesCapacity bool   `json:"EnforcesCapacity"` // its workers reject tasks that don't fit into their capacity
	Standby          bool   `json:"Standby"`
}

// Limits are the limits of callers' HTTP requests.
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
	Teams    []Team    `json:"Teams,omitempty"`
	Limits   Limits    `json:"Limits"`

	index         sync.Once      // builds the following fields on first use
	byName        map[string]int // index in Queues by name
	firstPriority int
	teamByName    map[string]int // index in Teams by name
	teamByKey     map[KeyDigest]int
	byHost        map[string][]int // indexes in Queues by foldHost of their Host, those with the longest PathPrefix first
}

// ByName returns the queue with the name.
func (c *Config) ByName(name string) (Queue, bool) {
	c.index.Do(c.buildIndex)
	i, ok := c.byName[name]
	if !ok {
		return Queue{}, false
	}
	return c.Queues[i], true
}

// FirstPriority returns the priority of the most urgent queues, or 0 if there are no queues.
func (c *Config) FirstPriority() int {
	c.index.Do(c.buildIndex)
	return c.firstPriority
}

func (c *Config) buildIndex() {
	c.byName = make(map[string]int, len(c.Queues))
	for i, q := range c.Queues {
		c.byName[q.Name] = i
		if i == 0 || q.Priority < c.firstPriority {
			c.firstPriority = q.Priority
		}
	}
	c.byHost = indexByHost(c.Queues)
	c.teamByName = make(map[string]int, len(c.Teams))
	c.teamByKey = map[KeyDigest]int{}
	for i, t := range c.Teams {
		c.teamByName[t.Name] = i
		for _, d := range t.KeyDigests {
			c.teamByKey[d] = i
		}
	}
}

// Select returns the queue that a request is for: among the queues of the host, the one with the longest prefix of the path.
func (c *Config) Select(host, path string) (Queue, bool) {
	c.index.Do(c.buildIndex)
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, i := range c.byHost[foldHost(host)] {
		if strings.HasPrefix(path, c.Queues[i].PathPrefix) {
			return c.Queues[i], true
		}
	}
	return Queue{}, false
}

// indexByHost returns the indexes of the queues by foldHost of their Host, those with the longest PathPrefix first.
func indexByHost(all []Queue) map[string][]int {
	byHost := map[string][]int{}
	for i, q := range all {
		host := foldHost(q.Host)
		byHost[host] = append(byHost[host], i)
	}
	for _, indexes := range byHost {
		slices.SortStableFunc(indexes, func(a, b int) int { return len(all[b].PathPrefix) - len(all[a].PathPrefix) })
	}
	return byHost
}

// foldHost returns the same text for all hosts that strings.EqualFold takes as equal. It allocates nothing for a host of lower-case
// ASCII letters, digits and signs.
func foldHost(host string) string { return strings.Map(foldRune, host) }

// foldRune returns the lowest of the runes that differ from r by case only, or its lower-case form if it is an ASCII letter.
func foldRune(r rune) rune {
	if r >= utf8.RuneSelf {
		lowest := r
		for next := unicode.SimpleFold(r); next != r; next = unicode.SimpleFold(next) {
			lowest = min(lowest, next)
		}
		r = lowest
	}
	if 'A' <= r && r <= 'Z' {
		return r + 'a' - 'A'
	}
	return r
}

// ConfigHolder holds the configuration in force: the newest that this process has received.
type ConfigHolder struct {
	current atomic.Pointer[Config]
}

// NewConfigHolder returns a ConfigHolder without a configuration.
func NewConfigHolder() *ConfigHolder { return &ConfigHolder{} }

// Current returns the configuration in force, or nil before the first one.
func (h *ConfigHolder) Current() *Config { return h.current.Load() }

// Update puts c in force unless the current configuration has the same or a higher version. It reports whether c is now in
// force.
func (h *ConfigHolder) Update(c *Config) bool {
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
