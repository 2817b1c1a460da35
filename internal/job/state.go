package job

import (
	"sort"
	"time"
)

// This file has the read access of callers and operators to the state of a partition.

// PartitionState is the state of one partition, for operators.
type PartitionState struct {
	Partition    string        `json:"partition"`
	Epoch        int64         `json:"epoch"`
	Settled      bool          `json:"settled"`
	Draining     bool          `json:"draining"`
	Jobs         map[State]int `json:"jobs"`
	OpenTasks    int           `json:"open_tasks"`
	Waiting      int           `json:"waiting"`
	Cancels      int           `json:"cancellations_waiting"`
	DoubleRuns   int64         `json:"double_runs"`
	ReservedFor  string        `json:"reserved_for,omitempty"`
	JournalBytes int           `json:"journal_bytes"`
	JournalOK    bool          `json:"journal_healthy"`
	Workers      []WorkerState `json:"workers"`
}

// WorkerState is the state of one worker as its partition sees it, for operators.
type WorkerState struct {
	ID               string    `json:"id"`
	Addr             string    `json:"addr"`
	BootID           string    `json:"boot_id"`
	Schedulable      bool      `json:"open"`
	Leaving          bool      `json:"leaving"`
	Reported         bool      `json:"reported"`
	Misses           int       `json:"missed_renewals"`
	Capacity         Resources `json:"capacity"`
	Used             Resources `json:"used"`
	Tasks            int       `json:"tasks"`
	UnknownTasks     int       `json:"unknown_tasks"`
	QuarantinedUntil time.Time `json:"quarantined_until,omitzero"`
}

func (p *partition) currentState() PartitionState {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := PartitionState{
		Partition: p.name, Epoch: p.guard.Epoch(), Settled: p.settled, Draining: p.draining, Jobs: map[State]int{},
		OpenTasks: p.openTasks, Waiting: p.queue.waiting(), Cancels: len(p.cancels), DoubleRuns: p.doubleRuns,
		JournalBytes: p.log.Bytes(), JournalOK: p.log.Healthy(), Workers: []WorkerState{},
	}
	if p.reserved != nil {
		s.ReservedFor = p.reserved.job.id
	}
	for _, j := range p.jobs {
		s.Jobs[j.state()]++
	}
	for _, w := range p.workers {
		ws := WorkerState{
			ID: w.id, Addr: w.addr, BootID: w.bootID, Leaving: w.leaving, Reported: w.reported, Misses: w.missedRenewals, Used: w.used,
			Tasks: len(w.assignments), UnknownTasks: len(w.unknown), QuarantinedUntil: w.health.quarantinedUntil,
		}
		if w.node != nil {
			ws.Schedulable, ws.Capacity = w.node.Schedulable(), w.node.Capacity()
		}
		s.Workers = append(s.Workers, ws)
	}
	sort.Slice(s.Workers, func(a, b int) bool { return s.Workers[a].ID < s.Workers[b].ID })
	return s
}

// acceptedJob returns the accepted job with a key, or nil. The caller holds p.mu.
func (p *partition) acceptedJob(customer, key string) *job {
	if j := p.jobs[jobID(customer, key)]; j != nil && j.accepted {
		return j
	}
	return nil
}

func (p *partition) status(customer, key string) (Status, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j := p.acceptedJob(customer, key); j != nil {
		return j.status(), nil
	}
	return Status{}, refuse(CodeNotFound, 0, "no job with this key")
}

func (p *partition) list(customer string) []Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Status, 0, len(p.customers[customer]))
	for _, j := range p.customers[customer] {
		if j.accepted {
			out = append(out, j.status())
		}
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].AcceptedAt.Before(out[b].AcceptedAt) })
	return out
}
