// Command fleet3 runs the cases of review/11 to review/15 that are scripts. It exits with 1 if a rule was broken, with 0 if it held, and
// with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: fleet3 CASE RECORD")
		os.Exit(failed)
	}
	log, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	log.say("case %s, disruption: %t", os.Args[1], trouble)
	cases := map[string]func(log *record, trouble bool) (bool, error){"quota": quota, "foreign": foreign, "blobs": blobs, "weights": weights, "slow": slow}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(failed)
	}
	ok, err = play(log, trouble)
	switch {
	case err != nil:
		log.say("the case could not run: %v", err)
		os.Exit(failed)
	case !ok:
		log.say("the rule was broken")
		os.Exit(broken)
	}
	log.say("the rule held")
	os.Exit(held)
}
