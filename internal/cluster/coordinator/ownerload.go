package coordinator

import (
	"context"
	"runtime/metrics"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/cluster/meter"
	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// usageLogInterval is how often the owner logs its load and the usage of the pool.
	usageLogInterval = time.Second
	gcTimeMetric     = "/cpu/classes/gc/total:cpu-seconds"
)

// Duties of the owner, as its log names them.
const (
	dutyPlanAll     = "plan"
	dutyPlanChanges = "plan_changes"
	dutyAdvice      = "advice_selection"
	dutyEvents      = "events"
	dutyRecords     = "records"
)

// ownerLoad is how much of its host's processor the owner uses.
type ownerLoad struct {
	cores   float64 // processor time of the process per second
	gcCores float64 // estimated part of it that garbage collection takes
	duties  meter.DutySums
}

// loadProbe measures the owner's load since the last measurement.
type loadProbe struct {
	deps    *Deps
	at      time.Time
	cpuTime time.Duration
	gcTime  float64 // seconds
}

func newLoadProbe(deps *Deps) *loadProbe {
	p := &loadProbe{deps: deps}
	p.take()
	return p
}

// take returns the load since the last call.
func (p *loadProbe) take() ownerLoad {
	now, cpuTime, gcTime := time.Now(), p.deps.ProcessorTime(), gcSeconds()
	elapsed := max(now.Sub(p.at), time.Millisecond).Seconds()
	l := ownerLoad{cores: (cpuTime - p.cpuTime).Seconds() / elapsed, gcCores: (gcTime - p.gcTime) / elapsed, duties: p.deps.Duties.Take()}
	p.at, p.cpuTime, p.gcTime = now, cpuTime, gcTime
	return l
}

// gcSeconds returns the runtime's estimate of the processor time that garbage collection has used, in seconds.
func gcSeconds() float64 {
	sample := []metrics.Sample{{Name: gcTimeMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindFloat64 {
		return 0
	}
	return sample[0].Value.Float64()
}

// logUsage regularly logs the owner's load, the usage of the pool and the tasks that wait for it, so that the log explains why a
// job had to wait.
func (t *term) logUsage(ctx context.Context) {
	probe := newLoadProbe(&t.deps)
	for wait.For(ctx, usageLogInterval) {
		l := probe.take()
		t.mu.Lock()
		u, startLimit, held, gauges := t.sched.Usage(time.Now()), t.sched.StartLimit(), t.sched.EndsHeldBack(), t.teamGauges()
		t.mu.Unlock()
		gauges.update(t)
		t.log.Info("owner load", zap.Float64("cores", l.cores), zap.Float64("gc_cores", l.gcCores),
			zap.Duration("max_lag", t.pressure.takeMaxLag()), zap.Float64("pressure", t.pressure.Level()),
			zap.Float64("start_limit", startLimit), zap.Object("duties", l.duties))
		t.log.Info("pool", zap.Int("workers", u.Workers), zap.Int64("cpu_milli", u.Capacity.CPUMilli),
			zap.Int64("cpu_milli_used", u.Used.CPUMilli), zap.Int64("memory_mb", u.Capacity.MemoryMB),
			zap.Int64("memory_mb_used", u.Used.MemoryMB), zap.Int("runs", u.Runs), zap.Int("ends_held_back", held), zap.Any("waiting", u.Queues))
	}
}
