package request

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/greengagewing/greengagewing/idempotency"
)

const (
	minRetryAfter   = 100 * time.Millisecond
	maxRetryAfter   = 30 * time.Second
	drainRetryAfter = 200 * time.Millisecond // a successor claims a released partition at once
	ownerRetryAfter = time.Second            // a takeover takes several seconds
	storeRetryAfter = 2 * time.Second
	noMinionRetry   = 2 * time.Second
	noRateRetry     = maxRetryAfter // the plan grants no requests at all

	retryShare  = 0.1 // retries per request
	retryBurst  = 10  // retries saved up at most
	maxRetries  = 2   // per request
	accountIdle = time.Minute
)

// bucket is a token bucket whose rate and size are given with each call, so that an edit applies at once.
type bucket struct {
	tokens float64
	at     time.Time
}

// level returns the tokens at a time.
func (b bucket) level(now time.Time, rate float64, burst int) float64 {
	return min(float64(burst), b.tokens+max(0, now.Sub(b.at).Seconds())*rate)
}

// take takes one token, or returns how long it takes until there is one.
func (b *bucket) take(now time.Time, rate float64, burst int) (time.Duration, bool) {
	b.tokens, b.at = b.level(now, rate, burst), now
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	if rate <= 0 || burst < 1 {
		return noRateRetry, false
	}
	return time.Duration((1 - b.tokens) / rate * float64(time.Second)), false
}

// account counts what one customer uses of its allowance.
type account struct {
	bucket  bucket
	active  int // requests queued or in flight
	queued  int
	adopted int // claims that a predecessor left open, until their attempts are over
	seen    time.Time
}

// retryBudget limits retries to a share of the requests.
type retryBudget struct{ saved float64 }

func (b *retryBudget) earn() { b.saved = min(retryBurst, b.saved+retryShare) }

func (b *retryBudget) spend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// retryAfter bounds an estimated wait for use as Retry-After.
func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// fingerprint identifies what a request asks for, so that a key cannot be used for two different requests. The timeout
// and the class are left out: a caller may repeat a request with more patience or urgency. The payload is brought into the
// form in which daemons forward it, so that a repetition by way of another entry host has the same fingerprint.
func fingerprint(r Request) string {
	h := sha256.New()
	h.Write([]byte(r.Service))
	if r.Idempotent {
		h.Write([]byte("/idempotent/"))
	} else {
		h.Write([]byte("/once/"))
	}
	payload, err := json.Marshal(r.Payload)
	if err != nil {
		payload = r.Payload // not JSON, which Validate refuses
	}
	h.Write(payload)
	return hex.EncodeToString(h.Sum(nil))
}

// ending is the last step of an attempt.
type ending int

const (
	endDone ending = iota
	endRetry
	endNotRun
	endUnknown
	endNotOwner
)

// history is what is known of a request when one of its attempts has ended.
type history struct {
	idempotent bool
	maybeRan   bool // an earlier attempt was lost
	retries    int
	canRetry   bool // the partition serves, the deadline has not come, and the budget allows it
}

// decide returns how a request goes on after an attempt.
func decide(r sendResult, h history) ending {
	ran := h.maybeRan || r == sendLost || r == sendFailed
	switch {
	case r == sendAnswered:
		return endDone
	case r == sendNotOwner && !ran:
		return endNotOwner
	case r != sendNotOwner && h.idempotent && h.retries < maxRetries && h.canRetry:
		return endRetry
	case ran:
		return endUnknown
	default:
		return endNotRun
	}
}

// recentOutcomes holds the outcomes of keyed idempotent requests in memory, bounded by age, number and size.
type recentOutcomes struct {
	entries map[idempotency.Key]*recent
	order   []*recent // oldest first
	bytes   int
}

type recent struct {
	key         idempotency.Key
	fingerprint string
	outcome     Outcome
	at          time.Time
}

const (
	recentRetention = 24 * time.Hour
	recentCount     = 20_000
	recentBytes     = 32 << 20
)

func newRecentOutcomes() *recentOutcomes {
	return &recentOutcomes{entries: map[idempotency.Key]*recent{}}
}

func (r *recentOutcomes) put(now time.Time, k idempotency.Key, fp string, o Outcome) {
	e := &recent{key: k, fingerprint: fp, outcome: o, at: now}
	r.entries[k] = e
	r.order = append(r.order, e)
	r.bytes += len(o.Result)
	r.trim(now)
}

func (r *recentOutcomes) trim(now time.Time) {
	for len(r.order) > 0 {
		e := r.order[0]
		if now.Sub(e.at) < recentRetention && len(r.order) <= recentCount && r.bytes <= recentBytes {
			return
		}
		r.order[0] = nil
		r.order = r.order[1:]
		r.bytes -= len(e.outcome.Result)
		if r.entries[e.key] == e {
			delete(r.entries, e.key)
		}
	}
}
