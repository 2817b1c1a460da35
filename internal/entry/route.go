// Package entry takes a caller's call at any daemon and brings it to the owner of its partition.
package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/peer"
	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// maxOwnerWait is how long a call waits for a partition that is handed over.
	maxOwnerWait      = 500 * time.Millisecond
	ownerPollInterval = 20 * time.Millisecond
	// maxLostAnswers bounds how often a call is repeated after its answer was lost.
	maxLostAnswers = 2
)

var (
	// ErrNoOwner says that no daemon owns the partition now; nothing was run.
	ErrNoOwner = errors.New("entry: partition has no owner")
	// ErrOwnerGone says that the owner cannot be reached; nothing was run. Until it is fenced, which takes several
	// seconds, no other daemon can take the partition.
	ErrOwnerGone = errors.New("entry: owner cannot be reached")
	// ErrLost says that the owner may have taken the call but its answer did not arrive.
	ErrLost = errors.New("entry: answer of the owner was lost")
)

// Owner is the daemon that owns a partition.
type Owner struct {
	Self bool
	Addr string // peer address
	// Unresponsive says that the owner does not answer heartbeats, as when its process is paused.
	Unresponsive bool
}

// OwnerResolver finds the owner of a partition.
type OwnerResolver interface {
	OwnerOf(partition string) (Owner, bool)
}

// call is one call on its way to the owner of a partition.
type call[T any] struct {
	partition string
	local     func(context.Context) T
	remote    func(ctx context.Context, addr string) (T, error)
	notOwner  func(T) bool // the answer says that the daemon asked is not the owner
}

// route brings c to the owner. A call may be sent again after a lost answer because the owner recognizes its key, or
// because the work is idempotent. lost reports whether an earlier sending may still be run: then an answer of "not run"
// is not certain any more.
func route[T any](ctx context.Context, owners OwnerResolver, c call[T]) (answer T, lost bool, err error) {
	lostAnswers := 0
	giveUpAt := time.Now().Add(maxOwnerWait)
	for {
		sentAt := time.Now()
		answer, err := callOwner(ctx, owners, c)
		if err == nil && time.Since(sentAt) > ownerPollInterval {
			// The call waited in a queue whose partition was handed over; its next owner gets the full wait.
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

// callOwner asks the present owner.
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
