//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["ends"] = manyEnds
	cases["batch"] = largeBatch
	cases["deadly"] = deadly
	cases["graph"] = graph
}

const startup = 12 * time.Second

// client is one client's job and what it was told.
type client struct {
	id       string
	accepted bool
}

// submitAll hands in n jobs, one each interval, and returns them once all have an answer.
func submitAll(c *cluster, prefix string, n int, interval time.Duration, body []byte) []*client {
	out := make([]*client, n)
	var wg sync.WaitGroup
	for i := range n {
		out[i] = &client{id: fmt.Sprintf("%s%08x", prefix, uint32(i)*2654435761)}
		wg.Go(func() { out[i].accepted = c.submit(i, out[i].id, body) })
		time.Sleep(interval)
	}
	wg.Wait()
	return out
}

// manyEnds brings more ends to a worker than one answer to a hold lists, while the store is down and none is taken note of.
func manyEnds(e env) int {
	const (
		taskCPU = 100
		jobs    = 120
		width   = 48
		outage  = 4500 * time.Millisecond // as in the site file: platform_down, reset
	)
	kind := func(task string) taskKind {
		return taskKind{duration: func(task string) time.Duration { return time.Duration(500+hash(task)%500) * time.Millisecond }}
	}
	c, err := newCluster(e.dir, e.binary, e.record, 3, 3, 32000, kind)
	if err != nil || !c.ready(startup) {
		e.record.say("the deployment does not start: %v", err)
		return couldNot
	}
	body := job(step{Count: width, CPU: taskCPU, MemMB: 256, EstimateMS: 700})
	if e.trouble {
		time.AfterFunc(2*time.Second, func() {
			e.record.printf("store: down, resets all connections")
			c.store.setDown(true)
			time.Sleep(outage)
			c.store.setDown(false)
			e.record.printf("store: up again")
		})
	}
	clients := submitAll(c, "a0000000", jobs, 20*time.Millisecond, body)
	for end := time.Now().Add(45 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		left := 0
		for i, k := range clients {
			if k.accepted && c.state(i, k.id) != "completed" {
				left++
			}
		}
		if left == 0 {
			break
		}
	}
	time.Sleep(2 * time.Second)
	c.close()
	accepted := 0
	for _, k := range clients {
		if k.accepted {
			accepted++
		}
	}
	started, done, _ := c.audit.counts()
	for _, w := range c.workers {
		e.record.say("worker %s: at most %d ends waited to be taken note of", w.id, w.maxEnded)
	}
	e.record.say("%d jobs of %d tasks accepted, %d tasks; %d runs started, %d ended done", accepted, width, accepted*width, started, done)
	return verdict(e, "TWICE", c.audit.twice())
}

func verdict(e env, rule string, violations []string) int {
	for i, v := range violations {
		e.record.printf("%s: %s", rule, v)
		if i < 5 {
			fmt.Printf("%s: %s\n", rule, v)
		}
	}
	if len(violations) > 0 {
		e.record.say("rule %s broken %d times", rule, len(violations))
		return broken
	}
	e.record.say("rule %s held", rule)
	return held
}

// finish is how long after the end of the traffic the jobs are asked for, and calm for how long a job has to have nothing running.
const (
	finish = 14 * time.Second
	calm   = 3 * time.Second
)

// lostJobs waits for the time that the rule gives, then asks for all accepted jobs and returns those that are not known, or that
// have not ended and have nothing running for the calm time.
func lostJobs(c *cluster, clients []*client) []string {
	time.Sleep(finish)
	var open []*client
	var out []string
	states := map[string]string{}
	for i, k := range clients {
		if !k.accepted {
			continue
		}
		s := c.state(i, k.id)
		states[k.id] = s
		switch s {
		case "completed":
		case "queued", "running":
			open = append(open, k)
		default:
			out = append(out, fmt.Sprintf("job %s was accepted and is shown as %q", k.id, s))
		}
	}
	ran := map[string]bool{}
	for end := time.Now().Add(calm); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, k := range open {
			ran[k.id] = ran[k.id] || c.audit.jobRunning(k.id) > 0
		}
	}
	_, _, running := c.audit.counts()
	for _, k := range open {
		if !ran[k.id] {
			out = append(out, fmt.Sprintf("job %s was accepted, is shown as %q, and has nothing running for %v; %d tasks run in all", k.id, states[k.id], calm, running))
		}
	}
	return out
}

// largeBatch lets jobs of many steps come at once, beside the same jobs at a steady rate.
func largeBatch(e env) int {
	const (
		steps    = 32
		jobs     = 240
		interval = 33 * time.Millisecond
		burst    = 90
	)
	kind := func(string) taskKind {
		return taskKind{duration: func(string) time.Duration { return 40 * time.Millisecond }}
	}
	c, err := newCluster(e.dir, e.binary, e.record, 8, 6, 32000, kind)
	if err != nil || !c.ready(startup) {
		e.record.say("the deployment does not start: %v", err)
		return couldNot
	}
	var all []step
	for i := range steps {
		s := step{Count: 1, CPU: 500, MemMB: 256, EstimateMS: 40, Checkpointing: true, Requirements: "a", Affinity: "r1-1"}
		if i > 0 {
			s.After = []int{i - 1}
		}
		all = append(all, s)
	}
	body := job(all...)
	e.record.say("a job has %d bytes", len(body))
	var extra []*client
	var wg sync.WaitGroup
	if e.trouble {
		wg.Go(func() {
			time.Sleep(4 * time.Second)
			e.record.printf("%d jobs come at once", burst)
			extra = submitAll(c, "b1000000", burst, 0, body)
		})
	}
	clients := submitAll(c, "b0000000", jobs, interval, body)
	wg.Wait()
	clients = append(clients, extra...)
	violations := lostJobs(c, clients)
	c.close()
	report(e, c, clients)
	return verdict(e, "LOST", violations)
}

