package plan

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/table"
	"github.com/greengagewing/greengagewing/versionedlist"
)

// ErrNoList means that there is no list with the given name.
var ErrNoList = errors.New("plan: no such list")

// Editor changes both lists. It validates an edit of one list against the current version of the other and commits the
// edit only if the other list still has that version. Concurrent edits of the two lists therefore cannot leave a
// customer with a plan that has no allowance.
type Editor struct {
	plans, allowances *versionedlist.Editor
}

// NewEditor returns an editor of the lists in the table. It replaces cfg.Validate.
func NewEditor(client table.Client, cfg versionedlist.EditorConfig) *Editor {
	e := &Editor{}
	cfg.Validate = func(ctx context.Context, next *versionedlist.Snapshot) ([]table.Condition, error) {
		other, headUnchanged, err := e.allowances.Load(ctx)
		if err != nil {
			return nil, err
		}
		return []table.Condition{headUnchanged}, checkReferences(next, other, PlansList)
	}
	e.plans = versionedlist.NewEditor(client, PlansList, cfg)
	cfg.Validate = func(ctx context.Context, next *versionedlist.Snapshot) ([]table.Condition, error) {
		other, headUnchanged, err := e.plans.Load(ctx)
		if err != nil {
			return nil, err
		}
		return []table.Condition{headUnchanged}, checkReferences(other, next, AllowancesList)
	}
	e.allowances = versionedlist.NewEditor(client, AllowancesList, cfg)
	return e
}

// list returns the editor of one list, or ErrNoList.
func (e *Editor) list(name string) (*versionedlist.Editor, error) {
	switch name {
	case PlansList:
		return e.plans, nil
	case AllowancesList:
		return e.allowances, nil
	}
	return nil, errors.Wrapf(ErrNoList, "%q", name)
}

// Apply commits an edit that is given as JSON (see ParseEdit). It returns Problems, ErrNoList or an error of
// versionedlist.Editor.Edit.
func (e *Editor) Apply(ctx context.Context, list string, doc []byte) (versionedlist.Change, error) {
	ed, err := e.list(list)
	if err != nil {
		return versionedlist.Change{}, err
	}
	edit, lines, err := parseEdit(list, doc)
	if err != nil {
		return versionedlist.Change{}, err
	}
	c, err := ed.Edit(ctx, edit)
	return c, toProblems(err, lines, func(key string) string {
		if _, inSet := edit.Set[key]; inSet {
			return "set"
		}
		return "remove"
	})
}

// Replace replaces the whole list by one that is given as JSON (see ParseDocument). It commits the difference between
// the version base of the list and the new one as an edit. It returns the same errors as Apply.
func (e *Editor) Replace(ctx context.Context, list string, base int64, author, id string,
	doc []byte) (versionedlist.Change, error) {
	ed, err := e.list(list)
	if err != nil {
		return versionedlist.Change{}, err
	}
	next, err := parseDocument(list, doc)
	if err != nil {
		return versionedlist.Change{}, err
	}
	current, _, err := ed.Load(ctx)
	if err != nil {
		return versionedlist.Change{}, err
	}
	edit := diff(current, next.values)
	edit.Base, edit.Author, edit.ID = base, author, id
	if current.Version() != base {
		// The list is no longer at version base, so the edit was computed against another version. Either this edit was
		// committed by an earlier call, or it conflicts with another edit.
		c, decided, err := ed.Outcome(ctx, edit)
		if err == nil && !decided {
			err = errors.Wrapf(versionedlist.ErrUnavailable, "store does not show version %d", base)
		}
		return c, err
	}
	c, err := ed.Edit(ctx, edit)
	return c, toProblems(err, next.lines, func(string) string { return "" })
}

// Current reads the current version of the list from the table. It returns ErrNoList, versionedlist.ErrUnavailable or
// versionedlist.ErrCorrupt.
func (e *Editor) Current(ctx context.Context, list string) (*versionedlist.Snapshot, error) {
	ed, err := e.list(list)
	if err != nil {
		return nil, err
	}
	snap, _, err := ed.Load(ctx)
	return snap, err
}

// History returns at most limit committed edits, newest first. It returns the same errors as Current.
func (e *Editor) History(ctx context.Context, list string, limit int) ([]versionedlist.Change, error) {
	ed, err := e.list(list)
	if err != nil {
		return nil, err
	}
	return ed.History(ctx, limit)
}

// diff returns the edit that changes the list in from to the entries in next.
func diff(from *versionedlist.Snapshot, next map[string]json.RawMessage) versionedlist.Edit {
	ed := versionedlist.Edit{Set: map[string]json.RawMessage{}}
	for k, v := range next {
		if old, ok := from.Get(k); !ok || !bytes.Equal(old, v) {
			ed.Set[k] = v
		}
	}
	for k := range from.All() {
		if _, ok := next[k]; !ok {
			ed.Remove = append(ed.Remove, k)
		}
	}
	slices.Sort(ed.Remove)
	return ed
}

// danglingReference is a customer whose plan has no allowance.
type danglingReference struct{ customer, plan string }

// danglingReferenceError lists the customers whose plan would have no allowance after an edit of list.
type danglingReferenceError struct {
	list    string
	missing []danglingReference
}

func (e *danglingReferenceError) Error() string {
	var b strings.Builder
	for i, m := range e.missing {
		if i > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "customer %q has plan %q, which has no allowance", m.customer, m.plan)
	}
	return b.String()
}

// checkReferences returns a danglingReferenceError if the plan of a customer has no allowance. list is the list that the
// edit changes.
func checkReferences(plans, allowances *versionedlist.Snapshot, list string) error {
	var missing []danglingReference
	for customer, raw := range plans.All() {
		var name string
		if err := json.Unmarshal(raw, &name); err != nil {
			return errors.Wrapf(versionedlist.ErrCorrupt, "plan of customer %q", customer)
		}
		if _, ok := allowances.Get(name); !ok {
			missing = append(missing, danglingReference{customer, name})
		}
	}
	if missing == nil {
		return nil
	}
	slices.SortFunc(missing, func(a, b danglingReference) int { return strings.Compare(a.customer, b.customer) })
	return &danglingReferenceError{list: list, missing: missing}
}

// toProblems converts the errors that depend on the current lists (removal of an entry that does not exist, dangling
// references) to Problems, and returns any other error unchanged. In an edit of the plans, a dangling reference is
// reported at the customer's entry, in an edit of the allowances at the removed allowance. If a whole list was given, a
// missing allowance has no line, so its Line is 0. path returns the path of the object that contains the entry.
func toProblems(err error, lines map[string]int, path func(key string) string) error {
	var problems Problems
	var absent *versionedlist.AbsentError
	if errors.As(err, &absent) {
		for _, key := range absent.Keys {
			problems = append(problems, Problem{Line: lines[key], Field: joinPath(path(key), key), Message: "no such entry"})
		}
	}
	var refs *danglingReferenceError
	if !errors.As(err, &refs) {
		refs = &danglingReferenceError{}
	}
	for _, m := range refs.missing {
		key, message := m.customer, fmt.Sprintf("plan %q has no allowance", m.plan)
		if refs.list == AllowancesList {
			key, message = m.plan, fmt.Sprintf("customer %q still uses this allowance", m.customer)
		}
		problems = append(problems, Problem{Line: lines[key], Field: joinPath(path(key), key), Message: message})
	}
	if problems == nil {
		return err
	}
	return problems
}
