//go:build review3

package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	lastingTasks = 4
	// graceAfterRun and idleLimit are the figures of the rule LOST for tasks that last: from 6 s after the last run, 3 s without a run.
	graceAfterRun = 6 * time.Second
	idleLimit     = 3 * time.Second
	calmBefore    = 4 * time.Second
)

// lasting hands in a job whose tasks last. Then a minion that runs one of them and the owner's machine are lost for good at the same
// moment. Each task has to have a run again in the time of the rule.
func lasting(c *cluster, trouble bool) ([]string, error) {
	c.putConfig(1, 3)
	if err := c.startAll(7, 4); err != nil {
		return nil, err
	}
	const id = "00000000000ab1de"
	if !c.submit(id, jobBody{TaskSpec: "lasting", Steps: []step{{Count: lastingTasks, CPU: 9000, MemMB: 500, EstimatedDurationMS: 1000, LongRunning: true}}}) {
		return nil, errors.New("the job was not accepted")
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for _, m := range c.minions {
			if m.busy() {
				m.vanish()
				break
			}
		}
		c.owner().kill(-1)
	}
	troubleAt := time.Now()
	broken := map[string]string{}
	for time.Since(troubleAt) < 30*time.Second {
		for i := range lastingTasks {
			task := fmt.Sprintf("%s.0.0.%d", id, i)
			runs, last := c.audit.hasRun(task)
			if !runs && time.Since(last) > graceAfterRun+idleLimit && time.Since(troubleAt) > calmBefore+idleLimit && broken[task] == "" {
				broken[task] = fmt.Sprintf("LOST: %s has had no run for more than 9 s; the minion and the machine were lost %.1f s ago", task, time.Since(troubleAt).Seconds())
				c.note("%s", broken[task])
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	var out []string
	for _, b := range broken {
		out = append(out, b)
	}
	return out, nil
}

// busy reports whether the minion has a run.
func (m *minion) busy() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.runs) > 0
}
