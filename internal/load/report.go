package load

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/greengagewing/greengagewing/internal/request"
)

// lateRefusalAfter is the latency above which a refusal counts as late.
const lateRefusalAfter = 250 * time.Millisecond

// Sample is the result of one request as its caller saw it.
type Sample struct {
	Class   request.Class
	Outcome request.Result
	Code    request.Code
	Latency time.Duration
	Work    time.Duration // service time on the minion, which is part of the latency
	Wrong   bool          // the response belongs to another request
}

// Summary summarizes the samples of one class.
type Summary struct {
	Class       request.Class        `json:"class"`
	Sent        int                  `json:"sent"`
	Done        int                  `json:"done"`
	NotRun      int                  `json:"not_run"`
	NotRunLate  int                  `json:"not_run_late"` // part of NotRun, refused after lateRefusalAfter
	Unknown     int                  `json:"unknown"`
	Wrong       int                  `json:"wrong_answers"`
	Codes       map[request.Code]int `json:"codes"`
	AddedP50    time.Duration        `json:"added_p50_ns"` // latency minus service time, of done requests
	AddedP99    time.Duration        `json:"added_p99_ns"`
	AddedWorst  time.Duration        `json:"added_worst_ns"`
	PerSecond   float64              `json:"done_per_second"`
	RunDuration time.Duration        `json:"run_ns"`
}

// Summarize summarizes samples by class, sorted by class name.
func Summarize(samples []Sample, run time.Duration) []Summary {
	byClass := map[request.Class][]Sample{}
	for _, s := range samples {
		byClass[s.Class] = append(byClass[s.Class], s)
	}
	lines := make([]Summary, 0, len(byClass))
	for class, ss := range byClass {
		lines = append(lines, summarizeClass(class, ss, run))
	}
	sort.Slice(lines, func(i, j int) bool { return lines[i].Class < lines[j].Class })
	return lines
}

func summarizeClass(class request.Class, samples []Sample, run time.Duration) Summary {
	l := Summary{Class: class, Sent: len(samples), Codes: map[request.Code]int{}, RunDuration: run}
	var added []time.Duration
	for _, s := range samples {
		switch s.Outcome {
		case request.Done:
			l.Done++
			added = append(added, s.Latency-s.Work)
		case request.NotRun:
			l.NotRun++
			if s.Latency > lateRefusalAfter {
				l.NotRunLate++
			}
		default:
			l.Unknown++
		}
		if s.Code != "" {
			l.Codes[s.Code]++
		}
		if s.Wrong {
			l.Wrong++
		}
	}
	slices.Sort(added)
	l.AddedP50, l.AddedP99, l.AddedWorst = quantile(added, 0.5), quantile(added, 0.99), quantile(added, 1)
	l.PerSecond = float64(l.Done) / run.Seconds()
	return l
}

// quantile returns the smallest value such that at least the fraction q of the sorted values is not greater.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	i := int(q*float64(len(sorted)) + 0.999999)
	return sorted[min(max(i-1, 0), len(sorted)-1)]
}

// WriteTable writes the summaries as a table with one row per class.
func WriteTable(w io.Writer, lines []Summary) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "class\tsent\tdone\tnot run\tlate\tunknown\twrong\tdone/s\tadded p50\tadded p99\tadded worst\tcodes")
	for _, l := range lines {
		_, _ = fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%s\t%s\t%s\t%v\n", l.Class, l.Sent, l.Done, l.NotRun,
			l.NotRunLate, l.Unknown, l.Wrong, l.PerSecond, roundLatency(l.AddedP50), roundLatency(l.AddedP99), roundLatency(l.AddedWorst), l.Codes)
	}
	return tw.Flush()
}

func roundLatency(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }
