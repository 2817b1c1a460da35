//go:build review

// Command standin plays one case of the review: it starts the daemons as separate processes beside a store, workers and clients of
// its own, brings about the disruption unless TROUBLE=0, and checks a rule. It exits with 1 if the rule was broken, with 0 if it
// held and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

var cases = map[string]func(e env) int{}

// maxTime is how long a case may take, and current is the deployment that it has started.
const maxTime = 112 * time.Second

var current atomic.Pointer[cluster]

// env is what a case gets.
type env struct {
	dir, binary string
	record      *record
	trouble     bool
}

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: standin CASE PROGRAM RECORD")
		os.Exit(couldNot)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, binary, recordPath string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Println("no such case:", name)
		return couldNot
	}
	if _, err := os.Stat(binary); err != nil {
		fmt.Println("the daemon is not built:", err)
		return couldNot
	}
	binary, err := filepath.Abs(binary)
	if err != nil {
		fmt.Println(err)
		return couldNot
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return couldNot
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs are kept in", dir)
	}
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Println(err)
		return couldNot
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, trouble %v", name, trouble)
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() { result <- run(env{dir: dir, binary: binary, record: r, trouble: trouble}) }()
	code := couldNot
	select {
	case code = <-result:
	case s := <-ended:
		fmt.Println("ended by", s)
	case <-time.After(maxTime):
		fmt.Println("the case takes too long")
	}
	if c := current.Load(); c != nil {
		c.close()
	}
	return code
}
