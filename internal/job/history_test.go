package job

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/greengagewing/greengagewing/commitlog"
	"github.com/greengagewing/greengagewing/internal/tabletest"
	"github.com/greengagewing/greengagewing/table"
)

// newJobs is about the number of jobs after which a journal reaches the size at which it is compacted.
const newJobs = 5_000

// history sums up the measurements of all runs of a benchmark.
type history struct {
	compaction, replay time.Duration
	written            int64 // bytes that the measured compactions wrote
	failed             int
}

// BenchmarkJobHistory measures a partition with n ended jobs whose journal is in a table service behind HTTP: the compaction of
// the journal after 5,000 more jobs, and the replay by a successor. Each run has a table of its own, so that the history does
// not grow with the number of runs.
func BenchmarkJobHistory(b *testing.B) {
	for _, n := range []int{5_000, 20_000, 100_000} {
		b.Run(fmt.Sprintf("jobs=%d", n), func(b *testing.B) {
			var h history
			for b.Loop() {
				jobHistory(b, n, &h)
			}
			b.ReportMetric(1e3*h.compaction.Seconds()/float64(b.N), "ms/compaction")
			b.ReportMetric(1e3*h.replay.Seconds()/float64(b.N), "ms/replay")
			b.ReportMetric(float64(h.written)/float64(b.N)/1e6, "MB/compaction")
			b.ReportMetric(float64(h.failed)/float64(b.N), "failures")
		})
	}
}

// jobHistory does one run and adds its measurements to h.
func jobHistory(b *testing.B, n int, h *history) {
	mem := table.NewMemory()
	srv := httptest.NewServer(table.Handler(mem))
	defer srv.Close()
	c := commitlog.NewCommitter(table.NewHTTPClient(strings.TrimPrefix(srv.URL, "http://"), nil), commitlog.Config{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = c.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	open := func(epoch int64) *partition {
		cfg := Config{}
		p, err := openPartition(ctx, cfg.withDefaults(), Deps{Journals: c, Metrics: noMetrics, Log: noLog}, tabletest.Claim(mem, testPartition, epoch))
		if err != nil {
			b.Fatal(err)
		}
		return p
	}
	p := open(1)
	ended, count := time.Now().Add(-time.Hour), 0
	add := func() {
		for range newJobs {
			count++
			s := batch(fmt.Sprintf("order-%09d", count), 1, smallTask)
			p.addEndedJob(&job{
				id: jobID(s.Customer, s.Key), spec: s, at: ended, endedAt: ended, counts: map[State]int{Done: 1},
				fingerprint: strings.Repeat("f", 64),
			})
		}
	}
	compact := func() {
		err := p.log.Append(ctx, record{T: recordGone, Worker: "none"}.encode())
		if err == nil {
			err = p.compact()
		}
		if err != nil {
			h.failed++
		}
	}
	for count < n {
		add()
		compact()
	}
	add()
	before, began := c.Stats().Bytes, time.Now()
	compact()
	h.compaction += time.Since(began)
	h.written += c.Stats().Bytes - before
	began = time.Now()
	p = open(2)
	h.replay += time.Since(began)
	if len(p.jobs) != count {
		b.Fatalf("%d of %d jobs were replayed", len(p.jobs), count)
	}
}
