package session

import (
	"hash/fnv"
	"slices"
	"strings"
)

// chooseGuarantors chooses up to n guarantors for the session of self. It prefers sessions of the same region, because
// all guarantors must answer even while regions cannot reach each other. Among these it prefers sessions in failure
// domains other than that of self, and first those in domains that no chosen guarantor uses. A hash of the pair of ids
// breaks ties: it spreads the load over the daemons and keeps the choice stable while sessions come and go.
func chooseGuarantors(self Row, live []Info, n int) []Peer {
	var candidates []Info
	for _, s := range live {
		if s.Row.ID != self.ID && s.Row.State == Live && !s.Unchanged {
			candidates = append(candidates, s)
		}
	}
	slices.SortFunc(candidates, func(a, b Info) int {
		if c := pairHash(self.ID, b.Row.ID) - pairHash(self.ID, a.Row.ID); c != 0 {
			return int(c)
		}
		return strings.Compare(a.Row.ID, b.Row.ID)
	})
	if sameRegion := slices.DeleteFunc(slices.Clone(candidates), func(s Info) bool {
		return s.Row.Region != self.Region
	}); len(sameRegion) > 0 {
		candidates = sameRegion
	}
	var out []Peer
	used := map[string]bool{self.FailureDomain: true}
	for len(out) < n && len(candidates) > 0 {
		i := slices.IndexFunc(candidates, func(s Info) bool { return !used[s.Row.FailureDomain] })
		if i < 0 {
			i = max(0, slices.IndexFunc(candidates, func(s Info) bool { return s.Row.FailureDomain != self.FailureDomain }))
		}
		used[candidates[i].Row.FailureDomain] = true
		out = append(out, candidates[i].Row.Peer())
		candidates = slices.Delete(candidates, i, i+1)
	}
	return out
}

// pairHash returns a hash of an ordered pair of ids.
func pairHash(a, b string) int64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(a + "\x00" + b))
	return int64(h.Sum32())
}
