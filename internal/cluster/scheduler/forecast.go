package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/forecast"
	"github.com/greengagewing/greengagewing/internal/cluster/queues"
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
	return s.forecast.Digest(now, s.waitingWork(now), s.pools(now), s.teamsBeyondShare())
}

// waitingWork returns the waiting work of each class. It includes the classes of all queues, since what is started of queues without
// waiting work counts as well.
func (s *Scheduler) waitingWork(now time.Time) []forecast.Work {
	byClass := map[forecast.Class]*forecast.Work{}
	for i := range s.queues.Queues {
		w := s.noWork(forecast.Class{Queue: s.queues.Queues[i].Name}, &s.queues.Queues[i])
		byClass[w.Class] = w
	}
	for u := range s.open {
		waiting := u.tasks.countWaiting(now)
		if waiting == 0 || u.step.LongRunning || u.job.team != nil && !u.job.team.waitsForRoom() {
			continue
		}
		w := byClass[u.forecastClass()]
		if w == nil {
			w = s.noWork(u.forecastClass(), &u.job.queue)
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
	return works
}

// noWork returns the class of a queue without waiting work.
func (s *Scheduler) noWork(c forecast.Class, q *queues.Queue) *forecast.Work {
	return &forecast.Work{Class: c, Service: q.Service, Priority: q.Priority, First: q.Priority <= s.queues.FirstPriority(), Scale: 1}
}

// teamsBeyondShare returns the names of the teams with jobs beyond their share, sorted.
func (s *Scheduler) teamsBeyondShare() []string {
	var beyond []string
	for t := range s.teams.withBeyond {
		beyond = append(beyond, t.name)
	}
	slices.SortFunc(beyond, strings.Compare)
	return beyond
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
