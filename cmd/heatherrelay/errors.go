package main

import "github.com/zeebo/errs"

// errNoBuildInfo says that the program was linked without its build information.
var errNoBuildInfo = errs.New("no build information in this program")
