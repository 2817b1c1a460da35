// Command greengaged is the daemon of greengagewing. Every entry host runs it.
package main

import (
	"os"

	"github.com/greengagewing/greengagewing/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:])) }
