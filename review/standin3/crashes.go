//go:build review3

package main

import (
	"fmt"
	"time"
)

const (
	crashMinions  = 8
	crashJobs     = 24
	crashWork     = 12 * time.Second
	crashInterval = 2500 * time.Millisecond // between two crashes
	crashDown     = time.Second             // from a crash until the minion's next life
	jobInterval   = 100 * time.Millisecond
	finalWait     = 40 * time.Second
)

// crashes hands in harmless jobs of one task each. Then each of eight minions crashes once, one after the other, and starts again. No job
// may be shown as failed: no run ends "failed", and nobody cancels a job.
func crashes(c *cluster, trouble bool) ([]string, error) {
	c.putConfig(1, 3)
	if err := c.startAll(crashMinions, 3); err != nil {
		return nil, err
	}
	var accepted []string
	for i := range crashJobs {
		id := fmt.Sprintf("%016x", 0xabc000+i)
		job := jobBody{TaskSpec: fmt.Sprintf("work=%d", crashWork.Milliseconds()),
			Steps: []step{{Count: 1, CPU: 1000, MemMB: 500, EstimatedDurationMS: crashWork.Milliseconds()}}}
		if c.submit(id, job) {
			accepted = append(accepted, id)
		}
		time.Sleep(jobInterval)
	}
	if trouble {
		for i := range c.minions {
			old := c.minions[i]
			old.crash()
			time.Sleep(crashDown)
			m, err := c.startMinion(fmt.Sprintf("i-%02d-1", i), old.addr, old.labels, old.cpu, old.mem)
			if err != nil {
				return nil, err
			}
			c.minions[i] = m
			time.Sleep(crashInterval - crashDown)
		}
	}
	return c.awaitEnds(accepted, finalWait), nil
}

// awaitEnds asks for the jobs' states until all have ended, and returns those that are shown as ended without a cause.
func (c *cluster) awaitEnds(jobs []string, limit time.Duration) []string {
	var broken []string
	until := time.Now().Add(limit)
	for len(jobs) > 0 && time.Now().Before(until) {
		var waiting []string
		for _, id := range jobs {
			switch s := c.state(id); s {
			case "completed":
				c.note("client: job %s is shown as completed", id)
			case "failed", "cancelled", "410":
				failed := c.audit.failedEnds(id + ".0.0.0")
				c.note("client: job %s is shown as %s, with %d ends failed of its task", id, s, failed)
				if failed == 0 {
					broken = append(broken, fmt.Sprintf("LOST: accepted job %s is shown as %s; none of its runs has ended failed, nobody has cancelled it", id, s))
				}
			default:
				waiting = append(waiting, id)
			}
		}
		jobs = waiting
		time.Sleep(time.Second)
	}
	return broken
}
