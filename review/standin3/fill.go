//go:build review3

package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	fillMinions  = 7
	servingTasks = 2
	fillWatch    = 40 * time.Second
	fillMemory   = 20000 // of 32768 MB, so that each minion has room for one such task
)

// fill hands in a job whose tasks fill, one for each minion, and then a job whose tasks serve. Each serving task has to have a run in
// the time of the rule LOST.
func fill(c *cluster, trouble bool) ([]string, error) {
	c.putConfig(1, 3)
	if err := c.startAll(fillMinions, 3); err != nil {
		return nil, err
	}
	if trouble {
		job := jobBody{TaskSpec: "work=100000", Steps: []step{{Count: fillMinions, CPU: 2000, MemMB: fillMemory, EstimatedDurationMS: 100000,
			Image: "batch", FillCount: true}}}
		if !c.submit("00000000000f1110", job) {
			return nil, errors.New("the job that fills was not accepted")
		}
		time.Sleep(2 * time.Second)
	}
	const id = "0000000000005e4e"
	job := jobBody{TaskSpec: "lasting", Steps: []step{{Count: servingTasks, CPU: 2000, MemMB: 500, EstimatedDurationMS: 1000, LongRunning: true,
		Image: "web", TargetMS: 200}}}
	if !c.submit(id, job) {
		return nil, errors.New("the job that serves was not accepted")
	}
	return c.watchRuns(id, servingTasks, graceAfterRun+idleLimit), nil
}

// reverse does the same with the kinds exchanged: tasks that serve run on each minion, and a short job whose tasks fill comes after them.
func reverse(c *cluster, trouble bool) ([]string, error) {
	c.putConfig(1, 3)
	if err := c.startAll(fillMinions, 3); err != nil {
		return nil, err
	}
	if trouble {
		job := jobBody{TaskSpec: "lasting", Steps: []step{{Count: fillMinions, CPU: 2000, MemMB: fillMemory, EstimatedDurationMS: 1000, LongRunning: true,
			Image: "web", TargetMS: 200}}}
		if !c.submit("0000000000005e4e", job) {
			return nil, errors.New("the job that serves was not accepted")
		}
		time.Sleep(2 * time.Second)
	}
	const id = "00000000000f1110"
	job := jobBody{TaskSpec: "work=60000", Steps: []step{{Count: 1, CPU: 2000, MemMB: 500, EstimatedDurationMS: 60000, Image: "batch", FillCount: true}}}
	if !c.submit(id, job) {
		return nil, errors.New("the job that fills was not accepted")
	}
	return c.watchRuns(id, 1, finishTime), nil
}

// watchRuns watches the tasks of a job's first step, and returns what breaks the rule: a task has no run for the limit after acceptance.
func (c *cluster) watchRuns(id string, tasks int, limit time.Duration) []string {
	accepted := time.Now()
	var broken []string
	for time.Since(accepted) < fillWatch {
		waits := 0
		for i := range tasks {
			if runs, _ := c.audit.hasRun(fmt.Sprintf("%s.0.0.%d", id, i)); !runs {
				waits++
			}
		}
		if waits > 0 && time.Since(accepted) > limit && broken == nil {
			broken = []string{fmt.Sprintf("LOST: %d of %d tasks of accepted job %s have had no run for %v, with 14 of 16 cores and 12 of 32 GB free on each minion", waits, tasks, id, limit)}
			c.note("%s", broken[0])
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.note("client: job %s is shown as %s after %v", id, c.state(id), fillWatch)
	return broken
}
