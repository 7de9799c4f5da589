package burn

import "github.com/zeebo/errs"

// ErrScrape is the kind of failure to read an instance's metrics.
var ErrScrape = errs.Class("reading metrics")
