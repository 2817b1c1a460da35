package daemon

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/commitlog"
	"github.com/greengagewing/greengagewing/internal/admin"
	"github.com/greengagewing/greengagewing/internal/job"
	"github.com/greengagewing/greengagewing/internal/membership"
	"github.com/greengagewing/greengagewing/internal/peer"
	"github.com/greengagewing/greengagewing/internal/request"
	"github.com/greengagewing/greengagewing/internal/settings"
	"github.com/greengagewing/greengagewing/internal/wait"
	"github.com/greengagewing/greengagewing/ownership"
	"github.com/greengagewing/greengagewing/session"
)

// gate is closed to new requests and jobs when the drain notice, which gives the load balancer time to react, has passed.
type gate struct{ closed atomic.Bool }

// heartbeatExchange builds the heartbeats of this daemon and processes those of its peers.
type heartbeatExchange struct {
	keeper  *session.Keeper
	members *membership.List
	lists   *lists
	ready   *admin.Readiness
	client  *peer.Client
	service *request.Service // set later, because the service depends on the heartbeats to borrow slots
}

func newHeartbeatExchange(k *session.Keeper, m *membership.List, l *lists, r *admin.Readiness, c *peer.Client) *heartbeatExchange {
	return &heartbeatExchange{keeper: k, members: m, lists: l, ready: r, client: c}
}

func (b *heartbeatExchange) compose() peer.Heartbeat {
	versions := make(map[string]int64, len(b.lists.followers))
	for name, f := range b.lists.followers {
		versions[name] = f.Snapshot().Version()
	}
	return peer.Heartbeat{
		ID: b.keeper.ID(), Draining: b.ready.Draining(),
		ListVersions: versions, IdleSlots: b.service.IdleSlots(), Leaving: b.members.OwnLeavingReports(),
	}
}

func (b *heartbeatExchange) receive(hb peer.Heartbeat, sentAt time.Time) {
	b.members.RecordPeerReports(hb.Leaving)
	if !sentAt.IsZero() {
		b.lists.answerTimes.record(hb.ID, sentAt)
	}
	for name, version := range hb.ListVersions {
		if f, ok := b.lists.followers[name]; ok {
			f.Heard(peer.ListPeer{Client: b.client, Addr: hb.ID}, version, sentAt)
		}
	}
}

// groups returns the names of the partition groups that this daemon serves. The daemons of each user serve only that
// user's services and pools, so a request never waits for another region.
func groups(s *settings.Settings) []string {
	requests, pools := partitions(s)
	var gs []string
	for _, name := range append(requests, pools...) {
		if g := ownership.GroupOf(name); !slices.Contains(gs, g) {
			gs = append(gs, g)
		}
	}
	return gs
}

// poolConfig is the same on all daemons that serve a pool.
var poolConfig job.Config

// partitions returns the names of the partitions of all services and pools that this daemon serves.
func partitions(s *settings.Settings) (requests, pools []string) {
	for _, service := range s.Services {
		requests = append(requests, request.PartitionNames(service)...)
	}
	for _, pool := range s.Pools {
		pools = append(pools, poolConfig.PartitionNames(pool)...)
	}
	return requests, pools
}

// registerPartitions registers the partitions that this daemon may own.
func registerPartitions(s *settings.Settings, m *ownership.Manager, rs *request.Service, p *job.Pool) {
	requests, pools := partitions(s)
	m.Register("request/", requests, rs)
	m.Register("pool/", pools, p)
}

func registerStates(st *admin.States, k *session.Keeper, o *session.Observer, g *session.Guarantor, m *ownership.Manager,
	j *commitlog.Committer, l *lists, ml *membership.List, h *peer.Heartbeater, rs *request.Service, p *job.Pool) {
	st.Add("session", k.State)
	st.Add("sessions", o.State)
	st.Add("guarantor", g.State)
	st.Add("ownership", m.State)
	st.Add("journal", func() any { return j.State() })
	st.Add("lists", func() any { return l.lookup.State() })
	st.Add("membership", ml.State)
	st.Add("peers", h.State)
	st.Add("requests", rs.State)
	st.Add("jobs", p.State)
}

// startBackground starts the goroutines that run until the daemon has drained.
func startBackground(b *background, k *session.Keeper, o *session.Observer, m *ownership.Manager, j *commitlog.Committer, l *lists,
	ml *membership.List, mp peer.Members, h *peer.Heartbeater) {
	b.run(ml.Run)
	b.run(func(ctx context.Context) { ml.CopyFromPeers(ctx, mp) })
	b.run(func(ctx context.Context) { _ = j.Run(ctx) })
	b.run(o.Run)
	b.run(k.Run)
	b.run(m.Run)
	b.run(h.Run)
	for _, f := range l.followers {
		b.run(func(ctx context.Context) {
			// When a follower starts, it compares the store's version with those of its peers, because reads from the store
			// may be stale. It finds the peers through their sessions, so wait until these have been read. Until then this
			// daemon cannot own partitions anyway.
			for !o.Fresh() {
				if !wait.For(ctx, sessionsPollInterval) {
					return
				}
			}
			_ = f.Run(ctx)
		})
	}
}

// sessionsPollInterval is how often a starting follower checks whether the sessions have been read.
const sessionsPollInterval = 20 * time.Millisecond

// registerReadinessChecks makes the daemon ready only while it can admit requests and route them to their owners: its lists
// are confirmed and its session is valid.
func registerReadinessChecks(r *admin.Readiness, l *lists, o *session.Observer, k *session.Keeper) {
	r.Check("lists", func() error {
		if !l.lookup.Fresh() {
			return errors.New("not confirmed recently")
		}
		return nil
	})
	r.Check("session", func() error {
		if !k.Valid() {
			return errors.New("not held")
		}
		return nil
	})
}
