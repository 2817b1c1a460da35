package peer

import (
	"context"
	"net"
	"slices"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/ownership"
	"github.com/greengagewing/greengagewing/session"
)

// Paths of the calls of the session and ownership packages.
const (
	pathPromise    = "/peer/v1/promise"
	pathConsent    = "/peer/v1/consent"
	pathProbe      = "/peer/v1/probe"
	pathRowChanged = "/peer/v1/partition"
)

// Sessions makes the calls of the session and ownership packages to other daemons. It implements session.PeerCaller and
// ownership.Notifier.
type Sessions struct{ Client *Client }

// Promise implements session.PeerCaller.
func (s Sessions) Promise(ctx context.Context, to session.Peer, req session.PromiseRequest) (session.PromiseReply, error) {
	return Call[session.PromiseReply](ctx, s.Client, to.PeerAddr, pathPromise, req)
}

// Consent implements session.PeerCaller.
func (s Sessions) Consent(ctx context.Context, to session.Peer, req session.ConsentRequest) (session.ConsentReply, error) {
	return Call[session.ConsentReply](ctx, s.Client, to.PeerAddr, pathConsent, req)
}

// Probe implements session.PeerCaller. It opens a new connection, because a pooled one may still be open to a host whose
// process has ended.
func (s Sessions) Probe(ctx context.Context, addr string) (session.ProbeReply, error) {
	c := NewClient(s.Client.secret, s.Client.dial)
	defer c.Close()
	reply, err := Call[session.ProbeReply](ctx, c, addr, pathProbe, struct{}{})
	if errors.Is(err, ErrRefused) {
		return reply, errors.Wrap(session.ErrConnectionRefused, err.Error())
	}
	return reply, err
}

// NotifyRowChanged implements ownership.Notifier.
func (s Sessions) NotifyRowChanged(ctx context.Context, addr string, n ownership.RowNotice) error {
	_, err := Call[struct{}](ctx, s.Client, addr, pathRowChanged, n)
	return err
}

// RegisterSessions serves the calls of Sessions.
func RegisterSessions(r gin.IRoutes, k *session.Keeper, g *session.Guarantor, m *ownership.Manager) {
	Handle(r, pathPromise, func(_ context.Context, req session.PromiseRequest) (session.PromiseReply, error) {
		return g.Promise(req), nil
	})
	Handle(r, pathConsent, func(_ context.Context, req session.ConsentRequest) (session.ConsentReply, error) {
		return g.Consent(req), nil
	})
	Handle(r, pathProbe, func(context.Context, struct{}) (session.ProbeReply, error) { return k.Probe(), nil })
	Handle(r, pathRowChanged, func(_ context.Context, n ownership.RowNotice) (struct{}, error) {
		m.HandleRowNotice(n)
		return struct{}{}, nil
	})
}

// RosterOf returns a roster of the other daemons with a live session that serve at least one of the groups. Heartbeat
// traffic grows with the square of the number of daemons, so daemons that share no group exchange none.
func RosterOf(o *session.Observer, self string, groups []string) Roster {
	return func() []string {
		var addrs []string
		for _, info := range o.Live() {
			r := info.Row
			if _, _, err := net.SplitHostPort(r.PeerAddr); err == nil && r.PeerAddr != self && haveCommonGroup(r.Groups, groups) {
				addrs = append(addrs, r.PeerAddr)
			}
		}
		return addrs
	}
}

func haveCommonGroup(a, b []string) bool {
	return slices.ContainsFunc(a, func(g string) bool { return slices.Contains(b, g) })
}
