package ownership

import (
	"hash/fnv"
	"slices"
	"strings"

	"github.com/greengagewing/greengagewing/session"
)

// GroupOf returns the group of a partition: its name without the number, such as "request/textos". The partitions of a
// group are divided evenly among the daemons that serve the group.
func GroupOf(partition string) string {
	return partition[:max(strings.LastIndexByte(partition, '/'), 0)]
}

// assignment pairs a partition with the daemon that owns it or is its named successor, "" if there is none.
type assignment struct {
	partition string
	owner     string
}

// rankOwners ranks, for each partition of one group, the daemons in the order in which they should own it, the desired
// owner first. The numbers of partitions assigned to any two daemons differ by at most one. A daemon keeps the
// partitions that it has up to its share, so that the loss or arrival of one daemon moves as few partitions as
// possible. Each remaining partition goes to the least loaded daemon; between equally loaded daemons, rendezvous
// hashing decides.
//
// Every daemon computes this ranking from the same rows. While daemons see different rows, the conditional commits of
// the claims decide who owns a partition.
func rankOwners(current []assignment, ids []string) map[string][]string {
	out := make(map[string][]string, len(current))
	if len(ids) == 0 {
		return out
	}
	share, extra := len(current)/len(ids), len(current)%len(ids) // extra daemons get share+1 partitions
	load := make(map[string]int, len(ids))
	desired := make(map[string]string, len(current))
	for _, cur := range current {
		if !slices.Contains(ids, cur.owner) || load[cur.owner] > share || load[cur.owner] == share && extra == 0 {
			continue
		}
		if load[cur.owner] == share {
			extra--
		}
		desired[cur.partition] = cur.owner
		load[cur.owner]++
	}
	for _, cur := range current {
		ranked := rankByHash(cur.partition, ids)
		first, kept := desired[cur.partition]
		if !kept {
			first = slices.MinFunc(ranked, func(a, b string) int { return load[a] - load[b] })
			load[first]++
		}
		i := slices.Index(ranked, first)
		out[cur.partition] = slices.Insert(slices.Delete(ranked, i, i+1), 0, first)
	}
	return out
}

// rankByHash orders daemon ids by their rendezvous hash for a partition, the highest score first.
func rankByHash(partition string, ids []string) []string {
	type scored struct {
		id    string
		score uint64
	}
	list := make([]scored, len(ids))
	for i, id := range ids {
		h := fnv.New64a()
		_, _ = h.Write([]byte(partition + "\x00" + id))
		list[i] = scored{id, mixBits(h.Sum64())}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		return strings.Compare(a.id, b.id)
	})
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = s.id
	}
	return out
}

// mixBits is the finalizer of MurmurHash3. FNV alone gives similar inputs similar high bits, so ids that differ only in
// their last digit would not get an even share of the partitions.
func mixBits(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// eligibleDaemons returns the ids of the daemons that may own partitions of a group. id is this daemon's own id;
// includeSelf says whether this daemon is eligible, which its keeper knows more reliably than any row read from the
// table.
func eligibleDaemons(group, id string, includeSelf bool, live []session.Info) []string {
	var ids []string
	if includeSelf {
		ids = append(ids, id)
	}
	for _, s := range live {
		if s.Row.ID != id && s.Row.State == session.Live && !s.Unchanged && serves(s.Row, group) {
			ids = append(ids, s.Row.ID)
		}
	}
	return ids
}

// serves reports whether a session accepts partitions of a group. A session row without groups accepts all partitions.
func serves(r session.Row, group string) bool {
	return len(r.Groups) == 0 || slices.Contains(r.Groups, group)
}
