package job

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/commitlog"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// Records that no caller waits for pass through one queue, which a loop appends to the journal in batches. The effect of
// an entry is applied to the books after its records are durable. Callers that wait append themselves (submit.go,
// cancel.go). All appends are inside the gate, which compactions close.

const (
	journalRetryDelay = 200 * time.Millisecond
	journalQueueSize  = 4096 // entries
	journalBatchSize  = 512  // entries per append
)

type journalEntry struct {
	records   [][]byte
	onDurable func(now time.Time) // called with the books locked once the records are durable
}

// queueRecords queues records for the queueRecords loop. It returns false if the queue is full.
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

// journalBestEffort queues a record whose loss is safe: without it a successor takes the task for unknown.
func (p *partition) journalBestEffort(r record) { p.queueRecords([]record{r}, nil) }

// journalLoop makes queued records durable in batches. During an outage of the store it waits, and the queue fills.
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
	// A repeated record has no further effect, so an unknown outcome is resolved by appending again.
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
