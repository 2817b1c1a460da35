// Package check examines a version of the operator's configuration before it is written to the store: errors, entries that can never
// match a call, limits that contradict each other, and what differs from the version in force.
package check

import (
	"fmt"
	"strings"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
)

// Kind is the kind of a finding. Scripts may rely on its values.
type Kind string

// Kinds of findings.
const (
	Invalid       Kind = "invalid"       // the daemons would ignore the whole configuration, or the entry has no meaning
	NeverMatches  Kind = "never_matches" // no call can reach the entry
	Contradiction Kind = "contradiction" // two limits exclude each other
)

// Finding is one fault of a configuration.
type Finding struct {
	Kind    Kind   `json:"kind"`
	Entry   string `json:"entry"` // such as `queue "previews"`
	Message string `json:"message"`
}

// findings collects the faults of a configuration.
type findings []Finding

func (f *findings) add(kind Kind, entry, format string, args ...any) {
	*f = append(*f, Finding{kind, entry, fmt.Sprintf(format, args...)})
}

// Config returns the faults of a configuration: those of queues in their order, then those of services, teams and limits.
func Config(c *queues.Config) []Finding {
	var f findings
	f.checkVersion(c)
	f.checkQueues(c)
	f.checkServices(c)
	f.checkTeams(c)
	f.checkLimits(c.Limits)
	return f
}

func (f *findings) checkVersion(c *queues.Config) {
	if c.Version <= 0 {
		f.add(Invalid, "version", "is %d, must be a positive number", c.Version)
	}
}

// address is what selects a queue.
type address struct{ host, prefix string }

func (f *findings) checkQueues(c *queues.Config) {
	names := map[string]bool{}
	holders := map[address]string{}
	services := map[string]bool{}
	for _, s := range c.Services {
		services[s.Name] = true
	}
	for i, q := range c.Queues {
		entry := fmt.Sprintf("queue %q", q.Name)
		if q.Name == "" {
			entry = fmt.Sprintf("queue %d", i)
			f.add(Invalid, entry, "has no name")
		}
		if names[q.Name] && q.Name != "" {
			f.add(Invalid, entry, "another queue has the same name")
		}
		names[q.Name] = true
		if !services[q.Service] {
			f.add(NeverMatches, entry, "its jobs never start, since there is no service %q", q.Service)
		}
		f.checkAddress(entry, q, holders)
		f.checkQueueLimits(entry, q)
		if !q.Public && !c.KeysHeld() && len(c.Teams) > 0 {
			f.add(NeverMatches, entry, "no team has a key, so no call is authorized")
		}
	}
}

// checkAddress finds queues that Config.Select never returns.
func (f *findings) checkAddress(entry string, q queues.Queue, holders map[address]string) {
	switch {
	case q.Host == "":
		f.add(NeverMatches, entry, "has no host")
	case strings.Contains(q.Host, ":"):
		f.add(NeverMatches, entry, "its host %q has a port, which is not compared", q.Host)
	}
	if !strings.HasPrefix(q.PathPrefix, "/") {
		f.add(NeverMatches, entry, "its path prefix %q does not begin with a slash", q.PathPrefix)
	}
	a := address{strings.ToLower(q.Host), q.PathPrefix}
	if other, held := holders[a]; held {
		f.add(NeverMatches, entry, "%s comes before it with the same host and path prefix", other)
		return
	}
	holders[a] = entry
}

func (f *findings) checkQueueLimits(entry string, q queues.Queue) {
	if q.MaxAttempts <= 0 {
		f.add(Invalid, entry, "its maximum number of attempts is %d, must be 1 or more", q.MaxAttempts)
	}
	if q.Priority < 0 || q.SlackFactor < 0 || q.TargetLatency < 0 || q.Timeout < 0 {
		f.add(Invalid, entry, "has a negative priority, slack factor, target latency or timeout")
	}
	if q.SlackFactor < 1 && q.TargetLatency == 0 {
		f.add(Contradiction, entry, "its slack factor of %g leaves its jobs less time than their tasks take, and there is no target latency",
			q.SlackFactor)
	}
	if p := q.PolicyService; p != nil && p.Validity <= p.ExpectedDuration(1) {
		f.add(Contradiction, entry, "approvals are valid for %s, but a call to the policy service takes %s or longer", p.Validity,
			p.ExpectedDuration(1))
	}
}

func (f *findings) checkServices(c *queues.Config) {
	used := map[string]bool{}
	for _, q := range c.Queues {
		used[q.Service] = true
	}
	names := map[string]bool{}
	for i, s := range c.Services {
		entry := fmt.Sprintf("service %q", s.Name)
		switch {
		case s.Name == "":
			f.add(Invalid, fmt.Sprintf("service %d", i), "has no name")
		case names[s.Name]:
			f.add(Invalid, entry, "another service has the same name")
		case !used[s.Name]:
			f.add(NeverMatches, entry, "no queue uses it")
		}
		names[s.Name] = true
	}
}

func (f *findings) checkTeams(c *queues.Config) {
	for _, fault := range c.Faults() {
		f.add(Invalid, "teams", "%s", fault)
	}
	for _, t := range c.Teams {
		entry := fmt.Sprintf("team %q", t.Name)
		if len(t.KeyDigests) == 0 {
			f.add(NeverMatches, entry, "has no key, so no call is made for it")
		}
		if q := t.Quota; q.CPUMilli > 0 && q.CPUMilli < minUsefulCPU {
			f.add(Contradiction, entry, "its limit of %d thousandths of a core is less than one task usually needs", q.CPUMilli)
		}
		if t.Weight > 0 && t.Weight < 1 {
			f.add(Contradiction, entry, "its weight of %g promises less than one job a second", t.Weight)
		}
	}
}

const (
	// minUsefulCPU is the limit of a team, in thousandths of a core, below which hardly any task can start.
	minUsefulCPU = 50
	// minBodyBytes is the size of a body with the longest text of a task and one step.
	minBodyBytes = 4096
	// minHeaderBytes is the size of the headers of an ordinary call.
	minHeaderBytes = 512
)

func (f *findings) checkLimits(l queues.Limits) {
	const entry = "limits"
	if l.MaxBodyBytes < 0 || l.MaxHeaderBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		f.add(Invalid, entry, "has a negative value")
	}
	if l.MaxBodyBytes > 0 && l.MaxBodyBytes < minBodyBytes {
		f.add(Contradiction, entry, "bodies of %d bytes are too short for the longest text of a task", l.MaxBodyBytes)
	}
	if l.MaxHeaderBytes > 0 && l.MaxHeaderBytes < minHeaderBytes {
		f.add(Contradiction, entry, "headers of %d bytes are too short for an ordinary call", l.MaxHeaderBytes)
	}
	if l.IdleTimeout > 0 && l.IdleTimeout < l.HeaderTimeout {
		f.add(Contradiction, entry, "connections are closed after %s without a call, before the timeout of %s for headers", l.IdleTimeout,
			l.HeaderTimeout.Round(time.Millisecond))
	}
}
