package team

import "github.com/zeebo/errs"

// ErrLedger is the class of errors from encoding and decoding stored ledgers.
var ErrLedger = errs.Class("invalid allowance ledger")
