package request

import (
	"context"
	"sync"

	"github.com/greengagewing/greengagewing/commitlog"
)

// pausableLog is a journal whose appends can be paused while a snapshot is taken and written. Without the pause, a
// record that is appended after the snapshot was taken and before Compact is called would be replaced by a snapshot
// that does not contain it, and the claim would be lost.
type pausableLog struct {
	commitlog.Log

	mu      sync.Mutex
	resumed chan struct{} // closed when the pause ends; nil: not paused
	pending [][]byte      // records that AppendAsync received during the pause
}

func newPausableLog(l commitlog.Log) *pausableLog { return &pausableLog{Log: l} }

// Append waits until the journal is not paused and appends the records.
func (l *pausableLog) Append(ctx context.Context, records ...[]byte) error {
	if l.waitResumed(ctx) != nil {
		return commitlog.ErrNotWritten
	}
	return l.Log.Append(ctx, records...)
}

// Flush waits until the journal is not paused and flushes it.
func (l *pausableLog) Flush(ctx context.Context) error {
	if err := l.waitResumed(ctx); err != nil {
		return err
	}
	return l.Log.Flush(ctx)
}

// waitResumed waits until the journal is not paused.
func (l *pausableLog) waitResumed(ctx context.Context) error {
	for {
		l.mu.Lock()
		resumed := l.resumed
		l.mu.Unlock()
		if resumed == nil {
			return nil
		}
		select {
		case <-resumed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// AppendAsync queues records. During a pause they are queued when the pause ends.
func (l *pausableLog) AppendAsync(records ...[]byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resumed != nil {
		l.pending = append(l.pending, records...)
		return
	}
	l.Log.AppendAsync(records...)
}

// compact pauses the journal and replaces its contents by the snapshot that take returns. Records whose Append was
// called before the pause are contained in the snapshot, as ClaimTable.Compaction promises.
func (l *pausableLog) compact(ctx context.Context, take func() (commitlog.Compaction, func(error))) error {
	l.mu.Lock()
	l.resumed = make(chan struct{})
	l.mu.Unlock()
	defer l.resume()
	c, reportOutcome := take()
	err := l.Compact(ctx, c)
	reportOutcome(err)
	return err
}

// resume ends the pause and queues the records that arrived meanwhile.
func (l *pausableLog) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) > 0 {
		l.Log.AppendAsync(l.pending...)
		l.pending = nil
	}
	close(l.resumed)
	l.resumed = nil
}
