package scheduler

import (
	"testing"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// jobShapes are jobs at the limits of what callers may submit: a body of 256 KiB and workload.maxTasks tasks.
func jobShapes() map[string][]workload.Step {
	return map[string][]workload.Step{
		"one step of 100,000 tasks": {simpleStep(100_000)},
		"20,000 parallel steps":     independentSteps(20_000),
		"20,000 steps in a chain":   layeredSteps(20_000, 1),
		"layers of 30 steps":        layeredSteps(100, 30),
	}
}

// BenchmarkLargeJob measures, for the largest jobs, one complete plan, the plan after the end of a run, and the records of it.
func BenchmarkLargeJob(b *testing.B) {
	for name, steps := range jobShapes() {
		var f *fixture
		b.Run(name+": add", func(b *testing.B) {
			for b.Loop() {
				f = newFixture(1, 48)
				f.AddJob(t0, f.job("large", t0, steps...), nil, false)
			}
		})
		starts := f.plan(t0).Starts
		now := t0
		b.Run(name+": complete plan", func(b *testing.B) {
			for b.Loop() {
				now = now.Add(time.Millisecond)
				f.Plan(now)
			}
		})
		b.Run(name+": end, records, plan", func(b *testing.B) {
			for b.Loop() {
				now = now.Add(time.Millisecond)
				if len(starts) == 0 {
					b.StopTimer()
					if starts = f.plan(now).Starts; len(starts) == 0 { // the job has ended
						f.AddJob(now, f.job(now.String(), now, steps...), nil, false)
						starts = f.plan(now).Starts
					}
					b.StartTimer()
				}
				f.end(starts[0], EndDone, now)
				starts = starts[1:]
				generation, records, _ := f.TakeAllRecords()
				for _, r := range records {
					for _, c := range append(r.Chunks, ProgressChunk{0, r.Progress}) {
						if c.Progress == nil {
							continue
						}
						if _, err := workload.EncodeProgress(c.Progress); err != nil {
							b.Fatal(err)
						}
					}
				}
				f.MarkStored(records)
				f.MarkGenerationStored(generation)
				starts = append(starts, f.PlanChanged(now).Starts...)
			}
		})
	}
}
