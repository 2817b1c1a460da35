package membership

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/wait"
)

// ErrTooLarge is returned when a list is too large to be copied to another daemon.
var ErrTooLarge = errors.New("membership: list too large for a copy")

const (
	// MaxCopyHosts bounds the list that one daemon sends to another. It is four times the target size, or about 17 MB,
	// which is half of the largest response of a peer call.
	MaxCopyHosts = 100_000
	// peerCheckInterval is how long a daemon waits for its own first read before it asks peers, and how often it checks
	// whether it knows any peers.
	peerCheckInterval = 100 * time.Millisecond
	// minRoundDelay is the delay after the first round of calls to the peers. The delay doubles with each round up to
	// maxRoundDelay.
	minRoundDelay = time.Second
	maxRoundDelay = 10 * time.Second
	// maxFetchesPerRound bounds how many peers are asked for their hosts in one round. Every peer is asked for the age
	// of its list.
	maxFetchesPerRound = 2
	ageTimeout         = time.Second
	fetchTimeout       = 5 * time.Second // encoding and decoding a list of the target size takes 0.1 s
	// minFreshnessGain is how much fresher another copy must be to be fetched. The lists of peers that polled at the
	// same interval until the same outage differ by less.
	minFreshnessGain = pollInterval
)

// Copy is a daemon's list, or only its metadata, as sent to another daemon.
type Copy struct {
	HasList bool `json:"held"` // false: the daemon has no list
	// AgeMS is the time since a daemon, whether the sender or another one, read the list from the platform.
	AgeMS  int64  `json:"age_ms"`
	Copies int    `json:"copies"` // how many times the list was passed on; 0: the sender read it itself
	Count  int    `json:"count"`  // number of hosts in the list
	Hosts  []Host `json:"hosts,omitempty"`
}

// Peers calls other daemons for their lists.
type Peers interface {
	// Addrs returns the addresses of the other daemons.
	Addrs() []string
	// Copy asks for a list, or without hosts only for the metadata of the list.
	Copy(ctx context.Context, addr string, hosts bool) (Copy, error)
}

// copySource describes the origin of a list that this daemon copied from a peer.
type copySource struct {
	platformReadAt time.Time // when the list was read from the platform; zero: there is no copy
	from           string
	copies         int
}

// CopyFromPeers copies the list from peers until this daemon has read the list itself or ctx ends.
func (l *List) CopyFromPeers(ctx context.Context, peers Peers) {
	rounds := 0
	for delay := peerCheckInterval; wait.For(ctx, delay) && !l.hasRead(); {
		delay = peerCheckInterval
		if l.copyFreshest(ctx, peers) {
			delay = wait.Backoff(minRoundDelay, maxRoundDelay, rounds)
			rounds++
		}
	}
}

// hasRead reports whether this daemon has read the list itself.
func (l *List) hasRead() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return !l.readAt.IsZero()
}

// peerList is the metadata that a peer sent of its list.
type peerList struct {
	addr string
	copy Copy
}

// copyFreshest asks all peers for the age of their lists and fetches the freshest list if it is fresher than the
// current copy. It returns false if there was no peer to ask.
func (l *List) copyFreshest(ctx context.Context, peers Peers) bool {
	addrs := peers.Addrs()
	offers, err := listAges(ctx, peers, addrs)
	fetched := 0
	for _, o := range offers {
		if fetched == maxFetchesPerRound || !l.worthFetching(o.copy) {
			break
		}
		if o.copy.Count > MaxCopyHosts {
			err = errors.Wrapf(ErrTooLarge, "%s has %d hosts", o.addr, o.copy.Count)
			continue
		}
		fetched++
		if err = l.fetchCopy(ctx, peers, o.addr); err == nil {
			break
		}
	}
	l.mu.Lock()
	l.copyErr = err
	l.mu.Unlock()
	return len(addrs) > 0
}

// listAges asks all peers in parallel for the metadata of their lists and returns those that have a list, the freshest
// first.
func listAges(ctx context.Context, peers Peers, addrs []string) (offers []peerList, err error) {
	ctx, cancel := context.WithTimeout(ctx, ageTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, addr := range addrs {
		wg.Go(func() {
			c, callErr := peers.Copy(ctx, addr, false)
			mu.Lock()
			defer mu.Unlock()
			if callErr != nil {
				err = errors.Wrap(callErr, addr)
			} else if c.HasList {
				offers = append(offers, peerList{addr, c})
			}
		})
	}
	wg.Wait()
	slices.SortFunc(offers, func(a, b peerList) int {
		return cmp.Or(cmp.Compare(a.copy.AgeMS, b.copy.AgeMS), cmp.Compare(a.addr, b.addr))
	})
	return offers, err
}

// worthFetching reports whether a list is at least minFreshnessGain fresher than the current copy.
func (l *List) worthFetching(c Copy) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.copySource.platformReadAt.IsZero() ||
		time.Since(l.copySource.platformReadAt)-c.clampedAge() >= minFreshnessGain
}

// fetchCopy fetches a peer's list. It measures the age from before the call, so that a copy never appears fresher than
// it is.
func (l *List) fetchCopy(ctx context.Context, peers Peers, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	asked := time.Now()
	c, err := peers.Copy(ctx, addr, true)
	switch {
	case err != nil:
		return errors.Wrap(err, addr)
	case !c.HasList || c.Count != len(c.Hosts):
		return errors.Wrapf(ErrUnavailable, "%s sent %d of %d hosts", addr, len(c.Hosts), c.Count)
	}
	l.applyCopy(c, copySource{platformReadAt: asked.Add(-c.clampedAge()), from: addr, copies: c.Copies + 1})
	return nil
}

// applyCopy uses a copy as the current list unless this daemon has read the list itself meanwhile. It does not change
// the set of listed daemons, which is evidence that a host is gone.
func (l *List) applyCopy(c Copy, from copySource) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.readAt.IsZero() || !from.platformReadAt.After(l.copySource.platformReadAt) {
		return
	}
	l.hosts, l.copySource = c.Hosts, from
	l.rebuildGroups()
}

// Copy returns the list for another daemon. It marks as leaving every endpoint that reported so to this daemon or to
// another, because the daemon that received the report may be replaced before the list can be read again. Errors:
// ErrTooLarge.
func (l *List) Copy(hosts bool) (Copy, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	at := l.listReadAt()
	if at.IsZero() {
		return Copy{}, nil
	}
	c := Copy{HasList: true, AgeMS: time.Since(at).Milliseconds() + 1, Copies: l.copySource.copies, Count: len(l.hosts)}
	switch {
	case !hosts:
		return c, nil
	case c.Count > MaxCopyHosts:
		return Copy{}, ErrTooLarge
	}
	c.Hosts = slices.Clone(l.hosts)
	for i, h := range c.Hosts {
		if !l.reported[h.ID].IsZero() || !l.reportedByPeers[h.ID].IsZero() {
			c.Hosts[i].State = stateLeaving
		}
	}
	return c, nil
}

// clampedAge limits the age that a peer sent to the range from zero to maxAgeMS, because a negative age would make the
// peer's list the freshest.
func (c Copy) clampedAge() time.Duration {
	return time.Duration(min(max(c.AgeMS, 0), maxAgeMS)) * time.Millisecond
}

// maxAgeMS is one year.
const maxAgeMS = 365 * 24 * 3600 * 1000
