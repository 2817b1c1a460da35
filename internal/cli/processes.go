package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/release"
)

// callEach calls path on every admin listener and prints the responses. If some calls fail, it reports them after the
// others and makes the command fail.
func (a *app) callEach(path string, show func(addr string, body []byte) error) error {
	var failed []string
	exit := ExitOK
	bodies := map[string]json.RawMessage{}
	for _, addr := range a.Admin {
		r, err := a.send(addr, http.MethodGet, path, a.Secret, nil)
		failure := asError(r, err)
		if failure == nil && !json.Valid(r.body) {
			failure = newError(ExitFailed, "invalid_response", "the response is not JSON")
		}
		var e *Error
		if errors.As(failure, &e) {
			failed = append(failed, addr+": "+e.Message)
			exit = max(exit, e.Exit)
			continue
		}
		bodies[addr] = r.body
		if a.Output == "table" {
			if err := show(addr, r.body); err != nil {
				return err
			}
		}
	}
	if a.Output == "json" {
		printJSON(a.out, bodies)
	}
	if exit != ExitOK {
		return newError(exit, "incomplete", "%s", strings.Join(failed, "; "))
	}
	return nil
}

type showState struct {
	app  *app
	Path string `long:"path" env:"GREENGAGE_PATH" description:"shows only lines whose path starts with this"`
}

// Execute implements flags.Commander.
func (c *showState) Execute([]string) error {
	if len(c.app.Admin) == 0 {
		return newError(ExitUsage, "usage", "set --admin or GREENGAGE_ADMIN")
	}
	return c.app.callEach("/state", func(addr string, body []byte) error {
		var rows [][]string
		for _, row := range flatten(body) {
			if strings.HasPrefix(row[0], c.Path) {
				rows = append(rows, []string{addr, row[0], row[1]})
			}
		}
		printRows(c.app.out, []string{"PROCESS", "PATH", "VALUE"}, rows)
		return nil
	})
}

type drain struct{ app *app }

// Execute implements flags.Commander.
func (c *drain) Execute([]string) error {
	if len(c.app.Admin) != 1 {
		return newError(ExitUsage, "usage", "give exactly one --admin: the daemon to drain")
	}
	r, err := c.app.callAdmin(http.MethodPost, "/admin/v1/drain", nil)
	if err := asError(r, err); err != nil {
		return err
	}
	if c.app.Output == "json" {
		printJSON(c.app.out, map[string]string{"draining": c.app.Admin[0]})
		return nil
	}
	fmt.Fprintf(c.app.out, "%s is draining\n", c.app.Admin[0])
	return nil
}

type showVersion struct{ app *app }

// Execute implements flags.Commander.
func (c *showVersion) Execute([]string) error {
	if c.app.Output == "table" {
		fmt.Fprintf(c.app.out, "greengagectl %s\n", release.Version())
	}
	return c.app.callEach("/version", func(addr string, body []byte) error {
		var words []string
		for _, row := range flatten(body) {
			words = append(words, row[0]+"="+row[1])
		}
		fmt.Fprintf(c.app.out, "%s %s\n", addr, strings.Join(words, " "))
		return nil
	})
}
