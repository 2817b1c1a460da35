//go:build review

package main

import (
	"strings"
	"sync"
	"time"
)

const gangTimeout = 3 * time.Second

// gangs follows the runs of tasks that work only together.
type gangs struct {
	mu   sync.Mutex
	runs map[gangKey]*gangRun
}

type gangKey struct {
	step string // ID.K.STEP
	run  int64
}

type gangRun struct {
	size    int
	takes   time.Duration
	members []gangMember
	began   bool
	over    bool
}

type gangMember struct {
	w *worker
	r *run
}

func gangOf(task string, run int64) gangKey {
	return gangKey{task[:strings.LastIndexByte(task, '.')], run}
}

// join adds a member. With the last one, all begin to work, and end done together.
func (g *gangs) join(w *worker, r *run, size int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := gangOf(r.task, r.run)
	run := g.runs[k]
	if run == nil {
		run = &gangRun{size: size, takes: r.takes}
		g.runs[k] = run
	}
	run.members = append(run.members, gangMember{w, r})
	if run.over {
		go w.endMember(r, "broken")
		return
	}
	if len(run.members) < size {
		time.AfterFunc(gangTimeout, func() {
			g.mu.Lock()
			waits := !run.began && !run.over
			g.mu.Unlock()
			if waits {
				w.endMember(r, "alone")
			}
		})
		return
	}
	run.began = true
	now := time.Now()
	for _, m := range run.members {
		m.r.workSince.Store(now.UnixNano())
	}
	time.AfterFunc(run.takes, func() { g.end(k, "done") })
}

// end ends all members of a run that still go on.
func (g *gangs) end(k gangKey, how string) {
	g.mu.Lock()
	run := g.runs[k]
	if run == nil || run.over {
		g.mu.Unlock()
		return
	}
	run.over = true
	members := append([]gangMember(nil), run.members...)
	g.mu.Unlock()
	for _, m := range members {
		m.w.endMember(m.r, how)
	}
}

// endMember ends a member's run if it still goes on.
func (w *worker) endMember(r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs[r.task] == r {
		w.finish(r, how)
	}
}
