package app

import (
	"context"

	"github.com/greengagewing/greengagewing/internal/cluster/configage"
)

// followConfig follows the operator's configuration in the store, and asks other hosts for it while the store does not answer.
func (n *Node) followConfig() {
	p := n.parts
	n.wg.Go(func() { p.Platform.FollowQueues(n.ctx, p.ConfigHolder, p.Clock, p.Tracker.ConfirmByStore) })
	checker := &configage.Checker{Tracker: p.Tracker, Holder: p.ConfigHolder, Required: n.keysRequired, Metrics: p.Scope, Log: p.Log,
		Sources: configage.Sources{
			Peers: n.otherPeers, Ask: p.Peers.AskConfig, Reconnect: p.Peers.Close,
			Read: func(ctx context.Context) error { return p.Platform.ReadQueues(ctx, p.ConfigHolder) },
		}}
	n.wg.Go(func() { checker.Run(n.ctx) })
}

// keysRequired reports whether callers need API keys.
func (n *Node) keysRequired() bool {
	current := n.parts.ConfigHolder.Current()
	return n.parts.Config.KeysRequired || current != nil && len(current.Teams) > 0
}

// otherPeers returns the addresses of the other daemons.
func (n *Node) otherPeers() []string {
	var addrs []string
	for _, h := range n.parts.Roster.Hosts() {
		if h.Host != n.parts.Self.Host {
			addrs = append(addrs, h.Addr)
		}
	}
	return addrs
}

// configurationState returns the version and the age of the configuration for the state dump.
func (n *Node) configurationState() any {
	var version int64
	if current := n.parts.ConfigHolder.Current(); current != nil {
		version = current.Version
	}
	state := map[string]any{"version": version, "verdict": n.parts.Tracker.Verdict().String(), "keys_required": n.keysRequired()}
	if s := n.parts.Tracker.State(); s.Known {
		state["age_ms"] = s.Age(n.parts.Clock()).Milliseconds()
	}
	return state
}
