package daemon

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/greengagewing/greengagewing/commitlog"
	"github.com/greengagewing/greengagewing/internal/membership"
	"github.com/greengagewing/greengagewing/internal/peer"
	"github.com/greengagewing/greengagewing/internal/wait"
	"github.com/greengagewing/greengagewing/ownership"
	"github.com/greengagewing/greengagewing/session"
)

// gaugeInterval is how often the gauges are updated.
const gaugeInterval = time.Second

// gauges exports the state of the embeddable packages as metrics, because those packages export none themselves.
type gauges struct {
	scope      tally.Scope
	keeper     *session.Keeper
	manager    *ownership.Manager
	journal    *commitlog.Committer
	lists      *lists
	members    *membership.List
	heartbeats *peer.Heartbeater
}

func newGauges(s tally.Scope, k *session.Keeper, m *ownership.Manager, j *commitlog.Committer, l *lists,
	ml *membership.List, h *peer.Heartbeater) *gauges {
	return &gauges{scope: s, keeper: k, manager: m, journal: j, lists: l, members: ml, heartbeats: h}
}

// run updates the gauges until ctx ends.
func (g *gauges) run(ctx context.Context) {
	wait.Every(ctx, gaugeInterval, func(context.Context) { g.update() })
}

func (g *gauges) update() {
	set := func(name string, v float64) { g.scope.Gauge(name).Update(v) }
	set("session_valid", boolValue(g.keeper.Valid()))
	set("session_renewed_at_store", boolValue(g.keeper.RenewedRecently()))
	set("partitions_owned", float64(g.manager.OwnedCount()))
	set("peers_alive", float64(len(g.heartbeats.Alive())))
	set("membership_age_seconds", g.members.Age().Seconds())
	set("membership_copied", boolValue(g.members.IsCopy()))
	set("lists_fresh", boolValue(g.lists.lookup.Fresh()))
	for name, f := range g.lists.followers {
		g.scope.Tagged(map[string]string{"list": name}).Gauge("list_version").Update(float64(f.Snapshot().Version()))
	}
	st := g.journal.State()
	set("journal_healthy", boolValue(st.Healthy))
	set("journal_commits", float64(st.Stats.Commits))
	set("journal_records", float64(st.Stats.Records))
	set("journal_dropped", float64(st.Stats.Dropped))
}

func boolValue(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
