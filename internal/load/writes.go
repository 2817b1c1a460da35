package load

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// minSampleInterval is the minimum time between two readings. WorstSecond is the highest rate between two of them.
	minSampleInterval = time.Second
	statsTimeout      = time.Second
)

// Writes holds the commit rates of the table service during a run, per second.
type Writes struct {
	PerSecond   float64 `json:"per_second"`   // average
	WorstSecond float64 `json:"worst_second"` // peak
}

// commitReading is the table service's commit counter at one time.
type commitReading struct {
	at      time.Time
	commits int64
}

// CountWrites calls f and measures the commit rate of the fake platform's table service while f runs. control is the
// IP:port of the fake platform's control listener.
func CountWrites(ctx context.Context, control string, f func() error) (Writes, error) {
	if err := (Target{Entries: []string{control}}).requireLoopback(); err != nil {
		return Writes{}, err
	}
	hc := &http.Client{Timeout: statsTimeout}
	defer hc.CloseIdleConnections()
	first, err := readCommits(ctx, hc, control)
	if err != nil {
		return Writes{}, err
	}
	readings := []commitReading{first}
	samplingCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for wait.For(samplingCtx, minSampleInterval) {
			// A failed reading is skipped; the rate is then measured over the longer interval around it.
			if r, err := readCommits(samplingCtx, hc, control); err == nil {
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
	return writeRates(append(readings, last)), nil
}

// writeRates returns the average rate over all readings and the highest rate between two of them. Intervals shorter
// than minSampleInterval, usually the last one, give no meaningful peak rate and count for the average only.
func writeRates(readings []commitReading) Writes {
	var w Writes
	for i := 1; i < len(readings); i++ {
		if readings[i].at.Sub(readings[i-1].at) >= minSampleInterval {
			w.WorstSecond = max(w.WorstSecond, commitRate(readings[i-1], readings[i]))
		}
	}
	w.PerSecond = commitRate(readings[0], readings[len(readings)-1])
	return w
}

func commitRate(from, to commitReading) float64 {
	return float64(to.commits-from.commits) / max(to.at.Sub(from.at).Seconds(), time.Millisecond.Seconds())
}

func readCommits(ctx context.Context, hc *http.Client, control string) (commitReading, error) {
	var stats struct {
		Commits int64 `json:"commits"`
	}
	status, err := exchangeJSON(ctx, hc, http.MethodGet, "http://"+control+"/v1/table", nil, nil, &stats)
	if err == nil && status != http.StatusOK {
		err = errors.Errorf("status %d", status)
	}
	if err != nil {
		return commitReading{}, errors.Wrap(err, "read the table's commits")
	}
	return commitReading{time.Now(), stats.Commits}, nil
}
