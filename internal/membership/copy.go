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

// ErrTooLarge says that a list is too large to be passed on to another daemon.
var ErrTooLarge = errors.New("membership: list too large for a copy")

const (
	// MaxCopyHosts bounds the list that one daemon gives another: four times the target size, about 17 MB, which is half
	// of the largest answer of a peer call.
	MaxCopyHosts = 100_000
	// peerCheckInterval is how long a daemon waits for its own first read before it asks peers, and how often it looks whether
	// it knows any.
	peerCheckInterval = 100 * time.Millisecond
	// minRoundDelay is the delay after the first round of calls. It doubles with each round up to maxAsk.
	minRoundDelay = time.Second
	maxRoundDelay = 10 * time.Second
	// maxFetchesPerRound bounds how many peers are asked for their hosts in a round. All of them are asked for the age.
	maxFetchesPerRound = 2
	ageTimeout         = time.Second
	fetchTimeout       = 5 * time.Second // a list of the target size takes 0.1 s to encode and decode
	// minFreshnessGain is how much fresher another copy must be to be fetched: peers that read the list at the same interval until
	// the same outage differ by less.
	minFreshnessGain = pollInterval
)

// Copy is a daemon's list as it tells another daemon.
type Copy struct {
	HasList bool `json:"held"` // false: the daemon has no list
	// AgeMS is the time since the platform's list was read, by whichever daemon read it.
	AgeMS  int64  `json:"age_ms"`
	Copies int    `json:"copies"` // how many times it was passed on; 0: the daemon read it itself
	Count  int    `json:"count"`  // of the hosts
	Hosts  []Host `json:"hosts,omitempty"`
}

// Peers reaches the lists of other daemons.
type Peers interface {
	Addrs() []string
	// Copy asks for a list, or only for what it is like.
	Copy(ctx context.Context, addr string, hosts bool) (Copy, error)
}

// copySource tells where a list came from that this daemon did not read itself.
type copySource struct {
	platformReadAt time.Time // of the read at the platform; zero: there is no copy
	from           string
	copies         int
}

// CopyFrom takes the list from peers while this daemon has not read it itself, and returns after the first read.
func (l *List) CopyFrom(ctx context.Context, peers Peers) {
	rounds := 0
	for delay := peerCheckInterval; wait.For(ctx, delay) && !l.hasRead(); {
		delay = peerCheckInterval
		if l.copyFreshest(ctx, peers) {
			delay = wait.Backoff(minRoundDelay, maxRoundDelay, rounds)
			rounds++
		}
	}
}

func (l *List) hasRead() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return !l.readAt.IsZero()
}

// peerList is what a peer said of its list.
type peerList struct {
	addr string
	copy Copy
}

// copyFreshest fetches the freshest list of the peers if it is fresher than the copy that is held. It returns false if there
// was nobody to ask.
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

// listAges asks all peers at the same time what their lists are like and returns those that have one, the freshest first.
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

// worthFetching reports whether a list is enough fresher than the copy that is held.
func (l *List) worthFetching(c Copy) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.copySource.platformReadAt.IsZero() || time.Since(l.copySource.platformReadAt)-c.clampedAge() >= minFreshnessGain
}

// fetchCopy counts the age from before the call, so that a copy is never taken for fresher than it is.
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

// applyCopy puts a copy in force unless the list was read meanwhile. It leaves the list of daemons alone, which is evidence
// that a host is gone.
func (l *List) applyCopy(c Copy, from copySource) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.readAt.IsZero() || !from.platformReadAt.After(l.copySource.platformReadAt) {
		return
	}
	l.hosts, l.copySource = c.Hosts, from
	l.rebuildGroups()
}

// Copy returns the list for another daemon. It shows the endpoints as leaving that said so to this daemon or to another:
// the one that heard it may be replaced before the list can be read again. Errors: ErrTooLarge.
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

// clampedAge bounds what a peer says, because a negative age would make its list the freshest.
func (c Copy) clampedAge() time.Duration {
	return time.Duration(min(max(c.AgeMS, 0), maxAgeMS)) * time.Millisecond
}

// maxAgeMS is a year.
const maxAgeMS = 365 * 24 * 3600 * 1000
