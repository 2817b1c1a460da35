package standin

import (
	"bytes"
	"encoding/json"
	"path"
	"slices"

	"github.com/go-faster/errors"
)

// FaultsHelp documents POST /v1/faults of the control listener.
const FaultsHelp = `Faults are set with POST /v1/faults on the control listener, with a body such as
{"target": "<id or pattern>", "clear": bool, "<fault>": value}.
The target is "table", "membership", the id of a minion or worker, or a pattern such as "textos-worker-*". Only the named faults change; "clear" first resets all others. A fault that the target does not support is refused with 400. GET /v1/faults lists the active faults.

All targets but membership:
  down           connections are closed and dials refused
  unreachable    connections, old and new, drop all traffic in both directions
  silence        connections that are open now drop all traffic; new ones work (takes effect once)
Table:
  outage         every call is answered 503
  delay_ms       added to every call
  lose_responses the next commits, as many as given, take effect but get no response
  stale_reads    reads return the state from when the fault was set
Membership:
  outage         every call for the list is answered 503
  lag_ms         how long changes take to show
Minions (numbers count the next requests that are affected):
  crash_before   the connection closes before the request runs
  crash_after    the connection closes after the request ran
  truncate       the response ends halfway
  late           the response is sent late_ms after the work ended
  cross          the response of an earlier attempt is sent instead
  duplicate      the response is sent again in place of the next response on the connection
  leaving        requests are answered 503 with Leaving: true; the list shows it after its lag
Workers:
  paused         nothing runs and no call is answered; on resumption, tasks with lapsed leases stop, and messages that
                 arrived meanwhile take effect
  freeze_leases  with paused: the lease clock stops too
  restart        all tasks and results are lost, the boot id changes (takes effect once)
  fail_all       every task that starts fails at once with exit code 1, as does every task that finishes
  compare_epochs commands of an epoch older than the highest seen are answered 409
  clock          reports carry clock_ms; starts and renewals read after their not_after_ms have no effect
  usage_ratio    actual usage of processors and memory relative to the declared size
  usage_lag_ms   age of a task at which its usage first appears in reports
  leaving        starts are answered 503 with Leaving: true; the list shows it after its lag`

// Faults holds the faults of one target. FaultsHelp describes each of them.
type Faults struct {
	Down        bool `json:"down,omitempty"`
	Unreachable bool `json:"unreachable,omitempty"`
	Silence     bool `json:"silence,omitempty"`

	Outage        bool  `json:"outage,omitempty"`
	DelayMS       int64 `json:"delay_ms,omitempty"`
	LoseResponses int   `json:"lose_responses,omitempty"`
	StaleReads    bool  `json:"stale_reads,omitempty"`
	LagMS         int64 `json:"lag_ms,omitempty"`

	Leaving     bool  `json:"leaving,omitempty"`
	CrashBefore int   `json:"crash_before,omitempty"`
	CrashAfter  int   `json:"crash_after,omitempty"`
	Truncate    int   `json:"truncate,omitempty"`
	Late        int   `json:"late,omitempty"`
	LateMS      int64 `json:"late_ms,omitempty"`
	Cross       int   `json:"cross,omitempty"`
	Duplicate   int   `json:"duplicate,omitempty"`

	Paused        bool    `json:"paused,omitempty"`
	FreezeLeases  bool    `json:"freeze_leases,omitempty"`
	Restart       bool    `json:"restart,omitempty"`
	FailAll       bool    `json:"fail_all,omitempty"`
	CompareEpochs bool    `json:"compare_epochs,omitempty"`
	Clock         bool    `json:"clock,omitempty"`
	UsageRatio    float64 `json:"usage_ratio,omitempty"`
	UsageLagMS    int64   `json:"usage_lag_ms,omitempty"`
}

// supportedFaults lists, for each kind of target, the JSON names of the faults that it supports.
var supportedFaults = map[string][]string{
	"table":      {"down", "unreachable", "silence", "outage", "delay_ms", "lose_responses", "stale_reads"},
	"membership": {"outage", "lag_ms"},
	KindMinion: {"down", "unreachable", "silence", "leaving", "crash_before", "crash_after", "truncate", "late",
		"late_ms", "cross", "duplicate"},
	KindWorker: {"down", "unreachable", "silence", "leaving", "paused", "freeze_leases", "restart", "fail_all",
		"compare_epochs", "clock", "usage_ratio", "usage_lag_ms"},
}

var (
	// ErrUnknownTarget is returned if no target matches the pattern.
	ErrUnknownTarget = errors.New("standin: no such target")
	// ErrInvalidFault is returned if the request is malformed or names a fault that the target does not support.
	ErrInvalidFault = errors.New("standin: invalid fault")
)

// faultTarget is a part of the platform into which faults can be injected.
type faultTarget struct {
	kind     string
	get      func() Faults
	set      func(Faults) error
	defaults Faults // in effect after "clear"
}

// SetFaults applies the body of a POST /v1/faults request. It returns ErrUnknownTarget or ErrInvalidFault for a bad
// request.
func (p *Platform) SetFaults(body []byte) error {
	p.faultsMu.Lock()
	defer p.faultsMu.Unlock()
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return errors.Wrap(ErrInvalidFault, err.Error())
	}
	var req struct {
		Target string `json:"target"`
		Clear  bool   `json:"clear"`
	}
	if err := json.Unmarshal(body, &req); err != nil {
		return errors.Wrap(ErrInvalidFault, err.Error())
	}
	ids, err := p.matchTargets(req.Target, fields)
	if err != nil {
		return err
	}
	for _, id := range ids {
		t := p.targets[id]
		f := t.get()
		if req.Clear {
			f = t.defaults
		}
		if err := json.NewDecoder(bytes.NewReader(body)).Decode(&f); err != nil {
			return errors.Wrap(ErrInvalidFault, err.Error())
		}
		if err := t.set(f); err != nil {
			return errors.Wrap(err, id)
		}
	}
	return nil
}

// matchTargets returns the ids of the targets that match pattern. It fails if one of them does not support a fault that
// is named in fields.
func (p *Platform) matchTargets(pattern string, fields map[string]json.RawMessage) ([]string, error) {
	var ids []string
	for id, t := range p.targets {
		ok, err := path.Match(pattern, id)
		if err != nil {
			return nil, errors.Wrap(ErrInvalidFault, err.Error())
		}
		if !ok {
			continue
		}
		for name := range fields {
			if name != "target" && name != "clear" && !slices.Contains(supportedFaults[t.kind], name) {
				return nil, errors.Wrapf(ErrInvalidFault, "%s does not know %q", id, name)
			}
		}
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return nil, errors.Wrap(ErrUnknownTarget, pattern)
	}
	return ids, nil
}

// FaultsInForce returns the active faults by target, without the targets that have none.
func (p *Platform) FaultsInForce() map[string]Faults {
	p.faultsMu.Lock()
	defer p.faultsMu.Unlock()
	out := map[string]Faults{}
	for id, t := range p.targets {
		if f := t.get(); f != (Faults{}) {
			out[id] = f
		}
	}
	return out
}
