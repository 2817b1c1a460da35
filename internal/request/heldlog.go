package request

import (
	"context"
	"sync"

	"github.com/greengagewing/greengagewing/commitlog"
)

// heldLog holds back new records while a snapshot is taken and written. A record that is appended between the taking of
// the snapshot and the call of Compact would be replaced by a snapshot without it, and the claim would be lost.
type heldLog struct {
	commitlog.Log

	mu      sync.Mutex
	held    chan struct{} // closed when the hold ends; nil: no hold
	waiting [][]byte      // from AppendAsync during a hold
}

func newHeldLog(l commitlog.Log) *heldLog { return &heldLog{Log: l} }

// Append waits for the end of a hold and appends.
func (l *heldLog) Append(ctx context.Context, records ...[]byte) error {
	if l.wait(ctx) != nil {
		return commitlog.ErrNotWritten
	}
	return l.Log.Append(ctx, records...)
}

// Flush waits for the end of a hold and flushes.
func (l *heldLog) Flush(ctx context.Context) error {
	if err := l.wait(ctx); err != nil {
		return err
	}
	return l.Log.Flush(ctx)
}

func (l *heldLog) wait(ctx context.Context) error {
	for {
		l.mu.Lock()
		held := l.held
		l.mu.Unlock()
		if held == nil {
			return nil
		}
		select {
		case <-held:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// AppendAsync queues records, after the end of a hold if there is one.
func (l *heldLog) AppendAsync(records ...[]byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held != nil {
		l.waiting = append(l.waiting, records...)
		return
	}
	l.Log.AppendAsync(records...)
}

// compact replaces the journal by the snapshot while new records are held back. Records whose Append was called before
// are in the snapshot already, as Claims.Compaction promises.
func (l *heldLog) compact(ctx context.Context, take func() (commitlog.Compaction, func(error))) error {
	l.mu.Lock()
	l.held = make(chan struct{})
	l.mu.Unlock()
	defer l.release()
	c, ended := take()
	err := l.Compact(ctx, c)
	ended(err)
	return err
}

func (l *heldLog) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) > 0 {
		l.Log.AppendAsync(l.waiting...)
		l.waiting = nil
	}
	close(l.held)
	l.held = nil
}
