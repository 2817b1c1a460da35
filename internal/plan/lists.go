package plan

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/versionedlist"
)

// MaxAge is the age of the last confirmation from which the lists are not used for decisions any more. An edit is in
// force on every live process within 5 s because a process without a newer confirmation admits nothing.
const MaxAge = 4 * time.Second

// parsed is what was parsed from one version of each list.
type parsed struct {
	plans, allowances *versionedlist.Snapshot
	planOf            map[string]string
	allowanceOf       map[string]Allowance
}

// Lists looks up allowances in the lists that two followers keep. It is safe for concurrent use.
type Lists struct {
	plans, allowances *versionedlist.Follower

	mu     sync.Mutex // serializes parsing
	parsed atomic.Pointer[parsed]
}

var _ Lookup = (*Lists)(nil)

// NewLists returns a lookup over the followers of PlansList and AllowancesList.
func NewLists(plans, allowances *versionedlist.Follower) *Lists {
	return &Lists{plans: plans, allowances: allowances}
}

// ListsState is the lists' part of the state dump.
type ListsState struct {
	Plans      versionedlist.FollowerState `json:"plans"`
	Allowances versionedlist.FollowerState `json:"allowances"`
	Fresh      bool                        `json:"fresh"` // false: Allowance returns ErrStale
}

// State returns the lists' part of the state dump.
func (l *Lists) State() ListsState {
	return ListsState{Plans: l.plans.State(), Allowances: l.allowances.State(), Fresh: l.Fresh()}
}

// Fresh says whether both lists are ready and were confirmed within MaxAge.
func (l *Lists) Fresh() bool {
	return l.plans.Ready() && l.allowances.Ready() && l.plans.Confirmed() < MaxAge && l.allowances.Confirmed() < MaxAge
}

// Allowance implements Lookup. It returns ErrStale also for a customer whose plan is not in the version of the
// allowances that is in force here: the newer version is on its way.
func (l *Lists) Allowance(customer string) (Allowance, error) {
	if !l.Fresh() {
		return Allowance{}, ErrStale
	}
	v := l.currentLists()
	name, ok := v.planOf[customer]
	if !ok {
		return Allowance{}, ErrUnknownCustomer
	}
	a, ok := v.allowanceOf[name]
	if !ok {
		return Allowance{}, errors.Wrapf(ErrStale, "plan %q", name)
	}
	return a, nil
}

// currentLists returns the parsed lists of the versions in force, parsed once for each version.
func (l *Lists) currentLists() *parsed {
	plans, allowances := l.plans.Snapshot(), l.allowances.Snapshot()
	if v := l.parsed.Load(); v != nil && v.plans == plans && v.allowances == allowances {
		return v
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// Read again under the lock, so that a slow call does not replace a newer view.
	plans, allowances = l.plans.Snapshot(), l.allowances.Snapshot()
	old := l.parsed.Load()
	if old != nil && old.plans == plans && old.allowances == allowances {
		return old
	}
	v := &parsed{plans: plans, allowances: allowances}
	if old != nil && old.plans == plans {
		v.planOf = old.planOf
	} else {
		v.planOf = decodeValues[string](plans)
	}
	if old != nil && old.allowances == allowances {
		v.allowanceOf = old.allowanceOf
	} else {
		v.allowanceOf = decodeValues[Allowance](allowances)
	}
	l.parsed.Store(v)
	return v
}

// decodeValues parses the values of a list. An entry that does not parse, which validation rules out, is left out.
func decodeValues[T any](s *versionedlist.Snapshot) map[string]T {
	out := make(map[string]T, s.Len())
	for k, raw := range s.All() {
		var v T
		if json.Unmarshal(raw, &v) == nil {
			out[k] = v
		}
	}
	return out
}
