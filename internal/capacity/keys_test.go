package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/greengagewing/greengagewing/commitlog"
	"github.com/greengagewing/greengagewing/idempotency"
	"github.com/greengagewing/greengagewing/table"
)

// keyRecord returns the journal record of an idempotency key whose request is done.
func keyRecord(i int, at time.Time) []byte {
	raw, _ := json.Marshal(idempotency.Entry{
		Key:         idempotency.Key{Customer: "panaderia-sol", Key: fmt.Sprintf("order-%09d", i)},
		Fingerprint: "fingerprint-fingerprint-fingerpr", State: idempotency.Done, At: at,
		Answer: []byte(`{"minion":"textos-minion-07","key":"order-000000000"}`),
	})
	return raw
}

// keysPerCompaction is the number of new keys after which a journal reaches the size at which it is compacted.
const keysPerCompaction = 7_500

// BenchmarkKeyHistory measures a partition that remembers n idempotency keys in a table service over HTTP: the time for
// one compaction of its journal after 7,500 new keys, for a claim that arrives during the compaction, and for the
// replay of the journal by the next owner.
func BenchmarkKeyHistory(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000, 500_000} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) { benchmarkKeyHistory(b, n) })
	}
}

func benchmarkKeyHistory(b *testing.B, n int) {
	srv := httptest.NewServer(table.Handler(table.NewMemory()))
	defer srv.Close()
	store := table.NewHTTPClient(strings.TrimPrefix(srv.URL, "http://"), nil)
	ctx, cancel := context.WithCancel(context.Background())
	g := heldGuard{"request/textos/0"}
	_, _ = store.Commit(ctx, table.Txn{Ops: []table.Op{{Key: g.RowKey(), Value: []byte("{}")}}})
	c := commitlog.NewCommitter(store, commitlog.Config{CommitsPerSecond: 1000, Burst: 1000})
	done := make(chan struct{})
	go func() { _ = c.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	log, _, err := c.Open(ctx, g)
	if err != nil {
		b.Fatal(err)
	}
	records := make([][]byte, n)
	now := time.Now()
	for i := range records {
		records[i] = keyRecord(i, now.Add(time.Duration(i-n)*10*time.Millisecond))
	}
	claims := idempotency.New(log, idempotency.Config{})
	if err := claims.Restore(records); err != nil {
		b.Fatal(err)
	}
	failures, nextKey := 0, n
	finishNewKeys := func() {
		var wg sync.WaitGroup
		for w := range 250 {
			wg.Go(func() {
				for i := nextKey + w; i < nextKey+keysPerCompaction; i += 250 {
					k := idempotency.Key{Customer: "panaderia-sol", Key: fmt.Sprintf("order-%09d", i)}
					_, _ = claims.Begin(ctx, k, "fingerprint-fingerprint-fingerpr")
					claims.Finish(k, idempotency.Done, "", []byte(`{"minion":"textos-minion-07","key":"order-000000000"}`))
				}
			})
		}
		wg.Wait()
		nextKey += keysPerCompaction
	}
	finishNewKeys()
	_ = claims.Compact(ctx, log.(commitlog.Compactor))
	var compaction, claim, replay time.Duration
	written := int64(0)
	for i := 0; b.Loop(); i++ {
		finishNewKeys()
		before := c.Stats().Bytes
		began := time.Now()
		ended := make(chan error, 1)
		go func() { ended <- claims.Compact(ctx, log.(commitlog.Compactor)) }()
		time.Sleep(time.Millisecond)
		if _, err := claims.Begin(ctx, idempotency.Key{Customer: "c", Key: fmt.Sprint(i)}, "f"); err != nil {
			failures++
		}
		claim += time.Since(began)
		if <-ended != nil {
			failures++
		}
		compaction += time.Since(began)
		written += c.Stats().Bytes - before
		began = time.Now()
		_, records, err := commitlog.NewCommitter(store, commitlog.Config{}).Open(ctx, g)
		if err == nil {
			err = idempotency.New(discardLog{}, idempotency.Config{}).Restore(records)
		}
		if err != nil {
			failures++
		}
		replay += time.Since(began)
	}
	msPerRound := func(d time.Duration) float64 { return 1e3 * d.Seconds() / float64(b.N) }
	b.ReportMetric(msPerRound(compaction), "ms/compaction")
	b.ReportMetric(msPerRound(claim), "ms/claim")
	b.ReportMetric(msPerRound(replay), "ms/replay")
	b.ReportMetric(float64(written)/float64(b.N)/1e6, "MB/compaction")
	b.ReportMetric(float64(failures)/float64(b.N), "failures")
}

// BenchmarkArchivedKey measures the heap per archived key, and the time to look up an unknown key in a full partition.
func BenchmarkArchivedKey(b *testing.B) {
	const n = 500_000
	records := make([][]byte, n)
	for i := range records {
		records[i] = keyRecord(i, time.Now())
	}
	first := idempotency.New(discardLog{}, idempotency.Config{MaxRecent: 1})
	if err := first.Restore(records); err != nil {
		b.Fatal(err)
	}
	c, _ := first.Compaction()
	var claims *idempotency.Table
	per := heapPer(n, func() any {
		claims = idempotency.New(discardLog{}, idempotency.Config{})
		for _, a := range c.Archive {
			_ = claims.Restore([][]byte{a.Record})
		}
		return claims
	})
	runtime.KeepAlive(first)
	runtime.KeepAlive(records)
	runtime.KeepAlive(c)
	for b.Loop() {
		_, _ = claims.Lookup(idempotency.Key{Customer: "panaderia-sol", Key: "order-999999999"})
	}
	b.ReportMetric(per, "heap-B/key")
}
