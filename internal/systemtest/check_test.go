package systemtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/greengagewing/greengagewing/internal/request"
	"github.com/greengagewing/greengagewing/ownership"
)

// history records the calls of all callers and operators, for the checks at the end of a scenario.
type history struct {
	mu              sync.Mutex
	onceSubmissions []porcupine.Operation // submissions of non-idempotent requests
	edits           []porcupine.Operation // edits of lists
	outcomeCounts   map[string]int        // number of outcomes, by outcome and code
	outcomes        map[string][]string   // outcomes in order, by key
	jobs            map[string]*jobRecord // by key
	mayHaveRun      map[string]bool       // by key of a request: whether any outcome was other than "not run"
	problems        []string
}

// jobRecord is what the callers know about the submission of a job.
type jobRecord struct {
	accepted      bool
	maybeAccepted bool // the outcome of a submission is unknown, so the job may have been accepted
}

func (h *history) withLock(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outcomeCounts == nil {
		h.outcomeCounts, h.outcomes, h.jobs = map[string]int{}, map[string][]string{}, map[string]*jobRecord{}
		h.mayHaveRun = map[string]bool{}
	}
	f()
}

func (h *history) addProblem(format string, args ...any) {
	h.withLock(func() { h.problems = append(h.problems, fmt.Sprintf(format, args...)) })
}

// submission is the input of a porcupine operation on an idempotency key. runs is set only in the operation that stands
// for the final reading of the audit.
type submission struct {
	key  string
	runs int
}

const finalAudit = -1 // output of the operation that stands for the final reading of the audit

// atMostOnceModel models a request that runs at most once. After an unknown outcome it may or may not have run, all
// done outcomes have the same result, and the audit shows a run only if some outcome allows it. "Not run" does not
// change the state, so a run needs another call with a different outcome.
var atMostOnceModel = (&porcupine.NondeterministicModel{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range ops {
			k := op.Input.(submission).key
			byKey[k] = append(byKey[k], op)
		}
		return slices.Collect(maps.Values(byKey))
	},
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		st := state.(string) // "": not run; "?": run with unknown result; otherwise the result
		if runs, ok := output.(int); ok {
			if runs == finalAudit && input.(submission).runs == min(len(st), 1) {
				return []any{st}
			}
			return nil
		}
		switch out := output.(request.Outcome); out.Result {
		case request.Done:
			if st == "" || st == "?" || st == string(out.Answer) {
				return []any{string(out.Answer)}
			}
			return nil
		case request.Unknown:
			if st == "" {
				return []any{"", "?"}
			}
		}
		return []any{st}
	},
}).ToModel()

// edit is the input of a porcupine operation on a list: an edit based on version base. Its output is an editResult.
type edit struct {
	list string
	base int64
}

type editResult struct {
	status  int // HTTP status; 0: no response
	version int64
}

// listModel models the version of a list as a compare-and-set register.
var listModel = (&porcupine.NondeterministicModel{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byList := map[string][]porcupine.Operation{}
		for _, op := range ops {
			k := op.Input.(edit).list
			byList[k] = append(byList[k], op)
		}
		return slices.Collect(maps.Values(byList))
	},
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, input, output any) []any {
		version, in, out := state.(int64), input.(edit), output.(editResult)
		switch out.status {
		case 200:
			if version == in.base && out.version == version+1 {
				return []any{out.version}
			}
			return nil
		case 409:
			if version == out.version && version != in.base {
				return []any{version}
			}
			return nil
		case 0, 504:
			if version == in.base {
				return []any{version, version + 1}
			}
		}
		return []any{version}
	},
}).ToModel()

// checkGuarantees checks the recorded history against the platform's audit, and reports violations that the audit or
// the ownership monitor found.
func (s *system) checkGuarantees() {
	s.t.Helper()
	audit := s.platform.Audit.Report()
	for _, v := range audit.Violations {
		s.t.Errorf("audit: %s", v)
	}
	for _, v := range s.owners.violations() {
		s.t.Errorf("ownership: %s", v)
	}
	if len(audit.RequestRuns) > 0 && !s.owners.sawWorkSent() {
		s.t.Error("requests ran, but the ownership monitor saw no request or task start")
	}
	s.history.withLock(func() {
		for _, p := range s.history.problems {
			s.t.Error(p)
		}
		s.t.Logf("outcomes: %v", s.history.outcomeCounts)
		onceSubmissions := slices.Clone(s.history.onceSubmissions)
		keys := map[string]bool{}
		for _, op := range s.history.onceSubmissions {
			keys[op.Input.(submission).key] = true
		}
		now := int64(time.Since(s.began))
		for key := range keys {
			onceSubmissions = append(onceSubmissions, porcupine.Operation{
				Input: submission{key, audit.RequestRuns[key]}, Output: finalAudit, Call: now, Return: now + 1,
			})
		}
		for _, part := range atMostOnceModel.Partition(onceSubmissions) {
			if !porcupine.CheckOperations(atMostOnceModel, part) {
				key := part[0].Input.(submission).key
				s.t.Errorf("request %s: outcomes %v do not allow %d runs", key, s.history.outcomes[key], audit.RequestRuns[key])
			}
		}
		for key, may := range s.history.mayHaveRun {
			if !may && audit.RequestRuns[key] > 0 {
				s.t.Errorf("request %s was refused, but it ran %d times: %v", key, audit.RequestRuns[key], s.history.outcomes[key])
			}
		}
		if !porcupine.CheckOperations(listModel, s.history.edits) {
			s.t.Errorf("edits are not linearizable as compare-and-set: %+v", s.history.edits)
		}
		for key, j := range s.history.jobs {
			if !j.accepted && !j.maybeAccepted && audit.KeyRuns[key] > 0 {
				s.t.Errorf("job %s was refused, but %d of its tasks ran", key, audit.KeyRuns[key])
			}
		}
	})
}

