// Package workload has the jobs that callers hand in, what is durable of their progress, and how both are stored.
package workload

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
)

// Resources are what a task needs or a worker has.
type Resources struct {
	CPUMilli     int64 `json:"cpu,omitempty"` // thousandths of a core
	MemoryMB     int64 `json:"mem,omitempty"`
	Accelerators int64 `json:"acc,omitempty"`
}

// Add returns the sum of both.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns what is left of r without o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUMilli - o.CPUMilli, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether o fits into r.
func (r Resources) Fits(o Resources) bool {
	return o.CPUMilli <= r.CPUMilli && o.MemoryMB <= r.MemoryMB && o.Accelerators <= r.Accelerators
}

// Pairs returns the amounts of r with those of o, resource by resource.
func (r Resources) Pairs(o Resources) [3][2]int64 {
	return [...][2]int64{{r.CPUMilli, o.CPUMilli}, {r.MemoryMB, o.MemoryMB}, {r.Accelerators, o.Accelerators}}
}

// Step is a group of equal tasks of a job.
type Step struct {
	Count          int           `json:"n"`
	Resources      Resources     `json:"res"`
	Estimate       time.Duration `json:"est,omitempty"`   // the caller's guess of a task's duration; it may be far off
	After          []int         `json:"after,omitempty"` // earlier steps whose tasks must all be done first
	Checkpointing  bool          `json:"ckpt,omitempty"`
	Gang           bool          `json:"gang,omitempty"`    // the tasks work only together and share a run number
	SameRack       bool          `json:"rack,omitempty"`    // the gang is slower on more than one rack
	Requirement    string        `json:"req,omitempty"`     // label that the worker must have
	DataRack       string        `json:"data,omitempty"`    // rack of the data; tasks elsewhere are slower
	MaxPerWorker   int           `json:"per,omitempty"`     // 0: no limit
	Speculative    bool          `json:"spec,omitempty"`    // copies of a task may run at the same time
	LongRunning    bool          `json:"long,omitempty"`    // restarted however its tasks end, until the job is cancelled
	Image          string        `json:"img,omitempty"`     // tasks of one image behave alike
	LatencyTarget  time.Duration `json:"target,omitempty"`  // tail of the response times of a serving task
	Filler         bool          `json:"fill,omitempty"`    // takes the processors that other tasks leave unused
	MaxUnavailable int           `json:"unavail,omitempty"` // tasks that the system may take away at once
}

// Spec is a job as it was accepted.
type Spec struct {
	ID          string        `json:"id"`
	Queue       queues.Queue  `json:"queue"` // as of the acceptance; it serves once the queue is gone
	Payload     string        `json:"payload,omitempty"`
	Steps       []Step        `json:"steps"`
	Repetitions int           `json:"reps,omitempty"` // 0: the steps run once, at once
	FirstRun    time.Time     `json:"first,omitzero"`
	Interval    time.Duration `json:"every,omitempty"`
	Accepted    time.Time     `json:"accepted"`
}

// Occurrences is how many times the steps run.
func (s *Spec) Occurrences() int { return max(s.Repetitions, 1) }

// Due is when the occurrence k may start.
func (s *Spec) Due(k int) time.Time {
	if s.Repetitions == 0 {
		return s.Accepted
	}
	return s.FirstRun.Add(time.Duration(k) * s.Interval)
}

// TaskID names a task.
type TaskID struct {
	Job        string `json:"Job"`
	Occurrence int    `json:"Occurrence"`
	Step       int    `json:"Step"`
	Index      int    `json:"Index"`
}

func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// MarshalText implements encoding.TextMarshaler.
func (t TaskID) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *TaskID) UnmarshalText(text []byte) error {
	id, err := ParseTaskID(string(text))
	*t = id
	return err
}

// StepID names a step of an occurrence.
type StepID struct {
	Job        string `json:"Job"`
	Occurrence int    `json:"Occurrence"`
	Step       int    `json:"Step"`
}

func (s StepID) String() string {
	return s.Job + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// ErrBadTaskID is returned for a text that names no task.
var ErrBadTaskID = errors.New("workload: not a task id")

// ParseTaskID reads the text that TaskID.String makes.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskID{}, errors.Wrapf(ErrBadTaskID, "%q", text)
	}
	id := TaskID{Job: parts[0]}
	for i, field := range []*int{&id.Occurrence, &id.Step, &id.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, errors.Wrapf(ErrBadTaskID, "%q", text)
		}
		*field = n
	}
	return id, nil
}

