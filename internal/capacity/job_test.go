package capacity

import (
	"context"
	"fmt"
	"testing"

	"github.com/greengagewing/greengagewing/commitlog"
	"github.com/greengagewing/greengagewing/internal/job"
	"github.com/greengagewing/greengagewing/internal/job/worker"
	"github.com/greengagewing/greengagewing/internal/membership"
	"github.com/greengagewing/greengagewing/internal/plan"
	"github.com/greengagewing/greengagewing/ownership"
)

// memoryLog is a commit log that discards its records and counts their bytes.
type memoryLog struct{ bytes int }

func (l *memoryLog) Append(_ context.Context, records ...[]byte) error {
	l.AppendAsync(records...)
	return nil
}

func (l *memoryLog) AppendAsync(records ...[]byte) {
	for _, r := range records {
		l.bytes += len(r)
	}
}

func (l *memoryLog) Flush(context.Context) error                         { return nil }
func (l *memoryLog) Healthy() bool                                       { return true }
func (l *memoryLog) Bytes() int                                          { return l.bytes }
func (l *memoryLog) Compact(context.Context, commitlog.Compaction) error { return nil }
func (l *memoryLog) Close()                                              {}

func (l *memoryLog) Open(context.Context, ownership.Guard) (commitlog.Log, [][]byte, error) {
	return l, nil, nil
}

// emptyMembership is a membership list without workers or minions, so that all tasks stay pending.
type emptyMembership struct{}

func (emptyMembership) Minions(string) []membership.Endpoint { return nil }
func (emptyMembership) Workers(string) []membership.Endpoint { return nil }
func (emptyMembership) ReportLeaving(string)                 {}

// unlimitedAllowance gives every customer an allowance that no benchmark exhausts.
type unlimitedAllowance struct{}

func (unlimitedAllowance) Allowance(string) (plan.Allowance, error) {
	return plan.Allowance{CPUMilli: 1 << 40, MemoryMB: 1 << 40, Accelerators: 1 << 30, Tasks: 1 << 30}, nil
}

// BenchmarkTaskMemory measures the heap per pending task and the journal bytes per accepted job.
func BenchmarkTaskMemory(b *testing.B) {
	for _, tasks := range []int{1, 100} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			jobs := 20_000 / tasks
			var perTask, journaled float64
			for b.Loop() {
				log := &memoryLog{}
				var p *job.Pool
				perTask = heapPer(jobs*tasks, func() any {
					p = job.New(job.Config{}, job.Deps{
						Journals: log, Members: emptyMembership{}, Plans: unlimitedAllowance{}, Workers: worker.NewHTTPClient(nil),
					})
					if err := p.Start(context.Background(), heldGuard{"pool/textos/0"}); err != nil {
						b.Fatal(err)
					}
					for i := range jobs {
						_, err := p.Submit(context.Background(), "pool/textos/0", job.Spec{
							Customer: fmt.Sprintf("customer-%03d", i%690), Key: fmt.Sprintf("batch-%06d", i), Kind: job.Batch,
							Tasks: tasks, Resources: job.Resources{CPUMilli: 1000, MemoryMB: 512}, Idempotent: true,
						})
						if err != nil {
							b.Fatal(err)
						}
					}
					return p
				})
				journaled = float64(log.bytes) / float64(jobs)
				p.Stop(context.Background(), "pool/textos/0", false)
			}
			b.ReportMetric(perTask, "heap-B/task")
			b.ReportMetric(journaled, "journal-B/job")
		})
	}
}
