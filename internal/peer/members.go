package peer

import (
	"context"

	"github.com/gin-gonic/gin"

	"github.com/greengagewing/greengagewing/internal/membership"
)

const pathMembers = "/peer/v1/members"

// membersCall asks for a daemon's membership list, or only for its age and size.
type membersCall struct {
	Hosts bool `json:"hosts"`
}

// Members carries the calls of the membership package. It implements membership.Peers.
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