// State is the state of a job as callers see it.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether a job in this state never changes again.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// TaskProgress is what is durable of a task.
type TaskProgress struct {
	Occurrence int     `json:"k,omitempty"`
	Step       int     `json:"s,omitempty"`
	Index      int     `json:"i,omitempty"`
	Done       bool    `json:"d,omitempty"`
	FailedRuns []int64 `json:"f,omitempty"` // a failure may be listed again to a successor, and counts once
	Checkpoint string  `json:"c,omitempty"`
	Run        int64   `json:"r,omitempty"` // highest run number known to be used
}

// Progress is what is durable of a job beyond its acceptance.
type Progress struct {
	Format int            `json:"v"`
	State  State          `json:"state"`
	Ended  time.Time      `json:"ended,omitzero"`
	Tasks  []TaskProgress `json:"tasks,omitempty"` // tasks about which nothing is known are left out
}

// Formats of the stored rows. A row of a newer format is not read, so that an older program can't damage it.
const (
	SpecFormat     = 1
	ProgressFormat = 1
)

// ErrFormat is returned for a row of a newer format.
var ErrFormat = errors.New("workload: row has a newer format")

type storedSpec struct {
	Format int `json:"v"`
	*Spec
}

// EncodeSpec returns the stored form of a job.
func EncodeSpec(s *Spec) ([]byte, error) {
	return json.Marshal(storedSpec{SpecFormat, s})
}

// DecodeSpec reads what EncodeSpec made.
func DecodeSpec(data []byte) (*Spec, error) {
	s := storedSpec{Spec: &Spec{}}
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, errors.Wrap(err, "decode job")
	}
	if s.Format > SpecFormat {
		return nil, errors.Wrapf(ErrFormat, "job %s, format %d", s.ID, s.Format)
	}
	return s.Spec, nil
}

// storedPack are jobs that share a row.
type storedPack struct {
	Format int     `json:"v"`
	Jobs   []*Spec `json:"jobs"`
}

// EncodePack returns the stored form of several jobs.
func EncodePack(jobs []*Spec) ([]byte, error) {
	return json.Marshal(storedPack{SpecFormat, jobs})
}

// DecodePack reads what EncodePack made.
func DecodePack(data []byte) ([]*Spec, error) {
	var p storedPack
	if err := json.Unmarshal(data, &p); err != nil {
		return nil, errors.Wrap(err, "decode jobs")
	}
	if p.Format > SpecFormat {
		return nil, errors.Wrapf(ErrFormat, "jobs, format %d", p.Format)
	}
	return p.Jobs, nil
}

// EncodeProgress returns the stored form of a job's progress.
func EncodeProgress(p *Progress) ([]byte, error) {
	p.Format = ProgressFormat
	return json.Marshal(p)
}

// DecodeProgress reads what EncodeProgress made.
func DecodeProgress(data []byte) (*Progress, error) {
	var p Progress
	if err := json.Unmarshal(data, &p); err != nil {
		return nil, errors.Wrap(err, "decode progress")
	}
	if p.Format > ProgressFormat {
		return nil, errors.Wrapf(ErrFormat, "progress, format %d", p.Format)
	}
	return &p, nil
}

// Limits of a job that callers hand in.
const (
	MaxPayloadBytes = 4000
	maxTasks        = 100_000
)

// ErrInvalid is returned for a job that can never be run as it was handed in.
var ErrInvalid = errors.New("workload: invalid job")

// Validate checks a job.
func (s *Spec) Validate() error {
	if len(s.Payload) > MaxPayloadBytes {
		return errors.Wrapf(ErrInvalid, "the task's text has %d bytes, at most %d are allowed", len(s.Payload), MaxPayloadBytes)
	}
	if len(s.Steps) == 0 {
		return errors.Wrap(ErrInvalid, "no steps")
	}
	if s.Repetitions < 0 || s.Interval < 0 {
		return errors.Wrap(ErrInvalid, "negative repetitions or interval")
	}
	total := 0
	for i, st := range s.Steps {
		if err := st.validate(i); err != nil {
			return err
		}
		total += st.Count
	}
	if total*s.Occurrences() > maxTasks {
		return errors.Wrapf(ErrInvalid, "%d tasks, at most %d are allowed", total*s.Occurrences(), maxTasks)
	}
	return nil
}

func (st Step) validate(index int) error {
	r := st.Resources
	if st.Count <= 0 || st.Count > maxTasks || r.CPUMilli < 0 || r.MemoryMB < 0 || r.Accelerators < 0 || st.Estimate < 0 {
		return errors.Wrapf(ErrInvalid, "step %d: no tasks or a negative figure", index)
	}
	for _, a := range st.After {
		if a < 0 || a >= index {
			return errors.Wrapf(ErrInvalid, "step %d: comes after step %s, which is not an earlier one", index, fmt.Sprint(a))
		}
	}
	return nil
}
