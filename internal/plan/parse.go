package plan

import (
	"encoding/json"
	"math"

	"github.com/greengagewing/greengagewing/versionedlist"
)

// Names of the lists.
const (
	PlansList      = "plans"      // maps a customer to the name of its plan
	AllowancesList = "allowances" // maps the name of a plan to its Allowance
)

const (
	maxNameBytes = 256
	// maxRate is the highest rate in requests per second. It keeps the token bucket arithmetic of admission control exact,
	// because a float64 represents whole numbers exactly only up to 2^53.
	maxRate = 1e9
)

// entries holds the entries of a list or of an edit by name, as validated JSON, with their lines in the document.
type entries struct {
	values map[string]json.RawMessage
	lines  map[string]int
}

// ParseDocument parses and validates a whole list, a JSON object with all entries. It validates each entry on its own,
// not against the other list. The error is of type Problems.
func ParseDocument(list string, doc []byte) (map[string]json.RawMessage, error) {
	e, err := parseDocument(list, doc)
	return e.values, err
}

func parseDocument(list string, doc []byte) (entries, error) {
	root, problems := scan(doc)
	if problems != nil {
		return entries{}, problems
	}
	var r valueReader
	e := r.entries(list, root, "")
	if r.problems != nil {
		return entries{}, r.problems
	}
	return e, nil
}

// ParseEdit parses and validates an edit, a JSON object with the fields base, author, edit_id, set and remove. It
// validates each entry on its own, not against the current lists. The error is of type Problems.
func ParseEdit(list string, doc []byte) (versionedlist.Edit, error) {
	ed, _, err := parseEdit(list, doc)
	return ed, err
}

// parseEdit is ParseEdit; it also returns the lines of the entries that are set or removed.
func parseEdit(list string, doc []byte) (versionedlist.Edit, map[string]int, error) {
	root, problems := scan(doc)
	if problems != nil {
		return versionedlist.Edit{}, nil, problems
	}
	var r valueReader
	var ed versionedlist.Edit
	e := entries{lines: map[string]int{}}
	present := map[string]bool{}
	var removals *node
	for _, f := range r.objectFields(root, "") {
		present[f.name] = true
		switch f.name {
		case "base":
			ed.Base = r.wholeNumber(f.node, f.name, math.MaxInt64)
		case "author":
			ed.Author = r.nonEmptyString(f.node, f.name)
		case "edit_id":
			ed.ID = r.nonEmptyString(f.node, f.name)
		case "set":
			e = r.entries(list, f.node, f.name)
			ed.Set = e.values
		case "remove":
			removals = f.node
		default:
			r.addProblem(f.line, f.name, "unknown field")
		}
	}
	for _, name := range []string{"base", "author", "edit_id"} {
		if root.kind == "object" && !present[name] {
			r.addProblem(root.line, name, "field is missing")
		}
	}
	if removals != nil {
		ed.Remove = r.removals(removals, e)
	}
	if len(r.problems) == 0 && len(ed.Set)+len(ed.Remove) == 0 {
		r.addProblem(root.line, "set", "edit changes nothing")
	}
	if r.problems != nil {
		return versionedlist.Edit{}, nil, r.problems
	}
	return ed, e.lines, nil
}

// removals returns the names of the entries to remove and adds their lines to e. An entry that is also set is a
// problem.
func (r *valueReader) removals(n *node, e entries) []string {
	if n.kind != "array" {
		r.addProblem(n.line, "remove", "must be an array, is %s", n.kind)
		return nil
	}
	var out []string
	for _, item := range n.items {
		name := r.nonEmptyString(item, "remove")
		if name == "" {
			continue
		}
		if _, alsoSet := e.values[name]; alsoSet {
			r.addProblem(item.line, joinPath("remove", name), "entry is both set and removed")
		}
		if e.lines != nil {
			e.lines[name] = item.line
		}
		out = append(out, name)
	}
	return out
}

// entries returns the entries in an object. path is empty for a whole list.
func (r *valueReader) entries(list string, n *node, path string) entries {
	e := entries{values: map[string]json.RawMessage{}, lines: map[string]int{}}
	if list != PlansList && list != AllowancesList {
		r.addProblem(n.line, path, "there is no list %q", list)
		return e
	}
	for _, f := range r.objectFields(n, path) {
		entryPath := joinPath(path, f.name)
		if f.name == "" || len(f.name) > maxNameBytes {
			r.addProblem(f.line, entryPath, "name must have 1 to %d bytes", maxNameBytes)
		}
		var v any
		if list == PlansList {
			v = r.nonEmptyString(f.node, entryPath)
		} else {
			v = r.allowance(f.node, entryPath)
		}
		raw, err := json.Marshal(v)
		if err != nil {
			r.addProblem(f.line, entryPath, "%v", err)
			continue
		}
		e.values[f.name], e.lines[f.name] = raw, f.line
	}
	return e
}

// allowance returns the Allowance in an object.
func (r *valueReader) allowance(n *node, path string) Allowance {
	var a Allowance
	for _, f := range r.objectFields(n, path) {
		fieldPath := joinPath(path, f.name)
		switch f.name {
		case "requests_per_second":
			a.RequestsPerSecond = r.nonNegativeNumber(f.node, fieldPath, maxRate)
		case "burst":
			a.Burst = int(r.wholeNumber(f.node, fieldPath, math.MaxInt32))
		case "concurrency":
			a.Concurrency = int(r.wholeNumber(f.node, fieldPath, math.MaxInt32))
		case "queue":
			a.Queue = int(r.wholeNumber(f.node, fieldPath, math.MaxInt32))
		case "cpu_milli":
			a.CPUMilli = r.wholeNumber(f.node, fieldPath, math.MaxInt64)
		case "memory_mb":
			a.MemoryMB = r.wholeNumber(f.node, fieldPath, math.MaxInt64)
		case "accelerators":
			a.Accelerators = r.wholeNumber(f.node, fieldPath, math.MaxInt64)
		case "tasks":
			a.Tasks = int(r.wholeNumber(f.node, fieldPath, math.MaxInt32))
		default:
			r.addProblem(f.line, fieldPath, "unknown field")
		}
	}
	return a
}
