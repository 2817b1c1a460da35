// Package daemon wires the components of the daemon together and starts and stops them in order.
package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/network"
	"github.com/greengagewing/greengagewing/internal/settings"
)

// Version is the version of the program.
const Version = "0.1.0"

// Exit codes of the daemon.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
	exitAborted = 3 // a second signal arrived while the daemon was draining
)

// Main runs the daemon until a signal or an operator's drain stops it, and returns the exit code.
func Main(args []string) int {
	s, err := settings.Parse(args)
	if err != nil {
		return reportSettingsError(err)
	}
	if s.ShowVersion {
		fmt.Println("greengaged", Version)
		return exitOK
	}
	return run(New(s, network.TCP()))
}

// New returns a daemon that uses the network n. Starting the app starts the daemon and stopping the app drains it. The
// options are applied last, so they may replace components.
func New(s *settings.Settings, n network.Network, options ...fx.Option) *fx.App {
	return fx.New(
		fx.Supply(s, n),
		fx.WithLogger(debugLevelLogger),
		fx.StopTimeout(stopTimeout(s)),
		Module,
		fx.Options(options...),
	)
}

// debugLevelLogger logs the events of the dependency injection at debug level only.
func debugLevelLogger(log *zap.Logger) fxevent.Logger {
	l := &fxevent.ZapLogger{Logger: log}
	l.UseLogLevel(zap.DebugLevel)
	return l
}

// run starts the daemon, waits for a signal or an operator's drain, and then drains the daemon. A second signal ends the
// process at once.
func run(app *fx.App) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	startCtx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	select {
	case <-signals:
	case <-app.Wait():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- app.Stop(stopCtx) }()
	select {
	case err := <-stopped:
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailure
		}
		return exitOK
	case <-signals:
		return exitAborted
	}
}

func reportSettingsError(err error) int {
	var fe *flags.Error
	if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
		fmt.Println(fe.Message)
		return exitOK
	}
	fmt.Fprintln(os.Stderr, err)
	return exitUsage
}
