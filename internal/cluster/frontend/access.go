package frontend

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/cluster/peers"
	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// accepted reports whether the row of a job exists in one of the partitions that may hold it, and the caller may access the job.
func (s *JobService) accepted(ctx context.Context, id string, access workload.Access) (bool, error) {
	found := false
	var failed error
	read := overlapped(s, records.AlternativePartitions, func(alternative int) jobCheck {
		exists, allowed, err := s.checkJob(ctx, records.JobKey(id, alternative), access)
		return jobCheck{exists, allowed, err}
	})
	for alternative := range records.AlternativePartitions {
		c := read(alternative)
		switch {
		case c.err != nil:
			failed = c.err
		case c.exists && !c.allowed:
			return false, nil
		case c.exists && !access.Restricted:
			return true, nil
		}
		found = found || c.exists
	}
	if found {
		return true, nil
	}
	return false, failed
}

// jobCheck is what checkJob returns.
type jobCheck struct {
	exists, allowed bool
	err             error
}

// checkJob reports whether the row of a job exists, and whether the caller may access the job. Only if access is restricted is the row
// decoded.
func (s *JobService) checkJob(ctx context.Context, k rowstore.Key, access workload.Access) (exists, allowed bool, err error) {
	if !access.Restricted {
		_, exists, err = rowstore.ReadRow(ctx, s.Store, k)
		return exists, exists, err
	}
	value, exists, err := s.readValue(ctx, k)
	if err != nil || !exists {
		return false, false, err
	}
	spec, err := workload.DecodeSpec(value)
	if err != nil {
		return false, false, err
	}
	return true, access.Allows(spec.Team), nil
}

// storeEncodedJob writes the rows of a job. Where keys are enforced, an existing row counts as an earlier attempt only if the caller may
// access its job. Before it writes to another partition than the first, it looks for the ID in the first; if that can't be read, the job
// is stored all the same. The outcome is CancelledBefore if the caller has cancelled the ID before.
func (s *JobService) storeEncodedJob(ctx context.Context, id string, value []byte, access workload.Access, alternative int) (peers.StoreOutcome, error) {
	if access.Restricted && alternative > 0 && !s.breaker.open.Load() {
		if exists, allowed, err := s.checkJob(ctx, records.JobKey(id, 0), access); err == nil && exists && !allowed {
			return peers.IDInUse, nil
		}
	}
	k := records.JobKey(id, alternative)
	outcome, err := s.create(ctx, records.Split(k, value, rowstore.MaxValueBytes(s.MaxRowBytes)), earlyCancelKeys(id, access, alternative)...)
	if outcome == peers.IDInUse {
		return s.refuseCancelled(ctx, id, access)
	}
	if !access.Restricted || outcome != peers.StoredBefore {
		return outcome, err
	}
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	exists, allowed, err := s.checkJob(readCtx, k, access)
	switch {
	case err != nil:
		return peers.StoreUnknown, err
	case exists && !allowed:
		return peers.IDInUse, nil
	}
	return peers.StoredBefore, nil
}

// readValue returns a value that one or more rows hold, or false if it doesn't exist.
func (s *JobService) readValue(ctx context.Context, k rowstore.Key) ([]byte, bool, error) {
	var joiner records.Joiner
	for part := 0; ; part++ {
		row, ok, err := rowstore.ReadRow(ctx, s.Store, records.PartKey(k, part))
		if err != nil {
			return nil, false, err
		}
		if !ok && part > 0 {
			return nil, false, errors.Wrapf(rowstore.ErrUnavailable, "row %s of table %s was changed while it was read", k.Name, k.Table)
		}
		if !ok {
			return nil, false, nil
		}
		if value, complete := joiner.Add(row); complete {
			return value.Value, true, nil
		}
	}
}
