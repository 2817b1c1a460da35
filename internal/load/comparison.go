package load

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/request"
)

// ErrNoDirectRun is returned if no report is of a direct run, which is the baseline of the comparison.
var ErrNoDirectRun = errors.New("load: no report of a direct run")

// MaxWrites is the limit of commits per second by all daemons together to the table service.
const MaxWrites = 300

// AllClasses is the class of the summary over the samples of all classes.
const AllClasses request.Class = "all"

// Report holds the results of one run.
type Report struct {
	Run          string    `json:"run"`
	Direct       bool      `json:"direct"`
	All          Summary   `json:"all"`
	Classes      []Summary `json:"classes"`
	TasksASecond float64   `json:"tasks_per_second,omitempty"` // set for a run of tasks only
	Writes       *Writes   `json:"writes,omitempty"`           // nil: not measured
}

// NewReport summarizes the samples of a run that took the given time.
func NewReport(name string, direct bool, samples []Sample, run time.Duration) Report {
	return Report{Run: name, Direct: direct, All: summarizeClass(AllClasses, samples, run), Classes: Summarize(samples, run)}
}

// WriteComparison writes a table with one row per report, and whether the table writes stayed under MaxWrites.
// Latencies are of done requests, without the service time on the minion; latency ratios are relative to the first
// direct run.
func WriteComparison(w io.Writer, reports []Report) error {
	var direct *Report
	for i := range reports {
		if reports[i].Direct && direct == nil {
			direct = &reports[i]
		}
	}
	if direct == nil {
		return ErrNoDirectRun
	}
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "run\tsent\tdone\tnot run\tunknown\twrong\tadded p50\tadded p99\tp50/direct\tp99/direct\t"+
		"writes/s\tworst second\tplacements/s")
	for _, r := range reports {
		l, writes := r.All, Writes{}
		if r.Writes != nil {
			writes = *r.Writes
		}
		_, _ = fmt.Fprintf(tw, "%s\t%d\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Run, l.Sent,
			formatPercent(l.Done, l.Sent), formatPercent(l.NotRun, l.Sent), formatPercent(l.Unknown, l.Sent), l.Wrong,
			formatLatency(l, l.AddedP50), formatLatency(l, l.AddedP99),
			formatRatio(l, l.AddedP50, direct.All.AddedP50), formatRatio(l, l.AddedP99, direct.All.AddedP99),
			formatNumber(writes.PerSecond, r.Writes != nil), formatNumber(writes.WorstSecond, r.Writes != nil),
			formatNumber(r.TasksASecond, r.TasksASecond > 0))
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w, summarizeWriteLimit(reports))
	return err
}

const noValue = "-"

func formatPercent(n, of int) string {
	if of == 0 {
		return noValue
	}
	return fmt.Sprintf("%.2f %%", 100*float64(n)/float64(of))
}

func formatLatency(l Summary, d time.Duration) string {
	if l.Done == 0 {
		return noValue
	}
	return roundLatency(d).String()
}

func formatRatio(l Summary, d, direct time.Duration) string {
	if l.Done == 0 || direct <= 0 {
		return noValue
	}
	return fmt.Sprintf("%.2f", float64(d)/float64(direct))
}

func formatNumber(x float64, known bool) string {
	if !known {
		return noValue
	}
	return fmt.Sprintf("%.0f", x)
}

// summarizeWriteLimit returns a sentence on whether the table writes of all reports stayed under MaxWrites.
func summarizeWriteLimit(reports []Report) string {
	worst, counted := 0.0, false
	for _, r := range reports {
		if r.Writes != nil {
			worst, counted = max(worst, r.Writes.WorstSecond, r.Writes.PerSecond), true
		}
	}
	switch {
	case !counted:
		return "table writes were not counted"
	case worst < MaxWrites:
		return fmt.Sprintf("table writes stayed under %d a second: yes, at most %.0f in a second", MaxWrites, worst)
	default:
		return fmt.Sprintf("table writes stayed under %d a second: NO, up to %.0f in a second", MaxWrites, worst)
	}
}
