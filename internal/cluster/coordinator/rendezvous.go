package coordinator

import "github.com/cespare/xxhash/v2"

// candidate is a host that may become a worker's delegate.
type candidate struct {
	host   string
	domain string
}

// pickDelegate chooses the delegate of a worker by rendezvous hashing, among the hosts in the worker's failure domain if there
// are any, otherwise among all. Hosts join and leave while hundreds of workers run tasks. With rendezvous hashing, only the
// workers of a host that leaves get another delegate, and a new owner assigns the workers in the same way, so that existing
// connections to workers remain in use. Calls within a failure domain save bandwidth between the domains.
func pickDelegate(worker, domain string, hosts []candidate) string {
	sameDomain := false
	for _, h := range hosts {
		sameDomain = sameDomain || h.domain == domain
	}
	best, bestScore := "", uint64(0)
	for _, h := range hosts {
		if sameDomain && h.domain != domain {
			continue
		}
		if score := xxhash.Sum64String(worker + "/" + h.host); best == "" || score > bestScore {
			best, bestScore = h.host, score
		}
	}
	return best
}
