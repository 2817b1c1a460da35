package job

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// recordType is the type of a journal record.
type recordType string

const (
	recordJob    recordType = "job"    // accepted job; in a snapshot with its cancellation
	recordCancel recordType = "cancel" // the job was cancelled or given up
	recordStart  recordType = "start"  // a non-idempotent task is about to be started
	recordVoid   recordType = "void"   // the start had no effect
	recordResult recordType = "result" // the task ended, or an attempt failed
	recordWorker recordType = "worker" // tasks may be started on the worker from now on
	recordGone   recordType = "gone"   // nothing runs on the worker any more
	// recordArchive is an archive that an earlier version wrote.
	recordArchive recordType = "archive"
)

// record is one journal record. Replaying a record twice has no further effect.
type record struct {
	T           recordType    `json:"t"`
	At          time.Time     `json:"at"`
	Job         string        `json:"job,omitempty"`
	Spec        *Spec         `json:"spec,omitempty"`
	Fingerprint string        `json:"print,omitempty"` // fingerprint of the Spec; the payload of an ended job is dropped
	Task        int           `json:"task,omitempty"`
	Attempt     int64         `json:"attempt,omitempty"`
	Worker      string        `json:"worker,omitempty"`
	Addr        string        `json:"addr,omitempty"`
	Domain      string        `json:"domain,omitempty"`
	Rack        string        `json:"rack,omitempty"`
	State       State         `json:"state,omitempty"` // pending: the attempt failed and the task will run again
	Reason      string        `json:"reason,omitempty"`
	Counts      map[State]int `json:"counts,omitempty"` // job records of ended jobs
	EndedAt     time.Time     `json:"ended_at,omitzero"`
	Archive     int64         `json:"archive,omitempty"` // id of an archive
	Jobs        []record      `json:"jobs,omitempty"`    // of an archive
}

func (r record) encode() []byte {
	raw, _ := json.Marshal(r) // a record always encodes: its only raw part is a validated payload
	return raw
}

func decodeRecord(raw []byte) (record, error) {
	var r record
	if err := json.Unmarshal(raw, &r); err != nil {
		return record{}, errors.Wrap(err, "job: journal record")
	}
	return r, nil
}
