package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Sizes of the minions, as at the small site.
const (
	minionCPU   = 32_000
	minionMemMB = 131_072
)

// Bounds of the rules, as in the settings.
const (
	finishTime     = 14 * time.Second // finish_s
	idleTime       = 3 * time.Second  // "for 3 s, a job has nothing running"
	lastingGrace   = 6 * time.Second  // "from 6 s after its last run"
	contactTimeout = 3 * time.Second  // contactTimeoutMs
	configApply    = 2 * time.Second  // configApplyMs
	observeTick    = 50 * time.Millisecond
	daemonsInCases = 4
)

// newSystem starts a cluster with this number of minions and with daemons that are ready.
func newSystem(root string, log *record, minions int, b func(string, int64, string) behavior) (*cluster, error) {
	c, err := newCluster(root, log, b)
	if err != nil {
		return nil, err
	}
	c.configure(routes())
	for i := range minions {
		if _, err := c.startMinion(i); err != nil {
			c.close()
			return nil, err
		}
	}
	if err := c.startDaemons(daemonsInCases); err != nil {
		c.close()
		return nil, err
	}
	time.Sleep(2 * time.Second) // an owner is elected and has reached all minions
	return c, nil
}

func (c *cluster) startMinion(i int) (*worker, error) {
	return c.fleet.start(fmt.Sprintf("m-%d", i), c.workerAddr(i), fmt.Sprintf("zone-%c", 'a'+i%4), fmt.Sprintf("r%d", i/6), minionCPU, minionMemMB)
}

// awaitActive waits until each of the tasks has a run.
func (c *cluster) awaitActive(tasks []string, limit time.Duration) error {
	for end := time.Now().Add(limit); ; time.Sleep(observeTick) {
		all := true
		for _, t := range tasks {
			_, active, _ := c.fleet.count(t, "")
			all = all && active > 0
		}
		if all {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%w: the tasks don't run", errSetup)
		}
	}
}

func tasksOf(job string, step, count int) []string {
	var out []string
	for i := range count {
		out = append(out, task(job, step, i))
	}
	return out
}

