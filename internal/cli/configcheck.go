package cli

import (
	"fmt"
	"net/http"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/queues/check"
	"github.com/greengagewing/greengagewing/platform"
)

// codeFindings is the error code of a check that found something.
const codeFindings = "findings"

type checkConfig struct {
	app        *app
	Positional struct {
		File string `positional-arg-name:"FILE" required:"yes" description:"configuration as it is written to the store, in JSON; - is the standard input"`
	} `positional-args:"yes"`
}

// configReport is the output of config check.
type configReport struct {
	Version  int64           `json:"version"`
	Findings []check.Finding `json:"findings"`
	// InForce is the version that the asked daemon decides by; 0 if no daemon was given.
	InForce int64          `json:"in_force"`
	Changes []check.Change `json:"changes"`
}

// Execute implements flags.Commander.
func (c *checkConfig) Execute([]string) error {
	raw, err := readInput(c.app.in, c.Positional.File)
	if err != nil {
		return err
	}
	next, unknown, err := platform.DecodeConfig(raw)
	if err != nil {
		return newError(ExitUsage, "invalid_file", "%v", err)
	}
	report := configReport{Version: next.Version, Findings: check.Config(next), Changes: []check.Change{}}
	if unknown != "" {
		report.Findings = append(report.Findings, check.Finding{Kind: check.Invalid, Entry: "file", Message: unknown})
	}
	if err := c.compare(next, &report); err != nil {
		return err
	}
	c.print(report)
	if len(report.Findings) > 0 {
		return newError(ExitFailed, codeFindings, "%d findings", len(report.Findings))
	}
	return nil
}

// compare adds the differences from the version that the daemon given with --admin decides by, if there is one.
func (c *checkConfig) compare(next *queues.Config, report *configReport) error {
	if len(c.app.Admin) == 0 {
		return nil
	}
	r, err := c.app.callAdmin(http.MethodGet, "/state?part=queues", nil)
	if err := asError(r, err); err != nil {
		return err
	}
	var state struct {
		Queues *queues.Config `json:"queues"`
	}
	if err := decode(r, &state); err != nil {
		return err
	}
	if state.Queues == nil {
		return newError(ExitUnavailable, "no_configuration", "the daemon has no configuration yet")
	}
	report.InForce, report.Changes = state.Queues.Version, check.Diff(state.Queues, next)
	if conflict := check.VersionConflict(state.Queues, next); conflict != "" {
		report.Findings = append(report.Findings, check.Finding{Kind: check.Invalid, Entry: "version", Message: conflict})
	}
	return nil
}

func (c *checkConfig) print(report configReport) {
	if c.app.Output == "json" {
		if report.Findings == nil {
			report.Findings = []check.Finding{}
		}
		printJSON(c.app.out, report)
		return
	}
	var rows [][]string
	for _, f := range report.Findings {
		rows = append(rows, []string{string(f.Kind), f.Entry, f.Message})
	}
	printRows(c.app.out, []string{"FINDING", "ENTRY", "MESSAGE"}, rows)
	if report.InForce == 0 {
		return
	}
	fmt.Fprintf(c.app.out, "\ndifferences from version %d, which is in force:\n", report.InForce)
	rows = nil
	for _, d := range report.Changes {
		rows = append(rows, []string{d.Entry, d.Before, d.After})
	}
	printRows(c.app.out, []string{"ENTRY", "IN FORCE", "NEXT"}, rows)
}
