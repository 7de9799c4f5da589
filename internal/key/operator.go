package key

import (
	"encoding/hex"
	"strings"

	"github.com/zeebo/errs"
)

// ErrOperators is the kind of errors of ParseOperators.
var ErrOperators = errs.Class("invalid operators' keys")

// Operator is an operator's key as the settings hold it, without the secret.
type Operator struct {
	ID string `json:"id"`
	// Hash is the SHA-256 of the secret in lower-case hex.
	Hash string `json:"hash"`
}

// ParseOperators reads keys written as ID:HASH, separated by spaces.
func ParseOperators(text string) ([]Operator, error) {
	var operators []Operator
	for i, field := range strings.Fields(text) {
		id, hash, _ := strings.Cut(field, ":")
		_, err := hex.DecodeString(hash)
		if id == "" || !plain(id, "._-") || err != nil || len(hash) != hashHexDigits || hash != strings.ToLower(hash) {
			return nil, ErrOperators.New("entry %d is not ID:HASH with the SHA-256 of the secret as 64 lower-case hex digits", i+1)
		}
		operators = append(operators, Operator{ID: id, Hash: hash})
	}
	return operators, nil
}

// IsOperator reports whether k is one of the operators' keys. All are compared,
// so that the time taken does not tell which one came close.
func (k Key) IsOperator(operators []Operator) bool {
	found := false
	for _, o := range operators {
		same := k.Matches(o.Hash)
		found = found || same && o.ID == k.ID
	}
	return found
}
