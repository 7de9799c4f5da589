// Package adapter implements adapter placement: which target serves a request,
// which adapter is loaded next and which one is evicted for it.
package adapter

import (
	"strings"

	"github.com/zeebo/errs"
)

// ErrInvalidID is the class of the errors that ParseID returns.
var ErrInvalidID = errs.Class("invalid adapter id")

// MaxIDBytes is the maximum length of an id in its text form.
const MaxIDBytes = 200

// ID identifies one version of one adapter; its text form is "name@version".
// Targets load the adapter under the text form, so that the model name in a
// response can be compared with the one requested.
type ID struct {
	Name    string
	Version string
}

// ParseID parses "name@version". Its errors are of class ErrInvalidID.
func ParseID(s string) (ID, error) {
	name, version, ok := strings.Cut(s, "@")
	switch {
	case len(s) > MaxIDBytes:
		return ID{}, ErrInvalidID.New("longer than %d bytes", MaxIDBytes)
	case !ok || name == "" || version == "":
		return ID{}, ErrInvalidID.New("want name@version, have %q", s)
	case strings.Contains(version, "@"):
		return ID{}, ErrInvalidID.New("more than one @ in %q", s)
	}
	return ID{Name: name, Version: version}, nil
}

// String returns the text form "name@version".
func (id ID) String() string { return id.Name + "@" + id.Version }
