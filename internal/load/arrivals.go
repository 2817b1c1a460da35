// Package load generates an open-loop stream of requests to daemons, or directly to minions, and reports outcomes and
// latencies by request class. It also measures job placement and the table writes during a run.
package load

import (
	"math/rand/v2"
	"time"

	"github.com/greengagewing/greengagewing/internal/request"
)

// Pattern describes the arrivals of a run: a Poisson process with an optional period of a higher rate, the crest.
type Pattern struct {
	Rate        float64       // requests per second; 0: none
	Duration    time.Duration // of the whole run
	CrestFactor float64       // the rate during the crest is Rate x CrestFactor; 1: no crest
	CrestAt     time.Duration // start of the crest, since the start of the run
	CrestFor    time.Duration // length of the crest
	Mix         []Share
	Customers   int // number of customers, one of which is drawn for each request
	Seed        uint64
}

// Share is one type of request in the mix, with its share of the arrivals.
type Share struct {
	Class      request.Class
	Weight     float64       // relative to the sum of the weights in the mix
	Work       time.Duration // service time on the minion
	Idempotent bool
	Timeout    time.Duration
}

// Arrival is one request to send.
type Arrival struct {
	At       time.Duration // since the start of the run
	Share    int           // index into Pattern.Mix
	Customer int
}

// Arrivals returns all arrivals of a run. The same seed gives the same arrivals.
func (p Pattern) Arrivals() []Arrival {
	if p.Rate <= 0 {
		return nil
	}
	rng := rand.New(rand.NewPCG(p.Seed, 1))
	var out []Arrival
	for at := time.Duration(0); ; {
		rate := p.Rate
		if at >= p.CrestAt && at < p.CrestAt+p.CrestFor {
			rate *= p.CrestFactor
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= p.Duration {
			return out
		}
		out = append(out, Arrival{At: at, Share: p.pickShare(rng.Float64()), Customer: rng.IntN(p.Customers)})
	}
}

// pickShare returns the index of the share that covers point, a number from 0 to 1, when the weights of the mix are
// laid out from 0 to 1.
func (p Pattern) pickShare(point float64) int {
	total := 0.0
	for _, s := range p.Mix {
		total += s.Weight
	}
	point *= total
	for i, s := range p.Mix {
		if point -= s.Weight; point < 0 {
			return i
		}
	}
	return len(p.Mix) - 1
}
