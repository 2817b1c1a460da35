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
	drainRetryAfter    = 200 * time.Millisecond // the next owner claims a released partition at once
	ownerRetryAfter    = time.Second            // a takeover takes several seconds
	storeRetryAfter    = 2 * time.Second
	noMinionRetryAfter = 2 * time.Second
	noRateRetryAfter   = maxRetryAfter // the plan grants no requests at all

	retriesPerRequest  = 0.1         // earned by each request; retries are limited to this share of the requests
	maxSavedRetries    = 10          // limit of the retries saved up in the budget
	maxRetries         = 2           // per request
	accountIdleTimeout = time.Minute // an account is dropped after this time without a request
)

// tokenBucket limits the rate of requests. Its rate and size are passed with each call, so that an edited plan applies
// at once.
type tokenBucket struct {
	tokens  float64
	updated time.Time
}

// tokensAt returns the number of tokens at the given time.
func (b tokenBucket) tokensAt(now time.Time, rate float64, burst int) float64 {
	return min(float64(burst), b.tokens+max(0, now.Sub(b.updated).Seconds())*rate)
}

// take takes one token and returns true. If there is none, it returns how long it takes until there is one.
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

// account tracks how much one customer uses of its allowance.
type account struct {
	tokenBucket     tokenBucket
	active          int // requests queued or in flight
	queued          int
	inheritedClaims int // claims that the previous owner left open; they count until its attempts have ended
	lastSeen        time.Time
}

// retryBudget limits retries to a share of the requests.
type retryBudget struct{ saved float64 }

// earn adds the share of a retry that each request grants.
func (b *retryBudget) earn() { b.saved = min(maxSavedRetries, b.saved+retriesPerRequest) }

// trySpend takes one retry from the budget, or returns false if less than one is saved.
func (b *retryBudget) trySpend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// clampRetryAfter limits an estimated wait to the range used for Retry-After.
func clampRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// fingerprint identifies the content of a request, so that a key cannot be used for two different requests. It leaves
// out the timeout and the class: a caller may repeat a request with a longer timeout or a higher class. The payload is
// normalized to the JSON that daemons forward, so that a repetition that enters through another host has the same
// fingerprint.
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
		payload = r.Payload // not JSON; Validate refuses it
	}
	h.Write(payload)
	return hex.EncodeToString(h.Sum(nil))
}

// action is what follows after an attempt.
type action int

const (
	actionDone action = iota // answer with the minion's answer
	actionRetry
	actionNotRun   // answer that the request did not run
	actionUnknown  // answer that the request may have run
	actionNotOwner // answer that the partition has a new owner
)

// attemptHistory is what is known about a request when one of its attempts has ended.
type attemptHistory struct {
	idempotent bool
	maybeRan   bool // an earlier attempt may have run
	retries    int
	canRetry   bool // the partition is serving, the deadline has not passed, and the retry budget allows it
}

// nextAction decides what follows after an attempt with the given result.
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

// recentOutcomes keeps the outcomes of keyed idempotent requests in memory, limited by age, number and size.
type recentOutcomes struct {
	entries map[idempotency.Key]*recentOutcome
	order   []*recentOutcome // oldest first
	bytes   int              // total size of the results
}

// recentOutcome is the outcome of one request and the time at which it was stored.
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

// put stores an outcome and drops the oldest ones beyond the limits.
func (r *recentOutcomes) put(now time.Time, k idempotency.Key, fp string, o Outcome) {
	e := &recentOutcome{key: k, fingerprint: fp, outcome: o, at: now}
	r.entries[k] = e
	r.order = append(r.order, e)
	r.bytes += len(o.Answer)
	r.trim(now)
}

// trim drops the oldest outcomes until all limits are met.
func (r *recentOutcomes) trim(now time.Time) {
	for len(r.order) > 0 {
		e := r.order[0]
		if now.Sub(e.at) < recentRetention && len(r.order) <= maxRecentOutcomes && r.bytes <= maxRecentBytes {
			return
		}
		r.order[0] = nil
		r.order = r.order[1:]
		r.bytes -= len(e.outcome.Answer)
		if r.entries[e.key] == e {
			delete(r.entries, e.key)
		}
	}
}
