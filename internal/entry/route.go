// Package entry routes callers' requests and job operations, which may arrive at any daemon, to the daemon that owns the
// partition.
package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/peer"
	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// maxOwnerWait is how long a call waits for a partition without an owner, as during a handover.
	maxOwnerWait      = 500 * time.Millisecond
	ownerPollInterval = 20 * time.Millisecond
	// maxLostAnswers limits how often a call is retried after its answer was lost.
	maxLostAnswers = 2
)

var (
	// ErrNoOwner reports that no daemon owns the partition now; nothing was run.
	ErrNoOwner = errors.New("entry: partition has no owner")
	// ErrOwnerGone reports that the owner cannot be reached; nothing was run. No other daemon can take over the
	// partition until the owner's session is fenced, which takes several seconds.
	ErrOwnerGone = errors.New("entry: owner cannot be reached")
	// ErrLost reports that the owner may have received the call, but its answer did not arrive.
	ErrLost = errors.New("entry: answer of the owner was lost")
)

// Owner is the daemon that owns a partition.
type Owner struct {
	Self bool
	Addr string // address of the owner's peer listener
	// Unresponsive reports that the owner does not answer heartbeats, for example because its process is paused.
	Unresponsive bool
}

// OwnerResolver finds the owner of a partition.
type OwnerResolver interface {
	OwnerOf(partition string) (Owner, bool)
}

// call describes one call to the owner of a partition.
type call[T any] struct {
	partition string
	local     func(context.Context) T
	remote    func(ctx context.Context, addr string) (T, error)
	notOwner  func(T) bool // reports whether the answer shows that the called daemon is not the owner
}

// route sends c to the owner and waits up to maxOwnerWait for a partition without one. It retries after a lost answer,
// which is safe because the owner deduplicates calls by their key or the work is idempotent. lost reports whether an
// earlier attempt may still run; an answer of "not run" is then no longer certain.
func route[T any](ctx context.Context, owners OwnerResolver, c call[T]) (answer T, lost bool, err error) {
	lostAnswers := 0
	giveUpAt := time.Now().Add(maxOwnerWait)
	for {
		sentAt := time.Now()
		answer, err := callOwner(ctx, owners, c)
		if err == nil && time.Since(sentAt) > ownerPollInterval {
			// The call waited in the owner's queue until the partition was handed over. Wait the full time again for the
			// next owner.
			giveUpAt = time.Now().Add(maxOwnerWait)
		}
		switch {
		case err == nil && !c.notOwner(answer):
			return answer, lostAnswers > 0, nil
		case errors.Is(err, peer.ErrLost):
			lostAnswers++
			if lostAnswers > maxLostAnswers {
				return answer, true, ErrLost
			}
			continue
		case (errors.Is(err, peer.ErrNotSent) || errors.Is(err, ErrOwnerGone)) && lostAnswers == 0:
			return answer, false, ErrOwnerGone
		case errors.Is(err, ErrOwnerGone):
			return answer, true, ErrLost
		case ctx.Err() != nil || !time.Now().Before(giveUpAt):
			if lostAnswers > 0 {
				return answer, true, ErrLost
			}
			return answer, false, ErrNoOwner
		}
		wait.For(ctx, ownerPollInterval)
	}
}

// callOwner makes one attempt, at the current owner of the partition.
func callOwner[T any](ctx context.Context, owners OwnerResolver, c call[T]) (T, error) {
	o, ok := owners.OwnerOf(c.partition)
	switch {
	case !ok:
		var none T
		return none, ErrNoOwner
	case o.Self:
		return c.local(ctx), nil
	case o.Unresponsive:
		var none T
		return none, ErrOwnerGone
	}
	return c.remote(ctx, o.Addr)
}
