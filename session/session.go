// Package session gives each daemon one lease, its session, and lets the daemons observe and fence each other's sessions.
//
// A session is a row of the table that its holder renews every second. The holder measures its validity on its own
// monotonic clock from the time before a renewal was sent. An observer fences a session whose row it saw unchanged for
// longer than the validity can last. While the holder cannot reach the store, its guarantors (up to two other daemons
// named in the row) extend the validity with promises. An extension needs a promise from every guarantor and a fencing
// needs the consent of at least one, which then promises nothing more for that state of the row; so the two exclude each
// other. The table remains the only authority: guarantors hold no replicated state.
package session

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/defaults"
)

// Prefix is the prefix of the keys of session rows.
const Prefix = "session/"

var (
	// ErrNoValidSession says that this daemon holds no valid session now.
	ErrNoValidSession = errors.New("session: not held")
	// ErrUnresolved says that the outcome of the last renewal is unknown, so that the version of the row is unknown too.
	ErrUnresolved = errors.New("session: outcome of the last renewal is unknown")
	// ErrNotObserved says that the row was not seen unchanged for long enough, or that the session is not live.
	ErrNotObserved = errors.New("session: not observed unchanged for long enough")
	// ErrNoConsent says that a guarantor answered and none consented.
	ErrNoConsent = errors.New("session: no guarantor consents to fencing")
	// ErrNoEvidence says that no guarantor answered and nothing shows that the holder is gone.
	ErrNoEvidence = errors.New("session: guarantors unreachable and no evidence that the holder is gone")
	// ErrRefused is returned by PeerCaller.Probe when the address refuses the connection.
	ErrRefused = errors.New("session: connection refused")
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

// Ended reports whether the session is over for good.
func (s State) Ended() bool { return s == Fenced || s == Closed }

// Peer names a daemon's process. Boot tells the process from its successors at the same address.
type Peer struct {
	ID          string `json:"id"`
	Boot        string `json:"boot"`
	Incarnation int64  `json:"incarnation"`
	PeerAddr    string `json:"peer_addr"`
}

// Row is the value of a session row. Incarnations of one id rise by one with each new session, and Seq rises with each
// renewal, so two versions of a row can be ordered whatever the table's own versions look like.
type Row struct {
	ID            string `json:"id"`
	Boot          string `json:"boot"`
	Incarnation   int64  `json:"incarnation"`
	PeerAddr      string `json:"peer_addr"`
	Region        string `json:"region,omitempty"`
	FailureDomain string `json:"failure_domain"`
	// Groups names what this daemon serves, for those that divide work among the sessions.
	Groups []string `json:"groups,omitempty"`
	State  State    `json:"state"`
	Seq    int64    `json:"seq"`
	TTLMS  int64    `json:"ttl_ms"`
	// Guarantors must all promise before the validity is extended without the store.
	Guarantors []Peer `json:"guarantors,omitempty"`
	// Tag is unique to one write, so that its writer recognizes it after a lost response.
	Tag string `json:"tag"`
}

// TTL returns the time to live.
func (r Row) TTL() time.Duration { return time.Duration(r.TTLMS) * time.Millisecond }

// Peer returns the process that holds the session.
func (r Row) Peer() Peer {
	return Peer{ID: r.ID, Boot: r.Boot, Incarnation: r.Incarnation, PeerAddr: r.PeerAddr}
}

// olderThan reports whether r was written before o, as a stale read shows it.
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
		panic(err) // Row has no value that cannot be encoded
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

// Config configures the parts of this package. Zero durations and counts take the defaults.
type Config struct {
	ID            string // daemon id, the peer address
	PeerAddr      string // IP:port of the peer listener
	Region        string
	FailureDomain string
	Groups        []string // what this daemon serves, copied into the row

	TTL           time.Duration // lifetime of a renewal or promise
	Margin        time.Duration // safety margin for clock rates, on both sides
	RenewInterval time.Duration
	PollInterval  time.Duration // between two scans of the session rows
	StoreTimeout  time.Duration // limit of one call to the table
	PeerTimeout   time.Duration // limit of one call to a peer
	RetryDelay    time.Duration // between two attempts of Close
	MaxGuarantors int

	Log *zap.Logger // state changes only; nil discards them
}

// The defaults of Config.
const (
	DefaultTTL           = 4 * time.Second
	DefaultMargin        = 500 * time.Millisecond
	DefaultRenewInterval = time.Second
	DefaultPollInterval  = time.Second
	// DefaultStoreTimeout leaves time for a second attempt within a validity of 3.5 s.
	DefaultStoreTimeout = 1500 * time.Millisecond
	// DefaultPeerTimeout allows three rounds of promises between a missed renewal and the end of the validity.
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

// validity is how long the holder relies on a renewal or promise, counted from before the request was sent.
func (c Config) validity() time.Duration { return c.TTL - c.Margin }
