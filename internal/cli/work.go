package cli

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// workFlags holds the options that requests and jobs share.
type workFlags struct {
	Customer   string        `long:"customer" env:"GREENGAGE_CUSTOMER" required:"true" description:"customer on whose behalf the call is made"`
	Key        string        `long:"key" env:"GREENGAGE_KEY" description:"idempotency key, unique per customer"`
	Class      string        `long:"class" env:"GREENGAGE_CLASS" choice:"urgent" choice:"normal" choice:"bulk" default:"normal" description:"class"`
	Idempotent bool          `long:"idempotent" env:"GREENGAGE_IDEMPOTENT" description:"the work may run more than once"`
	Deadline   time.Duration `long:"deadline" env:"GREENGAGE_DEADLINE" description:"time within which the work must end; the daemon's default if not given"`
	Payload    string        `long:"payload" env:"GREENGAGE_PAYLOAD" value-name:"JSON" description:"payload; @FILE reads a file, @- the standard input"`
}

func (f workFlags) payload(a *app) (json.RawMessage, error) {
	raw := []byte(f.Payload)
	if file, ok := strings.CutPrefix(f.Payload, "@"); ok {
		var err error
		if raw, err = readInput(a.in, file); err != nil {
			return nil, err
		}
	}
	if len(raw) == 0 {
		return nil, nil
	}
	if !json.Valid(raw) {
		return nil, newError(ExitUsage, "usage", "--payload: not JSON")
	}
	return raw, nil
}

// workBody holds the fields that requests and jobs share.
type workBody struct {
	Customer   string          `json:"customer"`
	Key        string          `json:"key,omitempty"`
	Class      string          `json:"class"`
	Idempotent bool            `json:"idempotent"`
	TimeoutMS  int64           `json:"timeout_ms,omitempty"`
	Payload    json.RawMessage `json:"payload,omitempty"`
}

func (f workFlags) body(a *app) (workBody, error) {
	payload, err := f.payload(a)
	return workBody{f.Customer, f.Key, f.Class, f.Idempotent, f.Deadline.Milliseconds(), payload}, err
}

// outcome holds the fields of a request's outcome that determine the exit code. The output shows all fields.
type outcome struct {
	Outcome string `json:"outcome"`
	Code    string `json:"code"`
	Message string `json:"message"`
}

// showOutcome prints the response to a request or a lookup and derives the exit code from it.
func (a *app) showOutcome(r response, err error) error {
	if err != nil {
		return asError(r, err)
	}
	var o outcome
	if json.Unmarshal(r.body, &o) != nil || o.Outcome == "" {
		if err := asError(r, nil); err != nil {
			return err
		}
		return newError(ExitUnknown, "invalid_response", "the daemon's response is not an outcome")
	}
	if err := a.show(r.body); err != nil {
		return err
	}
	switch {
	case o.Outcome == "done":
		return nil
	case o.Outcome == "unknown":
		return newError(ExitUnknown, o.Code, "%s", describe(problem{Code: o.Code, Message: o.Message}))
	case r.status == http.StatusServiceUnavailable:
		return newError(ExitUnavailable, o.Code, "%s", describe(problem{Code: o.Code, Message: o.Message}))
	}
	return newError(ExitFailed, o.Code, "%s", describe(problem{Code: o.Code, Message: o.Message}))
}

// showBody prints the body of a successful response.
func (a *app) showBody(r response, err error) error {
	if err := asError(r, err); err != nil {
		return err
	}
	return a.show(r.body)
}

type submitRequest struct {
	app     *app
	Service string `long:"service" env:"GREENGAGE_SERVICE" required:"true" description:"service"`
	workFlags
}

// Execute implements flags.Commander.
func (c *submitRequest) Execute([]string) error {
	body, err := c.body(c.app)
	if err != nil {
		return err
	}
	r, err := c.app.post("/v1/services/"+url.PathEscape(c.Service)+"/requests", body)
	return c.app.showOutcome(r, err)
}

type submitJob struct {
	app  *app
	Pool string `long:"pool" env:"GREENGAGE_POOL" required:"true" description:"pool"`
	workFlags
	Kind         string        `long:"kind" env:"GREENGAGE_KIND" choice:"batch" choice:"gang" choice:"service" default:"batch" description:"kind"`
	Tasks        int           `long:"tasks" env:"GREENGAGE_TASKS" default:"1" description:"number of tasks"`
	CPUMilli     int64         `long:"cpu-milli" env:"GREENGAGE_CPU_MILLI" default:"1000" description:"thousandths of a processor per task"`
	MemoryMB     int64         `long:"memory-mb" env:"GREENGAGE_MEMORY_MB" default:"512" description:"memory per task in MB"`
	Accelerators int64         `long:"accelerators" env:"GREENGAGE_ACCELERATORS" description:"accelerators per task"`
	Run          time.Duration `long:"run" env:"GREENGAGE_RUN" description:"declared run time of a task"`
}

