package daemon

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/admin"
	"github.com/greengagewing/greengagewing/internal/peer"
	"github.com/greengagewing/greengagewing/internal/wait"
	"github.com/greengagewing/greengagewing/session"
	"github.com/greengagewing/greengagewing/table"
	"github.com/greengagewing/greengagewing/versionedlist"
)

const (
	// renewalTimeout is how long an edit waits until a daemon that cannot be called renews its session at the store. A daemon
	// that reaches the store renews every second.
	renewalTimeout      = 2500 * time.Millisecond
	renewalPollInterval = 250 * time.Millisecond
	releaseTimeout      = time.Second
)

// announcer announces an edit to all live daemons before the edit is committed. Daemons that later lose the connection to
// both the editor and the store then do not confirm the old version to each other. An accepted edit therefore also takes
// effect on the other side of a network partition: each daemon there either knows the edit or admits no requests.
type announcer struct {
	keeper    *session.Keeper
	sessions  *session.Observer
	store     table.Client
	client    *peer.Client
	releases  *background
	editCount atomic.Int64
}

func newAnnouncer(b *background, k *session.Keeper, o *session.Observer, t table.Client, c *peer.Client) *announcer {
	return &announcer{keeper: k, sessions: o, store: t, client: c, releases: b}
}

// announce implements admin.Lists.Announce.
func (a *announcer) announce(ctx context.Context, list string) (func(version int64), error) {
	if !a.sessions.Fresh() {
		return nil, errors.Wrap(versionedlist.ErrUnavailable, "the store was not read recently")
	}
	id := fmt.Sprintf("%s/%d", a.keeper.Boot(), a.editCount.Add(1))
	var rows []session.Row
	for _, info := range a.sessions.Live() {
		if info.Row.ID != a.keeper.ID() {
			rows = append(rows, info.Row)
		}
	}
	failures := make([]error, len(rows))
	var wg sync.WaitGroup
	for i, row := range rows {
		wg.Go(func() { failures[i] = a.announceTo(ctx, row, list, id) })
	}
	wg.Wait()
	release := func(version int64) {
		for _, row := range rows {
			a.releases.run(func(ctx context.Context) { a.release(ctx, row, list, id, version) })
		}
	}
	if err := errors.Join(failures...); err != nil {
		release(0)
		return nil, err
	}
	return release, nil
}

// announceTo announces an edit to one daemon. If the call fails, it returns nil only if the daemon's process has ended or
// its session is renewed at the store, where the daemon will then read the edit.
func (a *announcer) announceTo(ctx context.Context, row session.Row, list, id string) error {
	to := peer.ListPeer{Client: a.client, Addr: row.PeerAddr}
	if to.Hold(ctx, list, id) == nil {
		return nil
	}
	// The cause may be a stale pooled connection, so probe the address over a new one.
	_, err := peer.Sessions{Client: a.client}.Probe(ctx, row.PeerAddr)
	switch {
	case errors.Is(err, session.ErrConnectionRefused):
		return nil
	case err == nil && to.Hold(ctx, list, id) == nil:
		return nil
	}
	return a.awaitRenewal(ctx, row)
}

// awaitRenewal waits until the session is renewed at the store or deleted there. If neither happens within renewalTimeout,
// it returns admin.ErrMembersUnreachable.
func (a *announcer) awaitRenewal(ctx context.Context, row session.Row) error {
	ctx, cancel := context.WithTimeout(ctx, renewalTimeout)
	defer cancel()
	var firstVersion int64
	for {
		got, err := a.store.Get(ctx, session.Key(row.ID))
		switch {
		case errors.Is(err, table.ErrNotFound):
			return nil
		case err == nil && firstVersion == 0:
			firstVersion = got.Version
		case err == nil && got.Version != firstVersion:
			return nil
		}
		if !wait.For(ctx, renewalPollInterval) {
			return errors.Wrap(admin.ErrMembersUnreachable, row.PeerAddr)
		}
	}
}

// release reports the outcome of an edit to one daemon. It ignores a failure, because that daemon then reads the outcome
// from the store.
func (a *announcer) release(ctx context.Context, row session.Row, list, id string, version int64) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	_ = peer.ListPeer{Client: a.client, Addr: row.PeerAddr}.Release(ctx, list, id, version)
}
