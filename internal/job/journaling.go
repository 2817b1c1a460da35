package job

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/commitlog"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// Records that no caller waits for go through one queue, and a loop appends them to the journal in batches. Once the records
// of an entry are durable, its effect is applied to the in-memory state. Submissions and cancellations, whose callers wait,
// append their records directly (submit.go, cancel.go). Every append passes the gate, which is closed during compactions.

const (
	journalRetryDelay = 200 * time.Millisecond
	journalQueueSize  = 4096 // entries
	journalBatchSize  = 512  // entries per append
)

type journalEntry struct {
	records   [][]byte
	onDurable func(now time.Time) // called with p.mu held once the records are durable; may be nil
}

// queueRecords queues records for the journal loop, which calls onDurable when they are durable. It returns false if the
// queue is full.
func (p *partition) queueRecords(records []record, onDurable func(now time.Time)) bool {
	raw := make([][]byte, len(records))
	for i, r := range records {
		raw[i] = r.encode()
	}
	select {
	case p.journalCh <- journalEntry{records: raw, onDurable: onDurable}:
		return true
	default:
		return false
	}
}

// journalBestEffort queues a record and drops it if the queue is full. The loss is safe: without the record, a successor
// treats the task as unknown.
func (p *partition) journalBestEffort(r record) { p.queueRecords([]record{r}, nil) }

// journalLoop appends queued records to the journal in batches. During an outage of the store it retries, and the queue fills.
func (p *partition) journalLoop() {
	for {
		var batch []journalEntry
		select {
		case <-p.ctx.Done():
			return
		case e := <-p.journalCh:
			batch = append(batch, e)
		}
		for len(batch) < journalBatchSize && len(p.journalCh) > 0 {
			batch = append(batch, <-p.journalCh)
		}
		if !p.appendBatch(batch) {
			return
		}
	}
}

func (p *partition) appendBatch(batch []journalEntry) bool {
	var records [][]byte
	for _, e := range batch {
		records = append(records, e.records...)
	}
	if !p.gate.beginAppend(p.ctx, p.ctx) {
		return false
	}
	defer p.gate.endAppend()
	// Replaying a record twice has no further effect, so an append with an unknown outcome is simply retried.
	for {
		err := p.log.Append(p.ctx, records...)
		if err == nil {
			break
		}
		if errors.Is(err, commitlog.ErrFenced) || p.ctx.Err() != nil {
			return false
		}
		if !wait.For(p.ctx, journalRetryDelay) {
			return false
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, e := range batch {
		if e.onDurable != nil {
			e.onDurable(now)
		}
	}
	return true
}
