package daemon

import (
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/peer"
	"github.com/greengagewing/greengagewing/internal/plan"
	"github.com/greengagewing/greengagewing/table"
	"github.com/greengagewing/greengagewing/versionedlist"
)

// lists holds the editor, the followers and the lookup of the operators' lists: plans and allowances.
type lists struct {
	editor      *plan.Editor
	followers   map[string]*versionedlist.Follower
	lookup      *plan.Lists
	answerTimes *answerTimes
}

// answerValidity is how long a peer's answer to a heartbeat, which carries its list versions, replaces a separate call for
// these versions. It covers the heartbeat interval and a slow answer. It is short enough that a peer whose heartbeat fails
// is asked directly before the lists of this daemon count as unconfirmed.
const answerValidity = 1500 * time.Millisecond

// answerTimes records when peers last answered heartbeats, which carry the versions of their lists.
type answerTimes struct {
	mu     sync.Mutex
	sentAt map[string]time.Time // by peer address: the time just before the answered heartbeat was sent
}

func (a *answerTimes) record(addr string, sentAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sentAt[addr] = sentAt
}

// withoutRecentAnswer returns those of addrs that have not answered within answerValidity. It deletes the records of all
// other addresses.
func (a *answerTimes) withoutRecentAnswer(addrs []string, now time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.sentAt, func(addr string, _ time.Time) bool { return !slices.Contains(addrs, addr) })
	return slices.DeleteFunc(addrs, func(addr string) bool { return now.Sub(a.sentAt[addr]) <= answerValidity })
}

func newLists(t table.Client, c *peer.Client, roster peer.Roster, log *zap.Logger) *lists {
	peers := func(addrs []string) []versionedlist.Peer {
		var out []versionedlist.Peer
		for _, addr := range addrs {
			out = append(out, peer.ListPeer{Client: c, Addr: addr})
		}
		return out
	}
	answers := &answerTimes{sentAt: map[string]time.Time{}}
	cfg := versionedlist.FollowerConfig{
		Logger:  log,
		Peers:   func() []versionedlist.Peer { return peers(roster()) },
		Unheard: func() []versionedlist.Peer { return peers(answers.withoutRecentAnswer(roster(), time.Now())) },
	}
	plans := versionedlist.NewFollower(t, plan.PlansList, cfg)
	allowances := versionedlist.NewFollower(t, plan.AllowancesList, cfg)
	return &lists{
		editor:      plan.NewEditor(t, versionedlist.EditorConfig{}),
		followers:   map[string]*versionedlist.Follower{plan.PlansList: plans, plan.AllowancesList: allowances},
		lookup:      plan.NewLists(plans, allowances),
		answerTimes: answers,
	}
}