func report(e env, c *cluster, clients []*client) {
	accepted := 0
	for _, k := range clients {
		if k.accepted {
			accepted++
		}
	}
	started, done, _ := c.audit.counts()
	e.record.say("%d of %d jobs accepted; %d runs started, %d ended done", accepted, len(clients), started, done)
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	for table, n := range c.store.tooLarge {
		e.record.say("the store refused %d transactions for a row of table %q over maxRowBytes", n, table)
	}
}

// deadly hands in a job whose task crashes each worker that starts it, beside the usual ones. It checks the rule BUDGET as the open
// issue on it has it.
func deadly(e env) int {
	const (
		workers  = 12
		jobs     = 300
		interval = 100 * time.Millisecond
		delay    = time.Second     // from the start to the crash
		down     = 3 * time.Second // until the worker is back
		budget   = 3               // crashes, and then starts, that break the rule
	)
	var c *cluster
	var mu sync.Mutex
	crashed, after := map[string]int{}, map[string]int{}
	kind := func(task string) taskKind {
		return taskKind{duration: func(string) time.Duration { return 2 * time.Second }}
	}
	c, err := newCluster(e.dir, e.binary, e.record, 3, workers, 32000, kind)
	if err != nil || !c.ready(startup) {
		e.record.say("the deployment does not start: %v", err)
		return couldNot
	}
	c.audit.onStart = func(task, id string) {
		if task[0] != 'd' {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if crashed[task] >= budget {
			after[task]++
		}
		for _, w := range c.workers {
			if w.id == id {
				time.AfterFunc(delay, func() {
					mu.Lock()
					crashed[task]++
					mu.Unlock()
					c.crash(w, down)
				})
			}
		}
	}
	if e.trouble {
		time.AfterFunc(3*time.Second, func() {
			c.submit(0, "d000000000000001", job(step{Count: 1, CPU: 2000, MemMB: 8000, EstimateMS: 2000}))
		})
	}
	clients := submitAll(c, "c0000000", jobs, interval, job(step{Count: 4, CPU: 2000, MemMB: 8000, EstimateMS: 2000}))
	time.Sleep(10 * time.Second)
	state := c.state(0, "d000000000000001")
	c.close()
	report(e, c, clients)
	var violations []string
	mu.Lock()
	defer mu.Unlock()
	for task, n := range crashed {
		e.record.say("task %s: %d workers crashed under it, %d starts after %d of them; its job is shown as %q", task, n, after[task], budget, state)
		if after[task] >= budget {
			violations = append(violations, fmt.Sprintf("task %s was started %d more times after %d workers had crashed under it", task, after[task], budget))
		}
	}
	return verdict(e, "BUDGET", violations)
}

// graph hands in a few large jobs, of layers of steps that come after all steps of the layer before, beside the usual ones.
func graph(e env) int {
	const (
		jobs     = 120
		interval = 100 * time.Millisecond
		large    = 2
		layers   = 16
		wide     = 4
	)
	kind := func(string) taskKind {
		return taskKind{duration: func(string) time.Duration { return 300 * time.Millisecond }}
	}
	c, err := newCluster(e.dir, e.binary, e.record, 4, 6, 32000, kind)
	if err != nil || !c.ready(startup) {
		e.record.say("the deployment does not start: %v", err)
		return couldNot
	}
	var burst []*client
	var wg sync.WaitGroup
	if e.trouble {
		var steps []step
		for l := range layers {
			for range wide {
				s := step{Count: 2, CPU: 500, MemMB: 256, EstimateMS: 300}
				for i := range wide {
					if l > 0 {
						s.After = append(s.After, (l-1)*wide+i)
					}
				}
				steps = append(steps, s)
			}
		}
		wg.Go(func() {
			time.Sleep(4 * time.Second)
			e.record.printf("%d large jobs of %d steps come at once", large, len(steps))
			burst = submitAll(c, "d0000000", large, 50*time.Millisecond, job(steps...))
		})
	}
	clients := submitAll(c, "c0000000", jobs, interval, job(step{Count: 4, CPU: 500, MemMB: 256, EstimateMS: 300}))
	wg.Wait()
	clients = append(clients, burst...)
	violations := lostJobs(c, clients)
	for _, d := range c.daemons {
		e.record.say("daemon %s has used %v of processor time", d.name, d.processorTime())
	}
	c.close()
	report(e, c, clients)
	return verdict(e, "LOST", violations)
}
