package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// writeAttempts is how often a write is sent while its responses are lost.
const writeAttempts = 3

// list is the body of GET /admin/v1/lists/{name}.
type list struct {
	Name    string                     `json:"name"`
	Version int64                      `json:"version"`
	Entries map[string]json.RawMessage `json:"entries"`
}

// listEdit is the body of PUT /admin/v1/lists/{name}.
type listEdit struct {
	ExpectedVersion int64                      `json:"expected_version"`
	EditID          string                     `json:"edit_id"`
	Author          string                     `json:"author"`
	Set             map[string]json.RawMessage `json:"set,omitempty"`
	Remove          []string                   `json:"remove,omitempty"`
	Replace         json.RawMessage            `json:"replace"` // an object of all entries, or null
}

// body encodes e with Replace as it is, since the standard encoder would join its lines, by which the daemon reports
// errors.
func (e listEdit) body() ([]byte, error) {
	replace := e.Replace
	e.Replace = nil
	raw, err := json.Marshal(e)
	if err != nil || replace == nil {
		return raw, err
	}
	raw = bytes.TrimSuffix(raw, []byte("null}"))
	return slices.Concat(raw, bytes.TrimSpace(replace), []byte("}")), nil
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
			{"put", "Replace the whole list by a JSON file of the form " + file + ", or by the output of get --output json, where lines in errors count from the entries",
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
	if err := refusal(r, err); err != nil {
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

// writeFlags are the options of commands that change a list.
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
	entries, err := entriesOf(raw, c.name)
	if err != nil {
		return fail(ExitUsage, "invalid_file", "%s: %v", c.Args.File, err)
	}
	return c.write(listEdit{ExpectedVersion: *c.Expect, Author: c.Author, Replace: entries})
}

// readInput reads a file, or in for "-".
func readInput(in io.Reader, name string) ([]byte, error) {
	if name == "-" {
		raw, err := io.ReadAll(in)
		if err != nil {
			return nil, fail(ExitUsage, "invalid_file", "standard input: %v", err)
		}
		return raw, nil
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, fail(ExitUsage, "invalid_file", "%v", err)
	}
	return raw, nil
}

// entriesOf accepts an object of entries or the output of get --output json, and returns the text of the entries. A
// name that occurs twice is an error, since the standard decoder would silently keep the last.
func entriesOf(raw []byte, name string) (json.RawMessage, error) {
	entries, err := parseObject(raw)
	if err != nil {
		return nil, err
	}
	var l list
	if json.Unmarshal(raw, &l) != nil || l.Name != name || l.Entries == nil {
		return raw, nil
	}
	_, err = parseObject(entries["entries"])
	return entries["entries"], err
}

func parseObject(raw []byte) (map[string]json.RawMessage, error) {
	lineAt := func(offset int64) int { return 1 + bytes.Count(raw[:min(int(offset), len(raw))], []byte("\n")) }
	dec := json.NewDecoder(bytes.NewReader(raw))
	failed := func(err error) error {
		offset := dec.InputOffset()
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			offset = syntax.Offset
		}
		return errors.Errorf("line %d: %v", lineAt(offset), err)
	}
	if t, err := dec.Token(); err != nil {
		return nil, failed(err)
	} else if t != json.Delim('{') {
		return nil, errors.New("line 1: not a JSON object")
	}
	entries := map[string]json.RawMessage{}
	for dec.More() {
		t, err := dec.Token()
		if err != nil {
			return nil, failed(err)
		}
		key := t.(string) // a decoder within an object returns only strings here
		if _, twice := entries[key]; twice {
			return nil, errors.Errorf("line %d: %q occurs twice", lineAt(dec.InputOffset()), key)
		}
		var v json.RawMessage
		if err := dec.Decode(&v); err != nil {
			return nil, failed(err)
		}
		entries[key] = v
	}
	if _, err := dec.Token(); err != nil {
		return nil, failed(err)
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
		return fail(ExitUsage, "usage", "give --set or --remove")
	}
	e := listEdit{
		ExpectedVersion: *c.Expect, Author: c.Author, Remove: c.Remove, Set: map[string]json.RawMessage{},
	}
	for _, s := range c.Set {
		name, value, found := strings.Cut(s, "=")
		if !found || name == "" {
			return fail(ExitUsage, "usage", "--set %s: not of the form NAME=VALUE", s)
		}
		e.Set[name] = jsonOrString(value)
	}
	return c.write(e)
}

func jsonOrString(s string) json.RawMessage {
	if json.Valid([]byte(s)) {
		return json.RawMessage(s)
	}
	raw, _ := json.Marshal(s) // a string always encodes
	return raw
}

// write sends an edit. While the response is lost it sends it again, to the next daemon and with the same edit id, by
// which the daemons recognize an edit that took effect.
func (l listRef) write(e listEdit) error {
	a := l.app
	if len(a.Admin) == 0 {
		return fail(ExitUsage, "usage", "set --admin or GREENGAGE_ADMIN")
	}
	e.EditID = a.newEditID()
	body, err := e.body()
	if err != nil {
		return errors.Wrap(err, "encode edit")
	}
	addrs, maybeWritten := a.Admin, false
	var r response
	for try := range writeAttempts {
		if try > 0 {
			addrs = append(addrs[1:len(addrs):len(addrs)], addrs[0])
			time.Sleep(a.retryDelay)
		}
		r, err = a.firstAvailable(addrs, http.MethodPut, l.path(), a.Secret, body)
		lost := errors.Is(err, errLost) || err == nil && exitOf(r.status) == ExitUnknown && r.status >= 300
		maybeWritten = maybeWritten || lost
		if !lost && (!maybeWritten || err == nil && r.status != http.StatusServiceUnavailable) {
			break
		}
	}
	return l.conclude(e, r, err, maybeWritten)
}

// conclude reports the result of a write. maybeWritten says that the response of one of its attempts was lost; only a
// success, or the history, then says whether it took effect.
func (l listRef) conclude(e listEdit, r response, err error, maybeWritten bool) error {
	failure := refusal(r, err)
	if failure != nil && maybeWritten {
		switch other, known := l.editAfter(e.ExpectedVersion); {
		case known && other == e.EditID:
			return l.accepted(e.ExpectedVersion + 1)
		case known:
			return failure // another edit took the version that this one needed
		}
		return fail(ExitUnknown, "outcome_unknown",
			"the response was lost and the change may have taken effect; look for edit %s in the history", e.EditID)
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
	return l.accepted(ok.Version)
}

func (l listRef) accepted(version int64) error {
	if l.app.Output == "json" {
		printJSON(l.app.out, map[string]int64{"version": version})
		return nil
	}
	fmt.Fprintf(l.app.out, "accepted as version %d\n", version)
	return nil
}

// historyLimit is the number of changes among which editAfter looks.
const historyLimit = 100

// editAfter returns the id of the edit that followed version, if the history shows one.
func (l listRef) editAfter(version int64) (editID string, known bool) {
	r, err := l.app.callAdmin(http.MethodGet, l.path()+"/history?limit="+strconv.Itoa(historyLimit), nil)
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
	if err := refusal(r, err); err != nil {
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

// summaryNames is how many names a line of the history shows.
const summaryNames = 4

func summary(c listChange) string {
	var names []string
	for _, n := range sortedNames(c.Set) {
		names = append(names, "+"+n)
	}
	sort.Strings(c.Remove)
	for _, n := range c.Remove {
		names = append(names, "-"+n)
	}
	if extra := len(names) - summaryNames; extra > 0 {
		names = append(names[:summaryNames], fmt.Sprintf("and %d more", extra))
	}
	return strings.Join(names, " ")
}
