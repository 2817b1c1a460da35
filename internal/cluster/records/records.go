// Package records names the rows that the daemons keep in the platform's store and reads them.
package records

import (
	"encoding/json"
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/tenure"
)

// Tables of the daemons.
const (
	// Jobs is the inbox: it holds accepted jobs and their cancellations, in parts by the hash of the job's id. Any daemon
	// writes there.
	Jobs = "jobs"
	// Live holds the jobs that an owner knows and that have not ended, in the owner's part. A task starts only after its
	// job is there, so a job that is only in the table Jobs has never been started.
	Live = "live"
	// Progress holds what has become of the live jobs, in the owner's part.
	Progress = "progress"
	// Ended holds the final states of jobs, in the owner's part.
	Ended = "ended"
	// Workers holds the workers on which an owner may have started tasks, in the owner's part.
	Workers = "workers"
	// Hosts holds the daemons' peer addresses.
	Hosts = "hosts"
)

// jobPartCount divides the jobs. A part takes 200 transactions a second and works on them one by one; while the store is 80
// times slower than usual that is 2.5 a second, and the burst of a large fleet brings 300 jobs a second.
const jobPartCount = 256

const cancelSuffix = "/cancel"

// JobParts returns the parts of the table Jobs.
func JobParts() []string {
	parts := make([]string, jobPartCount)
	for i := range parts {
		parts[i] = "j" + strconv.Itoa(i)
	}
	return parts
}

// Places is the number of parts in which the rows of a job may be: while one part does not take writes, the other does. A
// job that has rows at both is one job.
const Places = 2

// JobKey is the row of an accepted job at one of its places; place 0 is the usual one.
func JobKey(id string, place int) rowstore.Key {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	part := (int(h.Sum32()%jobPartCount) + place*jobPartCount/Places) % jobPartCount
	return rowstore.Key{Table: Jobs, Part: "j" + strconv.Itoa(part), Name: id}
}

// CancelKey is the row of a job's cancellation at one of its places.
func CancelKey(id string, place int) rowstore.Key {
	k := JobKey(id, place)
	k.Name += cancelSuffix
	return k
}

// CancelledJob returns the job that a row cancels, or false if the row is no cancellation.
func CancelledJob(k rowstore.Key) (string, bool) { return strings.CutSuffix(k.Name, cancelSuffix) }

// LiveKey is the row of a live job.
func LiveKey(id string) rowstore.Key {
	return rowstore.Key{Table: Live, Part: tenure.Part, Name: id}
}

const packPrefix = "pack/"

// PackKey is a row of several live jobs that an owner has stored together.
func PackKey(epoch, number int64) rowstore.Key {
	return LiveKey(packPrefix + strconv.FormatInt(epoch, 10) + "/" + strconv.FormatInt(number, 10))
}

// IsPack reports whether a row of the table Live holds several jobs.
func IsPack(k rowstore.Key) bool { return strings.HasPrefix(k.Name, packPrefix) }

// EndedKey is the row of an ended job's state.
func EndedKey(id string) rowstore.Key {
	return rowstore.Key{Table: Ended, Part: tenure.Part, Name: id}
}

// ProgressKey is the row of a job's progress.
func ProgressKey(id string) rowstore.Key {
	return rowstore.Key{Table: Progress, Part: tenure.Part, Name: id}
}

// WorkersKey is the row that names the workers an owner has used.
var WorkersKey = rowstore.Key{Table: Workers, Part: tenure.Part, Name: "used"}

// HostKey is the row of a daemon.
func HostKey(host string) rowstore.Key { return rowstore.Key{Table: Hosts, Name: host} }

// UsedWorkers are the ids of the workers on which an owner may have started tasks.
type UsedWorkers struct {
	IDs []string `json:"ids"`
	// Delegated tells that other hosts may act for the owner, for as long as their permits last.
	Delegated bool `json:"delegated,omitempty"`
}

// Encode returns the stored form of v.
func Encode(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode row")
	}
	return data, nil
}

// Decode reads a row that Encode made.
func Decode(r rowstore.Row, v any) error {
	if err := json.Unmarshal(r.Value, v); err != nil {
		return errors.Wrapf(err, "decode row %s/%s/%s", r.Table, r.Part, r.Name)
	}
	return nil
}
