package job

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// recordType is the type of a journal record.
type recordType string

const (
	recordJob    recordType = "job"    // a job was accepted, or, with EndedAt, has ended
	recordCancel recordType = "cancel" // the job was cancelled or has failed
	recordStart  recordType = "start"  // a start of a non-idempotent task is about to be sent to a worker
	recordVoid   recordType = "void"   // the start of the attempt certainly had no effect
	recordResult recordType = "result" // the task ended, or one attempt failed and the task will run again
	recordWorker recordType = "worker" // tasks may be started on this worker from now on
	recordGone   recordType = "gone"   // the worker was removed: no task runs on it any more
	// recordArchive is an archive in the JSON format of earlier versions. It is read but no longer written.
	recordArchive recordType = "archive"
)

// record is one journal record. Replay is idempotent: replaying a record twice has no further effect.
type record struct {
	T           recordType    `json:"t"`
	At          time.Time     `json:"at"`
	Job         string        `json:"job,omitempty"`
	Spec        *Spec         `json:"spec,omitempty"`
	Fingerprint string        `json:"print,omitempty"` // of the submitted Spec, whose payload is dropped when the job ends
	Task        int           `json:"task,omitempty"`
	Attempt     int64         `json:"attempt,omitempty"`
	Worker      string        `json:"worker,omitempty"`
	Addr        string        `json:"addr,omitempty"`
	Domain      string        `json:"domain,omitempty"`
	Rack        string        `json:"rack,omitempty"`
	State       State         `json:"state,omitempty"` // pending: the attempt failed and the task will run again
	Reason      string        `json:"reason,omitempty"`
	Counts      map[State]int `json:"counts,omitempty"` // in records of ended jobs: tasks per state
	EndedAt     time.Time     `json:"ended_at,omitzero"`
	Archive     int64         `json:"archive,omitempty"` // ID of the archive
	Jobs        []record      `json:"jobs,omitempty"`    // jobs of the archive
}

func (r record) encode() []byte {
	raw, _ := json.Marshal(r) // always succeeds: the only raw JSON in a record is a validated payload
	return raw
}

func decodeRecord(raw []byte) (record, error) {
	var r record
	if err := json.Unmarshal(raw, &r); err != nil {
		return record{}, errors.Wrap(err, "job: decode journal record")
	}
	return r, nil
}
