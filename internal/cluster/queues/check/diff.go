package check

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
)

// Change is a difference between two versions of a configuration.
type Change struct {
	Entry  string `json:"entry"`
	Before string `json:"before,omitempty"` // empty if the entry was added
	After  string `json:"after,omitempty"`  // empty if the entry was removed
}

// Diff returns what differs between the version in force and the next one, sorted by entry. Keys are shown by their fingerprints.
func Diff(inForce, next *queues.Config) []Change {
	before, after := describe(inForce), describe(next)
	var out []Change
	for entry, text := range after {
		if before[entry] != text {
			out = append(out, Change{entry, before[entry], text})
		}
	}
	for entry, text := range before {
		if _, kept := after[entry]; !kept {
			out = append(out, Change{Entry: entry, Before: text})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Entry, b.Entry) })
	return out
}

// VersionConflict returns why the daemons would ignore the next version beside the one in force, or an empty text.
func VersionConflict(inForce, next *queues.Config) string {
	if next.Version > inForce.Version {
		return ""
	}
	return fmt.Sprintf("version %d is not above version %d, which is in force", next.Version, inForce.Version)
}

// describe returns the fields of a configuration by entry.
func describe(c *queues.Config) map[string]string {
	out := map[string]string{}
	for _, q := range c.Queues {
		describeFields(out, fmt.Sprintf("queue %q", q.Name), q)
	}
	for _, s := range c.Services {
		describeFields(out, fmt.Sprintf("service %q", s.Name), s)
	}
	for _, t := range c.Teams {
		entry := fmt.Sprintf("team %q", t.Name)
		for _, d := range t.KeyDigests {
			out[entry+" key "+d.Fingerprint()] = "held"
		}
		t.KeyDigests = nil
		describeFields(out, entry, t)
	}
	describeFields(out, "limits", c.Limits)
	return out
}

// describeFields adds the fields of a struct to out, each under the entry and its own name. Fields that are not set are left out.
func describeFields(out map[string]string, entry string, v any) {
	value := reflect.ValueOf(v)
	for i := range value.NumField() {
		field := value.Field(i)
		name := entry + " " + value.Type().Field(i).Name
		if field.IsZero() {
			continue
		}
		if field.Kind() == reflect.Pointer {
			field = field.Elem()
		}
		out[name] = fmt.Sprintf("%+v", field.Interface())
	}
}
