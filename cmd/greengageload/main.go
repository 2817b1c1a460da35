// Command greengageload sends an open-loop stream of requests to entry daemons on this machine and prints what callers
// got. It is a test tool; it refuses targets that are not loopback addresses.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/greengagewing/greengagewing/internal/load"
	"github.com/greengagewing/greengagewing/internal/request"
)

type options struct {
	Entries     []string      `long:"entry" env:"GREENGAGELOAD_ENTRIES" env-delim:"," required:"true" description:"IP:port of a callers' listener; repeat for more"`
	Service     string        `long:"service" env:"GREENGAGELOAD_SERVICE" default:"textos" description:"service to call"`
	Rate        float64       `long:"rate" env:"GREENGAGELOAD_RATE" default:"200" description:"requests a second"`
	Duration    time.Duration `long:"duration" env:"GREENGAGELOAD_DURATION" default:"10s" description:"length of the run, at most 5m"`
	CrestFactor float64       `long:"crest-factor" env:"GREENGAGELOAD_CREST_FACTOR" default:"1" description:"rate during the crest as a multiple"`
	CrestAt     time.Duration `long:"crest-at" env:"GREENGAGELOAD_CREST_AT" default:"4s" description:"start of the crest"`
	CrestFor    time.Duration `long:"crest-for" env:"GREENGAGELOAD_CREST_FOR" default:"2s" description:"length of the crest"`
	ShortWork   time.Duration `long:"short-work" env:"GREENGAGELOAD_SHORT_WORK" default:"5ms" description:"work of urgent and normal requests"`
	LongWork    time.Duration `long:"long-work" env:"GREENGAGELOAD_LONG_WORK" default:"500ms" description:"work of bulk requests"`
	BulkShare   float64       `long:"bulk-share" env:"GREENGAGELOAD_BULK_SHARE" default:"0.1" description:"share of bulk requests"`
	Timeout     time.Duration `long:"timeout" env:"GREENGAGELOAD_TIMEOUT" default:"3s" description:"timeout of each request"`
	Customers   int           `long:"customers" env:"GREENGAGELOAD_CUSTOMERS" default:"100" description:"number of customers, named customer-0 and up"`
	Seed        uint64        `long:"seed" env:"GREENGAGELOAD_SEED" default:"1" description:"seed of the arrivals"`
	Direct      bool          `long:"direct" env:"GREENGAGELOAD_DIRECT" description:"the entries are minions, for comparison"`
	JSON        bool          `long:"json" env:"GREENGAGELOAD_JSON" description:"print JSON"`
}

const maxDuration = 5 * time.Minute

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	duration := min(o.Duration, maxDuration)
	target := load.Target{Entries: o.Entries, Service: o.Service, RunID: strconv.FormatInt(time.Now().UnixNano(), 36), Direct: o.Direct}
	samples, err := load.Run(ctx, pattern(o, duration), target)
	if err != nil {
		return err
	}
	lines := load.Summarize(samples, duration)
	if o.JSON {
		return json.NewEncoder(os.Stdout).Encode(lines)
	}
	return load.WriteTable(os.Stdout, lines)
}

func pattern(o options, duration time.Duration) load.Pattern {
	short := (1 - o.BulkShare) / 2
	return load.Pattern{
		Rate: o.Rate, Duration: duration, CrestFactor: o.CrestFactor, CrestAt: o.CrestAt, CrestFor: o.CrestFor,
		Customers: o.Customers, Seed: o.Seed,
		Mix: []load.Share{
			{Class: request.Urgent, Weight: short, Work: o.ShortWork, Timeout: o.Timeout},
			{Class: request.Normal, Weight: short, Work: o.ShortWork, Timeout: o.Timeout, Idempotent: true},
			{Class: request.Bulk, Weight: o.BulkShare, Work: o.LongWork, Timeout: o.Timeout, Idempotent: true},
		},
	}
}
