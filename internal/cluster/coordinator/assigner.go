package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/cluster/delegate"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

const (
	// maxDelegates bounds the hosts that attend an owner: each asks for orders many times a second.
	maxDelegates = 32
	// gatherTime is how long a new owner waits for its first delegates to attend before it shares the workers, and
	// aloneTime how long an owner that has none waits until it calls all workers itself.
	gatherTime = 60 * time.Millisecond
	aloneTime  = 600 * time.Millisecond
	// silentDelegate is the time without a call from a delegate after which its workers get another one. Nothing that runs
	// there is stopped: the new delegate renews the leases and reads what runs.
	silentDelegate = 900 * time.Millisecond
	// rejoinTime keeps a delegate that was silent from getting workers again at once.
	rejoinTime = time.Second
)

// runKey names a run on a worker.
type runKey struct {
	task workload.TaskID
	run  int64
}

// assignment is a worker with its delegate and the orders that the delegate has not answered.
type assignment struct {
	holder     *holder
	generation int64
	info       scheduler.WorkerInfo
	acked      int64 // number of the last end that the delegate knows to be durable
	starts     map[runKey]delegate.StartOrder
	stops      map[runKey]delegate.StopOrder
}

// fleet shares the workers among the delegates. Its methods are called with the term's mu held.
type fleet struct {
	t          *term
	local      *holder
	remote     map[string]*holder   // by host
	silent     map[string]time.Time // hosts that were lost, until when they get no workers
	assigned   map[string]*assignment
	generation int64
	shared     bool // the delegates are the same as at the last sharing
	known      bool // the list of workers was read
	began      time.Time
	aloneSince time.Time
	checked    time.Time // when silent delegates were last looked for
	patience   time.Time // no delegate counts as silent until then
}

func newFleet(ctx context.Context, t *term) *fleet {
	f := &fleet{t: t, remote: map[string]*holder{}, silent: map[string]time.Time{}, assigned: map[string]*assignment{},
		began: time.Now(), aloneSince: time.Now(), checked: time.Now()}
	f.local = &holder{host: "", base: time.Now().Add(-t.deps.Clock())}
	f.local.agent = delegate.NewAgent(ctx, t.cfg.Delegate, delegate.Deps{Client: t.deps.Workers, Clock: t.deps.Clock, Log: t.deps.Log},
		t.tenure.Epoch(), t.tenure.Valid, t.takeOwn)
	return f
}

// wantsDelegates reports whether the owner has more workers than it calls itself.
func (f *fleet) wantsDelegates() bool { return f.t.sched.WorkerCount() > f.t.cfg.OwnWorkers }

// follow gives each worker of the scheduler a delegate and takes workers from delegates that are silent.
func (f *fleet) follow(now time.Time, workers []scheduler.WorkerInfo) {
	f.dropSilent(now)
	listed := make(map[string]bool, len(workers))
	choose := f.chooser(now, len(workers))
	settled := true // no worker waits for its delegate
	for _, info := range workers {
		listed[info.ID] = true
		a := f.assigned[info.ID]
		if a == nil {
			a = &assignment{info: info, starts: map[runKey]delegate.StartOrder{}, stops: map[runKey]delegate.StopOrder{}}
			f.assigned[info.ID] = a
		}
		f.update(a, info)
		if a.holder == nil || a.holder.ended || !f.shared {
			h := choose(info)
			settled = settled && h != nil
			if h != nil && h != a.holder {
				f.assign(now, a, h)
			}
		}
	}
	f.shared = settled
	for id, a := range f.assigned {
		if !listed[id] {
			a.release()
			delete(f.assigned, id)
		}
	}
	f.local.agent.SetRenewWait(delegate.RenewWait(len(f.assigned)))
}

// update passes a change of a worker's entry on.
func (f *fleet) update(a *assignment, info scheduler.WorkerInfo) {
	if info.Born == a.info.Born && info.Address == a.info.Address && info.Draining == a.info.Draining {
		a.info = info
		return
	}
	if info.Born != a.info.Born {
		a.acked = 0
		clear(a.starts)
		clear(a.stops)
	}
	a.info = info
	if a.holder != nil {
		a.holder.send(delegate.Order{Assign: a.order()})
	}
}

func (a *assignment) order() *delegate.Assignment {
	return &delegate.Assignment{Worker: a.info, Generation: a.generation, LastEnd: a.acked}
}

func (a *assignment) release() {
	if a.holder != nil {
		a.holder.send(delegate.Order{Release: a.info.ID})
	}
}

// assign gives a worker to a delegate. Orders that the last one has not answered are sent again: a run is started once, and
// a stop may be repeated.
func (f *fleet) assign(now time.Time, a *assignment, h *holder) {
	if old := a.holder; old != nil {
		a.release()
		f.t.sched.ExtendLease(a.info.ID, now.Add(old.permit()+f.t.cfg.Delegate.LeaseBound()))
	}
	f.generation++
	a.holder, a.generation = h, f.generation
	a.acked = f.t.sched.AckedEnd(a.info.ID)
	h.send(delegate.Order{Assign: a.order()})
	for k, s := range a.stops {
		delete(a.starts, k) // a run that is stopped need not come there
		s.Generation = a.generation
		a.stops[k] = s
		h.send(delegate.Order{Stop: &s})
	}
	for k, s := range a.starts {
		if !f.t.sched.Starting(a.info.ID, s.Task, s.Run) {
			delete(a.starts, k)
			continue
		}
		s.Generation, s.Repeated = a.generation, true
		a.starts[k] = s
		h.send(delegate.Order{Start: &s})
	}
}

