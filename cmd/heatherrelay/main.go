// Command heatherrelay runs an instance, and provides the operators' commands for
// keys, release notes, settings and reports.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}
