// Command greengaged is the daemon of greengagewing. It runs on every host that accepts callers. With the argument
// "platform" it reads its settings from the users' platform.
package main

import (
	"os"

	"github.com/greengagewing/greengagewing/internal/daemon"
	"github.com/greengagewing/greengagewing/platform"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "platform" {
		os.Exit(platform.Main(os.Args[2:]))
	}
	os.Exit(daemon.Main(os.Args[1:]))
}
