// The stand-ins of the review's scripts: the platform's store, upstreams and clients, and the nodes as processes.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenarios by name; each returns what broke the rule, empty if it held.
var scenarios = map[string]func(f *fleet, trouble bool) (string, error){
	"cold-extra": coldExtra,
	"gone":       gone,
	"moved":      movedStore,
	"endless":    endless,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: fleet2 SCENARIO FOLDER")
		os.Exit(exitNotRun)
	}
	f, err := newFleet(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	time.AfterFunc(115*time.Second, func() {
		fmt.Fprintln(os.Stderr, "the scenario takes too long")
		for _, m := range f.machines {
			m.kill()
		}
		os.Exit(exitNotRun)
	})
	broken, err := scenarios[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	code := exitHeld
	switch {
	case err != nil:
		f.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		code = exitNotRun
	case broken != "":
		f.note("broken: %s", broken)
		fmt.Println("broken:", broken)
		code = exitBroken
	default:
		f.note("held")
		fmt.Println("held")
	}
	f.close()
	os.Exit(code)
}
