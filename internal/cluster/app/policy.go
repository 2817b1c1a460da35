package app

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/cluster/coordinator"
	"github.com/greengagewing/greengagewing/internal/cluster/election"
	"github.com/greengagewing/greengagewing/internal/cluster/peers"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// policyClient queries the policy service from this host or through a peer. It implements coordinator.PolicyClient.
type policyClient struct {
	self   election.Identity
	roster *peers.Roster
	client *peers.Client
	local  peers.Adviser
}

func newPolicyClient(self election.Identity, r *peers.Roster, c *peers.Client, p Platform) *policyClient {
	return &policyClient{self, r, c, p}
}

var errNoHost = errors.New("app: host is not registered")

// Hosts implements coordinator.PolicyClient. This host comes last, since as the owner it has other work to do.
func (a *policyClient) Hosts() []string {
	var out []string
	for _, h := range a.roster.Hosts() {
		if h.Host != a.self.Host {
			out = append(out, h.Host)
		}
	}
	return append(out, a.self.Host)
}

// Ask implements coordinator.PolicyClient.
func (a *policyClient) Ask(ctx context.Context, host string, step workload.StepID, workers []string) (coordinator.Advice, error) {
	if host == a.self.Host {
		return a.local.Advise(ctx, step, workers)
	}
	h, ok := a.roster.Find(host)
	if !ok {
		return coordinator.Advice{}, errors.Wrap(errNoHost, host)
	}
	return a.client.Advise(ctx, h.Addr, step, workers)
}
