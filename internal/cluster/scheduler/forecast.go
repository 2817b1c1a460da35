package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/forecast"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// EnableForecast lets the scheduler measure what Forecast needs.
func (s *Scheduler) EnableForecast() { s.forecast = forecast.NewMeter() }

// noteForecastStart records the start of a task for the forecast, if that is enabled.
func (s *Scheduler) noteForecastStart(u *unit, now time.Time) {
	if s.forecast != nil && !u.step.LongRunning {
		s.forecast.Started(u.forecastClass(), now.After(s.latestStart(u)), s.processorTime(u))
	}
}

func (u *unit) forecastClass() forecast.Class {
	return forecast.Class{Queue: u.job.spec.Queue.Name, Beyond: u.beyondShare()}
}

// processorTime returns the processor time that a task of the unit is expected to use.
func (s *Scheduler) processorTime(u *unit) time.Duration {
	return time.Duration(float64(s.scaleEstimate(u.job, u.step.Estimate)) * float64(u.resources().CPUMilli) / 1000)
}

// Forecast returns what the hosts need to refuse jobs that would end too late to be of use, or nil if there is no need. It has to be called
// after a complete plan, so that what the workers have free is not about to be taken.
func (s *Scheduler) Forecast(now time.Time) *forecast.Digest {
	byClass := map[forecast.Class]*forecast.Work{}
	for _, q := range s.queues.Queues { // what is started of queues without waiting work counts as well
		c := forecast.Class{Queue: q.Name}
		byClass[c] = &forecast.Work{Class: c, Service: q.Service, Priority: q.Priority, First: q.Priority <= s.queues.FirstPriority(), Scale: 1}
	}
	var beyond []string
	for u := range s.open {
		waiting := u.tasks.countWaiting(now)
		if waiting == 0 || u.step.LongRunning || u.job.team != nil && !u.job.team.waitsForRoom() {
			continue
		}
		w := byClass[u.forecastClass()]
		if w == nil {
			w = &forecast.Work{Class: u.forecastClass(), Service: u.job.queue.Service, Priority: u.job.queue.Priority,
				First: u.job.queue.Priority <= s.queues.FirstPriority()}
			byClass[w.Class] = w
		}
		w.Scale = s.durationScale(u.job)
		work := time.Duration(waiting) * s.processorTime(u)
		if now.After(s.latestStart(u)) {
			w.Late += work
		} else {
			w.InTime += work
		}
	}
	works := make([]forecast.Work, 0, len(byClass))
	for _, w := range byClass {
		works = append(works, *w)
	}
	for t := range s.teams.withBeyond {
		beyond = append(beyond, t.name)
	}
	slices.SortFunc(beyond, strings.Compare)
	return s.forecast.Digest(now, works, s.pools(now), beyond)
}

// waitsForRoom reports whether units of the team can wait for workers. Those of a team at its quota wait for its own tasks, and take
// nothing from others.
func (t *team) waitsForRoom() bool { return len(t.waiting) == 0 }

// durationScale returns the expected duration of the job's tasks divided by the declared one.
func (s *Scheduler) durationScale(j *job) float64 {
	return float64(s.scaleEstimate(j, time.Second)) / float64(time.Second)
}

// pools returns the state of the workers of each service.
func (s *Scheduler) pools(now time.Time) map[string]forecast.Pool {
	out := map[string]forecast.Pool{}
	for _, w := range s.sortedWorkers {
		if !w.acceptsTasks(now) {
			continue
		}
		p, free := out[w.info.Service], w.free()
		p.CPUMilli += w.info.Capacity.CPUMilli
		p.FreeCPUMilli += max(free.CPUMilli, 0)
		p.LargestFree = workload.Resources{CPUMilli: max(p.LargestFree.CPUMilli, free.CPUMilli),
			MemoryMB: max(p.LargestFree.MemoryMB, free.MemoryMB), Accelerators: max(p.LargestFree.Accelerators, free.Accelerators)}
		out[w.info.Service] = p
	}
	return out
}
