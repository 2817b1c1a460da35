package request

import (
	"context"
	"sync"

	"github.com/greengagewing/greengagewing/commitlog"
)

// pausableLog holds back new records while a snapshot is taken and written. A record that is appended between the taking of
// the snapshot and the call of Compact would be replaced by a snapshot without it, and the claim would be lost.
type pausableLog struct {
	commitlog.Log

	mu      sync.Mutex
	resumed chan struct{} // closed when the hold ends; nil: no hold
	pending [][]byte      // from AppendAsync during a hold
}

func newPausableLog(l commitlog.Log) *pausableLog { return &pausableLog{Log: l} }

// Append waits for the end of a hold and appends.
func (l *pausableLog) Append(ctx context.Context, records ...[]byte) error {
	if l.waitResumed(ctx) != nil {
		return commitlog.ErrNotWritten
	}
	return l.Log.Append(ctx, records...)
}

// Flush waits for the end of a hold and flushes.
func (l *pausableLog) Flush(ctx context.Context) error {
	if err := l.waitResumed(ctx); err != nil {
		return err
	}
	return l.Log.Flush(ctx)
}

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

// AppendAsync queues records, after the end of a hold if there is one.
func (l *pausableLog) AppendAsync(records ...[]byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resumed != nil {
		l.pending = append(l.pending, records...)
		return
	}
	l.Log.AppendAsync(records...)
}

// compact replaces the journal by the snapshot while new records are held back. Records whose Append was called before
// are in the snapshot already, as Claims.Compaction promises.
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
