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

// ErrNoList says that there is no list with the given name.
var ErrNoList = errors.New("plan: no such list")

// Editor changes both lists. An edit of one list commits only while the other list is at the version that it was
// validated against, so that two edits cannot leave a customer with a plan that has no allowance.
type Editor struct {
	plans, allowances *versionedlist.Editor
}

// NewEditor returns an editor of the lists in the table. Validate in cfg is ignored.
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

func (e *Editor) list(name string) (*versionedlist.Editor, error) {
	switch name {
	case PlansList:
		return e.plans, nil
	case AllowancesList:
		return e.allowances, nil
	}
	return nil, errors.Wrapf(ErrNoList, "%q", name)
}

// Apply commits an edit given as JSON (see ParseEdit). Errors: Problems, ErrNoList and those of
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

// Replace commits the edit that turns the list at the base version into the whole list given as JSON (see
// ParseDocument). Errors: those of Apply.
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
		// The difference is to another version. Either this edit was committed before, or it conflicts.
		c, decided, err := ed.Outcome(ctx, edit)
		if err == nil && !decided {
			err = errors.Wrapf(versionedlist.ErrUnavailable, "store does not show version %d", base)
		}
		return c, err
	}
	c, err := ed.Edit(ctx, edit)
	return c, toProblems(err, next.lines, func(string) string { return "" })
}

// Current returns the list in the table. Errors: ErrNoList, versionedlist.ErrUnavailable, versionedlist.ErrCorrupt.
func (e *Editor) Current(ctx context.Context, list string) (*versionedlist.Snapshot, error) {
	ed, err := e.list(list)
	if err != nil {
		return nil, err
	}
	snap, _, err := ed.Load(ctx)
	return snap, err
}

// History returns the last accepted edits, newest first. Errors: those of Current.
func (e *Editor) History(ctx context.Context, list string, limit int) ([]versionedlist.Change, error) {
	ed, err := e.list(list)
	if err != nil {
		return nil, err
	}
	return ed.History(ctx, limit)
}

// diff returns the edit that leads from a list to the entries of next.
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

// danglingReferenceError lists the customers whose plans have no allowance. list is the list that the edit changes.
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

// checkReferences returns a referenceError if a customer's plan has no allowance.
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

// toProblems turns the faults that only show against the lists into Problems. In an edit of the allowances the fault is the removal of the plan's
// allowance; a whole list has no line for what it lacks.
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