// chooser returns the function that chooses the delegate of a worker; it returns nil while the worker has to wait for one.
func (f *fleet) chooser(now time.Time, workers int) func(scheduler.WorkerInfo) *holder {
	own := func(scheduler.WorkerInfo) *holder { return f.local }
	if workers <= f.t.cfg.OwnWorkers {
		return own
	}
	if len(f.remote) > 0 {
		if now.Sub(f.began) < gatherTime || !f.t.storedDelegated {
			return func(scheduler.WorkerInfo) *holder { return nil }
		}
		hosts := make([]candidate, 0, len(f.remote))
		for _, h := range f.remote {
			hosts = append(hosts, candidate{h.host, h.domain})
		}
		return func(w scheduler.WorkerInfo) *holder { return f.remote[pick(w.ID, w.Domain, hosts)] }
	}
	if now.Sub(f.aloneSince) < aloneTime {
		return func(scheduler.WorkerInfo) *holder { return nil }
	}
	return own
}

// dropSilent takes the workers of delegates that have not called for a while. A time during which the owner itself did not
// get to look for calls does not count.
func (f *fleet) dropSilent(now time.Time) {
	if now.Sub(f.checked) > silentDelegate/3 {
		f.patience = now.Add(silentDelegate / 2)
	}
	f.checked = now
	if now.Before(f.patience) {
		return
	}
	for host, h := range f.remote {
		if silence := now.Sub(h.seen); silence > silentDelegate {
			f.silent[host] = now.Add(rejoinTime)
			f.drop(now, h, "silent", zap.Duration("silence", silence))
		}
	}
}

// drop ends a session. Its workers get other delegates at the next sharing, or keep waiting for one.
func (f *fleet) drop(now time.Time, h *holder, reason string, fields ...zap.Field) {
	f.t.log.Warn("delegate lost", append(fields, zap.String("delegate", h.host), zap.String("session", h.session),
		zap.String("reason", reason), zap.Int("orders_unanswered", len(h.queue)))...)
	delete(f.remote, h.host)
	h.end()
	f.shared = false
	if len(f.remote) == 0 {
		f.aloneSince = now
	}
}

// join admits the session of a host, or returns nil if it is not wanted.
func (f *fleet) join(now time.Time, r delegate.Request, arrived time.Time) *holder {
	if h := f.remote[r.Host]; h != nil {
		if h.session == r.Session {
			return h
		}
		f.drop(now, h, "the host has begun another session")
	}
	if r.After > 0 || !f.wantsDelegates() || len(f.remote) >= maxDelegates || now.Before(f.silent[r.Host]) {
		return nil
	}
	h := &holder{host: r.Host, domain: r.Domain, session: r.Session, base: arrived.Add(-r.Now), seen: now, ready: make(chan struct{}, 1)}
	f.remote[r.Host] = h
	f.shared = false
	f.t.delegated = true
	f.t.log.Info("delegate attends", zap.String("delegate", r.Host), zap.String("session", r.Session), zap.Int("delegates", len(f.remote)))
	return h
}

// start hands a start to the worker's delegate, or reports false if it has none.
func (f *fleet) start(s scheduler.Start) bool {
	a := f.assigned[s.Worker.ID]
	if a == nil || a.holder == nil || a.info.Born != s.Worker.Born {
		return false
	}
	o := delegate.StartOrder{Task: s.Task, Run: s.Run, WorkerID: s.Worker.ID, Born: s.Worker.Born, Generation: a.generation, Payload: s.Payload,
		Checkpoint: s.Checkpoint, Ticket: s.Ticket, Waited: s.Waited}
	a.starts[runKey{s.Task, s.Run}] = o
	a.holder.send(delegate.Order{Start: &o})
	return true
}

func (f *fleet) stop(s scheduler.Stop) {
	a := f.assigned[s.Worker.ID]
	if a == nil || a.info.Born != s.Worker.Born {
		return // what ran in that life has ended with it
	}
	o := delegate.StopOrder{Task: s.Task, Run: s.Run, WorkerID: s.Worker.ID, Born: s.Worker.Born, Generation: a.generation, Reason: s.Reason}
	a.stops[runKey{s.Task, s.Run}] = o
	if a.holder != nil {
		a.holder.send(delegate.Order{Stop: &o})
	}
}

// acknowledge tells the delegates which ends have become durable.
func (f *fleet) acknowledge() {
	for id, a := range f.assigned {
		if end := f.t.sched.AckedEnd(id); end > a.acked && a.holder != nil {
			a.acked = end
			a.holder.send(delegate.Order{Ack: &delegate.Ack{WorkerID: id, LastEnd: end}})
		}
	}
}

// Delegate is a delegate as operators see it.
type Delegate struct {
	Host    string `json:"host"` // empty: the owner itself
	Workers int    `json:"workers"`
	Queued  int    `json:"orders_unanswered"`
	SilentS string `json:"silent_for,omitempty"`
}

func (f *fleet) dump(now time.Time) []Delegate {
	counts := map[*holder]int{}
	for _, a := range f.assigned {
		counts[a.holder]++
	}
	out := []Delegate{{Workers: counts[f.local]}}
	for _, h := range f.remote {
		out = append(out, Delegate{Host: h.host, Workers: counts[h], Queued: len(h.queue), SilentS: now.Sub(h.seen).Round(time.Millisecond).String()})
	}
	return out
}
