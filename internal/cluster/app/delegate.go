package app

import (
	"github.com/greengagewing/greengagewing/internal/cluster/delegate"
)

// newSessionManager returns the session manager with which this host calls workers on behalf of an owner that has too many
// of them.
func (n *Node) newSessionManager() *delegate.SessionManager {
	p := n.parts
	return &delegate.SessionManager{
		Config: p.Config.Delegate,
		Deps:   delegate.Deps{Client: p.Platform, Clock: p.Clock, Log: p.Log},
		Client: p.Peers, Host: p.Self.Host, FailureDomain: p.Config.FailureDomain, BootID: p.Self.BootID, Owner: n.ownerToServe,
	}
}

// ownerToServe returns the owner that this host should work for as a delegate. There is none for the owner itself, for a
// draining host, and for hosts too small to be the owner, which have too little processor time.
func (n *Node) ownerToServe() (delegate.Owner, bool) {
	owner := n.parts.Watch.View().Owner
	if owner.Addr == "" || owner.Released || owner.BootID == n.parts.Self.BootID || n.parts.Readiness.Draining() || !n.canOwn() {
		return delegate.Owner{}, false
	}
	return delegate.Owner{Addr: owner.Addr, BootID: owner.BootID, Epoch: owner.Epoch}, true
}
