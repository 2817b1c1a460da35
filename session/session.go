// Package session gives each daemon one lease, called its session, and lets the daemons observe each other's sessions
// and fence those whose holder is gone.
//
// A session is a row of the table that its holder renews every second. The holder measures the validity of its lease on
// its own monotonic clock, from the time before it sent a renewal. An observer fences a session whose row it has seen
// unchanged for longer than the validity can last.
//
// While the holder cannot reach the store, its guarantors extend the validity with promises. Guarantors are up to two
// other daemons named in the row. An extension needs a promise from every guarantor. A fencing needs the consent of at
// least one guarantor, which from then on makes no promise for that state of the row. So a session cannot be extended
// and fenced at the same time. The table remains the only authority: guarantors hold no replicated state.
package session

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/defaults"
)

// Prefix is the key prefix of session rows.
const Prefix = "session/"

var (
	// ErrNoValidSession is returned when this daemon holds no valid session now.
	ErrNoValidSession = errors.New("session: not held")
	// ErrUnresolved is returned when the outcome of the last renewal is unknown, so that the version of the row is
	// unknown too.
	ErrUnresolved = errors.New("session: outcome of the last renewal is unknown")
	// ErrNotObserved is returned when the observer has not seen the row unchanged for long enough, or when it knows no
	// session of the daemon that is still live or draining.
	ErrNotObserved = errors.New("session: row not observed unchanged for long enough to fence")
	// ErrNoConsent is returned when a guarantor answered and no guarantor consented to the fencing.
	ErrNoConsent = errors.New("session: no guarantor consents to the fencing")
	// ErrNoEvidence is returned when no guarantor answered and there is no evidence that the holder is gone.
	ErrNoEvidence = errors.New("session: guarantors unreachable and no evidence that the holder is gone")
	// ErrConnectionRefused is returned by PeerCaller.Probe when the address refuses the connection.
	ErrConnectionRefused = errors.New("session: connection refused")
)

// State is the state of a session row.
type State string

// The states of a session row.
const (
	Live     State = "live"
	Draining State = "draining" // valid, but takes no new work
	Fenced   State = "fenced"   // ended by an observer
	Closed   State = "closed"   // ended by its holder
)

// Ended reports whether the session has ended for good.
func (s State) Ended() bool { return s == Fenced || s == Closed }

// Peer identifies the process of a daemon. Boot distinguishes the process from its successors at the same address.
type Peer struct {
	ID          string `json:"id"`
	Boot        string `json:"boot"`
	Incarnation int64  `json:"incarnation"`
	PeerAddr    string `json:"peer_addr"`
}

// Row is the value of a session row. Each new session of an id raises Incarnation by one, and each renewal raises Seq,
// so two versions of a row can be ordered without relying on the order of the table's own versions.
type Row struct {
	ID            string `json:"id"`
	Boot          string `json:"boot"`
	Incarnation   int64  `json:"incarnation"`
	PeerAddr      string `json:"peer_addr"`
	Region        string `json:"region,omitempty"`
	FailureDomain string `json:"failure_domain"`
	// Groups lists the partition groups that this daemon serves. Daemons use it when they divide work among the
	// sessions.
	Groups []string `json:"groups,omitempty"`
	State  State    `json:"state"`
	Seq    int64    `json:"seq"`
	TTLMS  int64    `json:"ttl_ms"`
	// Guarantors must all promise before the validity is extended without a renewal at the store.
	Guarantors []Peer `json:"guarantors,omitempty"`
	// Tag is unique to one write. The writer recognizes its own write by it after a lost response.
	Tag string `json:"tag"`
}

// TTL returns the lifetime of a renewal or promise.
func (r Row) TTL() time.Duration { return time.Duration(r.TTLMS) * time.Millisecond }

// Peer returns the process that holds the session.
func (r Row) Peer() Peer {
	return Peer{ID: r.ID, Boot: r.Boot, Incarnation: r.Incarnation, PeerAddr: r.PeerAddr}
}

// olderThan reports whether r was written before o. A stale read can return such a row.
func (r Row) olderThan(o Row) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation < o.Incarnation
	}
	if r.State.Ended() != o.State.Ended() {
		return o.State.Ended()
	}
	return r.Seq < o.Seq
}

// Key returns the key of the session row of the daemon id.
func Key(id string) string { return Prefix + id }

func encode(r Row) []byte {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err) // every value of Row can be encoded
	}
	return raw
}

func decode(raw []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(raw, &r); err != nil {
		return Row{}, errors.Wrap(err, "session: decode row")
	}
	return r, nil
}

// Config configures Keeper, Observer and Guarantor. Zero durations and counts are replaced by the defaults.
type Config struct {
	ID            string // daemon id, which is the peer address
	PeerAddr      string // IP:port of the peer listener
	Region        string
	FailureDomain string
	Groups        []string // partition groups that this daemon serves, copied into the row

	TTL           time.Duration // lifetime of a renewal or promise
	Margin        time.Duration // safety margin for differences between clock rates, applied by holder and observer
	RenewInterval time.Duration
	PollInterval  time.Duration // time between two scans of the session rows
	StoreTimeout  time.Duration // timeout of one call to the table
	PeerTimeout   time.Duration // timeout of one call to a peer
	RetryDelay    time.Duration // time between two attempts to close the session
	MaxGuarantors int

	Log *zap.Logger // state changes only; nil discards them
}

// The defaults of Config.
const (
	DefaultTTL           = 4 * time.Second
	DefaultMargin        = 500 * time.Millisecond
	DefaultRenewInterval = time.Second
	DefaultPollInterval  = time.Second
	// DefaultStoreTimeout leaves time for a second attempt within the validity of 3.5 s.
	DefaultStoreTimeout = 1500 * time.Millisecond
	// DefaultPeerTimeout allows three rounds of promise requests between a missed renewal and the end of the validity.
	DefaultPeerTimeout   = 500 * time.Millisecond
	DefaultRetryDelay    = 200 * time.Millisecond
	DefaultMaxGuarantors = 2
)

func (c Config) withDefaults() Config {
	defaults.Set(&c.TTL, DefaultTTL)
	defaults.Set(&c.Margin, DefaultMargin)
	defaults.Set(&c.RenewInterval, DefaultRenewInterval)
	defaults.Set(&c.PollInterval, DefaultPollInterval)
	defaults.Set(&c.StoreTimeout, DefaultStoreTimeout)
	defaults.Set(&c.PeerTimeout, DefaultPeerTimeout)
	defaults.Set(&c.RetryDelay, DefaultRetryDelay)
	defaults.Set(&c.MaxGuarantors, DefaultMaxGuarantors)
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	return c
}

// validity is how long the holder may rely on a renewal or promise, measured from before it sent the request.
func (c Config) validity() time.Duration { return c.TTL - c.Margin }
