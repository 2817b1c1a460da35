package scheduler

import (
	"math"
	"testing"
	"time"
)

// Guards against a record that is made while an earlier one of the same job waits for its commit: it would not know what that one stores. The
// progress row of an ended job would never be removed, and a new job would be written to two rows.
func TestRecordWaitsForEarlierOneOfItsJob(t *testing.T) {
	f := newFixture(1, 1)
	f.AddJob(t0, f.job("started", t0, simpleStep(2)), nil, false)
	f.plan(t0)
	f.end(f.starts[0], EndDone, at(time.Second))
	f.AddJob(at(time.Second), f.job("new", at(time.Second), simpleStep(1)), nil, false)
	f.BeginBatch()
	first, _ := f.TakeRecords(math.MaxInt)
	if len(first) != 2 {
		t.Fatalf("%d records", len(first))
	}
	f.Cancel(at(time.Second), "started")
	f.Cancel(at(time.Second), "new")
	if early, more := f.TakeRecords(math.MaxInt); len(early) > 0 || more {
		t.Errorf("%d records are taken before the earlier ones of their jobs are stored; more: %v", len(early), more)
	}
	f.MarkStored(first)
	ends, _ := f.TakeRecords(math.MaxInt)
	if len(ends) != 2 {
		t.Fatalf("%d records of ends", len(ends))
	}
	for _, r := range ends {
		if r.JobID == "started" && !r.ProgressStored {
			t.Error("the end does not remove the progress")
		}
	}
}
