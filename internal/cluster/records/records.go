// Package records defines the tables and keys of the rows that the daemons keep in the platform's store, and encodes and
// decodes their values.
package records

import (
	"encoding/json"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/cluster/election"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/cluster/wire"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Tables of the daemons.
const (
	// Inbox is where the scheduler finds new jobs: it holds accepted jobs and their cancellations, divided into partitions by
	// the hash of the job's id. Any daemon writes to it.
	Inbox = "jobs"
	// ActiveJobs holds the jobs that an owner has taken over from the inbox and that have not ended, in the owner's
	// partition. A task starts only after its job is stored there, so a job that is only in the inbox has never been
	// started.
	ActiveJobs = "live"
	// Progress holds the progress of the active jobs, in the owner's partition.
	Progress = "progress"
	// Ended holds the final states of ended jobs, in the owner's partition.
	Ended = "ended"
	// Workers holds the workers on which an owner may have started tasks, in the owner's partition.
	Workers = "workers"
	// Interference holds what owners have learned about kinds of tasks that slow each other down, in the owner's partition.
	Interference = "interference"
	// Hosts holds the registration of each daemon, with its peer address.
	Hosts = "hosts"
)

// jobPartitionCount is the number of partitions of the inbox. A partition processes its transactions one by one, usually
// 200 a second. When the store is 80 times slower than usual, that is 2.5 a second, and a burst for a large number of workers
// is 300 jobs a second.
const jobPartitionCount = 256

const (
	cancelSuffix     = "/cancel"
	earlyCancelInfix = "/early/"
)

// InboxPartitions returns the names of all partitions of the inbox.
func InboxPartitions() []string {
	partitions := make([]string, jobPartitionCount)
	for i := range partitions {
		partitions[i] = "j" + strconv.Itoa(i)
	}
	return partitions
}

// AlternativePartitions is the number of alternative partitions for the rows of a job, so that a job can be stored while one of
// them does not take writes. A job that has rows in both partitions is one job.
const AlternativePartitions = 2

// JobKey returns the key of the row of an accepted job in one of its alternative partitions: alternative is its index, from 0
// to AlternativePartitions-1. Alternative 0 is tried first.
func JobKey(id string, alternative int) rowstore.Key {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	partition := (int(h.Sum32()%jobPartitionCount) + alternative*jobPartitionCount/AlternativePartitions) % jobPartitionCount
	return rowstore.Key{Table: Inbox, Partition: "j" + strconv.Itoa(partition), Name: id}
}

// CancelKey returns the key of the row of a job's cancellation in one of its alternative partitions.
func CancelKey(id string, alternative int) rowstore.Key {
	k := JobKey(id, alternative)
	k.Name += cancelSuffix
	return k
}

// EarlyCancel is the value of a row that cancels a job which was not found. It applies to jobs that the caller may access.
type EarlyCancel struct {
	By   workload.Access `json:"by"`
	AtMS int64           `json:"at"` // in milliseconds since 1970
}

// EarlyCancelKey returns the key of the row of an early cancellation by a caller in one of the alternative partitions. Those of several teams
// stand beside each other, since a team must not cancel the job of another one. An owner of an earlier release takes the row for the
// cancellation of a job that it does not know.
func EarlyCancelKey(id string, by workload.Access, alternative int) rowstore.Key {
	callers := "all"
	if by.Restricted {
		h := fnv.New64a()
		_, _ = h.Write([]byte(by.Team))
		callers = "team/" + strconv.FormatUint(h.Sum64(), 16)
	}
	k := JobKey(id, alternative)
	k.Name += earlyCancelInfix + callers + cancelSuffix
	return k
}

// CancelledJob returns the id of the job that a row cancels and whether the cancellation is an early one, or false if the row is not a
// cancellation.
func CancelledJob(k rowstore.Key) (id string, early, found bool) {
	name, found := strings.CutSuffix(k.Name, cancelSuffix)
	id, _, early = strings.Cut(name, earlyCancelInfix)
	return id, early, found
}

// ActiveJobKey returns the key of the row of a active job.
func ActiveJobKey(id string) rowstore.Key {
	return rowstore.Key{Table: ActiveJobs, Partition: election.Partition, Name: id}
}

const jobBatchPrefix = "pack/"

// JobBatchKey returns the key of a row with several active jobs that an owner has stored together. The epoch of the owner and a
// number make it unique.
func JobBatchKey(epoch, number int64) rowstore.Key {
	return ActiveJobKey(jobBatchPrefix + strconv.FormatInt(epoch, 10) + "/" + strconv.FormatInt(number, 10))
}

// IsJobBatch reports whether a row of the table ActiveJobs holds several jobs.
func IsJobBatch(k rowstore.Key) bool { return strings.HasPrefix(k.Name, jobBatchPrefix) }

// EndedKey returns the key of the row with an ended job's state.
func EndedKey(id string) rowstore.Key {
	return rowstore.Key{Table: Ended, Partition: election.Partition, Name: id}
}

// ProgressKey returns the key of the row of a job's progress.
func ProgressKey(id string) rowstore.Key {
	return rowstore.Key{Table: Progress, Partition: election.Partition, Name: id}
}

const chunkInfix = "/tasks/"

// ProgressChunkKey returns the key of a further chunk of a job's progress; chunks are numbered from 1.
func ProgressChunkKey(id string, chunk int) rowstore.Key {
	return ProgressKey(id + chunkInfix + strconv.Itoa(chunk))
}

// ParseProgressKey returns the job and the chunk of a row with progress; chunk 0 has the key ProgressKey.
func ParseProgressKey(k rowstore.Key) (id string, chunk int) {
	id, suffix, found := strings.Cut(k.Name, chunkInfix)
	chunk, err := strconv.Atoi(suffix)
	if !found || err != nil {
		return k.Name, 0
	}
	return id, chunk
}

// WorkersInUseKey is the key of the row of WorkersInUse.
var WorkersInUseKey = rowstore.Key{Table: Workers, Partition: election.Partition, Name: "used"}

// InterferenceKey is the key of the only row of the table Interference.
var InterferenceKey = rowstore.Key{Table: Interference, Partition: election.Partition, Name: "model"}

// HostKey returns the key of the row of a host's daemon.
func HostKey(host string) rowstore.Key { return rowstore.Key{Table: Hosts, Name: host} }

// WorkersInUse lists the workers on which an owner may have started tasks.
type WorkersInUse struct {
	IDs []string `json:"ids"`
	// Delegated means that other hosts may call workers on behalf of the owner, until their permits expire.
	Delegated bool `json:"delegated,omitempty"`
	// Epoch is the epoch of the owner that wrote the list. Earlier releases leave it out.
	Epoch int64 `json:"epoch,omitempty"`
	// Inherited are those of IDs to which an owner before the writer may still have sent orders when the list was written.
	Inherited []string `json:"inherited,omitempty"`
	// Incarnations are those of IDs, in the same order. Earlier releases leave it out.
	Incarnations []int64 `json:"born,omitempty"`
	// StaleLeases are those of IDs whose lease a call for an earlier incarnation may have set.
	StaleLeases []string `json:"stale,omitempty"`
	// ClockZeros tell when the clocks of IDs showed zero, in the same order; 0 if it is not known. The first of them was read at ReadAtMS.
	// Both are in milliseconds since 1970.
	ClockZeros []int64 `json:"clock_zero,omitempty"`
	ReadAtMS   int64   `json:"read,omitempty"`
}

// NewWorkersInUse returns the list of workers and their uses, by ID.
func NewWorkersInUse(uses map[string]scheduler.WorkerUse) WorkersInUse {
	u := WorkersInUse{IDs: slices.Sorted(maps.Keys(uses))}
	for _, id := range u.IDs {
		u.Incarnations = append(u.Incarnations, uses[id].Incarnation)
		if uses[id].StaleLease {
			u.StaleLeases = append(u.StaleLeases, id)
		}
	}
	return u
}

// Uses returns the uses of the workers, by ID. An owner of a release that leaves the incarnations out did not fence off calls for earlier
// ones, so such calls may have set all leases.
func (u WorkersInUse) Uses() map[string]scheduler.WorkerUse {
	uses := make(map[string]scheduler.WorkerUse, len(u.IDs))
	for i, id := range u.IDs {
		use := scheduler.WorkerUse{StaleLease: true}
		if i < len(u.Incarnations) {
			use = scheduler.WorkerUse{Incarnation: u.Incarnations[i]}
		}
		uses[id] = use
	}
	for _, id := range u.StaleLeases {
		uses[id] = scheduler.WorkerUse{Incarnation: uses[id].Incarnation, StaleLease: true}
	}
	return uses
}

// Clocks returns the zeros of the workers' clocks, by ID.
func (u WorkersInUse) Clocks() map[string]scheduler.ClockZero {
	clocks := make(map[string]scheduler.ClockZero, len(u.ClockZeros))
	for i, zero := range u.ClockZeros[:min(len(u.ClockZeros), len(u.IDs))] {
		clocks[u.IDs[i]] = scheduler.ClockZero{UnixMS: zero, ReadAt: time.UnixMilli(u.ReadAtMS)}
	}
	return clocks
}

// SetClocks records the zeros of the workers' clocks, none of which was read after the given time. The earliest reading counts for all: a
// clock that an earlier owner has read may have drifted since.
func (u *WorkersInUse) SetClocks(clocks map[string]scheduler.ClockZero, readAt time.Time) {
	if len(u.IDs) == 0 {
		return
	}
	u.ClockZeros, u.ReadAtMS = make([]int64, len(u.IDs)), readAt.UnixMilli()
	for i, id := range u.IDs {
		c := clocks[id]
		u.ClockZeros[i] = c.UnixMS
		if c.UnixMS != 0 {
			u.ReadAtMS = min(u.ReadAtMS, c.ReadAt.UnixMilli())
		}
	}
}

// InheritedBy returns the workers to which an owner before the previous one may still send orders, as the owner of an epoch has
// to assume: all workers, unless the previous owner wrote the list.
func (u WorkersInUse) InheritedBy(epoch int64) []string {
	if u.Epoch != epoch-1 || u.Epoch == 0 {
		return u.IDs
	}
	return u.Inherited
}

// Encode encodes v as the value of a row.
func Encode(v any) ([]byte, error) {
	data, err := wire.Encode(v)
	if err != nil {
		return nil, errors.Wrap(err, "row")
	}
	return data, nil
}

// Decode decodes the value of a row into v. The value must come from Encode.
func Decode(r rowstore.Row, v any) error {
	if err := json.Unmarshal(r.Value, v); err != nil {
		return errors.Wrapf(err, "decode row %s/%s/%s", r.Table, r.Partition, r.Name)
	}
	return nil
}
