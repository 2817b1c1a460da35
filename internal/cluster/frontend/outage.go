package frontend

import (
	"context"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/peers"
)

// peerRetryInterval is how long peers are not asked again after one of them could not store a change either. During an outage for
// all hosts, asking for each change would only multiply the calls.
const peerRetryInterval = 300 * time.Millisecond

// storeDuringOutage handles a change while the breaker is open, that is, while the store does not answer this host. It tries a
// peer, since the store may still answer others. If that fails, it refuses the change at once, so that the caller knows that
// nothing has happened and decides itself when to come back. Only if an earlier attempt may have taken effect does it wait for
// the store. It returns true, with StoreUnknown if an attempt may have taken effect, if the breaker has closed and the change
// should be tried again.
func (s *JobService) storeDuringOutage(ctx context.Context, c change, unknown bool) (peers.StoreOutcome, bool, error) {
	for s.breaker.open.Load() {
		switch outcome, err := s.tryPeer(c, time.Now()); outcome {
		case peers.Stored, peers.StoredBefore, peers.NoSuchJob, peers.IDInUse, peers.CancelledBefore, peers.TooManyCancels:
			return outcome, false, err
		case peers.NotStored:
		default:
			unknown = true
		}
		if !unknown {
			return peers.NotStored, false, errStoreUnresponsive
		}
		if !s.breaker.awaitClosed(ctx, peerRetryInterval) {
			return peers.StoreUnknown, false, errStoreUnresponsive
		}
	}
	return outcomeAtDeadline(unknown), true, nil
}

// tryPeer asks a peer to store a change, unless peers have recently failed to.
func (s *JobService) tryPeer(c change, now time.Time) (peers.StoreOutcome, error) {
	if now.UnixNano() < s.peersFailedUntil.Load() {
		return peers.NotStored, errStoreUnresponsive
	}
	outcome, err := s.viaPeer(c, 0)
	if outcome == peers.NotStored || outcome == peers.StoreUnknown {
		s.peersFailedUntil.Store(time.Now().Add(peerRetryInterval).UnixNano())
	}
	return outcome, err
}
