// Package daemon assembles the daemon from its parts and starts and stops them in order.
package daemon

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/settings"
)

// Version is the version of the program.
const Version = "0.1.0"

// Exit codes of the daemon.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// Main runs the daemon until it is told to stop and returns its exit code.
func Main(args []string) int {
	s, err := settings.Parse(args)
	if err != nil {
		return usage(err)
	}
	if s.ShowVersion {
		fmt.Println("greengaged", Version)
		return exitOK
	}
	app := fx.New(
		fx.Supply(s),
		fx.WithLogger(func(log *zap.Logger) fxevent.Logger {
			l := &fxevent.ZapLogger{Logger: log}
			l.UseLogLevel(zap.DebugLevel)
			return l
		}),
		Module,
	)
	app.Run()
	if app.Err() != nil {
		fmt.Fprintln(os.Stderr, app.Err())
		return exitFailure
	}
	return exitOK
}

func usage(err error) int {
	var fe *flags.Error
	if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
		fmt.Println(fe.Message)
		return exitOK
	}
	fmt.Fprintln(os.Stderr, err)
	return exitUsage
}