type resources struct {
	CPUMilli     int64 `json:"cpu_milli"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators"`
}

// Execute implements flags.Commander.
func (c *submitJob) Execute([]string) error {
	common, err := c.body(c.app)
	if err != nil {
		return err
	}
	r, err := c.app.post("/v1/pools/"+url.PathEscape(c.Pool)+"/jobs", struct {
		workBody
		Kind      string    `json:"kind"`
		Tasks     int       `json:"tasks"`
		Resources resources `json:"resources"`
		RunMS     int64     `json:"run_ms"`
	}{common, c.Kind, c.Tasks, resources{c.CPUMilli, c.MemoryMB, c.Accelerators}, c.Run.Milliseconds()})
	return c.app.showBody(r, err)
}

func (a *app) post(path string, body any) (response, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return response{}, newError(ExitUsage, "usage", "%v", err)
	}
	return a.callCallers(http.MethodPost, path, raw)
}

// itemPath returns the path of one request or job under the path of the collection.
func itemPath(base, customer, key string) string {
	return base + "/" + url.PathEscape(customer) + "/" + url.PathEscape(key)
}

type statusRequest struct {
	app  *app
	Args struct {
		Service  string `positional-arg-name:"SERVICE"`
		Customer string `positional-arg-name:"CUSTOMER"`
		Key      string `positional-arg-name:"KEY"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *statusRequest) Execute([]string) error {
	path := itemPath("/v1/services/"+url.PathEscape(c.Args.Service)+"/requests", c.Args.Customer, c.Args.Key)
	r, err := c.app.callCallers(http.MethodGet, path, nil)
	return c.app.showOutcome(r, err)
}

// jobArgs holds the positional arguments that identify a job.
type jobArgs struct {
	Pool     string `positional-arg-name:"POOL"`
	Customer string `positional-arg-name:"CUSTOMER"`
	Key      string `positional-arg-name:"KEY"`
}

func (j jobArgs) path() string {
	return itemPath("/v1/pools/"+url.PathEscape(j.Pool)+"/jobs", j.Customer, j.Key)
}

type statusJob struct {
	app  *app
	Args jobArgs `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *statusJob) Execute([]string) error {
	return c.app.showBody(c.app.callCallers(http.MethodGet, c.Args.path(), nil))
}

type cancelJob struct {
	app  *app
	Args jobArgs `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *cancelJob) Execute([]string) error {
	return c.app.showBody(c.app.callCallers(http.MethodDelete, c.Args.path(), nil))
}

type statusJobs struct {
	app  *app
	Args struct {
		Pool     string `positional-arg-name:"POOL"`
		Customer string `positional-arg-name:"CUSTOMER"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *statusJobs) Execute([]string) error {
	path := "/v1/pools/" + url.PathEscape(c.Args.Pool) + "/jobs?" + url.Values{"customer": {c.Args.Customer}}.Encode()
	r, err := c.app.callCallers(http.MethodGet, path, nil)
	if err := asError(r, err); err != nil {
		return err
	}
	if c.app.Output == "json" {
		return printRaw(c.app.out, r.body)
	}
	var l struct {
		Jobs []json.RawMessage `json:"jobs"`
	}
	if err := decode(r, &l); err != nil {
		return err
	}
	var rows [][]string
	for _, raw := range l.Jobs {
		var j struct {
			Key    string         `json:"key"`
			Kind   string         `json:"kind"`
			Class  string         `json:"class"`
			State  string         `json:"state"`
			Tasks  int            `json:"tasks"`
			Counts map[string]int `json:"counts"`
		}
		if err := json.Unmarshal(raw, &j); err != nil {
			return newError(ExitFailed, "invalid_response", "the daemon's response is not understood: %v", err)
		}
		rows = append(rows, []string{j.Key, j.Kind, j.Class, j.State, formatCounts(j.Counts)})
	}
	printRows(c.app.out, []string{"KEY", "KIND", "CLASS", "STATE", "TASKS"}, rows)
	return nil
}
