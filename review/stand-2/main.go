// Command stand2 plays one case of the review: it starts a stand-in of the platform and the project's processes, and checks a rule
// by what clients and minions see. Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// A caseFunc plays a case, with the disruption or without it. It returns what breaks the rule.
type caseFunc func(root string, log *record, trouble bool) (broken []string, err error)

var cases = map[string]caseFunc{
	"crash-gang":  playCrashGang,
	"reserve":     playReserve,
	"fill":        playFill,
	"quarantine":  playQuarantine,
	"big-orders":  playBigOrders,
	"silent-feed": playSilentFeed,
	"hold-back":   playHoldBack,
	"memory":      playMemory,
}

func main() {
	runtime.LockOSThread() // the kernel ends the processes that this thread has started when it ends
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE ROOT FOLDER")
		os.Exit(2)
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	out, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	log := &record{out: out, began: time.Now()}
	broken, err := cases[os.Args[1]](root, log, os.Getenv("TROUBLE") != "0")
	status := 0
	switch {
	case err != nil:
		log.printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		status = 2
	case len(broken) > 0:
		for _, b := range broken {
			log.printf("BROKEN: %s", b)
			fmt.Println("BROKEN:", b)
		}
		status = 1
	default:
		log.printf("the rule held")
		fmt.Println("the rule held")
	}
	_ = out.Close()
	os.Exit(status)
}
