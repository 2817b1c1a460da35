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
	// DefaultCommitsPerSecond keeps 8 daemons at 240 commits a second, within the several hundred that the store takes.
	DefaultCommitsPerSecond = 30.0
	DefaultBurst            = 10       // commits
	DefaultBufferBytes      = 16 << 20 // bytes, for each journal
	// DefaultStallAfter is the age of a commit in flight from which a journal counts as unhealthy.
	DefaultStallAfter = time.Second
	// DefaultCommitTimeout bounds one call to the store, so that a client without a timeout cannot block all journals.
	DefaultCommitTimeout = 3 * time.Second
	// DefaultAsyncDelay lets records that nobody waits for join the next commit that somebody does wait for.
	DefaultAsyncDelay = 100 * time.Millisecond
)

const (
	maxRowBytes    = 512 << 10 // bytes of one encoded row
	maxCommitBytes = 2 << 20   // record bytes of one commit, except that one compaction may exceed it
	// MaxRecordBytes is the longest record. Its base64 form has to fit into one row of 512 KB.
	MaxRecordBytes = 360 << 10

	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
)

// Config sets the limits of a Committer. Zero values mean the defaults.
type Config struct {
	CommitsPerSecond float64
	// Rate returns the commits a second that are allowed now. It is asked before each commit and takes the place of
	// CommitsPerSecond when it is set, so that processes can share one limit while their number changes.
	Rate  func() float64
	Burst int // commits
	// BufferBytes bounds the records of one journal that are not durable yet. Append refuses records beyond it, and
	// AppendAsync drops records beyond twice that size.
	BufferBytes   int
	StallAfter    time.Duration
	CommitTimeout time.Duration
	AsyncDelay    time.Duration // longest time that records of AppendAsync wait for a commit to join
	// StoreFailing, if set, tells of failures that others see. Without it an idle committer finds an outage only with the
	// next record, whose caller then waits.
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

// retryDelay returns the wait after the given number of failures in a row, at least 1. r in [0,1) is the jitter.
func retryDelay(failures int, r float64) time.Duration {
	return wait.Jitter(wait.Backoff(minRetryDelay, maxRetryDelay, failures-1), r)
}

// tokenBucket is a token bucket. It starts full.
type tokenBucket struct {
	rate   float64 // tokens a second
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
	// The extra microsecond keeps rounding from returning a wait after which the token is still incomplete.
	return time.Duration((1-b.tokens)/b.rate*float64(time.Second)) + time.Microsecond
}
