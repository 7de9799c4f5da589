package burn

import "github.com/zeebo/errs"

// ErrScrape is the class of errors from reading an instance's metrics.
var ErrScrape = errs.Class("reading metrics")