// playCrashGang: a gang of 44 members runs on 44 of 46 minions. Minions crash one at a time and are back a second later. None of them
// has a member under which a minion has crashed before, so that no task has lost two minions. No run ends as failed, so the job must not
// be shown as failed.
func playCrashGang(root string, log *record, trouble bool) ([]string, error) {
	const (
		minions  = 46
		width    = 44
		duration = 30 * time.Second
		pause    = 2300 * time.Millisecond // between two crashes: 40 in a day of 92 s
		downTime = time.Second
		crashes  = 12
	)
	c, err := newSystem(root, log, minions, func(string, int64, string) behavior {
		return behavior{duration: duration, outcome: "done", gang: width}
	})
	if err != nil {
		return nil, err
	}
	defer c.close()
	job, err := c.submit("festival", "a gang", step{"count": width, "cpu": 15000, "memMb": 33000, "estimatedDurationMs": 30000, "gangScheduled": true, "antiAffinity": 1})
	if err != nil {
		return nil, err
	}
	tasks := tasksOf(job, 0, width)
	if err := c.awaitActive(tasks, 10*time.Second); err != nil {
		return nil, err
	}
	end := time.Now().Add(95 * time.Second)
	nextCrash := time.Now().Add(pause)
	crashed := 0
	for time.Now().Before(end) {
		if trouble && crashed < crashes && time.Now().After(nextCrash) {
			if w := c.unhurt(); w != nil {
				w.crash()
				crashed++
				nextCrash = time.Now().Add(pause)
				time.AfterFunc(downTime, func() { _, _ = c.fleet.start(w.machine, w.addr, w.zone, w.rack, w.cpu, w.memMB) })
			}
		}
		switch state := c.state("festival", job); state {
		case "completed":
			return nil, nil
		case "failed", "cancelled", "gone":
			failed, most := 0, 0
			for _, t := range tasks {
				_, _, n := c.fleet.count(t, "failed")
				failed += n
				_, _, n = c.fleet.count(t, "crashed")
				most = max(most, n)
			}
			if failed == 0 && most < 2 {
				return []string{fmt.Sprintf("LOST: job %s is shown as %s after %d crashes of single minions; none of its runs has ended as failed, and under no task has more than %d minion crashed",
					job, state, crashed, most)}, nil
			}
			return nil, fmt.Errorf("%w: %d runs have failed, %d minions crashed under one task", errSetup, failed, most)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil, fmt.Errorf("%w: the job has not ended", errSetup)
}

// unhurt returns a minion with a run, under whose tasks no minion has crashed before, or nil.
func (c *cluster) unhurt() *worker {
	live := c.fleet.live()
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	for _, w := range live {
		hurt := 0
		tasks := w.tasks()
		for _, t := range tasks {
			_, _, n := c.fleet.count(t, "crashed")
			hurt += n
		}
		if len(tasks) > 0 && hurt == 0 {
			return w
		}
	}
	return nil
}

// awaitIdle watches the tasks until limit, and reports whether there was a time of at least length from the moment from on in which
// none of them ran although they had not ended as done.
func (c *cluster) awaitIdle(tasks []string, from time.Time, length time.Duration, limit time.Time) bool {
	idleSince := from
	for time.Now().Before(limit) {
		running, done := 0, 0
		for _, t := range tasks {
			_, active, ends := c.fleet.count(t, "done")
			running += active
			done += min(ends, 1)
		}
		now := time.Now()
		if running > 0 || done == len(tasks) {
			idleSince = now
		}
		if now.After(from) && now.Sub(idleSince) >= length {
			return true
		}
		time.Sleep(observeTick)
	}
	return false
}

// playReserve: a gang of 12 members runs on all six minions, two on each. One minion is lost for good, so that the gang fits no more.
// A job of another queue, which is handed in after that, has five idle minions.
func playReserve(root string, log *record, trouble bool) ([]string, error) {
	const width = 12
	var gangJob string
	c, err := newSystem(root, log, 6, func(task string, _ int64, _ string) behavior {
		if jobOf(task) == gangJob {
			return behavior{duration: 36 * time.Second, outcome: "done", gang: width}
		}
		return behavior{duration: 2900 * time.Millisecond, outcome: "done"}
	})
	if err != nil {
		return nil, err
	}
	defer c.close()
	gangJob = newJobID()
	if _, err := c.submitAs(gangJob, "festival", "a gang", step{"count": width, "cpu": 15000, "memMb": 33000, "estimatedDurationMs": 36000, "gangScheduled": true}); err != nil {
		return nil, err
	}
	if err := c.awaitActive(tasksOf(gangJob, 0, width), 10*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	if trouble {
		c.fleet.live()[0].crash()
	}
	time.Sleep(8 * time.Second) // longer than any lease
	job, err := c.submit("check", "a small job", step{"count": 4, "cpu": 2000, "memMb": 7200, "estimatedDurationMs": 2900})
	if err != nil {
		return nil, err
	}
	tasks := tasksOf(job, 0, 4)
	end := time.Now() // of the traffic
	log.printf("the traffic ends")
	idle := c.awaitIdle(tasks, end.Add(finishTime), idleTime, end.Add(finishTime+idleTime+time.Second))
	state := c.state("check", job)
	if !idle {
		return nil, nil
	}
	broken := fmt.Sprintf("LOST: %s after the end of the traffic, job %s (%s) has had nothing running for %s; %d minions live, %d runs on them", finishTime+idleTime, job, state,
		idleTime, len(c.fleet.live()), c.runs())
	for limit := time.Now().Add(50 * time.Second); time.Now().Before(limit); time.Sleep(observeTick) {
		if starts, _, _ := c.fleet.count(tasks[0], ""); starts > 0 {
			log.printf("the job begins %.1f s after the end of the traffic", time.Since(end).Seconds())
			break
		}
	}
	return []string{broken}, nil
}

// runs returns the number of runs on all live minions.
func (c *cluster) runs() int {
	n := 0
	for _, w := range c.fleet.live() {
		n += len(w.tasks())
	}
	return n
}

// playFill: three of four minions have a task that serves, and the fourth one has a task that fills. The fourth one is emptied and
// taken away. The task that fills has room on each of the others.
func playFill(root string, log *record, trouble bool) ([]string, error) {
	c, err := newSystem(root, log, 4, func(string, int64, string) behavior { return behavior{lasts: true} })
	if err != nil {
		return nil, err
	}
	defer c.close()
	serving, err := c.submit("preview", "serve", step{"count": 3, "cpu": 8000, "memMb": 8000, "longRunning": true, "image": "web", "targetMs": 200, "antiAffinity": 1})
	if err != nil {
		return nil, err
	}
	if err := c.awaitActive(tasksOf(serving, 0, 3), 10*time.Second); err != nil {
		return nil, err
	}
	filling, err := c.submit("check", "fill", step{"count": 1, "cpu": 4000, "memMb": 8000, "longRunning": true, "image": "batch", "fillCount": true})
	if err != nil {
		return nil, err
	}
	fill := task(filling, 0, 0)
	if err := c.awaitActive([]string{fill}, 10*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for _, w := range c.fleet.live() {
			if strings.Join(w.tasks(), " ") == fill {
				w.leave()
			}
		}
	}
	from := time.Now()
	log.printf("from here on nothing changes")
	if !c.awaitIdle([]string{fill}, from.Add(lastingGrace), idleTime, from.Add(30*time.Second)) {
		return nil, nil
	}
	log.printf("no run for %s, %s after the last one", idleTime, lastingGrace)
	idle := c.awaitIdle([]string{fill}, time.Now(), 40*time.Second, time.Now().Add(45*time.Second))
	return []string{fmt.Sprintf("LOST: %s has had no run for %s from %s after its last run on (nor for 40 s more: %v); %d minions live, with %d runs of 8 of 32 cores each",
		fill, idleTime, lastingGrace, idle, len(c.fleet.live()), c.runs())}, nil
}

// playQuarantine: two sound services and, with the disruption, three whose tasks fail half a second after they are at work. There is
// always room on two of the four minions. The tasks of the sound ones fail at times, after 5 to 25 s, and must start again within 9 s.
func playQuarantine(root string, log *record, trouble bool) ([]string, error) {
	const (
		sound      = 2 // services
		soundTasks = 3
		bad        = 3
		badTasks   = 4
	)
	badJobs := map[string]bool{}
	for range bad {
		badJobs[newJobID()] = true
	}
	c, err := newSystem(root, log, 4, func(task string, _ int64, _ string) behavior {
		if badJobs[jobOf(task)] {
			return behavior{lasts: true, outcome: "failed", duration: startupTime + 500*time.Millisecond}
		}
		return behavior{lasts: true, outcome: "failed", duration: 5*time.Second + rand.N(20*time.Second)}
	})
	if err != nil {
		return nil, err
	}
	defer c.close()
	var tasks []string
	for range sound {
		job, err := c.submit("check", "a sound service", step{"count": soundTasks, "cpu": 9000, "memMb": 8000, "longRunning": true, "image": "sound"})
		if err != nil {
			return nil, err
		}
		tasks = append(tasks, tasksOf(job, 0, soundTasks)...)
	}
	if err := c.awaitActive(tasks, 10*time.Second); err != nil {
		return nil, err
	}
	if trouble {
		for job := range badJobs {
			if _, err := c.submitAs(job, "check", "a bad service", step{"count": badTasks, "cpu": 1000, "memMb": 1000, "longRunning": true, "image": "bad", "antiAffinity": 1}); err != nil {
				return nil, err
			}
		}
	}
	time.Sleep(95 * time.Second)
	return c.gaps(tasks, lastingGrace+idleTime), nil
}

// gaps returns the times of at least the length in which a task that lasts had no run.
func (c *cluster) gaps(tasks []string, length time.Duration) []string {
	f := c.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, t := range tasks {
		for i, e := range f.ends[t] {
			next := time.Now()
			if i+1 < len(f.starts[t]) {
				next = f.starts[t][i+1].at
			}
			if gap := next.Sub(e.at); gap >= length {
				out = append(out, fmt.Sprintf("LOST: %s has no run for %.1f s after run %d, which ended as %s at %.1f s", t, gap.Seconds(), e.run, e.how,
					e.at.Sub(c.log.began).Seconds()))
			}
		}
	}
	return out
}

// playBigOrders: 110 minions, which other hosts call for the owner. A job with 400 tasks has a text of 4,000 bytes, mostly of
// characters that JSON encoders write as six.
func playBigOrders(root string, log *record, trouble bool) ([]string, error) {
	const count = 400
	var lasting string
	c, err := newSystem(root, log, 110, func(task string, _ int64, _ string) behavior {
		if jobOf(task) == lasting {
			return behavior{lasts: true}
		}
		return behavior{duration: 3 * time.Second, outcome: "done"}
	})
	if err != nil {
		return nil, err
	}
	defer c.close()
	lasting = newJobID()
	if _, err := c.submitAs(lasting, "preview", "serve", step{"count": 40, "cpu": 4000, "memMb": 4000, "longRunning": true, "image": "web"}); err != nil {
		return nil, err
	}
	services := tasksOf(lasting, 0, 40)
	if err := c.awaitActive(services, 15*time.Second); err != nil {
		return nil, err
	}
	text := strings.Repeat("x", 4000)
	if trouble {
		text = strings.Repeat("<></>", 800)
	}
	job, err := c.submit("check", text, step{"count": count, "cpu": 2000, "memMb": 2000, "estimatedDurationMs": 3000})
	if err != nil {
		return nil, err
	}
	tasks := tasksOf(job, 0, count)
	end := time.Now()
	log.printf("the traffic ends")
	idle := c.awaitIdle(tasks, end.Add(finishTime), idleTime, end.Add(finishTime+10*time.Second))
	state := c.state("check", job)
	lapsed := 0
	for _, t := range services {
		_, _, n := c.fleet.count(t, "lapsed")
		lapsed += n
	}
	log.printf("job %s is %s; %d runs of the service have lapsed", job, state, lapsed)
	if !idle {
		return nil, nil
	}
	return []string{fmt.Sprintf("LOST: job %s (%s) has nothing running for 3 s, %s after the end of the traffic; %d runs of the other job have lapsed", job, state, finishTime, lapsed)}, nil
}

// playSilentFeed: after some jobs, the open connections between the processes and the store go silent, while new ones work. 0.3 s later
// the operator adds a route. From 3 s after the silence and 2 s after the change on, no process may refuse the route with 404.
func playSilentFeed(root string, log *record, trouble bool) ([]string, error) {
	c, err := newCluster(root, log, func(string, int64, string) behavior {
		return behavior{duration: 300 * time.Millisecond, outcome: "done"}
	})
	if err != nil {
		return nil, err
	}
	defer c.close()
	c.configure(routes())
	for i := range 4 {
		if _, err := c.startMinion(i); err != nil {
			return nil, err
		}
	}
	var proxies []*proxy
	for i := range daemonsInCases {
		addr := fmt.Sprintf("%s.%d:8169", c.subnet, 200+i)
		p, err := newProxy(addr, c.storeAddr())
		if err != nil {
			return nil, err
		}
		defer p.close()
		proxies = append(proxies, p)
		if _, err := c.startDaemon(i, addr); err != nil {
			return nil, err
		}
	}
	if err := c.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	for i := range 12 * daemonsInCases {
		wg.Go(func() {
			c.call(c.daemons[i%daemonsInCases], http.MethodPost, "/preview/"+newJobID(), map[string]any{"taskSpec": "a job",
				"steps": []step{{"count": 1, "cpu": 500, "memMb": 100, "estimatedDurationMs": 300}}})
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	silentAt := time.Now()
	if trouble {
		for _, p := range proxies {
			log.printf("%d connections to the store go silent", p.silence())
		}
	}
	time.Sleep(300 * time.Millisecond)
	added := routes()[0]
	added.Name, added.PathPrefix = "added", "/added/"
	c.configure(append(routes(), added))
	changedAt := time.Now()
	from := silentAt.Add(contactTimeout)
	if t := changedAt.Add(configApply); t.After(from) {
		from = t
	}
	time.Sleep(time.Until(from))
	var broken []string
	for end := from.Add(4 * time.Second); time.Now().Before(end); time.Sleep(observeTick) {
		for _, d := range c.daemons {
			sent := time.Now()
			if status, _ := c.call(d, http.MethodGet, "/added/", nil); status == http.StatusNotFound {
				broken = append(broken, fmt.Sprintf("CONFIG: %s refuses the added route with 404, %.2f s after the change, %.2f s after the silence", d.name,
					sent.Sub(changedAt).Seconds(), sent.Sub(silentAt).Seconds()))
			}
		}
	}
	return broken, nil
}

// playHoldBack: a service has a task on each of seven minions. The process that owns the minions is lost for good with its machine, and
// one minion is lost for good. A new machine of the system comes a second later.
func playHoldBack(root string, log *record, trouble bool) ([]string, error) {
	c, err := newSystem(root, log, 8, func(string, int64, string) behavior { return behavior{lasts: true} })
	if err != nil {
		return nil, err
	}
	defer c.close()
	job, err := c.submit("check", "serve", step{"count": 6, "cpu": 4000, "memMb": 4000, "longRunning": true, "image": "web", "antiAffinity": 1})
	if err != nil {
		return nil, err
	}
	tasks := tasksOf(job, 0, 6)
	if err := c.awaitActive(tasks, 10*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		owner := c.owner()
		if owner == nil {
			return nil, fmt.Errorf("%w: no owner", errSetup)
		}
		log.printf("process %s is lost for good", owner.name)
		_ = owner.cmd.Process.Kill()
		<-owner.exited
		for _, w := range c.fleet.live() {
			if len(w.tasks()) > 0 {
				w.crash()
				break
			}
		}
		time.Sleep(time.Second)
		if _, err := c.startDaemon(daemonsInCases, c.storeAddr()); err != nil {
			return nil, err
		}
	}
	time.Sleep(30 * time.Second)
	return c.gaps(tasks, lastingGrace+idleTime), nil
}

// owner returns the process that last wrote to the store under a condition as the owner of the minions.
func (c *cluster) owner() *daemon {
	c.store.mu.Lock()
	row := c.store.rows[rowKey{"owner", "owner", "owner"}]
	c.store.mu.Unlock()
	for _, d := range c.daemons {
		if strings.Contains(string(row.Value), `"`+d.name+`"`) {
			return d
		}
	}
	return nil
}

// playMemory: clients hand in 16 jobs of 100,000 small tasks, ten of them on a minion at most. The platform kills a process over its memory and starts it again. A small job of
// the most urgent queue, which is handed in after them, finds all minions idle.
func playMemory(root string, log *record, trouble bool) ([]string, error) {
	const (
		bigJobs  = 16
		bigCPU   = 50
		bigTasks = 100_000
	)
	c, err := newSystem(root, log, 8, func(string, int64, string) behavior {
		return behavior{duration: 850 * time.Millisecond, outcome: "done"}
	})
	if err != nil {
		return nil, err
	}
	defer c.close()
	if trouble {
		for range bigJobs {
			if _, err := c.submit("check", "a big job", step{"count": bigTasks, "cpu": bigCPU, "memMb": 50, "estimatedDurationMs": 850, "antiAffinity": 10}); err != nil {
				return nil, err
			}
			c.limitMemory(700 * time.Millisecond)
		}
	}
	c.limitMemory(10 * time.Second)
	job := newJobID()
	for try := 0; ; try++ {
		status, _ := c.call(c.daemons[try%len(c.daemons)], http.MethodPost, "/preview/"+job, map[string]any{"taskSpec": "a small job",
			"steps": []step{{"count": 2, "cpu": 2000, "memMb": 1000, "estimatedDurationMs": 850}}})
		if status == http.StatusOK {
			break
		}
		if try > 60 {
			return nil, fmt.Errorf("%w: the small job is not accepted", errSetup)
		}
		c.limitMemory(300 * time.Millisecond)
	}
	end := time.Now()
	log.printf("the traffic ends")
	c.limitMemory(finishTime)
	tasks := tasksOf(job, 0, 2)
	idle := true
	most := 0
	for limit := time.Now().Add(idleTime); time.Now().Before(limit); {
		for _, t := range tasks {
			starts, _, _ := c.fleet.count(t, "")
			idle = idle && starts == 0
		}
		most = max(most, c.runs())
		c.limitMemory(observeTick)
	}
	log.printf("%d processes were killed for their memory", c.killed)
	if !idle {
		return nil, nil
	}
	if most*bigCPU > 8*minionCPU/2 {
		return nil, fmt.Errorf("%w: %d runs use more than half of the capacity", errSetup, most)
	}
	return []string{fmt.Sprintf("LOST: %.0f s after the end of the traffic, job %s has had nothing running for %s; %d runs at most on %d minions; %d times a process was killed for its memory",
		time.Since(end).Seconds(), job, idleTime, most, len(c.fleet.live()), c.killed)}, nil
}
