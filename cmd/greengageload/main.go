// Command greengageload generates an open-loop load of requests for daemons on this machine and prints the results that
// callers saw. It is a test tool; it refuses targets that are not loopback addresses.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/greengagewing/greengagewing/internal/load"
	"github.com/greengagewing/greengagewing/internal/request"
)

type options struct {
	Entries     []string      `long:"entry" env:"GREENGAGELOAD_ENTRIES" env-delim:"," description:"IP:port of a callers' listener; repeat for more"`
	Service     string        `long:"service" env:"GREENGAGELOAD_SERVICE" default:"textos" description:"service to call"`
	Rate        float64       `long:"rate" env:"GREENGAGELOAD_RATE" default:"200" description:"requests a second; 0 sends none"`
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
	Tasks       int           `long:"tasks" env:"GREENGAGELOAD_TASKS" description:"run one job of that many tasks instead of requests"`
	Control     string        `long:"control" env:"GREENGAGELOAD_CONTROL" description:"IP:port of the stand-in's control listener, to count the table's writes"`
	Name        string        `long:"name" env:"GREENGAGELOAD_NAME" default:"run" description:"name of the run in its report"`
	JSON        bool          `long:"json" env:"GREENGAGELOAD_JSON" description:"print the report as JSON"`
	Compare     []string      `long:"compare" description:"print one table of the JSON reports in these files, with ratios to the direct run; repeat for more"`
}

const maxDuration = 5 * time.Minute

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if len(o.Entries) == 0 && len(o.Compare) == 0 {
		fmt.Fprintln(os.Stderr, "--entry or --compare is required")
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options) error {
	if len(o.Compare) > 0 {
		return compare(o.Compare)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	report, err := measure(ctx, o)
	switch {
	case err != nil:
		return err
	case o.JSON:
		return json.NewEncoder(os.Stdout).Encode(report)
	case o.Tasks > 0:
		fmt.Printf("%.0f tasks a second\n", report.TasksASecond)
		return nil
	default:
		return load.WriteTable(os.Stdout, report.Classes)
	}
}

// measure performs one run. If the address of the stand-in's control listener is set, it also counts the writes to the
// table during the run.
func measure(ctx context.Context, o options) (report load.Report, err error) {
	runLoad := func() (err error) { report, err = generateLoad(ctx, o); return err }
	if o.Control == "" {
		err = runLoad()
		return report, err
	}
	writes, err := load.CountWrites(ctx, o.Control, runLoad)
	report.Writes = &writes
	return report, err
}

func generateLoad(ctx context.Context, o options) (load.Report, error) {
	id := strconv.FormatInt(time.Now().UnixNano(), 36)
	target := load.Target{Entries: o.Entries, Service: o.Service, RunID: id, Direct: o.Direct}
	if o.Tasks > 0 {
		took, err := load.RunTasks(ctx, target, o.Tasks)
		return load.Report{Run: o.Name, TasksASecond: float64(o.Tasks) / took.Seconds()}, err
	}
	duration := min(o.Duration, maxDuration)
	samples, err := load.Run(ctx, loadPattern(o, duration), target)
	return load.NewReport(o.Name, o.Direct, samples, duration), err
}

func compare(files []string) error {
	reports := make([]load.Report, len(files))
	for i, name := range files {
		raw, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(raw, &reports[i]); err != nil {
			return errors.Wrap(err, name)
		}
	}
	return load.WriteComparison(os.Stdout, reports)
}

func loadPattern(o options, duration time.Duration) load.Pattern {
	shortShare := (1 - o.BulkShare) / 2
	return load.Pattern{
		Rate: o.Rate, Duration: duration, CrestFactor: o.CrestFactor, CrestAt: o.CrestAt, CrestFor: o.CrestFor,
		Customers: o.Customers, Seed: o.Seed,
		Mix: []load.Share{
			{Class: request.Urgent, Weight: shortShare, Work: o.ShortWork, Timeout: o.Timeout},
			{Class: request.Normal, Weight: shortShare, Work: o.ShortWork, Timeout: o.Timeout, Idempotent: true},
			{Class: request.Bulk, Weight: o.BulkShare, Work: o.LongWork, Timeout: o.Timeout, Idempotent: true},
		},
	}
}
