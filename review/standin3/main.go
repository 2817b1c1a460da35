//go:build review3

// Command standin3 plays the cases of the third review that are scripts: it starts the daemons as processes, with stand-ins of the
// platform's store, of the minions and of the clients in this process. It exits with 1 if the rule was broken, 0 if it held and 2 if
// the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// play is a case. It returns what broke the rule; nothing means that it held.
type play func(c *cluster, trouble bool) ([]string, error)

var cases = map[string]play{"lasting": lasting, "services": services, "fill": fill, "reverse": reverse, "cancel": cancelled, "late": late}

func main() { os.Exit(run1()) }

func run1() int {
	name := flag.String("case", "", "the case")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	binary := flag.String("binary", "target/greengaged", "the daemon's program")
	keep := flag.String("keep", "", "folder for settings and logs, which is kept; empty for a temporary one")
	flag.Parse()
	p := cases[*name]
	if p == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	dir := *keep
	if dir == "" {
		tmp, err := os.MkdirTemp("", "review3-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer func() { _ = os.RemoveAll(tmp) }()
		dir = tmp
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	c, err := newCluster(dir, *binary, *record, 10*time.Second)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer c.close()
	broken, err := p(c, os.Getenv("TROUBLE") != "0")
	if err != nil {
		c.note("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, b := range broken {
		c.note("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	if len(broken) > 0 {
		return 1
	}
	c.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
