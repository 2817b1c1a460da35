package workload

import (
	"slices"
	"time"
)

// CrashEvidence is what crashes of workers say about a task, or about a gang as a whole, since one of its runs last proved to be
// harmless.
type CrashEvidence struct {
	Crashes    int           `json:"n,omitempty"`   // workers that crashed while they had, or may have had, a run of it
	Accepted   int           `json:"ok,omitempty"`  // those of them that had certainly started the run
	Weight     int           `json:"w,omitempty"`   // sum of the weights of these crashes
	LastRun    int64         `json:"r,omitempty"`   // the run of the last crash
	LastWeight int           `json:"lw,omitempty"`  // the weight of the crashes of that run
	LastStart  bool          `json:"ls,omitempty"`  // Accepted includes that run
	MaxAge     time.Duration `json:"age,omitempty"` // the longest time from the start of a run to the crash
	// Total counts the runs of it whose workers had accepted them and crashed, whether or not that points to the task, and TotalRun is the
	// last of them. Addresses are those of the workers, at most maxCrashAddresses of them: crashes at one address may be due to the host.
	Total     int              `json:"all,omitempty"`
	TotalRun  int64            `json:"ar,omitempty"`
	Addresses []string         `json:"ad,omitempty"`
	Suspected []SuspectedCrash `json:"s,omitempty"` // workers that may have crashed under it
}

// maxCrashAddresses is how many addresses are enough to tell a task that crashes workers from a host whose workers crash.
const maxCrashAddresses = 4

// SuspectedCrash is a worker that stopped answering while it had a run of the task. Only a newer incarnation, or another worker at its
// address, shows that it has crashed.
type SuspectedCrash struct {
	Worker      string        `json:"id"`
	Address     string        `json:"a,omitempty"`
	Incarnation int64         `json:"b,omitempty"`
	Run         int64         `json:"r"`
	Weight      int           `json:"w"`
	Accepted    bool          `json:"ok,omitempty"`  // the worker had accepted the start of the run
	Age         time.Duration `json:"age,omitempty"` // from the start of the run until the worker stopped answering
	Since       time.Time     `json:"t"`             // when it stopped answering, on the clock of the owner at that time
}

// Empty reports whether there is no evidence.
func (e *CrashEvidence) Empty() bool { return !e.Counted() && len(e.Suspected) == 0 }

// Counted reports whether any crash was counted.
func (e *CrashEvidence) Counted() bool { return e.Crashes > 0 || e.Total > 0 }

// Suspect adds a suspected crash. Another one on the same worker is replaced.
func (e *CrashEvidence) Suspect(c SuspectedCrash) {
	if earlier, found := e.TakeSuspected(c.Worker); found {
		c.Weight, c.Accepted = max(c.Weight, earlier.Weight), c.Accepted || earlier.Accepted
	}
	e.Suspected = append(e.Suspected, c)
}

// TakeSuspected removes the suspected crash of a worker and returns it.
func (e *CrashEvidence) TakeSuspected(worker string) (SuspectedCrash, bool) {
	i := slices.IndexFunc(e.Suspected, func(c SuspectedCrash) bool { return c.Worker == worker })
	if i < 0 {
		return SuspectedCrash{}, false
	}
	c := e.Suspected[i]
	// The stored progress shares the slice, so it is not changed in place.
	e.Suspected = slices.Concat(e.Suspected[:i], e.Suspected[i+1:])
	return c, true
}

// Count counts a crash. The crashes under one run of a gang, on several workers, count once. A crash of weight 0 does not point to the
// task, so it is no evidence, but it is included in Total.
func (e *CrashEvidence) Count(c SuspectedCrash) {
	e.MaxAge = max(e.MaxAge, c.Age)
	if len(e.Addresses) < maxCrashAddresses && !slices.Contains(e.Addresses, c.Address) {
		e.Addresses = slices.Concat(e.Addresses, []string{c.Address}) // the stored progress shares the slice
	}
	if c.Accepted && e.TotalRun != c.Run {
		e.Total++
		e.TotalRun = c.Run
	}
	if c.Weight == 0 {
		return
	}
	if e.Crashes == 0 || e.LastRun != c.Run {
		e.Crashes++
		e.LastRun, e.LastWeight, e.LastStart = c.Run, 0, false
	}
	e.Weight += max(c.Weight-e.LastWeight, 0)
	e.LastWeight = max(c.Weight, e.LastWeight)
	if c.Accepted && !e.LastStart {
		e.Accepted++
		e.LastStart = true
	}
}

// AcceptStart notes that a worker that is suspected of having crashed had accepted the start of the run.
func (e *CrashEvidence) AcceptStart(worker string, run int64) {
	e.Suspected = slices.Clone(e.Suspected) // the stored progress shares the slice
	for i := range e.Suspected {
		if c := &e.Suspected[i]; c.Worker == worker && c.Run == run {
			c.Accepted = true
		}
	}
}

// Clear removes the counted crashes. Suspected ones remain until it is known whether the worker crashed.
func (e *CrashEvidence) Clear() { *e = CrashEvidence{Suspected: e.Suspected} }
