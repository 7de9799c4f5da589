package team

import "github.com/zeebo/errs"

// ErrLedger is the kind of all errors of stored ledgers.
var ErrLedger = errs.Class("invalid allowance ledger")
