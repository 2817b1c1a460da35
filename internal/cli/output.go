package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"
)

func decode(r response, into any) error {
	if err := json.Unmarshal(r.body, into); err != nil {
		return newError(ExitFailed, "invalid_response", "the daemon's response is not understood: %v", err)
	}
	return nil
}

func printJSON(w io.Writer, v any) {
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

// printRaw prints JSON text with indentation, keeping the order of its fields.
func printRaw(w io.Writer, raw []byte) error {
	var b bytes.Buffer
	if err := json.Indent(&b, bytes.TrimSpace(raw), "", "  "); err != nil {
		return newError(ExitFailed, "invalid_response", "the daemon's response is not JSON: %v", err)
	}
	fmt.Fprintln(w, b.String())
	return nil
}

// show prints a JSON object as a table of its fields, or as JSON if the user asked for that.
func (a *app) show(raw []byte) error {
	if a.Output == "json" {
		return printRaw(a.out, raw)
	}
	if !json.Valid(raw) {
		return newError(ExitFailed, "invalid_response", "the daemon's response is not JSON")
	}
	printRows(a.out, nil, flatten(raw))
	return nil
}

func printRows(w io.Writer, header []string, rows [][]string) {
	var b bytes.Buffer
	tw := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	if header != nil {
		fmt.Fprintln(tw, strings.Join(header, "\t"))
	}
	for _, r := range rows {
		fmt.Fprintln(tw, strings.Join(r, "\t"))
	}
	_ = tw.Flush()
	for line := range strings.Lines(b.String()) { // an empty last column leaves trailing spaces
		fmt.Fprintln(w, strings.TrimRight(line, " \n"))
	}
}

// printObjects prints a table with one line per object and one column per field.
func printObjects(w io.Writer, name string, objects map[string]json.RawMessage) {
	columns := map[string]json.RawMessage{}
	parsed := map[string]map[string]json.RawMessage{}
	for k, raw := range objects {
		var o map[string]json.RawMessage
		if json.Unmarshal(raw, &o) != nil {
			o = map[string]json.RawMessage{"value": raw}
		}
		parsed[k] = o
		for c, v := range o {
			columns[c] = v
		}
	}
	header := []string{name}
	for _, c := range sortedNames(columns) {
		header = append(header, strings.ToUpper(c))
	}
	var rows [][]string
	for _, k := range sortedNames(objects) {
		row := []string{k}
		for _, c := range sortedNames(columns) {
			row = append(row, scalar(parsed[k][c]))
		}
		rows = append(rows, row)
	}
	printRows(w, header, rows)
}

// flatten converts JSON into rows of path and value. The fields of an object are sorted by name. An empty object or array
// gets one row.
func flatten(raw []byte) [][]string {
	var rows [][]string
	var walk func(path string, raw json.RawMessage)
	walk = func(path string, raw json.RawMessage) {
		var object map[string]json.RawMessage
		var array []json.RawMessage
		switch {
		case json.Unmarshal(raw, &object) == nil && len(object) > 0:
			for _, k := range sortedNames(object) {
				walk(strings.TrimPrefix(path+"."+k, "."), object[k])
			}
		case json.Unmarshal(raw, &array) == nil && len(array) > 0:
			for i, v := range array {
				walk(strings.TrimPrefix(path+"."+strconv.Itoa(i), "."), v)
			}
		default:
			rows = append(rows, []string{path, scalar(raw)})
		}
	}
	walk("", raw)
	return rows
}

// scalar formats a JSON value on one line, strings without quotes.
func scalar(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil && len(raw) > 0 && raw[0] == '"' {
		return printable(s)
	}
	return printable(string(raw))
}

// printable replaces control characters by spaces, because they would break table lines or control the terminal.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r >= 0x7f && r < 0xa0 {
			return ' '
		}
		return r
	}, s)
}

// describe formats the error response of a daemon as text for the operator.
func describe(p problem) string {
	text := strings.TrimRight(p.Code+": "+p.Message, ": ")
	if p.CurrentVersion > 0 {
		text += fmt.Sprintf(": the list is at version %d, last changed by %s", p.CurrentVersion, p.Author)
	}
	for _, e := range p.Errors {
		text += fmt.Sprintf("\n  line %d: %s: %s", e.Line, e.Field, e.Message)
	}
	return text
}

func formatCounts(m map[string]int) string {
	names := make([]string, 0, len(m))
	for k := range m {
		names = append(names, k)
	}
	sort.Strings(names)
	for i, k := range names {
		names[i] = k + "=" + strconv.Itoa(m[k])
	}
	return strings.Join(names, " ")
}

func sortedNames(m map[string]json.RawMessage) []string {
	names := make([]string, 0, len(m))
	for k := range m {
		names = append(names, k)
	}
	sort.Strings(names)
	return names
}
