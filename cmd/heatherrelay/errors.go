package main

import "github.com/zeebo/errs"

// errNoBuildInfo says that the program was linked without its build information.
var errNoBuildInfo = errs.New("no build information in this program")

// The kinds of errors of the commands.
var (
	// errUsage says that a flag or an argument is wrong.
	errUsage = errs.Class("usage")
	// errNotInForce says that a release note is not in force everywhere.
	errNotInForce = errs.Class("not in force everywhere")
)
