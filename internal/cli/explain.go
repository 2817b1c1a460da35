package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
)

type explainJob struct {
	app        *app
	Positional struct {
		Job string `positional-arg-name:"JOB" required:"yes" description:"id of the job"`
	} `positional-args:"yes"`
}

// jobExplanation holds the fields of the owner's response that the table shows.
type jobExplanation struct {
	Queue  string `json:"queue"`
	State  string `json:"state"`
	Stored string `json:"stored_state"`
	// Unreadable means that the stored job can't be read.
	Unreadable bool `json:"unreadable"`
	Steps      []struct {
		Step     string `json:"step"`
		WaitsFor string `json:"waits_for"`
		Tasks    []struct {
			Index      int     `json:"index"`
			State      string  `json:"state"`
			Worker     string  `json:"worker"`
			Run        int64   `json:"run"`
			Percent    int     `json:"percent"`
			FailedRuns []int64 `json:"failed_runs"`
		} `json:"tasks"`
	} `json:"steps"`
}

// Execute implements flags.Commander.
func (c *explainJob) Execute([]string) error {
	r, err := c.app.callAdmin(http.MethodGet, "/admin/v1/jobs/"+url.PathEscape(c.Positional.Job), nil)
	if err := asError(r, err); err != nil {
		return err
	}
	if c.app.Output == "json" {
		printJSON(c.app.out, json.RawMessage(r.body))
		return nil
	}
	var job jobExplanation
	if err := json.Unmarshal(r.body, &job); err != nil {
		return newError(ExitFailed, "invalid_response", "the response can't be read: %s", err)
	}
	fmt.Fprintf(c.app.out, "job %s of queue %s is %s, stored as %s\n", c.Positional.Job, job.Queue, job.State, job.Stored)
	if job.Unreadable {
		fmt.Fprintln(c.app.out, "its row in the store can't be read: none of its tasks is started until it is cancelled")
	}
	var rows [][]string
	for _, s := range job.Steps {
		for _, t := range s.Tasks {
			waits := ""
			if t.State == "waiting" {
				waits = s.WaitsFor
			}
			rows = append(rows, []string{s.Step, strconv.Itoa(t.Index), t.State, t.Worker, strconv.FormatInt(t.Run, 10),
				strconv.Itoa(t.Percent), strconv.Itoa(len(t.FailedRuns)), waits})
		}
	}
	printRows(c.app.out, []string{"STEP", "TASK", "STATE", "WORKER", "RUN", "PERCENT", "FAILURES", "WAITS FOR"}, rows)
	return nil
}