// ownershipMonitor checks that only the owner of a partition sends commands to its minions and workers, that the epoch
// of a partition never decreases, and that no two owners share an epoch.
type ownershipMonitor struct {
	s               *system
	partitionByAddr map[string]string // partition to which a minion or worker belongs, by its address
	done            chan struct{}
	sampler         sync.WaitGroup

	mu           sync.Mutex
	lastRows     map[string]ownership.Row // last row read, by partition
	ownerByEpoch map[string]string        // by partition and epoch
	changes      int                      // number of epoch changes seen
	lastWorkAt   map[string]time.Time     // when a request or task start was last sent, by address
	problems     []string
}

// ownerSampleInterval is the interval at which the partition rows are read.
const ownerSampleInterval = 100 * time.Millisecond

func newOwnershipMonitor(s *system) *ownershipMonitor {
	w := &ownershipMonitor{
		s: s, partitionByAddr: map[string]string{}, done: make(chan struct{}), lastRows: map[string]ownership.Row{},
		ownerByEpoch: map[string]string{}, lastWorkAt: map[string]time.Time{},
	}
	for _, h := range s.platform.Membership.Hosts() {
		w.partitionByAddr[h.Addr] = "pool/" + service + "/0"
		if h.Kind == "minion" {
			w.partitionByAddr[h.Addr] = request.PartitionForMinion(service, h.ID)
		}
	}
	s.net.Sent = w.checkMessage
	w.sampler.Go(func() {
		t := time.NewTicker(ownerSampleInterval)
		defer t.Stop()
		for {
			select {
			case <-w.done:
				return
			case <-t.C:
				for _, p := range w.partitionByAddr {
					w.readRow(p)
				}
			}
		}
	})
	return w
}

func (w *ownershipMonitor) stop() {
	close(w.done)
	w.sampler.Wait()
}

// readRow returns the ownership row of a partition. During an outage of the table it returns the last row read, which
// is still current because no commit succeeds. While the table is slow or serves stale reads, it returns false.
func (w *ownershipMonitor) readRow(partition string) (ownership.Row, bool) {
	f := w.s.platform.Table.Faults()
	if f.Delay > 0 || f.StaleReads {
		return ownership.Row{}, false
	}
	got, err := w.s.platform.Table.Get(context.Background(), ownership.Key(partition))
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		row, ok := w.lastRows[partition]
		return row, ok
	}
	var row ownership.Row
	if err := json.Unmarshal(got.Value, &row); err != nil {
		w.problems = append(w.problems, err.Error())
		return row, false
	}
	last := w.lastRows[partition]
	owner := fmt.Sprintf("%s incarnation %d", row.Owner.ID, row.Owner.Incarnation)
	at := fmt.Sprintf("%s epoch %d", partition, row.Epoch)
	if row.Epoch < last.Epoch {
		w.problems = append(w.problems, fmt.Sprintf("%s: epoch %d follows %d", partition, row.Epoch, last.Epoch))
	}
	if known, ok := w.ownerByEpoch[at]; ok && known != owner {
		w.problems = append(w.problems, fmt.Sprintf("%s: owned by %s and by %s", at, known, owner))
	}
	if row.Epoch != last.Epoch {
		w.changes++
	}
	w.lastRows[partition], w.ownerByEpoch[at] = row, owner
	return row, true
}

// checkMessage records a violation if a message to a minion or worker does not come from the owner of its partition.
func (w *ownershipMonitor) checkMessage(from, to string, message []byte) {
	partition, ok := w.partitionByAddr[to]
	if !ok || !bytes.HasPrefix(message, []byte("POST /v1/")) {
		return
	}
	path, _, _ := strings.Cut(string(message[len("POST "):]), " ")
	row, ok := w.readRow(partition)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if path == "/v1/execute" || path == "/v1/tasks" {
		w.lastWorkAt[to] = time.Now()
	}
	if owner := w.s.daemonName(row.Owner.ID); owner != from || row.State != ownership.Owned {
		w.problems = append(w.problems, fmt.Sprintf("at %.3f s %s sent %s to %s; %s is %s by %s at epoch %d",
			time.Since(w.s.began).Seconds(), from, path, to, partition, row.State, owner, row.Epoch))
	}
}

func (w *ownershipMonitor) violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.problems)
}

func (w *ownershipMonitor) sawWorkSent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.lastWorkAt) > 0
}

// lastWorkSent returns when a request or task start was last sent to an address.
func (w *ownershipMonitor) lastWorkSent(addr string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastWorkAt[addr]
}

// ownerChanges returns the number of epoch changes seen so far, over the partitions of all minions and workers.
func (w *ownershipMonitor) ownerChanges() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changes
}

func (s *system) daemonName(peer string) string {
	for _, p := range s.daemons {
		if p.peer == peer {
			return p.name
		}
	}
	return peer
}

// ownerOf returns the daemon that owns a partition according to the table. It fails the test if there is none.
func (s *system) ownerOf(partition string) *process {
	s.t.Helper()
	row, ok := s.owners.readRow(partition)
	for _, p := range s.daemons {
		if ok && p.peer == row.Owner.ID {
			return p
		}
	}
	s.t.Fatalf("%s has no owner", partition)
	return nil
}
