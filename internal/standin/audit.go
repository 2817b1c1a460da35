package standin

import (
	"fmt"
	"maps"
	"sort"
	"sync"
	"time"
)

// Resources is an amount of resources: the declared size of a task, its usage, or the capacity of a worker.
type Resources struct {
	CPUMilli     int64 `json:"cpu_milli"` // thousandths of a CPU
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators"`
}

func (r Resources) add(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

func (r Resources) scale(f float64) Resources {
	return Resources{int64(float64(r.CPUMilli) * f), int64(float64(r.MemoryMB) * f), r.Accelerators}
}

func (r Resources) max(o Resources) Resources {
	return Resources{max(r.CPUMilli, o.CPUMilli), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

func (r Resources) fitsIn(o Resources) bool { return r == r.min(o) }

func (r Resources) min(o Resources) Resources {
	return Resources{min(r.CPUMilli, o.CPUMilli), min(r.MemoryMB, o.MemoryMB), min(r.Accelerators, o.Accelerators)}
}

// MinionAudit holds the counters and peak values of one minion.
type MinionAudit struct {
	Slots           int `json:"slots"`
	MaxInUse        int `json:"max_in_use"` // never above Slots, since a minion refuses requests without a free slot
	MaxConnections  int `json:"max_connections"`
	OverConnections int `json:"over_connections"` // connections closed because the minion was at its connection limit
	Runs            int `json:"runs"`
	Refused         int `json:"refused"` // requests refused for lack of a slot
	Faults          int `json:"faults"`  // requests hit by a fault that is limited to a number of requests
}

// WorkerAudit holds the counters of one worker and the peak sums over its running tasks.
type WorkerAudit struct {
	Capacity    Resources `json:"capacity"`
	MaxAssigned Resources `json:"max_assigned"` // peak sum of declared sizes, separately for each resource
	MaxUsed     Resources `json:"max_used"`     // peak sum of actual usage, separately for each resource
	Starts      int       `json:"starts"`
	TooLate     int       `json:"too_late"` // starts refused because not_after_ms had passed
	// LongestOveruseMS is the longest time during which the tasks together used more memory than the worker has.
	LongestOveruseMS int64 `json:"longest_overuse_ms"`
}

// Overlap records that a task ran in more than one place at the same time.
type Overlap struct {
	TaskID string   `json:"task_id"`
	Places []string `json:"places"` // worker/attempt
}

// AuditReport is the body of GET /v1/audit.
type AuditReport struct {
	Minions  map[string]MinionAudit `json:"minions"`
	Workers  map[string]WorkerAudit `json:"workers"`
	Overlaps []Overlap              `json:"overlaps"`
	// RequestRuns counts request executions on minions by the key in the payload.
	RequestRuns map[string]int `json:"request_runs"`
	// TaskRuns counts task starts on workers by task id, KeyRuns by the key in the payload.
	TaskRuns map[string]int `json:"task_runs"`
	KeyRuns  map[string]int `json:"key_runs"`
	// Violations describes each broken guarantee; empty if there are none.
	Violations []string `json:"violations"`
}

// Audit records what ran where. All minions and workers of a platform share one Audit. It is safe for concurrent use.
type Audit struct {
	mu           sync.Mutex
	minions      map[string]*MinionAudit
	workers      map[string]*WorkerAudit
	running      map[string]map[string]struct{} // task id -> places
	overlaps     []Overlap
	requestRuns  map[string]int
	taskRuns     map[string]int
	keyRuns      map[string]int
	onceRequests map[string]struct{} // keys of requests whose payload sets "once"
	onceTasks    map[string]struct{} // ids of tasks whose payload sets "once"
}

// NewAudit returns an empty audit.
func NewAudit() *Audit {
	return &Audit{
		minions: map[string]*MinionAudit{}, workers: map[string]*WorkerAudit{},
		running: map[string]map[string]struct{}{}, requestRuns: map[string]int{}, taskRuns: map[string]int{},
		keyRuns: map[string]int{}, onceRequests: map[string]struct{}{}, onceTasks: map[string]struct{}{},
	}
}

// updateMinion calls change with the audit record of one minion, under the lock.
func (a *Audit) updateMinion(id string, change func(*MinionAudit)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.minions[id]
	if m == nil {
		m = &MinionAudit{}
		a.minions[id] = m
	}
	change(m)
}

func (a *Audit) recordRequestRun(w payload) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requestRuns[w.Key]++
	if w.Once {
		a.onceRequests[w.Key] = struct{}{}
	}
}

func (a *Audit) requestRunCounts() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.requestRuns)
}

