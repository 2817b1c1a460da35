package peer

import (
	"context"

	"github.com/gin-gonic/gin"

	"github.com/greengagewing/greengagewing/internal/membership"
)

const pathMembers = "/peer/v1/members"

// membersCall requests a daemon's copy of the membership list, or only the copy's age and size if Hosts is false.
type membersCall struct {
	Hosts bool `json:"hosts"`
}

// Members makes the calls of the membership package to other daemons. It implements membership.Peers.
type Members struct {
	Client *Client
	Roster Roster
}

// Addrs implements membership.Peers.
func (m Members) Addrs() []string { return m.Roster() }

// Copy implements membership.Peers.
func (m Members) Copy(ctx context.Context, addr string, hosts bool) (membership.Copy, error) {
	return Call[membership.Copy](ctx, m.Client, addr, pathMembers, membersCall{Hosts: hosts})
}

// RegisterMembers serves the calls of Members.
func RegisterMembers(r gin.IRoutes, l *membership.List) {
	Handle(r, pathMembers, func(_ context.Context, c membersCall) (membership.Copy, error) { return l.Copy(c.Hosts) })
}
