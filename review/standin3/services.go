//go:build review3

package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	firstService  = "bulk"
	secondService = "desk"
	lostMinions   = 1
)

// services runs two services. Jobs whose tasks last use most of the first one. Then one of its fourteen minions is lost for good, and a
// short job of the second service, which is idle, is handed in.
func services(c *cluster, trouble bool) ([]string, error) {
	c.putQueues(1,
		queue{name: "urgent", prefix: "/urgent/", service: firstService, priority: 0, targetMS: 250, maxAttempts: 3},
		queue{name: "bulk", prefix: "/bulk/", service: firstService, priority: 1, targetMS: 1000, maxAttempts: 3},
		queue{name: "desk", prefix: queuePrefix, service: secondService, priority: 1, targetMS: 1000, maxAttempts: 3})
	for i := range 15 {
		service := firstService
		if i == 14 {
			service = secondService
		}
		m, err := c.startMinionOf(service, fmt.Sprintf("i-%02d-0", i), c.minionAddr(i), []string{"a", "r1"}, 16000, 32768)
		if err != nil {
			return nil, err
		}
		c.minions = append(c.minions, m)
	}
	if err := c.startAll(0, 3); err != nil {
		return nil, err
	}
	if !c.submitTo("/urgent/", "00000000000a0001", lastingJob(9, 4000)) || !c.submitTo("/bulk/", "00000000000a0002", lastingJob(77, 2000)) {
		return nil, errors.New("the lasting jobs were not accepted")
	}
	time.Sleep(4 * time.Second)
	before := c.desk("00000000000b0001")
	if before != "" {
		return nil, errors.New("before the loss: " + before)
	}
	if trouble {
		for _, m := range c.minions[:lostMinions] {
			m.vanish()
		}
	}
	time.Sleep(12 * time.Second) // the lost tasks run again elsewhere
	if b := c.desk("00000000000b0002"); b != "" {
		return []string{b}, nil
	}
	return nil, nil
}

func lastingJob(count int, cpu int64) jobBody {
	return jobBody{TaskSpec: "lasting", Steps: []step{{Count: count, CPU: cpu, MemMB: 500, EstimatedDurationMS: 1000, LongRunning: true}}}
}

const (
	finishTime = 17 * time.Second // finish_s and the 3 s of the rule
	afterwards = 25 * time.Second // for how long the job is watched after that
)

// desk hands in a short job of the second service, the only one there, and returns what breaks the rule: it hasn't begun 17 s later.
func (c *cluster) desk(id string) string {
	if !c.submit(id, jobBody{TaskSpec: "work=500", Steps: []step{{Count: 1, CPU: 1000, MemMB: 500, EstimatedDurationMS: 500}}}) {
		return "job " + id + " was not accepted"
	}
	broken := ""
	for began := time.Now(); time.Since(began) < finishTime+afterwards; time.Sleep(200 * time.Millisecond) {
		s := c.state(id)
		if s == "completed" {
			c.note("client: job %s is shown as completed after %v", id, time.Since(began))
			return broken
		}
		if time.Since(began) > finishTime && broken == "" {
			broken = fmt.Sprintf("LOST: accepted job %s is shown as %s and has had no run for %v, though all 16 cores of its service are idle", id, s, finishTime)
			c.note("%s", broken)
		}
	}
	c.note("client: job %s is shown as %s after %v", id, c.state(id), finishTime+afterwards)
	return broken
}
