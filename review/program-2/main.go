// Command program-2 starts instances as processes before stand-ins of the platform, and checks
// one rule. Its argument names the case. It exits with 0 if the rule held, with 1 if it was
// broken and with 2 if the case could not run. Its second argument is the file in which it
// records what was sent, answered and run. With TROUBLE=0 in its environment the case runs
// without its disruption.
package main

import (
	"fmt"
	"os"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by their names.
var cases = map[string]func(*record, bool) (bool, error){
	"brittle":  brittle,
	"crash":    crash,
	"handover": handover,
	"resume":   resume,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: program-2 CASE RECORD")
		return exitFailed
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	held, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case !held:
		fmt.Println("the rule was broken, see record.txt")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
