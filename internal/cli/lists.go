package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// maxWriteAttempts is how often a write is tried at most while its responses are lost.
const maxWriteAttempts = 3

// list is the body of GET /admin/v1/lists/{name}.
type list struct {
	Name    string                     `json:"name"`
	Version int64                      `json:"version"`
	Entries map[string]json.RawMessage `json:"entries"`
}

// listEdit is the body of PATCH /admin/v1/lists/{name}.
type listEdit struct {
	Base   int64                      `json:"base"` // the version that the list must have
	EditID string                     `json:"edit_id"`
	Author string                     `json:"author"`
	Set    map[string]json.RawMessage `json:"set,omitempty"`
	Remove []string                   `json:"remove,omitempty"`
}

// listWrite is the HTTP request that changes a list.
type listWrite struct {
	base   int64
	editID string
	method string
	path   string
	body   []byte
}

// listChange is one element of GET /admin/v1/lists/{name}/history.
type listChange struct {
	Version int64                      `json:"version"`
	Author  string                     `json:"author"`
	EditID  string                     `json:"edit_id"`
	Time    time.Time                  `json:"time"`
	Set     map[string]json.RawMessage `json:"set"`
	Remove  []string                   `json:"remove"`
}

type history struct {
	Changes []listChange `json:"changes"`
}

func (a *app) listCommands(name, about, editExample, file string) command {
	l := listRef{app: a, name: name}
	return command{
		name: name, short: "Read or change the list of " + name + ": " + about, example: name + " get",
		sub: []command{
			{"get", "Show the list and its version", name + " get --output json", &getList{listRef: l}, nil},
			{"put", "Replace the whole list by a JSON file of the form " + file + ", or by the output of get --output json",
				name + " put --expect 7 " + name + ".json", &putList{listRef: l}, nil},
			{"edit", "Set or remove single entries", name + " edit --expect 7 " + editExample, &editList{listRef: l}, nil},
			{"history", "Show the latest changes", name + " history --limit 5", &listHistory{listRef: l}, nil},
		},
	}
}

type listRef struct {
	app  *app
	name string
}

func (l listRef) path() string { return "/admin/v1/lists/" + l.name }

type getList struct{ listRef }

// Execute implements flags.Commander.
func (c *getList) Execute([]string) error {
	r, err := c.app.callAdmin(http.MethodGet, c.path(), nil)
	if err := asError(r, err); err != nil {
		return err
	}
	var l list
	if err := decode(r, &l); err != nil {
		return err
	}
	if c.app.Output == "json" {
		return printRaw(c.app.out, r.body)
	}
	fmt.Fprintf(c.app.out, "version %d\n", l.Version)
	if c.name == "plans" {
		printRows(c.app.out, []string{"CUSTOMER", "PLAN"}, entryRows(l.Entries))
		return nil
	}
	printObjects(c.app.out, "PLAN", l.Entries)
	return nil
}

func entryRows(entries map[string]json.RawMessage) [][]string {
	var rows [][]string
	for _, k := range sortedNames(entries) {
		rows = append(rows, []string{k, scalar(entries[k])})
	}
	return rows
}

// writeFlags holds the options of the commands that change a list.
type writeFlags struct {
	Expect *int64 `long:"expect" env:"GREENGAGE_EXPECT" required:"true" value-name:"VERSION" description:"version that the list must be at; another one is a conflict"`
	Author string `long:"author" env:"GREENGAGE_AUTHOR" required:"true" description:"who makes the change"`
}

