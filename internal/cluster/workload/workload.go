// Package workload defines the jobs that callers submit, their stored progress, and the encoding of both in the store's rows.
package workload

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/wire"
)

// Resources are the resources that a task needs or a worker has.
type Resources struct {
	CPUMilli     int64 `json:"cpu,omitempty"` // thousandths of a core
	MemoryMB     int64 `json:"mem,omitempty"`
	Accelerators int64 `json:"acc,omitempty"`
}

// Add returns the sum of both.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUMilli - o.CPUMilli, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// CanFit reports whether r has room for o.
func (r Resources) CanFit(o Resources) bool {
	return o.CPUMilli <= r.CPUMilli && o.MemoryMB <= r.MemoryMB && o.Accelerators <= r.Accelerators
}

// Pairs returns, for each kind of resource, the amount in r and the amount in o.
func (r Resources) Pairs(o Resources) [3][2]int64 {
	return [...][2]int64{{r.CPUMilli, o.CPUMilli}, {r.MemoryMB, o.MemoryMB}, {r.Accelerators, o.Accelerators}}
}

// Step is a group of identical tasks of a job.
type Step struct {
	Count          int           `json:"n"`
	Resources      Resources     `json:"res"`
	Estimate       time.Duration `json:"est,omitempty"`     // the caller's estimate of a task's duration, which may be far off
	DependsOn      []int         `json:"after,omitempty"`   // indexes of earlier steps whose tasks must all be done first
	Checkpointing  bool          `json:"ckpt,omitempty"`    // the tasks write checkpoints, from which they can resume
	Gang           bool          `json:"gang,omitempty"`    // gang scheduling: the tasks run only all together, with one run number
	SameRack       bool          `json:"rack,omitempty"`    // the gang should run on one rack, since it is slower on several
	Requirement    string        `json:"req,omitempty"`     // label that the worker must have
	DataRack       string        `json:"data,omitempty"`    // rack that holds the data; tasks on other racks are slower
	MaxPerWorker   int           `json:"per,omitempty"`     // maximum number of its tasks on one worker; 0 means no limit
	Speculative    bool          `json:"spec,omitempty"`    // speculative execution: copies of a task may run at the same time
	LongRunning    bool          `json:"long,omitempty"`    // service tasks: restarted however they end, until the job is cancelled
	Image          string        `json:"img,omitempty"`     // image of the tasks; tasks with the same image behave alike
	LatencyTarget  time.Duration `json:"target,omitempty"`  // target for the tail latency of a task that serves requests
	BestEffort     bool          `json:"fill,omitempty"`    // best-effort tasks that use the processors which other tasks leave unused
	MaxUnavailable int           `json:"unavail,omitempty"` // how many of its tasks the system may stop at the same time
}

// Spec is a job as submitted by a caller and accepted. It never changes.
type Spec struct {
	ID          string        `json:"id"`
	Queue       queues.Queue  `json:"queue"`          // the queue's settings at acceptance, used after the queue has been removed
	Team        string        `json:"team,omitempty"` // whose quota and share the job uses; empty if its caller needed no key
	Quota       queues.Quota  `json:"quota,omitzero"` // the team's limits at acceptance, used by an owner whose configuration lacks the team
	Payload     string        `json:"payload,omitempty"`
	Steps       []Step        `json:"steps"`
	Repetitions int           `json:"reps,omitempty"` // 0 means that the steps run once, immediately
	FirstRun    time.Time     `json:"first,omitzero"`
	Interval    time.Duration `json:"every,omitempty"`
	Accepted    time.Time     `json:"accepted"`
}

// Access is which jobs a caller may see and cancel. The zero value allows all, for deployments without API keys and for calls of earlier
// releases.
type Access struct {
	Restricted bool   `json:"restricted,omitempty"` // keys are enforced, so only jobs of Team and jobs without a team are allowed
	Team       string `json:"team,omitempty"`       // empty for a caller without a key
}

// Allows reports whether the caller may access a job of the team. Jobs that were accepted without a key, or by a release without teams,
// have none and are open to everybody.
func (a Access) Allows(team string) bool { return !a.Restricted || team == "" || team == a.Team }

