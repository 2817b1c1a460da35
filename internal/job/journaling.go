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
	journalRetry = 200 * time.Millisecond
	journalQueue = 4096 // entries
	journalBatch = 512  // entries per append
)

type journalEntry struct {
	records [][]byte
	done    func(now time.Time) // called with the books locked once the records are durable
}

// journal queues records for the journal loop. It returns false if the queue is full.
func (p *partition) journal(records []record, done func(now time.Time)) bool {
	raw := make([][]byte, len(records))
	for i, r := range records {
		raw[i] = r.encode()
	}
	select {
	case p.journalCh <- journalEntry{records: raw, done: done}:
		return true
	default:
		return false
	}
}

// journalAsync queues a record whose loss is safe: without it a successor takes the task for unknown.
func (p *partition) journalAsync(r record) { p.journal([]record{r}, nil) }

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
		for len(batch) < journalBatch && len(p.journalCh) > 0 {
			batch = append(batch, <-p.journalCh)
		}
		if !p.writeBatch(batch) {
			return
		}
	}
}

func (p *partition) writeBatch(batch []journalEntry) bool {
	var records [][]byte
	for _, e := range batch {
		records = append(records, e.records...)
	}
	if !p.gate.enter(p.ctx, p.ctx) {
		return false
	}
	defer p.gate.leave()
	// A repeated record has no further effect, so an unknown outcome is resolved by appending again.
	for {
		err := p.log.Append(p.ctx, records...)
		if err == nil {
			break
		}
		if errors.Is(err, commitlog.ErrFenced) || p.ctx.Err() != nil {
			return false
		}
		if !wait.For(p.ctx, journalRetry) {
			return false
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, e := range batch {
		if e.done != nil {
			e.done(now)
		}
	}
	return true
}
