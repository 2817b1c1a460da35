// Package forecast decides which submissions are refused because their jobs would end too late to be of use. The owner of the workers
// computes a Digest from the work that waits and from what it has started lately; every host refuses by the newest digest that it has
// received. The package uses no network and no clock.
package forecast

import (
	"cmp"
	"slices"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

const (
	// MaxAge is the age up to which a digest is used. Without a newer one, submissions are accepted.
	MaxAge = time.Second
	// usefulFactor is how many times its objective a job may take before its result is of no use to its caller.
	usefulFactor = 3
	// safetyFactor is by how much the expected wait may be too long, since estimates of durations are off by half. firstSafetyFactor is
	// the same for queues of the first priority.
	safetyFactor      = 1.6
	firstSafetyFactor = 4
	// rateWindow is the time constant of the average rate at which work is started.
	rateWindow = 2 * time.Second
	// usableShare is the share of a full pool's processors on which tasks run; the rest is too small for them or waits for reports.
	usableShare = 0.8
	// minRateShare is the least rate at which the work of a class is expected to start, as a share of the capacity.
	minRateShare = 0.02
	// freeShare is the share of a service's processors from which its workers count as free for all jobs, and minFreeShare that from which
	// they do for jobs whose tasks fit on one of them. Less is left in the moments between two runs and while approvals are awaited.
	freeShare    = 0.1
	minFreeShare = 0.02
	// minWait is the shortest expected wait that is worth telling.
	minWait = time.Second
	// maxWait bounds the waits that a digest tells.
	maxWait = 10 * time.Minute
	// maxTeams limits the teams that a digest names.
	maxTeams = 64
)

// Class is the work of one queue, either within or beyond the shares of the teams.
type Class struct {
	Queue  string
	Beyond bool
}

// Work is the waiting work of a class in processor time, and its position.
type Work struct {
	Class
	Service  string
	Priority int           // of the queue, 0 is the most urgent
	First    bool          // the queue is of the first priority
	InTime   time.Duration // processor time of the waiting tasks of jobs that can still meet their objective
	Late     time.Duration // of the others, which come after them
	Scale    float64       // expected duration of tasks divided by their declared one
}

// Pool is the state of the workers of a service, after all tasks that can start have been placed.
type Pool struct {
	CPUMilli, FreeCPUMilli int64
	// LargestFree is the most that a single worker has left of each resource.
	LargestFree workload.Resources
}

// Digest tells the hosts which queues are overloaded. A digest without queues is not sent.
type Digest struct {
	Queues []Queue `json:"queues"`
	// Free is what a single worker has left at most, by service; services without free workers are left out.
	Free map[string]workload.Resources `json:"free,omitempty"`
	// Beyond names the teams that send more than their share.
	Beyond []string `json:"beyond,omitempty"`
	// AgeMS is the age of the digest when it was sent, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// Queue is the expected wait of a new job of a queue, in milliseconds.
type Queue struct {
	Name     string  `json:"name"`
	InTimeMS int64   `json:"in_time_ms"`          // until its first start, if it starts in time to meet its objective
	LateMS   int64   `json:"late_ms"`             // until its first start otherwise
	BeyondMS int64   `json:"beyond_ms,omitempty"` // until its first start, if its team has sent more than its share
	Scale    float64 `json:"scale"`               // see Work
	First    bool    `json:"first,omitempty"`     // see Work
}

// Meter measures at which rate the work of each class is started. It is not safe for concurrent use.
type Meter struct {
	rates map[part]float64       // processors that the started work takes, averaged over rateWindow
	begun map[part]time.Duration // processor time of the work that was started since at
	at    time.Time              // when rates were last updated
}

// part is the work of a class that could meet its objective when it started, or the rest.
type part struct {
	Class
	late bool
}

// NewMeter returns a Meter that has seen nothing.
func NewMeter() *Meter { return &Meter{rates: map[part]float64{}, begun: map[part]time.Duration{}} }

// Started records that tasks of the class with this much processor time have started, and whether too late to meet their objective.
func (m *Meter) Started(c Class, late bool, work time.Duration) { m.begun[part{c, late}] += work }

// update folds the work that was started since the last call into the rates.
func (m *Meter) update(now time.Time) {
	elapsed := now.Sub(m.at)
	if m.at.IsZero() || elapsed <= 0 {
		m.at = now
		return
	}
	weight := min(float64(elapsed)/float64(rateWindow), 1)
	for c, rate := range m.rates {
		m.rates[c] = rate * (1 - weight)
	}
	for c, begun := range m.begun {
		m.rates[c] += weight * float64(begun) / float64(elapsed)
	}
	clear(m.begun)
	m.at = now
}

// Digest returns the digest for the work that waits, or nil if no class waits for long or all services have free workers. The works are those
// of all classes, also of those without waiting tasks; beyond names the teams that send more than their share.
func (m *Meter) Digest(now time.Time, works []Work, pools map[string]Pool, beyond []string) *Digest {
	m.update(now)
	d := &Digest{Free: map[string]workload.Resources{}}
	byQueue := map[string]*Queue{}
	for _, w := range works {
		pool := pools[w.Service]
		if pool.CPUMilli <= 0 || float64(pool.FreeCPUMilli) >= freeShare*float64(pool.CPUMilli) {
			continue
		}
		inTime, late := m.waits(w, works, pool)
		if late < minWait {
			continue
		}
		q := byQueue[w.Queue]
		if q == nil {
			q = &Queue{Name: w.Queue, Scale: w.Scale, First: w.First}
			byQueue[w.Queue] = q
		}
		if w.Beyond {
			q.BeyondMS = late.Milliseconds()
		} else {
			q.InTimeMS, q.LateMS = inTime.Milliseconds(), late.Milliseconds()
		}
		if float64(pool.FreeCPUMilli) >= minFreeShare*float64(pool.CPUMilli) {
			d.Free[w.Service] = pool.LargestFree
		}
	}
	if len(byQueue) == 0 {
		return nil
	}
	d.Queues = sortedByName(byQueue)
	d.Beyond = beyond[:min(len(beyond), maxTeams)]
	return d
}

// sortedByName returns the queues sorted by name, as Refuses needs them.
func sortedByName(byQueue map[string]*Queue) []Queue {
	sorted := make([]Queue, 0, len(byQueue))
	for _, q := range byQueue {
		sorted = append(sorted, *q)
	}
	slices.SortFunc(sorted, func(a, b Queue) int { return cmp.Compare(a.Name, b.Name) })
	return sorted
}

// waits returns the expected waits of a new job of the class: of one that can start in time to meet its objective, and of one that can't.
func (m *Meter) waits(w Work, works []Work, pool Pool) (inTime, late time.Duration) {
	ahead, rateAhead := m.ahead(w, works)
	inTimePart, latePart := part{w.Class, false}, part{w.Class, true}
	inTime = m.wait(inTimePart, pool, rateAhead, ahead+w.InTime)
	late = inTime + m.wait(latePart, pool, rateAhead+m.rates[inTimePart], w.Late)
	return inTime, min(late, maxWait)
}

// ahead returns the waiting work of the service that is planned before that of the class, and the rate at which such work is started.
func (m *Meter) ahead(w Work, works []Work) (work time.Duration, rate float64) {
	for _, o := range works {
		if o.Service == w.Service && (!o.Beyond && w.Beyond || o.Beyond == w.Beyond && o.Priority < w.Priority) {
			work += o.InTime + o.Late
			rate += m.rates[part{o.Class, false}] + m.rates[part{o.Class, true}]
		}
	}
	return work, rate
}

// wait returns how long the work of a part takes to start: at the rate at which such work has started lately, or at what work that is planned
// before it leaves of the pool, if that is more. The latter applies to classes and owners that have started nothing yet.
func (m *Meter) wait(p part, pool Pool, rateAhead float64, work time.Duration) time.Duration {
	processors := float64(pool.CPUMilli) / 1000
	rate := max(m.rates[p], usableShare*processors-rateAhead, minRateShare*processors)
	return time.Duration(min(float64(work)/rate, float64(maxWait)))
}

// Job is what a host knows about a submitted job.
type Job struct {
	Queue, Service, Team string
	TargetLatency        time.Duration
	SlackFactor          float64
	Path                 time.Duration // declared duration of the longest chain of steps
	// Smallest is what the smallest task that could start at once needs.
	Smallest workload.Resources
}

// Refuses reports whether the job would end after more than usefulFactor times its objective by a digest of this age, and returns its
// expected wait.
func (d *Digest) Refuses(j Job, age time.Duration) (wait time.Duration, refuse bool) {
	if d == nil || age > MaxAge {
		return 0, false
	}
	i, listed := slices.BinarySearchFunc(d.Queues, j.Queue, func(q Queue, name string) int { return cmp.Compare(q.Name, name) })
	if free, some := d.Free[j.Service]; !listed || some && free.CanFit(j.Smallest) {
		return 0, false
	}
	q := d.Queues[i]
	path := time.Duration(float64(j.Path) * q.Scale)
	objective := j.TargetLatency + time.Duration(j.SlackFactor*float64(path))
	wait = q.wait(objective-path, j.Team != "" && slices.Contains(d.Beyond, j.Team))
	margin := safetyFactor
	if q.First {
		margin = firstSafetyFactor
	}
	expected := time.Duration(float64(wait)/margin) + path
	return wait, expected > usefulFactor*objective
}

// wait returns the expected wait of a job that has to start within the slack to meet its objective.
func (q Queue) wait(slack time.Duration, beyond bool) time.Duration {
	inTime, late := time.Duration(q.InTimeMS)*time.Millisecond, time.Duration(q.LateMS)*time.Millisecond
	switch {
	case beyond && q.BeyondMS > 0:
		return time.Duration(q.BeyondMS) * time.Millisecond
	case inTime <= slack:
		return inTime
	}
	return late
}

const (
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
)

// RetryAfter returns when a caller whose job was refused should come back: after between a third and the whole of the expected wait, spread by
// a random fraction in [0,1), so that the callers don't come back together.
func RetryAfter(wait time.Duration, fraction float64) time.Duration {
	wait = min(max(wait, 2*minRetryAfter), maxRetryAfter)
	return max(wait/3+time.Duration(fraction*float64(wait)*2/3), minRetryAfter)
}