// Occurrences returns how many times the steps run.
func (s *Spec) Occurrences() int { return max(s.Repetitions, 1) }

// Due returns the earliest start time of the occurrence k.
func (s *Spec) Due(k int) time.Time {
	if s.Repetitions == 0 {
		return s.Accepted
	}
	return s.FirstRun.Add(time.Duration(k) * s.Interval)
}

// TaskID identifies a task.
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

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job        string `json:"Job"`
	Occurrence int    `json:"Occurrence"`
	Step       int    `json:"Step"`
}

func (s StepID) String() string {
	return s.Job + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// ErrBadTaskID is returned for a text that is not a valid task id.
var ErrBadTaskID = errors.New("workload: not a task id")

// ParseTaskID parses the output of TaskID.String.
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

// State is the state of a job that callers see.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether a job in this state never changes its state again.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// TaskProgress is the stored progress of a task.
type TaskProgress struct {
	Occurrence int     `json:"k,omitempty"`
	Step       int     `json:"s,omitempty"`
	Index      int     `json:"i,omitempty"`
	Done       bool    `json:"d,omitempty"`
	FailedRuns []int64 `json:"f,omitempty"` // numbers of its failed runs; a worker may report a failure again to a new owner, and it counts only once
	Checkpoint string  `json:"c,omitempty"`
	Run        int64   `json:"r,omitempty"` // highest run number that is known to have been used
	// Crash is the evidence against the task. For a gang, it is that against the gang as a whole, stored with the first member, and
	// MemberCrash is that against the member.
	Crash       *CrashEvidence `json:"x,omitempty"`
	MemberCrash *CrashEvidence `json:"xm,omitempty"`
	// UnansweredBy are the IDs of workers that have not answered a start of the task, or of the member of a gang, and may carry it out late.
	UnansweredBy []string `json:"u,omitempty"`
}

// Worthwhile reports whether there is anything to store.
func (p TaskProgress) Worthwhile() bool {
	return p.Done || len(p.FailedRuns) > 0 || p.Checkpoint != "" || p.Crash != nil || p.MemberCrash != nil || len(p.UnansweredBy) > 0
}

// Progress is the stored progress of an accepted job, or a chunk of it.
type Progress struct {
	Format int       `json:"v"`
	State  State     `json:"state"`
	Ended  time.Time `json:"ended,omitzero"`
	Team   string    `json:"team,omitempty"` // of the job; only in the first chunk
	// Unanswered means that the job has ended while workers could still carry out a start of it late.
	Unanswered bool           `json:"late,omitempty"`
	Tasks      []TaskProgress `json:"tasks,omitempty"` // only tasks with progress to store
	// StoredChunks are the numbers of the chunks after the first that were read.
	StoredChunks []int `json:"-"`
	// DoneRanges are tasks that are done, see CompactDone.
	DoneRanges []TaskRange `json:"-"`
}

// TaskRange is a range of consecutive tasks of a step.
type TaskRange struct {
	Occurrence, Step, First, Count int
}

// CompactDone moves the tasks that are done from Tasks to DoneRanges. A successor holds the progress of all jobs at once while it loads
// them, and a job may have 100,000 tasks that are done, with 105 bytes each in Tasks.
func (p *Progress) CompactDone() {
	var tasks []TaskProgress
	for _, t := range p.Tasks {
		if !t.Done {
			tasks = append(tasks, t)
			continue
		}
		last := len(p.DoneRanges) - 1
		if last >= 0 && p.DoneRanges[last].endsAt(t) {
			p.DoneRanges[last].Count++
		} else {
			p.DoneRanges = append(p.DoneRanges, TaskRange{t.Occurrence, t.Step, t.Index, 1})
		}
	}
	p.Tasks = tasks
}

// endsAt reports whether the task is the next one after the range.
func (r TaskRange) endsAt(t TaskProgress) bool {
	return r.Occurrence == t.Occurrence && r.Step == t.Step && r.First+r.Count == t.Index
}

// Versions of the row formats. A row with a newer format is not read, so that an older program can't damage it.
const (
	SpecFormat     = 1
	ProgressFormat = 1
	// ProgressChunkFormat is the format of progress that is divided into chunks, of which earlier releases know nothing.
	ProgressChunkFormat = 2
)

// ErrFormat is returned for a row with a newer format than this program knows.
var ErrFormat = errors.New("workload: row has a newer format")

type storedSpec struct {
	Format int `json:"v"`
	*Spec
}

// EncodeSpec encodes a job for its row.
func EncodeSpec(s *Spec) ([]byte, error) {
	return wire.Encode(storedSpec{SpecFormat, s})
}

// DecodeSpec decodes the output of EncodeSpec.
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

// storedJobBatch is the row format of several jobs that share a row.
type storedJobBatch struct {
	Format int     `json:"v"`
	Jobs   []*Spec `json:"jobs"`
}

// EncodeBatchJob encodes a job for a row that it shares with others; see JoinJobBatch.
func EncodeBatchJob(s *Spec) ([]byte, error) { return wire.Encode(s) }

// BatchOverhead is the room that JoinJobBatch needs beside the jobs and a byte for each of them.
const BatchOverhead = 32

// JoinJobBatch returns the value of a row with several jobs, from the outputs of EncodeBatchJob.
func JoinJobBatch(jobs [][]byte) []byte {
	out := fmt.Appendf(nil, `{"v":%d,"jobs":[`, SpecFormat)
	out = append(out, bytes.Join(jobs, []byte(","))...)
	return append(out, "]}"...)
}

// DecodeJobBatch decodes the output of JoinJobBatch.
func DecodeJobBatch(data []byte) ([]*Spec, error) {
	var p storedJobBatch
	if err := json.Unmarshal(data, &p); err != nil {
		return nil, errors.Wrap(err, "decode jobs")
	}
	if p.Format > SpecFormat {
		return nil, errors.Wrapf(ErrFormat, "jobs, format %d", p.Format)
	}
	return p.Jobs, nil
}

// EncodeProgress sets the format version of p and encodes p for its row.
func EncodeProgress(p *Progress) ([]byte, error) {
	p.Format = ProgressFormat
	return wire.Encode(p)
}

// EncodeProgressChunk is EncodeProgress for a chunk after the first.
func EncodeProgressChunk(p *Progress) ([]byte, error) {
	p.Format = ProgressChunkFormat
	return wire.Encode(p)
}

// DecodeProgress decodes the output of EncodeProgress and EncodeProgressChunk.
func DecodeProgress(data []byte) (*Progress, error) {
	var p Progress
	if err := json.Unmarshal(data, &p); err != nil {
		return nil, errors.Wrap(err, "decode progress")
	}
	if p.Format > ProgressChunkFormat {
		return nil, errors.Wrapf(ErrFormat, "progress, format %d", p.Format)
	}
	return &p, nil
}

// Limits of a submitted job.
const (
	MaxPayloadBytes = 4000
	maxTasks        = 100_000
)

// ErrInvalid is returned for a submitted job that can never run.
var ErrInvalid = errors.New("workload: invalid job")

// Validate returns an error that wraps ErrInvalid if the job can never run.
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
	if s.Repetitions > maxTasks || total > maxTasks/s.Occurrences() {
		return errors.Wrapf(ErrInvalid, "%d repetitions of %d tasks, at most %d tasks are allowed", s.Repetitions, total, maxTasks)
	}
	return nil
}

func (st Step) validate(index int) error {
	r := st.Resources
	if st.Count <= 0 || st.Count > maxTasks || r.CPUMilli < 0 || r.MemoryMB < 0 || r.Accelerators < 0 || st.Estimate < 0 {
		return errors.Wrapf(ErrInvalid, "step %d: no tasks or a negative figure", index)
	}
	for _, a := range st.DependsOn {
		if a < 0 || a >= index {
			return errors.Wrapf(ErrInvalid, "step %d: comes after step %s, which is not an earlier one", index, fmt.Sprint(a))
		}
	}
	return nil
}
