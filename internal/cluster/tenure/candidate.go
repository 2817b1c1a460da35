package tenure

import (
	"encoding/json"
	"hash/fnv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/asynclog"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
)

const (
	// heartbeatTimeout is how long the owner row may stay unchanged before another daemon claims. Beats come every
	// BeatInterval, and a store that answers 60 times slower than usual delays them by less than a second.
	heartbeatTimeout = 2500 * time.Millisecond
	// unreachableTimeout replaces silentTimeout while the owner doesn't answer its peers either.
	unreachableTimeout = 1300 * time.Millisecond
	// maxFeedAge is the age of the last answer of the store up to which an unchanged row is evidence.
	maxFeedAge = 1200 * time.Millisecond
	// claimStagger separates the claims of several daemons, so that mostly one of them writes.
	claimStagger = 250 * time.Millisecond
	// lateHeartbeatWindow is how long after the end of a process its last beat may still arrive. A later one shows that the process
	// lives and only the path to it is refused.
	lateHeartbeatWindow = 150 * time.Millisecond
	// smallHostDelay lets larger hosts claim first: the owner's work may take more than a small host has.
	smallHostDelay = 600 * time.Millisecond
	// successorHeadStart is how long others leave a released ownership to the named successor.
	successorHeadStart = 400 * time.Millisecond
)

// View is what a daemon knows of the owner.
type View struct {
	Known     bool      `json:"Known"`   // the owner row was read
	Present   bool      `json:"Present"` // it exists
	Owner     Owner     `json:"Owner"`
	Since     int64     `json:"Since"`     // version of the row when the owner's epoch was first seen
	ChangedAt time.Time `json:"ChangedAt"` // when the row last changed
	FedAt     time.Time `json:"FedAt"`     // when the store last answered the feed
	// GoneAt is when the owner's process was found to be gone: its address refuses connections or belongs to another
	// process. Zero if it wasn't.
	GoneAt time.Time `json:"GoneAt"`
	// Offered is set while the owner asks this daemon to take over: the last transaction that the owner had built then.
	Offered int64 `json:"Offered"`
	// Small tells that other hosts have more processors. They claim first.
	Small bool `json:"Small"`
	// Unreachable tells that the owner doesn't answer its peers.
	Unreachable bool `json:"Unreachable"`
}

// ShouldClaim decides whether a daemon claims the ownership. An early claim is safe, because workers reject orders of an
// earlier epoch; the delays avoid needless changes of the owner.
func ShouldClaim(view View, self Identity, now time.Time) bool {
	if !view.Known || now.Sub(view.FedAt) > maxFeedAge {
		return false
	}
	claimDelay := time.Duration(claimRank(self.Host, view.Owner.Epoch) * float64(claimStagger))
	if view.Small {
		claimDelay += smallHostDelay
	}
	if !view.Present {
		return now.Sub(view.ChangedAt) > claimDelay
	}
	if view.Owner.Released {
		releasedDelay := claimDelay
		if view.Owner.Successor == self.Host {
			return true
		}
		if view.Owner.Successor != "" {
			releasedDelay += successorHeadStart
		}
		return now.Sub(view.ChangedAt) > releasedDelay
	}
	if view.Offered > 0 {
		return true
	}
	if view.Owner.Boot == self.Boot {
		return true // this process no longer acts as the owner
	}
	if view.Owner.Host == self.Host && view.Owner.Addr == self.Addr && !view.Small {
		return now.Sub(view.ChangedAt) > claimDelay // an earlier process of this host
	}
	if !view.GoneAt.IsZero() && view.ChangedAt.Before(view.GoneAt.Add(lateHeartbeatWindow)) {
		return now.Sub(view.GoneAt) > claimDelay
	}
	timeout := heartbeatTimeout
	if view.Unreachable {
		timeout = unreachableTimeout
	}
	return now.Sub(view.ChangedAt) > timeout+claimDelay
}

// claimRank orders the candidates of an epoch: a number in [0,1) that differs by host.
func claimRank(host string, epoch int64) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(host))
	_, _ = h.Write([]byte{byte(epoch), byte(epoch >> 8)})
	return float64(h.Sum32()%1000) / 1000
}

// Watch follows the owner row. It implements rowstore.Handler.
type Watch struct {
	mu      sync.Mutex
	v       View
	version int64
	log     *zap.Logger
}

// NewWatch returns a watch that has read nothing yet.
func NewWatch(log *zap.Logger) *Watch { return &Watch{log: log} }

// Snapshot implements rowstore.Handler.
func (w *Watch) Snapshot(rows []rowstore.Row) {
	w.mu.Lock()
	if !w.v.Known {
		w.v.Known, w.v.ChangedAt = true, time.Now()
	}
	w.v.FedAt = time.Now()
	w.mu.Unlock()
	w.Apply(rows)
}

// Apply implements rowstore.Handler.
func (w *Watch) Apply(rows []rowstore.Row) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range rows {
		if r.Key != ownerKey || r.Version <= w.version || r.Deleted {
			continue
		}
		var o Owner
		if err := json.Unmarshal(r.Value, &o); err != nil {
			w.log.Error("owner row can't be read", zap.Int64("version", r.Version), asynclog.Error(err))
			continue
		}
		if o.Epoch != w.v.Owner.Epoch || o.Released != w.v.Owner.Released {
			w.log.Info("owner changed", zap.String("owner", o.Host), zap.String("addr", o.Addr), zap.Int64("epoch", o.Epoch),
				zap.Bool("released", o.Released), zap.String("successor", o.Successor), zap.Int64("version", r.Version))
			w.v.GoneAt, w.v.Unreachable, w.v.Offered, w.v.Since = time.Time{}, false, 0, r.Version
		}
		w.version, w.v.Present, w.v.Owner, w.v.ChangedAt = r.Version, true, o, time.Now()
	}
}

// Fed notes an answer of the store to the feed.
func (w *Watch) Fed(sentAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.v.FedAt = sentAt
	if now := time.Now(); now.Sub(sentAt) < maxFeedAge {
		w.v.FedAt = now
	}
}

// Gone notes that the process of an owner has ended.
func (w *Watch) Gone(boot string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.v.Owner.Boot == boot && w.v.GoneAt.IsZero() {
		w.v.GoneAt = time.Now()
		w.log.Warn("the owner's process is gone", zap.String("owner", w.v.Owner.Host), zap.Int64("epoch", w.v.Owner.Epoch))
	}
}

// Reached notes whether the owner answered its peers.
func (w *Watch) Reached(boot string, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.v.Owner.Boot != boot {
		return
	}
	if ok {
		w.v.GoneAt = time.Time{}
	}
	w.v.Unreachable = !ok
}

// Offer notes that the owner asks this daemon to take over, and its last transaction; 0 takes the offer back.
func (w *Watch) Offer(boot string, lastSeq int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.v.Owner.Boot == boot {
		w.v.Offered = lastSeq
	}
}

// View returns what is known of the owner.
func (w *Watch) View() View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.v
}