func (a *Audit) recordTaskRun(taskID string, w payload) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.taskRuns[taskID]++
	a.keyRuns[w.Key]++
	if w.Once {
		a.onceTasks[taskID] = struct{}{}
	}
}

// markRunning records that a task runs at place, which is "worker/attempt", and records an overlap if the task already
// runs elsewhere.
func (a *Audit) markRunning(taskID, place string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	places := a.running[taskID]
	if places == nil {
		places = map[string]struct{}{}
		a.running[taskID] = places
	}
	places[place] = struct{}{}
	if len(places) > 1 {
		o := Overlap{TaskID: taskID}
		for p := range places {
			o.Places = append(o.Places, p)
		}
		sort.Strings(o.Places)
		a.overlaps = append(a.overlaps, o)
	}
}

func (a *Audit) markNotRunning(taskID, place string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.running[taskID], place)
	if len(a.running[taskID]) == 0 {
		delete(a.running, taskID)
	}
}

func (a *Audit) recordWorkerLoad(id string, capacity, assigned, used Resources, starts int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w := a.workers[id]
	if w == nil {
		w = &WorkerAudit{Capacity: capacity}
		a.workers[id] = w
	}
	w.MaxAssigned = w.MaxAssigned.max(assigned)
	w.MaxUsed = w.MaxUsed.max(used)
	w.Starts += starts
}

func (a *Audit) recordLateStart(worker string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.workers[worker].TooLate++
}

func (a *Audit) recordMemoryOveruse(worker string, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w := a.workers[worker]
	w.LongestOveruseMS = max(w.LongestOveruseMS, d.Milliseconds())
}

// Report returns a copy of the audit with the violations found in it.
func (a *Audit) Report() AuditReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := AuditReport{
		Minions: map[string]MinionAudit{}, Workers: map[string]WorkerAudit{},
		Overlaps: append([]Overlap{}, a.overlaps...), RequestRuns: maps.Clone(a.requestRuns),
		TaskRuns: maps.Clone(a.taskRuns), KeyRuns: maps.Clone(a.keyRuns), Violations: []string{},
	}
	addViolation := func(format string, args ...any) { r.Violations = append(r.Violations, fmt.Sprintf(format, args...)) }
	for id, m := range a.minions {
		r.Minions[id] = *m
		if m.OverConnections > 0 {
			addViolation("minion %s: more than %d connections", id, maxConnections)
		}
	}
	for id, w := range a.workers {
		r.Workers[id] = *w
		if !w.MaxAssigned.fitsIn(w.Capacity) {
			addViolation("worker %s: assigned %+v, has %+v", id, w.MaxAssigned, w.Capacity)
		}
	}
	for _, o := range a.overlaps {
		addViolation("task %s: ran at once on %v", o.TaskID, o.Places)
	}
	for key := range a.onceRequests {
		if n := a.requestRuns[key]; n > 1 {
			addViolation("request %s: ran %d times", key, n)
		}
	}
	for id := range a.onceTasks {
		if n := a.taskRuns[id]; n > 1 {
			addViolation("task %s: ran %d times", id, n)
		}
	}
	sort.Strings(r.Violations)
	return r
}
