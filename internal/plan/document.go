package plan

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/go-faster/errors"
)

// ErrInvalid means that validation rejected a list or an edit. The error is of type Problems.
var ErrInvalid = errors.New("plan: invalid list")

// Problem is one validation error in a document.
type Problem struct {
	Line    int    `json:"line"`  // from 1; 0 if no line of the document is the cause
	Field   string `json:"field"` // path of the field, such as set.gold.burst
	Message string `json:"message"`
}

// Problems are all validation errors in a document. errors.Is matches them with ErrInvalid.
type Problems []Problem

func (p Problems) Error() string {
	var b strings.Builder
	b.WriteString(ErrInvalid.Error())
	for _, x := range p {
		fmt.Fprintf(&b, "\nline %d: %s: %s", x.Line, x.Field, x.Message)
	}
	return b.String()
}

// Is makes errors.Is(err, ErrInvalid) true.
func (p Problems) Is(target error) bool { return target == ErrInvalid }

// node is a JSON value and the line of the document on which it starts.
type node struct {
	line   int
	value  any     // string, json.Number, bool or nil; nil for objects and arrays
	kind   string  // object, array, string, number, boolean, null
	fields []field // of an object
	items  []*node // of an array
}

// field is a field of a JSON object and the line of its name.
type field struct {
	name string
	line int
	node *node
}

// maxDepth limits the nesting of a document, because the scanner is recursive. A valid document has 3 levels.
const maxDepth = 16

// scanner parses a JSON document into a tree of nodes. Unlike json.Unmarshal it keeps line numbers and repeated fields.
type scanner struct {
	doc       []byte
	dec       *json.Decoder
	countedTo int64 // offset up to which the newlines are counted
	line      int   // line of that offset, from 1
}

// scan parses a document and returns its root. It stops at the first syntax error and returns that as the only problem.
func scan(doc []byte) (*node, Problems) {
	s := &scanner{doc: doc, dec: json.NewDecoder(bytes.NewReader(doc)), line: 1}
	s.dec.UseNumber()
	n, err := s.scanValue(0)
	if err == nil {
		if _, err = s.dec.Token(); err == nil {
			err = errors.New("text after the end of the document")
		} else if errors.Is(err, io.EOF) {
			return n, nil
		}
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = errors.New("document ends too early")
	}
	// The line comes from the decoder's offset, which counts from the start of the document. For some errors the offset in
	// json.SyntaxError counts from the start of the value instead.
	return nil, Problems{{Line: s.lineAt(s.dec.InputOffset()), Message: err.Error()}}
}

// lineAt returns the line of an offset. Offsets must not decrease from call to call.
func (s *scanner) lineAt(offset int64) int {
	offset = min(offset, int64(len(s.doc)))
	if offset > s.countedTo {
		s.line += bytes.Count(s.doc[s.countedTo:offset], []byte{'\n'})
		s.countedTo = offset
	}
	return s.line
}

// scanValue parses the next value and the values in it.
func (s *scanner) scanValue(depth int) (*node, error) {
	tok, err := s.dec.Token()
	if err != nil {
		return nil, err
	}
	n := &node{line: s.lineAt(s.dec.InputOffset()), value: tok}
	switch v := tok.(type) {
	case string:
		n.kind = "string"
	case json.Number:
		n.kind = "number"
	case bool:
		n.kind = "boolean"
	case nil:
		n.kind = "null"
	case json.Delim:
		if depth == maxDepth {
			return nil, errors.New("document is nested too deeply")
		}
		n.value = nil
		if v == '[' {
			n.kind = "array"
			return n, s.scanArray(n, depth)
		}
		n.kind = "object"
		return n, s.scanObject(n, depth)
	}
	return n, nil
}

// scanArray parses the items of an array up to its closing bracket.
func (s *scanner) scanArray(n *node, depth int) error {
	for s.dec.More() {
		item, err := s.scanValue(depth + 1)
		if err != nil {
			return err
		}
		n.items = append(n.items, item)
	}
	_, err := s.dec.Token()
	return err
}

// scanObject parses the fields of an object up to its closing brace.
func (s *scanner) scanObject(n *node, depth int) error {
	for s.dec.More() {
		name, err := s.dec.Token()
		if err != nil {
			return err
		}
		f := field{name: name.(string), line: s.lineAt(s.dec.InputOffset())}
		if f.node, err = s.scanValue(depth + 1); err != nil {
			return err
		}
		n.fields = append(n.fields, f)
	}
	_, err := s.dec.Token()
	return err
}

// valueReader converts nodes to Go values. It collects all problems instead of stopping at the first one; a value with
// a problem must not be used.
type valueReader struct{ problems Problems }

func (r *valueReader) addProblem(line int, path, format string, args ...any) {
	r.problems = append(r.problems, Problem{Line: line, Field: path, Message: fmt.Sprintf(format, args...)})
}

// objectFields returns the fields of an object. A value of another kind and repeated names are problems.
func (r *valueReader) objectFields(n *node, path string) []field {
	if n.kind != "object" {
		r.addProblem(n.line, path, "must be an object, is %s", n.kind)
		return nil
	}
	seen := map[string]bool{}
	for _, f := range n.fields {
		if seen[f.name] {
			r.addProblem(f.line, joinPath(path, f.name), "field is repeated")
		}
		seen[f.name] = true
	}
	return n.fields
}

// nonEmptyString returns a string. An empty one is a problem.
func (r *valueReader) nonEmptyString(n *node, path string) string {
	s, ok := n.value.(string)
	switch {
	case !ok:
		r.addProblem(n.line, path, "must be a string, is %s", n.kind)
	case s == "":
		r.addProblem(n.line, path, "must not be empty")
	}
	return s
}

// wholeNumber returns a whole number from 0 to limit.
func (r *valueReader) wholeNumber(n *node, path string, limit int64) int64 {
	num, ok := n.value.(json.Number)
	if !ok {
		r.addProblem(n.line, path, "must be a whole number, is %s", n.kind)
		return 0
	}
	v, err := num.Int64()
	f, _ := num.Float64()
	switch {
	case f < 0:
		r.addProblem(n.line, path, "must not be negative, is %s", num)
	case err != nil && strings.Trim(num.String(), "0123456789") == "", err == nil && v > limit:
		r.addProblem(n.line, path, "must be at most %d, is %s", limit, num)
	case err != nil:
		r.addProblem(n.line, path, "must be a whole number, is %s", num)
	}
	return v
}

// nonNegativeNumber returns a number, with or without a fraction, from 0 to limit.
func (r *valueReader) nonNegativeNumber(n *node, path string, limit float64) float64 {
	num, ok := n.value.(json.Number)
	if !ok {
		r.addProblem(n.line, path, "must be a number, is %s", n.kind)
		return 0
	}
	v, err := num.Float64()
	switch {
	case v < 0:
		r.addProblem(n.line, path, "must not be negative, is %s", num)
	case err != nil || v > limit:
		r.addProblem(n.line, path, "must be at most %g, is %s", limit, num)
	}
	return v
}

// joinPath returns the path of a field of the object at path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
