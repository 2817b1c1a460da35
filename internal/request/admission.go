package request

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/greengagewing/greengagewing/idempotency"
)

const (
	minRetryAfter      = 100 * time.Millisecond
	maxRetryAfter      = 30 * time.Second
	drainRetryAfter    = 200 * time.Millisecond // a successor claims a released partition at once
	ownerRetryAfter    = time.Second            // a takeover takes several seconds
	storeRetryAfter    = 2 * time.Second
	noMinionRetryAfter = 2 * time.Second
	noRateRetryAfter   = maxRetryAfter // the plan grants no requests at all

	retriesPerRequest  = 0.1 // retries per request
	maxSavedRetries    = 10  // retries saved up at most
	maxRetries         = 2   // per request
	accountIdleTimeout = time.Minute
)

// tokenBucket is a token tokenBucket whose rate and size are given with each call, so that an edit applies at once.
type tokenBucket struct {
	tokens  float64
	updated time.Time
}

// tokensAt returns the tokens at a time.
func (b tokenBucket) tokensAt(now time.Time, rate float64, burst int) float64 {
	return min(float64(burst), b.tokens+max(0, now.Sub(b.updated).Seconds())*rate)
}

// take takes one token, or returns how long it takes until there is one.
func (b *tokenBucket) take(now time.Time, rate float64, burst int) (time.Duration, bool) {
	b.tokens, b.updated = b.tokensAt(now, rate, burst), now
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	if rate <= 0 || burst < 1 {
		return noRateRetryAfter, false
	}
	return time.Duration((1 - b.tokens) / rate * float64(time.Second)), false
}

// account counts what one customer uses of its allowance.
type account struct {
	tokenBucket     tokenBucket
	active          int // requests queued or in flight
	queued          int
	inheritedClaims int // claims that a predecessor left open, until their attempts are over
	lastSeen        time.Time
}

// retryBudget limits retries to a share of the requests.
type retryBudget struct{ saved float64 }

func (b *retryBudget) earn() { b.saved = min(maxSavedRetries, b.saved+retriesPerRequest) }

func (b *retryBudget) trySpend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// clampRetryAfter bounds an estimated wait for use as Retry-After.
func clampRetryAfter(wait time.Duration) time.Duration {
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

// action is the last step of an attempt.
type action int

const (
	actionDone action = iota
	actionRetry
	actionNotRun
	actionUnknown
	actionNotOwner
)

// attemptHistory is what is known of a request when one of its attempts has ended.
type attemptHistory struct {
	idempotent bool
	maybeRan   bool // an earlier attempt was lost
	retries    int
	canRetry   bool // the partition serves, the deadline has not come, and the budget allows it
}

// nextAction returns how a request goes on after an attempt.
func nextAction(r sendResult, h attemptHistory) action {
	ran := h.maybeRan || r == sendLost || r == sendFailed
	switch {
	case r == sendAnswered:
		return actionDone
	case r == sendNotOwner && !ran:
		return actionNotOwner
	case r != sendNotOwner && h.idempotent && h.retries < maxRetries && h.canRetry:
		return actionRetry
	case ran:
		return actionUnknown
	default:
		return actionNotRun
	}
}

// recentOutcomes holds the outcomes of keyed idempotent requests in memory, bounded by age, number and size.
type recentOutcomes struct {
	entries map[idempotency.Key]*recentOutcome
	order   []*recentOutcome // oldest first
	bytes   int
}

type recentOutcome struct {
	key         idempotency.Key
	fingerprint string
	outcome     Outcome
	at          time.Time
}

const (
	recentRetention   = 24 * time.Hour
	maxRecentOutcomes = 20_000
	maxRecentBytes    = 32 << 20
)

func newRecentOutcomes() *recentOutcomes {
	return &recentOutcomes{entries: map[idempotency.Key]*recentOutcome{}}
}

func (r *recentOutcomes) put(now time.Time, k idempotency.Key, fp string, o Outcome) {
	e := &recentOutcome{key: k, fingerprint: fp, outcome: o, at: now}
	r.entries[k] = e
	r.order = append(r.order, e)
	r.bytes += len(o.Result)
	r.trim(now)
}

func (r *recentOutcomes) trim(now time.Time) {
	for len(r.order) > 0 {
		e := r.order[0]
		if now.Sub(e.at) < recentRetention && len(r.order) <= maxRecentOutcomes && r.bytes <= maxRecentBytes {
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
