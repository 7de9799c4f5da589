package key

import (
	"encoding/hex"
	"strings"

	"github.com/zeebo/errs"
)

// ErrInvalidOperatorKeys is the class of errors returned by ParseOperatorKeys.
var ErrInvalidOperatorKeys = errs.Class("invalid operators' keys")

// OperatorKey is an operator's key as stored in the settings, without its secret.
type OperatorKey struct {
	ID string `json:"id"`
	// Hash is the SHA-256 hash of the secret in lower-case hex.
	Hash string `json:"hash"`
}

// ParseOperatorKeys parses operators' keys written as ID:HASH and separated by
// spaces. Its errors are of class ErrInvalidOperatorKeys.
func ParseOperatorKeys(text string) ([]OperatorKey, error) {
	var operators []OperatorKey
	for i, field := range strings.Fields(text) {
		id, hash, _ := strings.Cut(field, ":")
		_, err := hex.DecodeString(hash)
		if id == "" || !hasOnlyKeyChars(id, "._-") || err != nil || len(hash) != hashHexDigits || hash != strings.ToLower(hash) {
			return nil, ErrInvalidOperatorKeys.New("entry %d is not ID:HASH with the SHA-256 of the secret as 64 lower-case hex digits", i+1)
		}
		operators = append(operators, OperatorKey{ID: id, Hash: hash})
	}
	return operators, nil
}

// IsOperator reports whether k is one of the operators' keys. It compares k with
// every key, so that its duration does not depend on which key matches.
func (k Key) IsOperator(operators []OperatorKey) bool {
	found := false
	for _, o := range operators {
		same := k.Matches(o.Hash)
		found = found || same && o.ID == k.ID
	}
	return found
}
