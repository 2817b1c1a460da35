package load

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// sampleInterval is the least time between two readings; WorstSecond is the highest rate between two of them.
	sampleInterval = time.Second
	readTimeout    = time.Second
)

// Writes are the commits of the table service during a run.
type Writes struct {
	PerSecond   float64 `json:"per_second"` // on average
	WorstSecond float64 `json:"worst_second"`
}

// reading is the number of commits at a time.
type reading struct {
	at      time.Time
	commits int64
}

// CountWrites calls f and counts the commits of the stand-in's table service meanwhile. control is the address of the
// stand-in's control listener.
func CountWrites(ctx context.Context, control string, f func() error) (Writes, error) {
	if err := (Target{Entries: []string{control}}).check(); err != nil {
		return Writes{}, err
	}
	hc := &http.Client{Timeout: readTimeout}
	defer hc.CloseIdleConnections()
	first, err := readCommits(ctx, hc, control)
	if err != nil {
		return Writes{}, err
	}
	readings := []reading{first}
	sampling, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for wait.For(sampling, sampleInterval) {
			// A reading that failed only widens the interval between its neighbours.
			if r, err := readCommits(sampling, hc, control); err == nil {
				readings = append(readings, r)
			}
		}
	}()
	err = f()
	stop()
	<-done
	if err != nil {
		return Writes{}, err
	}
	last, err := readCommits(ctx, hc, control)
	if err != nil {
		return Writes{}, err
	}
	return countWrites(append(readings, last)), nil
}

// countWrites returns the average over all readings. The interval before the last one is usually short, and a rate over
// it says little, so it counts for the average only.
func countWrites(rs []reading) Writes {
	var w Writes
	for i := 1; i < len(rs); i++ {
		if rs[i].at.Sub(rs[i-1].at) >= sampleInterval {
			w.WorstSecond = max(w.WorstSecond, rate(rs[i-1], rs[i]))
		}
	}
	w.PerSecond = rate(rs[0], rs[len(rs)-1])
	return w
}

func rate(from, to reading) float64 {
	return float64(to.commits-from.commits) / max(to.at.Sub(from.at).Seconds(), time.Millisecond.Seconds())
}

func readCommits(ctx context.Context, hc *http.Client, control string) (reading, error) {
	var stats struct {
		Commits int64 `json:"commits"`
	}
	status, err := exchange(ctx, hc, http.MethodGet, "http://"+control+"/v1/table", nil, nil, &stats)
	if err == nil && status != http.StatusOK {
		err = errors.Errorf("status %d", status)
	}
	if err != nil {
		return reading{}, errors.Wrap(err, "read the table's commits")
	}
	return reading{time.Now(), stats.Commits}, nil
}
