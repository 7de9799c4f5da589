// Command heatherrelay runs an instance and holds the operators' tools.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}
