package commitlog

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/defaults"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// Default limits of a Committer.
const (
	// DefaultCommitsPerSecond limits 8 daemons to 240 commits per second in total. The store takes several hundred.
	DefaultCommitsPerSecond = 30.0
	DefaultBurst            = 10       // commits
	DefaultBufferBytes      = 16 << 20 // bytes per journal
	// DefaultStallAfter is the age of a commit in flight after which journals are unhealthy.
	DefaultStallAfter = time.Second
	// DefaultCommitTimeout bounds a call to the store, so that a table client without a timeout cannot block all journals.
	DefaultCommitTimeout = 3 * time.Second
	// DefaultAsyncDelay gives records of AppendAsync time to join a commit that a caller of Append causes.
	DefaultAsyncDelay = 100 * time.Millisecond
)

const (
	maxRowBytes    = 512 << 10 // bytes of one encoded row
	maxCommitBytes = 2 << 20   // bytes of the records in one commit; a compaction may exceed it
	// MaxRecordBytes is the maximum size of a record. Its base64 form must fit into one row of 512 KB.
	MaxRecordBytes = 360 << 10

	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
)

// Config sets the limits of a Committer. Zero values mean the defaults.
type Config struct {
	CommitsPerSecond float64
	// Rate, if set, replaces CommitsPerSecond. It returns the currently allowed number of commits per second and is called
	// before each commit, so that a changing number of processes can share one limit.
	Rate  func() float64
	Burst int // commits
	// BufferBytes bounds the size of the records of one journal that are not durable yet. Append refuses records beyond
	// it, and AppendAsync drops records beyond twice that size.
	BufferBytes   int
	StallAfter    time.Duration // a journal is unhealthy while a commit takes longer
	CommitTimeout time.Duration // of one call to the store
	AsyncDelay    time.Duration // longest time that records of AppendAsync wait to join another commit
	// StoreFailing, if set, reports store failures that other components have detected. Without it, an idle committer
	// detects an outage only when the next record is appended, and the caller has to wait.
	StoreFailing func() bool
	// Rand returns a number in [0,1) for the jitter of retries.
	Rand   func() float64
	Logger *zap.Logger
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.CommitsPerSecond, DefaultCommitsPerSecond)
	if c.Rate == nil {
		rate := c.CommitsPerSecond
		c.Rate = func() float64 { return rate }
	}
	defaults.Set(&c.Burst, DefaultBurst)
	defaults.Set(&c.BufferBytes, DefaultBufferBytes)
	defaults.Set(&c.StallAfter, DefaultStallAfter)
	defaults.Set(&c.CommitTimeout, DefaultCommitTimeout)
	defaults.Set(&c.AsyncDelay, DefaultAsyncDelay)
	if c.StoreFailing == nil {
		c.StoreFailing = func() bool { return false }
	}
	if c.Rand == nil {
		c.Rand = rand.Float64
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return c
}

// retryDelay returns the backoff after the given number of consecutive failures, at least 1. r in [0,1) is the jitter.
func retryDelay(failures int, r float64) time.Duration {
	return wait.Jitter(wait.Backoff(minRetryDelay, maxRetryDelay, failures-1), r)
}

// tokenBucket is a token bucket. It starts full.
type tokenBucket struct {
	rate   float64 // tokens per second
	burst  float64
	tokens float64
	last   time.Time
}

// take removes one token and returns 0, or returns how long to wait for the next token.
func (b *tokenBucket) take(now time.Time) time.Duration {
	if b.last.IsZero() {
		b.tokens = b.burst
	} else {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.last).Seconds())
	}
	b.last = now
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	// Without the extra microsecond, rounding could make the delay slightly too short for a whole token.
	return time.Duration((1-b.tokens)/b.rate*float64(time.Second)) + time.Microsecond
}
