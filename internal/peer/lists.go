package peer

import (
	"context"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/versionedlist"
)

const (
	pathListVersion = "/peer/v1/list/version"
	pathListAfter   = "/peer/v1/list/after"
	pathListPush    = "/peer/v1/list/push"
	pathListHold    = "/peer/v1/list/hold"
	pathListRelease = "/peer/v1/list/release"
)

// errUnknownList reports that a peer asked for a list that this daemon does not follow.
var errUnknownList = errors.New("peer: no such list")

// listCall is the request of all calls about lists: reading a list, pushing an update, announcing an edit and reporting
// its outcome.
type listCall struct {
	List    string               `json:"list"`
	After   int64                `json:"after,omitempty"`
	Update  versionedlist.Update `json:"update,omitzero"`
	Hold    string               `json:"hold,omitempty"`
	Version int64                `json:"version,omitempty"` // version that the announced edit made, zero if it was not accepted
}

// ListPeer accesses the copies of the lists on another daemon. It implements versionedlist.Peer and versionedlist.Pusher.
type ListPeer struct {
	Client *Client
	Addr   string // IP:port of the peer
}

// Version implements versionedlist.Peer.
func (p ListPeer) Version(ctx context.Context, list string) (int64, error) {
	return Call[int64](ctx, p.Client, p.Addr, pathListVersion, listCall{List: list})
}

// After implements versionedlist.Peer.
func (p ListPeer) After(ctx context.Context, list string, after int64) (versionedlist.Update, error) {
	return Call[versionedlist.Update](ctx, p.Client, p.Addr, pathListAfter, listCall{List: list, After: after})
}

// Push implements versionedlist.Pusher.
func (p ListPeer) Push(ctx context.Context, list string, u versionedlist.Update) error {
	_, err := Call[bool](ctx, p.Client, p.Addr, pathListPush, listCall{List: list, Update: u})
	return err
}

// Hold announces an edit; see versionedlist.Follower.Hold.
func (p ListPeer) Hold(ctx context.Context, list, id string) error {
	_, err := Call[struct{}](ctx, p.Client, p.Addr, pathListHold, listCall{List: list, Hold: id})
	return err
}

// Release reports the outcome of an announced edit; see versionedlist.Follower.Release.
func (p ListPeer) Release(ctx context.Context, list, id string, version int64) error {
	_, err := Call[struct{}](ctx, p.Client, p.Addr, pathListRelease, listCall{List: list, Hold: id, Version: version})
	return err
}

// RegisterLists serves the calls of ListPeer. followers holds the follower of each list by name.
func RegisterLists(r gin.IRoutes, followers map[string]*versionedlist.Follower) {
	findFollower := func(name string) (*versionedlist.Follower, error) {
		if f, ok := followers[name]; ok {
			return f, nil
		}
		return nil, errUnknownList
	}
	Handle(r, pathListVersion, func(_ context.Context, c listCall) (int64, error) {
		f, err := findFollower(c.List)
		if err != nil {
			return 0, err
		}
		return f.Snapshot().Version(), nil
	})
	Handle(r, pathListAfter, func(_ context.Context, c listCall) (versionedlist.Update, error) {
		f, err := findFollower(c.List)
		if err != nil {
			return versionedlist.Update{}, err
		}
		return f.After(c.After), nil
	})
	Handle(r, pathListPush, func(_ context.Context, c listCall) (bool, error) {
		f, err := findFollower(c.List)
		if err != nil {
			return false, err
		}
		return f.Accept(c.Update), nil
	})
	Handle(r, pathListHold, func(_ context.Context, c listCall) (struct{}, error) {
		f, err := findFollower(c.List)
		if err == nil {
			f.Hold(c.Hold)
		}
		return struct{}{}, err
	})
	Handle(r, pathListRelease, func(_ context.Context, c listCall) (struct{}, error) {
		f, err := findFollower(c.List)
		if err == nil {
			f.Release(c.Hold, c.Version)
		}
		return struct{}{}, err
	})
}
