package session

import (
	"context"
	"time"

	"github.com/greengagewing/greengagewing/internal/wait"
)

// While the store confirms no renewals, promises of all guarantors extend the validity.

// promiseLoop calls requestPromises every half RenewInterval until ctx ends.
func (k *Keeper) promiseLoop(ctx context.Context) {
	for ctx.Err() == nil {
		t := wait.NewTimer(k.cfg.RenewInterval / 2)
		select {
		case <-ctx.Done():
		case <-t.C:
			k.requestPromises(ctx)
		}
		t.Stop()
	}
}

// requestPromises extends the validity if the last renewal at the store is older than promiseThreshold and every
// guarantor promises.
func (k *Keeper) requestPromises(ctx context.Context) {
	k.mu.Lock()
	sent := time.Now()
	if !k.hasLease() || k.peers == nil || sent.Sub(k.renewedAt) <= k.promiseThreshold() {
		k.mu.Unlock()
		return
	}
	rows := []Row{k.confirmed}
	if k.unresolved != nil {
		rows = append(rows, k.unresolved.row)
	}
	req := PromiseRequest{Session: k.cfg.ID, Incarnation: k.confirmed.Incarnation, Seq: k.confirmed.Seq}
	k.mu.Unlock()
	all, ok := allGuarantors(rows)
	if !ok || !k.promisedByAll(ctx, all, req) {
		return
	}
	k.mu.Lock()
	k.extendLease(req.Incarnation, sent)
	k.mu.Unlock()
}

// allGuarantors returns every process that could consent to the fencing of one of the rows. ok is false if one of the
// rows has no guarantors, because that session can be fenced without consent. An id with two boots is listed twice;
// only one of the two processes can promise.
func allGuarantors(rows []Row) (all []Peer, ok bool) {
	seen := map[string]bool{}
	for _, r := range rows {
		if len(r.Guarantors) == 0 {
			return nil, false
		}
		for _, g := range r.Guarantors {
			if id := g.ID + "\x00" + g.Boot; !seen[id] {
				seen[id] = true
				all = append(all, g)
			}
		}
	}
	return all, true
}

// promisedByAll asks the guarantors in parallel and reports whether every one of them promised.
func (k *Keeper) promisedByAll(ctx context.Context, all []Peer, req PromiseRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.PeerTimeout)
	defer cancel()
	granted := make(chan bool, len(all))
	for _, g := range all {
		go func() {
			r := req
			r.GuarantorBoot = g.Boot
			reply, err := k.peers.Promise(ctx, g, r)
			granted <- err == nil && reply.Granted
		}()
	}
	for range all {
		if !<-granted {
			return false
		}
	}
	return true
}
