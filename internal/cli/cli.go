// Package cli implements greengagectl, the operators' command-line tool.
package cli

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes. Scripts may rely on them.
const (
	ExitOK          = 0
	ExitFailed      = 1 // the daemon refused the call, or it failed
	ExitUsage       = 2 // wrong flags, arguments or files
	ExitUnavailable = 3 // no daemon accepted the call; nothing was changed
	ExitConflict    = 4 // the list is at another version than expected
	ExitUnknown     = 5 // the call may have taken effect, or its outcome is not known yet
)

const exitCodesHelp = `Exit codes: 0 ok, 1 refused or failed, 2 usage, 3 unavailable (nothing was changed), 4 conflict, 5 outcome unknown.`

// Error is a failed command with its exit code.
type Error struct {
	Exit    int
	Code    string // error code of the daemon or of this tool; scripts may rely on it
	Message string
}

func (e *Error) Error() string { return e.Message }

func newError(exit int, code, format string, args ...any) error {
	return &Error{Exit: exit, Code: code, Message: fmt.Sprintf(format, args...)}
}

// globals holds the options that all commands accept.
type globals struct {
	Callers []string      `long:"callers" env:"GREENGAGE_CALLERS" env-delim:"," value-name:"IP:PORT" description:"callers' listener of a daemon; further ones are used when it is unavailable"`
	Admin   []string      `long:"admin" env:"GREENGAGE_ADMIN" env-delim:"," value-name:"IP:PORT" description:"admin listener of a daemon; may be repeated"`
	Secret  string        `long:"secret" env:"GREENGAGE_SECRET" value-name:"SECRET" description:"secret of the admin listener; prefer the variable, since other users can see a process's arguments"`
	Output  string        `long:"output" env:"GREENGAGE_OUTPUT" choice:"table" choice:"json" default:"table" description:"form of the output"`
	Timeout time.Duration `long:"timeout" env:"GREENGAGE_TIMEOUT" default:"15s" description:"time limit of one call to a daemon"`
}

// app holds the global options, the input and output, and the dependencies that tests replace.
type app struct {
	globals
	ctx       context.Context
	in        io.Reader
	out       io.Writer
	newEditID func() string
	// retryDelay is the delay before a write is retried after its response was lost.
	retryDelay time.Duration
}

// Main runs greengagectl with args, which do not include the program's name, and returns the exit code.
func Main(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	a := &app{ctx: ctx, in: in, out: out, newEditID: rand.Text, retryDelay: 500 * time.Millisecond}
	return a.run(args, errOut)
}

func (a *app) run(args []string, errOut io.Writer) int {
	parser, err := a.parser()
	if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	_, err = parser.ParseArgs(args)
	var cliErr *Error
	switch {
	case err == nil:
		return ExitOK
	case flags.WroteHelp(err):
		fmt.Fprintln(a.out, err)
		return ExitOK
	case errors.As(err, &cliErr):
	default:
		cliErr = &Error{Exit: ExitUsage, Code: "usage", Message: err.Error()}
	}
	if a.Output == "json" {
		printJSON(errOut, map[string]any{"code": cliErr.Code, "message": cliErr.Message, "exit": cliErr.Exit})
	} else {
		fmt.Fprintf(errOut, "greengagectl: %s\n", cliErr.Message)
	}
	return cliErr.Exit
}

// command describes one command for the parser.
type command struct {
	name    string
	short   string
	example string
	data    any
	sub     []command
}

func (a *app) parser() (*flags.Parser, error) {
	p := flags.NewNamedParser("greengagectl", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Operates greengagewing.\n\n" + exitCodesHelp +
		"\n\nExample:\n  greengagectl --admin 10.0.0.1:7801 plans get"
	if _, err := p.AddGroup("Options of all commands", "", &a.globals); err != nil {
		return nil, errors.Wrap(err, "options")
	}
	return p, addCommands(p.Command, a.commands())
}

func addCommands(parent *flags.Command, cmds []command) error {
	for _, c := range cmds {
		data := c.data
		if data == nil {
			data = &struct{}{}
		}
		added, err := parent.AddCommand(c.name, c.short, c.short+".\n\nExample:\n  greengagectl "+c.example, data)
		if err != nil {
			return errors.Wrap(err, c.name)
		}
		if err := addCommands(added, c.sub); err != nil {
			return err
		}
	}
	return nil
}

func (a *app) commands() []command {
	return []command{
		a.listCommands("plans", "which customer holds which plan", `--set bakery=gold --remove school`,
			`{"bakery":"gold","school":"basic"}`),
		a.listCommands("allowances", "what each plan may use", `--set 'gold={"requests_per_second":50,"burst":100}'`,
			`{"gold":{"requests_per_second":50,"burst":100,"concurrency":40,"queue":200}}`),
		{name: "submit", short: "Submit a request or a job", example: "submit request --help", sub: []command{
			{"request", "Send a request to a service and wait for its outcome",
				`submit request --service textos --customer bakery --key preview-17 --class urgent --payload '{"page":3}'`,
				&submitRequest{app: a}, nil},
			{"job", "Submit a job to a pool; it is accepted once the response is there",
				`submit job --pool textos --customer bakery --key batch-4 --kind batch --tasks 200 --cpu-milli 2000 --memory-mb 4096 --run 90s`,
				&submitJob{app: a}, nil},
		}},
		{name: "status", short: "Show a request, a job or a customer's jobs", example: "status job textos bakery batch-4",
			sub: []command{
				{"request", "Show the outcome of a request; exit code 5 while it is queued or running",
					"status request textos bakery preview-17", &statusRequest{app: a}, nil},
				{"job", "Show a job with its number of tasks in each state", "status job textos bakery batch-4",
					&statusJob{app: a}, nil},
				{"jobs", "List the jobs of a customer", "status jobs textos bakery", &statusJobs{app: a}, nil},
			}},
		{name: "config", short: "Examine the operator's configuration of the platform", example: "config check next.json", sub: []command{
			{"check", "Report errors, entries that can never match, limits that contradict each other and, with --admin, what differs " +
				"from the version in force; exit code 1 if there are findings", "--admin 10.0.0.1:7720 config check next.json",
				&checkConfig{app: a}, nil},
		}},
		{"cancel", "Cancel a job", "cancel textos bakery batch-4", &cancelJob{app: a}, nil},
		{"explain", "Show a job on the platform: its tasks, and why each step waits; the owner among the --admin daemons answers",
			"--admin 10.0.0.1:7720 --admin 10.0.0.2:7720 explain 5c0e7a21d94b36f8", &explainJob{app: a}, nil},
		{"state", "Dump the state of every daemon given with --admin",
			"--admin 10.0.0.1:7801 --admin 10.0.0.2:7801 state --path session", &showState{app: a}, nil},
		{"drain", "Start the graceful shutdown of the one daemon given with --admin", "--admin 10.0.0.1:7801 drain",
			&drain{app: a}, nil},
		{"version", "Show the version of this tool and of every daemon given with --admin",
			"--admin 10.0.0.1:7801 version", &showVersion{app: a}, nil},
	}
}
