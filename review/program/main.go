// Command program runs the cases of the review. Its arguments are the number of a case
// and the case's folder.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"heatherrelay/review/harness"
)

// The exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// testCase is what the cases share.
type testCase struct {
	root    string
	trouble bool
	record  *harness.Record
	fleet   *harness.Fleet
}

// cases are the cases by their numbers. Each reports whether the rule was broken.
var cases = map[string]func(*testCase) (bool, error){
	"1": endlessReport,
	"2": spotInStream,
	"3": crashInAnswer,
	"4": versionsMixed,
	"5": resumesRefused,
	"6": repeatedRefusal,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) == 3 && os.Args[1] == "worker" {
		return runWorker(os.Args[2])
	}
	if len(os.Args) == 3 && os.Args[1] == repeatingMode {
		return runRepeatingWorker(os.Args[2])
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: program CASE FOLDER")
		return statusNotRun
	}
	broken, err := runCase(os.Args[1], os.Args[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return statusNotRun
	case broken:
		return statusBroken
	}
	return statusHeld
}

// runCase runs a case in a temporary folder.
func runCase(name, folder string) (bool, error) {
	root, err := os.Getwd()
	if err != nil {
		return false, err
	}
	record, err := harness.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return false, err
	}
	defer func() { _ = record.Close() }()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return false, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs in", dir)
	}
	c := &testCase{root: root, trouble: os.Getenv("TROUBLE") != "0", record: record, fleet: &harness.Fleet{Root: root, Dir: dir, Record: record}}
	defer c.fleet.Stop()
	record.Printf("case %s, trouble %t", name, c.trouble)
	broken, err := cases[name](c)
	if err != nil {
		record.Printf("could not run: %v", err)
		return false, err
	}
	record.Printf("result: broken %t", broken)
	return broken, nil
}
