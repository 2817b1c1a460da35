package coordinator

import "github.com/cespare/xxhash/v2"

// candidate is a host that may be a worker's delegate.
type candidate struct {
	host   string
	domain string
}

// pickDelegate returns the host that is to be a worker's delegate: one of the worker's failure domain if there is any, by rendezvous
// hashing. Load: hosts come and go while hundreds of workers run tasks. A host that goes moves only its own workers, and a
// successor of the owner arrives at the same shares, so that connections to workers stay in use. Calls within a failure
// domain spare the links between them.
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
