// Package load sends an open-loop stream of requests to entry daemons and reports what each class of callers got.
package load

import (
	"math/rand/v2"
	"time"

	"github.com/greengagewing/greengagewing/internal/request"
)

// Pattern describes the arrivals.
type Pattern struct {
	Rate        float64       // requests a second; 0: none
	Duration    time.Duration // of the whole run
	CrestFactor float64       // the rate during the crest is Rate x CrestFactor; 1: no crest
	CrestAt     time.Duration
	CrestFor    time.Duration
	Mix         []Share
	Customers   int
	Seed        uint64
}

// Share is a part of the arrivals.
type Share struct {
	Class      request.Class
	Weight     float64
	Work       time.Duration // time that the minion works
	Idempotent bool
	Timeout    time.Duration
}

// Arrival is one request to send.
type Arrival struct {
	At       time.Duration // since the start
	Share    int           // index into Mix
	Customer int
}

// Arrivals returns the whole stream of a pattern; the same seed gives the same stream.
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

// pickShare returns the share at a point from 0 to 1 of the total weight.
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
