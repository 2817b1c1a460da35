// Command greengagectl is the operators' command-line tool for greengagewing.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/greengagewing/greengagewing/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := cli.Main(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
