package main

import "github.com/zeebo/errs"

// errNoBuildInfo is returned when the binary contains no build information.
var errNoBuildInfo = errs.New("no build information in this binary")

// The kinds of errors of the commands.
var (
	// errUsage is the kind of errors for invalid flags and arguments.
	errUsage = errs.Class("usage")
	// errNotInForce is the kind of errors for a release note that is not in force on
	// all instances.
	errNotInForce = errs.Class("not in force everywhere")
)
