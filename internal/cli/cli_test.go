package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/sebdah/goldie/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/release"
)

// fakeDaemon implements both listeners of a daemon. It keeps lists and their versions like a real one; requests and jobs
// get a fixed response for each key.
type fakeDaemon struct {
	mu      sync.Mutex
	lists   map[string]*list
	changes map[string][]listChange
	edits   map[string]int64 // versions by edit id
	// fault is what goes wrong with the next write: "lose" applies it without a response, "overtake" does the same and
	// applies another edit after it, "drop" aborts the call without applying it, "refuse" answers with 503. "cut" aborts
	// every later call.
	fault    string
	recorded []string // calls of the session
}

func newFakeDaemon() *fakeDaemon {
	f := &fakeDaemon{lists: map[string]*list{}, changes: map[string][]listChange{}, edits: map[string]int64{}}
	for _, n := range []string{"plans", "allowances"} {
		f.lists[n] = &list{Name: n, Entries: map[string]json.RawMessage{}}
	}
	return f
}

func respond(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	if raw, ok := v.(string); ok {
		_, _ = w.Write([]byte(raw))
		return
	}
	_ = json.NewEncoder(w).Encode(v)
}

func (f *fakeDaemon) admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/v1/lists/{name}", func(w http.ResponseWriter, r *http.Request) {
		respond(w, 200, f.lists[r.PathValue("name")])
	})
	mux.HandleFunc("GET /admin/v1/lists/{name}/history", func(w http.ResponseWriter, r *http.Request) {
		respond(w, 200, history{f.changes[r.PathValue("name")]})
	})
	mux.HandleFunc("PUT /admin/v1/lists/{name}", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		e := fakeEdit{listEdit: listEdit{EditID: q.Get("edit_id"), Author: q.Get("author")}}
		e.Base, _ = strconv.ParseInt(q.Get("expected_version"), 10, 64)
		_ = json.NewDecoder(r.Body).Decode(&e.replace)
		f.write(w, r.PathValue("name"), e)
	})
	mux.HandleFunc("PATCH /admin/v1/lists/{name}", func(w http.ResponseWriter, r *http.Request) {
		var e fakeEdit
		_ = json.NewDecoder(r.Body).Decode(&e.listEdit)
		f.write(w, r.PathValue("name"), e)
	})
	mux.HandleFunc("POST /admin/v1/drain", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(202) })
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		respond(w, 200, `{"session":{"state":"live","seq":7},"request":{"queues":[],"note":"a\u001b[31m"}}`)
	})
	mux.HandleFunc("GET /version", func(w http.ResponseWriter, _ *http.Request) {
		respond(w, 200, `{"version":"v0.1.0","go":"go1.26"}`)
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.fault == "cut" {
			panic(http.ErrAbortHandler)
		}
		if r.Header.Get("Authorization") != "Bearer s3cret" {
			respond(w, 401, `{"code":"unauthorized","message":"wrong secret"}`)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// fakeEdit is an edit, or the replacement of the whole list.
type fakeEdit struct {
	listEdit
	replace map[string]json.RawMessage
}

func (f *fakeDaemon) write(w http.ResponseWriter, name string, e fakeEdit) {
	fault := f.fault
	f.fault = ""
	l := f.lists[name]
	if v, known := f.edits[e.EditID]; known && l.Version == v {
		respond(w, 200, map[string]int64{"version": v})
		return
	}
	_, bad := e.Set["bad"]
	switch {
	case fault == "refuse":
		respond(w, 503, `{"code":"store_unavailable","message":"the store is down"}`)
		return
	case fault == "drop":
		panic(http.ErrAbortHandler)
	case bad:
		respond(w, 400, `{"code":"invalid_list","message":"the list was not changed",
			"errors":[{"line":1,"field":"bad.burst","message":"must not be negative"}]}`)
		return
	case e.Base != l.Version:
		last := f.changes[name][0].Author
		respond(w, 409, map[string]any{"code": "conflict", "current_version": l.Version, "author": last})
		return
	}
	f.apply(name, e)
	if fault == "overtake" {
		f.apply(name, fakeEdit{listEdit: listEdit{EditID: "other", Author: "bea", Set: map[string]json.RawMessage{"bakery": []byte(`"x"`)}}})
	}
	if fault != "" {
		panic(http.ErrAbortHandler)
	}
	respond(w, 200, map[string]int64{"version": l.Version})
}

func (f *fakeDaemon) apply(name string, e fakeEdit) {
	l := f.lists[name]
	l.Version++
	f.edits[e.EditID] = l.Version
	c := listChange{Version: l.Version, Author: e.Author, EditID: e.EditID, Set: e.Set, Remove: e.Remove,
		Time: time.Date(2026, 1, 2, 3, 4, int(l.Version), 0, time.UTC)}
	if e.replace != nil {
		l.Entries, c.Set = e.replace, e.replace
	}
	for k, v := range e.Set {
		l.Entries[k] = v
	}
	for _, k := range e.Remove {
		delete(l.Entries, k)
	}
	f.changes[name] = append([]listChange{c}, f.changes[name]...)
}

func (f *fakeDaemon) callers() http.Handler {
	outcomes := map[string]struct {
		status int
		body   string
	}{
		"done":    {200, `{"outcome":"done","key":"done","result":{"pages":3}}`},
		"limited": {429, `{"outcome":"not_run","code":"allowance_rate","message":"over 50 requests a second","retry_after_ms":250}`},
		"down":    {503, `{"outcome":"not_run","code":"store_unavailable","message":"the store is down","retry_after_ms":1000}`},
		"lost":    {504, `{"outcome":"unknown","code":"outcome_unknown","message":"no response from the minion","key":"lost"}`},
		"running": {202, `{"outcome":"unknown","code":"in_progress","key":"running"}`},
		"absent":  {404, `{"outcome":"not_run","code":"not_found","message":"no such key"}`},
	}
	job := `{"id":"9f","customer":"bakery","key":"batch-4","kind":"batch","class":"bulk","state":"running","tasks":3,` +
		`"counts":{"done":1,"running":2}}`
	mux := http.NewServeMux()
	outcome := func(w http.ResponseWriter, key string) {
		if key == "aborted" {
			panic(http.ErrAbortHandler)
		}
		respond(w, outcomes[key].status, outcomes[key].body)
	}
	mux.HandleFunc("POST /v1/services/textos/requests", func(w http.ResponseWriter, r *http.Request) {
		var body bytes.Buffer
		_, _ = body.ReadFrom(r.Body)
		f.recorded = append(f.recorded, body.String())
		var req workBody
		_ = json.Unmarshal(body.Bytes(), &req)
		outcome(w, req.Key)
	})
	mux.HandleFunc("GET /v1/services/textos/requests/{customer}/{key}", func(w http.ResponseWriter, r *http.Request) {
		outcome(w, r.PathValue("key"))
	})
	mux.HandleFunc("POST /v1/pools/textos/jobs", func(w http.ResponseWriter, r *http.Request) {
		var body bytes.Buffer
		_, _ = body.ReadFrom(r.Body)
		f.recorded = append(f.recorded, body.String())
		respond(w, 202, job)
	})
	mux.HandleFunc("GET /v1/pools/textos/jobs", func(w http.ResponseWriter, _ *http.Request) {
		respond(w, 200, `{"jobs":[`+job+`]}`)
	})
	mux.HandleFunc("/v1/pools/textos/jobs/{customer}/{key}", func(w http.ResponseWriter, r *http.Request) {
		f.recorded = append(f.recorded, r.Method+" "+r.PathValue("customer")+" "+r.PathValue("key"))
		if r.PathValue("key") == "absent" {
			respond(w, 404, `{"code":"not_found","message":"no such job"}`)
			return
		}
		respond(w, 200, job)
	})
	return mux
}

// session runs commands against a fake daemon and records what an operator would see.
type session struct {
	f        *fakeDaemon
	replacer *strings.Replacer
	admin    string
	entry    string
	edits    int
	log      bytes.Buffer
}

// refusingAddr refuses connections: nothing listens on the port of tcpmux.
const refusingAddr = "127.0.0.1:1"

func newSession(t *testing.T, dir string) *session {
	f := newFakeDaemon()
	admin, entry := httptest.NewServer(f.admin()), httptest.NewServer(f.callers())
	t.Cleanup(admin.Close)
	t.Cleanup(entry.Close)
	s := &session{f: f, admin: admin.Listener.Addr().String(), entry: entry.Listener.Addr().String()}
	s.replacer = strings.NewReplacer(s.admin, "ADMIN", s.entry, "ENTRY", refusingAddr, "GONE", dir, "DIR",
		"greengagectl "+release.Version(), "greengagectl OWN-VERSION")
	t.Setenv("GREENGAGE_ADMIN", s.admin)
	t.Setenv("GREENGAGE_CALLERS", s.entry)
	t.Setenv("GREENGAGE_SECRET", "s3cret")
	t.Setenv("GREENGAGE_AUTHOR", "ana")
	t.Setenv("GONE", refusingAddr)
	t.Setenv("ADMIN", s.admin)
	return s
}

// run executes one command line and records its output. It splits the line at spaces and expands $NAME. In "a|b", a is the
// fault and b the command.
func (s *session) run(t *testing.T, line string) {
	cmd := line
	if fault, rest, found := strings.Cut(line, "|"); found {
		s.f.fault, cmd = fault, rest
	}
	var out, errOut bytes.Buffer
	a := &app{ctx: t.Context(), in: strings.NewReader(""), out: &out, newEditID: func() string {
		s.edits++
		return fmt.Sprintf("edit-%d", s.edits)
	}}
	code := a.run(strings.Fields(os.ExpandEnv(cmd)), &errOut)
	fmt.Fprintf(&s.log, "$ %s\n%s", line, s.replacer.Replace(out.String()))
	if errOut.Len() > 0 {
		fmt.Fprintf(&s.log, "stderr: %s", s.replacer.Replace(errOut.String()))
	}
	fmt.Fprintf(&s.log, "exit %d\n\n", code)
}

// TestSessions guards against changes of the output, exit codes or request bodies that operators' scripts rely on, and
// against reporting a write as refused although it took effect.
func TestSessions(t *testing.T) {
	file := func(t *testing.T, dir, name, text string) {
		path := filepath.Join(dir, name+".json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		t.Setenv(strings.ToUpper(name), path)
	}
	for name, lines := range map[string][]string{
		"lists": {
			"plans get", "plans put --expect 0 $PLANS", "plans get",
			"plans edit --expect 1 --set school=gold --remove bakery", "plans edit --expect 1 --set school=basic",
			"--output json plans edit --expect 1 --set school=basic", "plans edit --set a=b", "plans edit --expect 2",
			"plans put --expect 2 $TWICE", "plans put --expect 2 $BROKEN", "plans put --expect 2 /nonexistent",
			"allowances put --expect 0 $LIMITS", "allowances get", "allowances get --output json",
			"allowances edit --expect 1 --set bad={}",
			"refuse|plans edit --expect 2 --set bakery=gold",
			"drop|plans edit --expect 2 --set bakery=gold",
			"lose|plans edit --expect 3 --set bakery=basic",
			"overtake|plans edit --expect 4 --set bakery=silver",
			"drop|plans edit --expect 1 --set bakery=silver",
			"lose|--admin $ADMIN --admin $GONE plans edit --expect 6 --set bakery=gold",
			"plans history", "plans get --output json", "cut|plans edit --expect 7 --set bakery=gold",
		},
		"work": {
			`submit request --service textos --customer bakery --key done --class urgent --deadline 2s --payload {"page":3}`,
			`--output json submit request --service textos --customer bakery --key done`,
			`submit request --service textos --customer bakery --key limited`,
			`submit request --service textos --customer bakery --key down`,
			`submit request --service textos --customer bakery --key lost`,
			`submit request --service textos --customer bakery --key aborted`,
			`--callers $GONE submit request --service textos --customer bakery --key done`,
			`submit request --service textos --customer bakery --payload {`,
			`status request textos bakery running`, `status request textos bakery absent`,
			`status request textos bakery aborted`,
			`submit job --pool textos --customer bakery --key batch-4 --class bulk --tasks 3 --run 90s`,
			`status job textos bakery a/b`, `status jobs textos bakery`, `status job textos bakery absent`,
			`cancel textos bakery batch-4`, `cancel textos bakery`,
		},
		"processes": {
			"state", "--output json state", "--admin $ADMIN --admin $GONE state --path session",
			"drain", "--admin $ADMIN --admin $GONE drain", "version", "--secret wrong plans get", "nonsense",
		},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			s := newSession(t, dir)
			file(t, dir, "plans", `{"bakery":"gold","school":"basic"}`)
			file(t, dir, "twice", "{\"a\":\"x\",\n\"a\":\"y\"}")
			file(t, dir, "broken", "{\"a\":\"x\",\n\n}")
			file(t, dir, "limits", `{"gold":{"burst":100,"queue":200},"basic":{"burst":5}}`)
			for _, line := range lines {
				s.run(t, line)
			}
			for _, call := range s.f.recorded {
				fmt.Fprintf(&s.log, "received: %s\n", call)
			}
			goldie.New(t).Assert(t, name, s.log.Bytes())
		})
	}
}

// TestHelp guards against commands without an example in their help and options without an environment variable.
func TestHelp(t *testing.T) {
	Convey("Every command has an example and every option an environment variable", t, func() {
		p, err := (&app{}).parser()
		So(err, ShouldBeNil)
		var check func(c *flags.Command)
		check = func(c *flags.Command) {
			So(c.LongDescription, ShouldContainSubstring, "Example:\n  greengagectl ")
			for _, g := range append(c.Groups(), c.Group) {
				for _, o := range g.Options() {
					if o.LongName != "help" {
						So(o.EnvDefaultKey, ShouldEqual,
							"GREENGAGE_"+strings.ToUpper(strings.ReplaceAll(o.LongName, "-", "_")))
					}
				}
			}
			for _, sub := range c.Commands() {
				check(sub)
			}
		}
		check(p.Command)
	})
}
