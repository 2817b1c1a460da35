package plan

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/versionedlist"
)

// MaxConfirmationAge is the age of the last confirmation at which a process stops using its copies of the lists. A
// process without a newer confirmation admits nothing, so every running process applies an edit, or admits nothing,
// within 5 s.
const MaxConfirmationAge = 4 * time.Second

// parsed holds the parsed entries of one version of each list.
type parsed struct {
	plans, allowances *versionedlist.Snapshot
	planOf            map[string]string    // plan by customer
	allowanceOf       map[string]Allowance // allowance by plan
}

// Lists looks up allowances in the local copies of the lists, which two followers keep up to date. It is safe for
// concurrent use.
type Lists struct {
	plans, allowances *versionedlist.Follower

	mu     sync.Mutex // serializes the parsing of new versions
	parsed atomic.Pointer[parsed]
}

var _ AllowanceSource = (*Lists)(nil)

// NewLists returns a Lists that reads from the followers of PlansList and AllowancesList.
func NewLists(plans, allowances *versionedlist.Follower) *Lists {
	return &Lists{plans: plans, allowances: allowances}
}

// ListsState is the part of the state dump that shows the lists.
type ListsState struct {
	Plans      versionedlist.FollowerState `json:"plans"`
	Allowances versionedlist.FollowerState `json:"allowances"`
	Fresh      bool                        `json:"fresh"` // false: Allowance returns ErrStale
}

// State returns the current state of the lists for the state dump.
func (l *Lists) State() ListsState {
	return ListsState{Plans: l.plans.State(), Allowances: l.allowances.State(), Fresh: l.Fresh()}
}

// Fresh reports whether both lists are ready and were confirmed less than MaxConfirmationAge ago.
func (l *Lists) Fresh() bool {
	return l.plans.Ready() && l.allowances.Ready() && l.plans.Confirmed() < MaxConfirmationAge && l.allowances.Confirmed() < MaxConfirmationAge
}

// Allowance implements AllowanceSource. It also returns ErrStale if the customer's plan is not in the local version of
// the allowances, because this process has then not yet received a newer version that has the plan.
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

// currentLists returns the parsed entries of the current versions of both lists. It parses each version only once.
func (l *Lists) currentLists() *parsed {
	plans, allowances := l.plans.Snapshot(), l.allowances.Snapshot()
	if v := l.parsed.Load(); v != nil && v.plans == plans && v.allowances == allowances {
		return v
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// Read the versions again under the lock, so that a slow call does not replace newer entries by older ones.
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

// decodeValues parses the values of a list. It skips entries that do not parse; validation prevents such entries.
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