type putList struct {
	listRef
	writeFlags
	Args struct {
		File string `positional-arg-name:"FILE" description:"JSON file; - is the standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *putList) Execute([]string) error {
	raw, err := readInput(c.app.in, c.Args.File)
	if err != nil {
		return err
	}
	doc, err := listDocument(raw, c.name)
	if err != nil {
		return newError(ExitUsage, "invalid_file", "%s: %v", c.Args.File, err)
	}
	id := c.app.newEditID()
	query := url.Values{
		"expected_version": {strconv.FormatInt(*c.Expect, 10)}, "author": {c.Author}, "edit_id": {id},
	}
	return c.write(listWrite{
		base: *c.Expect, editID: id, method: http.MethodPut, path: c.path() + "?" + query.Encode(), body: doc,
	})
}

// readInput reads the named file, or reads in if the name is "-".
func readInput(in io.Reader, name string) ([]byte, error) {
	if name == "-" {
		raw, err := io.ReadAll(in)
		if err != nil {
			return nil, newError(ExitUsage, "invalid_file", "standard input: %v", err)
		}
		return raw, nil
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, newError(ExitUsage, "invalid_file", "%v", err)
	}
	return raw, nil
}

// listDocument returns the list from the content of a file. The content is an object of entries, which it returns unchanged
// so that the line numbers in the daemon's errors match the file, or the output of get --output json, whose entries it
// returns. A name that occurs twice is an error, because the standard decoder would silently keep the last one.
func listDocument(raw []byte, name string) ([]byte, error) {
	entries, err := parseObject(raw)
	if err != nil {
		return nil, err
	}
	var l list
	if json.Unmarshal(raw, &l) == nil && l.Name == name && l.Version > 0 && l.Entries != nil {
		_, err := parseObject(entries["entries"])
		return entries["entries"], err
	}
	return raw, nil
}

func parseObject(raw []byte) (map[string]json.RawMessage, error) {
	lineAt := func(offset int64) int { return 1 + bytes.Count(raw[:min(int(offset), len(raw))], []byte("\n")) }
	dec := json.NewDecoder(bytes.NewReader(raw))
	atLine := func(err error) error {
		offset := dec.InputOffset()
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			offset = syntax.Offset
		}
		return errors.Errorf("line %d: %v", lineAt(offset), err)
	}
	if t, err := dec.Token(); err != nil {
		return nil, atLine(err)
	} else if t != json.Delim('{') {
		return nil, errors.New("line 1: not a JSON object")
	}
	entries := map[string]json.RawMessage{}
	for dec.More() {
		t, err := dec.Token()
		if err != nil {
			return nil, atLine(err)
		}
		key := t.(string) // within an object, the decoder returns only strings at this position
		if _, duplicate := entries[key]; duplicate {
			return nil, errors.Errorf("line %d: %q occurs twice", lineAt(dec.InputOffset()), key)
		}
		var v json.RawMessage
		if err := dec.Decode(&v); err != nil {
			return nil, atLine(err)
		}
		entries[key] = v
	}
	if _, err := dec.Token(); err != nil {
		return nil, atLine(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.Errorf("line %d: more than one value", lineAt(dec.InputOffset()))
	}
	return entries, nil
}

type editList struct {
	listRef
	writeFlags
	Set    []string `long:"set" env:"GREENGAGE_SET" env-delim:";" value-name:"NAME=VALUE" description:"sets one entry; a value that is not JSON is taken as a string; may be repeated"`
	Remove []string `long:"remove" env:"GREENGAGE_REMOVE" env-delim:";" value-name:"NAME" description:"removes one entry; may be repeated"`
}

// Execute implements flags.Commander.
func (c *editList) Execute([]string) error {
	if len(c.Set)+len(c.Remove) == 0 {
		return newError(ExitUsage, "usage", "give --set or --remove")
	}
	e := listEdit{
		Base: *c.Expect, Author: c.Author, EditID: c.app.newEditID(), Remove: c.Remove, Set: map[string]json.RawMessage{},
	}
	for _, s := range c.Set {
		name, value, found := strings.Cut(s, "=")
		if !found || name == "" {
			return newError(ExitUsage, "usage", "--set %s: not of the form NAME=VALUE", s)
		}
		e.Set[name] = jsonOrString(value)
	}
	body, err := json.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encode edit")
	}
	return c.write(listWrite{base: e.Base, editID: e.EditID, method: http.MethodPatch, path: c.path(), body: body})
}

func jsonOrString(s string) json.RawMessage {
	if json.Valid([]byte(s)) {
		return json.RawMessage(s)
	}
	raw, _ := json.Marshal(s) // encoding a string cannot fail
	return raw
}

// write sends a change. If the response is lost, it retries at the next daemon with the same edit id, which lets the
// daemons recognize an edit that has already taken effect.
func (l listRef) write(w listWrite) error {
	a := l.app
	if len(a.Admin) == 0 {
		return newError(ExitUsage, "usage", "set --admin or GREENGAGE_ADMIN")
	}
	addrs, maybeWritten := a.Admin, false
	var r response
	var err error
	for attempt := range maxWriteAttempts {
		if attempt > 0 {
			addrs = append(addrs[1:len(addrs):len(addrs)], addrs[0])
			time.Sleep(a.retryDelay)
		}
		r, err = a.callFirstAvailable(addrs, w.method, w.path, a.Secret, w.body)
		lost := errors.Is(err, errLost) || err == nil && exitCode(r.status) == ExitUnknown && r.status >= 300
		maybeWritten = maybeWritten || lost
		if !lost && (!maybeWritten || err == nil && r.status != http.StatusServiceUnavailable) {
			break
		}
	}
	return l.reportWrite(w, r, err, maybeWritten)
}

// reportWrite reports the result of a write. maybeWritten says that the response to at least one attempt was lost. In that
// case a failure of the last attempt does not show whether the write took effect, so reportWrite looks it up in the history.
func (l listRef) reportWrite(w listWrite, r response, err error, maybeWritten bool) error {
	failure := asError(r, err)
	if failure != nil && maybeWritten {
		switch next, known := l.editAfter(w.base); {
		case known && next == w.editID:
			return l.printAccepted(w.base + 1)
		case known:
			return failure // another edit made the version that this one would have made
		}
		return newError(ExitUnknown, "outcome_unknown",
			"the response was lost and the change may have taken effect; look for edit %s in the history", w.editID)
	}
	if failure != nil {
		return failure
	}
	var ok struct {
		Version int64 `json:"version"`
	}
	if err := decode(r, &ok); err != nil {
		return err
	}
	return l.printAccepted(ok.Version)
}

func (l listRef) printAccepted(version int64) error {
	if l.app.Output == "json" {
		printJSON(l.app.out, map[string]int64{"version": version})
		return nil
	}
	fmt.Fprintf(l.app.out, "accepted as version %d\n", version)
	return nil
}

// historySearchLimit is the number of latest changes that editAfter searches.
const historySearchLimit = 100

// editAfter returns the id of the edit that made the version after the given one. known is false if the history could not
// be read or does not contain that edit.
func (l listRef) editAfter(version int64) (editID string, known bool) {
	r, err := l.app.callAdmin(http.MethodGet, l.path()+"/history?limit="+strconv.Itoa(historySearchLimit), nil)
	if err != nil || r.status != http.StatusOK {
		return "", false
	}
	var h history
	if json.Unmarshal(r.body, &h) != nil {
		return "", false
	}
	for _, c := range h.Changes {
		if c.Version == version+1 {
			return c.EditID, true
		}
	}
	return "", false
}

type listHistory struct {
	listRef
	Limit int `long:"limit" env:"GREENGAGE_LIMIT" default:"20" description:"number of changes"`
}

// Execute implements flags.Commander.
func (c *listHistory) Execute([]string) error {
	r, err := c.app.callAdmin(http.MethodGet, c.path()+"/history?limit="+strconv.Itoa(c.Limit), nil)
	if err := asError(r, err); err != nil {
		return err
	}
	var h history
	if err := decode(r, &h); err != nil {
		return err
	}
	if c.app.Output == "json" {
		return printRaw(c.app.out, r.body)
	}
	var rows [][]string
	for _, ch := range h.Changes {
		rows = append(rows, []string{
			strconv.FormatInt(ch.Version, 10), ch.Time.UTC().Format(time.RFC3339), ch.Author, summary(ch), ch.EditID,
		})
	}
	printRows(c.app.out, []string{"VERSION", "TIME", "AUTHOR", "CHANGES", "EDIT"}, rows)
	return nil
}

// maxSummaryNames is how many changed names a line of the history shows.
const maxSummaryNames = 4

func summary(c listChange) string {
	var names []string
	for _, n := range sortedNames(c.Set) {
		names = append(names, "+"+n)
	}
	sort.Strings(c.Remove)
	for _, n := range c.Remove {
		names = append(names, "-"+n)
	}
	if extra := len(names) - maxSummaryNames; extra > 0 {
		names = append(names[:maxSummaryNames], fmt.Sprintf("and %d more", extra))
	}
	return strings.Join(names, " ")
}
