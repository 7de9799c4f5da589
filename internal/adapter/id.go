// Package adapter decides where adapters live: which target serves a request,
// which adapter is loaded next and which one makes room.
package adapter

import (
	"strings"

	"github.com/zeebo/errs"
)

// ErrInvalidID is the kind of all errors of ParseID.
var ErrInvalidID = errs.Class("invalid adapter id")

// MaxIDBytes bounds an id in its text form.
const MaxIDBytes = 200

// ID names one version of one adapter, "name@version" in text. It is the name
// under which a target loads it, so that a reply can be checked against it.
type ID struct {
	Name    string
	Version string
}

// ParseID reads "name@version".
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

// String returns "name@version".
func (id ID) String() string { return id.Name + "@" + id.Version }
