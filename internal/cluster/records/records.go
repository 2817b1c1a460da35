// Package records defines the tables and keys of the rows that the daemons keep in the platform's store, and encodes and
// decodes their values.
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
	// Jobs is the inbox of the scheduler: it holds accepted jobs and their cancellations, divided into parts by the hash of
	// the job's id. Any daemon writes to it.
	Jobs = "jobs"
	// Live holds the jobs that an owner has taken over from the table Jobs and that have not ended, in the owner's part. A
	// task starts only after its job is stored there, so a job that is only in the table Jobs has never been started.
	Live = "live"
	// Progress holds the progress of the live jobs, in the owner's part.
	Progress = "progress"
	// Ended holds the final states of ended jobs, in the owner's part.
	Ended = "ended"
	// Workers holds the workers on which an owner may have started tasks, in the owner's part.
	Workers = "workers"
	// Hosts holds the registration of each daemon, with its peer address.
	Hosts = "hosts"
)

// jobPartCount is the number of parts of the table Jobs. A part processes its transactions one by one, usually 200 a second.
// When the store is 80 times slower than usual, that is 2.5 a second, and a burst for a large number of workers is 300 jobs a
// second.
const jobPartCount = 256

const cancelSuffix = "/cancel"

// JobParts returns the names of all parts of the table Jobs.
func JobParts() []string {
	parts := make([]string, jobPartCount)
	for i := range parts {
		parts[i] = "j" + strconv.Itoa(i)
	}
	return parts
}

// Places is the number of alternative parts for the rows of a job, so that a job can be stored while one of them does not
// take writes. A job that has rows in both parts is one job.
const Places = 2

// JobKey returns the key of the row of an accepted job in one of its alternative parts: place is the index of the part, from 0
// to Places-1. Place 0 is tried first.
func JobKey(id string, place int) rowstore.Key {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	part := (int(h.Sum32()%jobPartCount) + place*jobPartCount/Places) % jobPartCount
	return rowstore.Key{Table: Jobs, Part: "j" + strconv.Itoa(part), Name: id}
}

// CancelKey returns the key of the row of a job's cancellation in one of its alternative parts.
func CancelKey(id string, place int) rowstore.Key {
	k := JobKey(id, place)
	k.Name += cancelSuffix
	return k
}

// CancelledJob returns the id of the job that a row cancels, or false if the row is not a cancellation.
func CancelledJob(k rowstore.Key) (string, bool) { return strings.CutSuffix(k.Name, cancelSuffix) }

// LiveKey returns the key of the row of a live job.
func LiveKey(id string) rowstore.Key {
	return rowstore.Key{Table: Live, Part: tenure.Part, Name: id}
}

const packPrefix = "pack/"

// PackKey returns the key of a row with several live jobs that an owner has stored together. The epoch of the owner and a
// number make it unique.
func PackKey(epoch, number int64) rowstore.Key {
	return LiveKey(packPrefix + strconv.FormatInt(epoch, 10) + "/" + strconv.FormatInt(number, 10))
}

// IsPack reports whether a row of the table Live holds several jobs.
func IsPack(k rowstore.Key) bool { return strings.HasPrefix(k.Name, packPrefix) }

// EndedKey returns the key of the row with an ended job's state.
func EndedKey(id string) rowstore.Key {
	return rowstore.Key{Table: Ended, Part: tenure.Part, Name: id}
}

// ProgressKey returns the key of the row of a job's progress.
func ProgressKey(id string) rowstore.Key {
	return rowstore.Key{Table: Progress, Part: tenure.Part, Name: id}
}

// WorkersInUseKey is the key of the row of WorkersInUse.
var WorkersInUseKey = rowstore.Key{Table: Workers, Part: tenure.Part, Name: "used"}

// HostKey returns the key of the row of a host's daemon.
func HostKey(host string) rowstore.Key { return rowstore.Key{Table: Hosts, Name: host} }

// WorkersInUse lists the workers on which an owner may have started tasks.
type WorkersInUse struct {
	IDs []string `json:"ids"`
	// Delegated means that other hosts may call workers on behalf of the owner, until their permits expire.
	Delegated bool `json:"delegated,omitempty"`
}

// Encode encodes v as the value of a row.
func Encode(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode row")
	}
	return data, nil
}

// Decode decodes the value of a row into v. The value must come from Encode.
func Decode(r rowstore.Row, v any) error {
	if err := json.Unmarshal(r.Value, v); err != nil {
		return errors.Wrapf(err, "decode row %s/%s/%s", r.Table, r.Part, r.Name)
	}
	return nil
}
