package release

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"

	"heatherrelay/internal/strict"
)

// The limits on a note's values.
const (
	maxRouteTimeout = time.Hour
	hashHexDigits   = 64
	maxPathBytes    = 1000
)

// Check returns an ErrInvalid that lists all problems of the note itself, or nil.
// It does not compare the note with earlier notes.
func (n Note) Check() error {
	return ErrInvalid.Wrap(n.problems().Err())
}

// Empty reports whether the note changes nothing.
func (n Note) Empty() bool {
	w := n.Withdraw
	return len(n.Adapters)+len(n.Teams)+len(n.Keys)+len(n.Routes)+len(n.Targets) == 0 &&
		len(w.Adapters)+len(w.Teams)+len(w.Keys)+len(w.Routes)+len(w.Targets) == 0
}

// problems returns all problems of the note itself.
func (n Note) problems() strict.Problems {
	problems := strict.Validate(&n)
	if n.Empty() {
		problems.Add("", "the note changes nothing")
	}
	for i, k := range n.Keys {
		if !validKeyHash(k.Hash) {
			problems.Add(fmt.Sprintf("keys[%d].hash", i), "want the SHA-256 of the secret as 64 lower-case hex digits")
		}
	}
	for i, r := range n.Routes {
		problems = append(problems, r.problems(fmt.Sprintf("routes[%d]", i))...)
	}
	for i, id := range n.Withdraw.Adapters {
		if name, version, ok := strings.Cut(id, "@"); !ok || name == "" || version == "" {
			problems.Add(fmt.Sprintf("withdraw.adapters[%d]", i), fmt.Sprintf("%q is not name@version", id))
		}
	}
	return append(problems, n.duplicates()...)
}

// validKeyHash reports whether hash is a SHA-256 in lower-case hex digits.
func validKeyHash(hash string) bool {
	_, err := hex.DecodeString(hash)
	return err == nil && len(hash) == hashHexDigits && hash == strings.ToLower(hash)
}

func (r Route) problems(path string) strict.Problems {
	var problems strict.Problems
	if r.Timeout.Duration < 0 || r.Timeout.Duration > maxRouteTimeout {
		problems.Add(path+".timeout", fmt.Sprintf("%v is not between 0s and %v", r.Timeout, maxRouteTimeout))
	}
	switch r.Kind {
	case ServiceRoute:
		r.serviceProblems(path, &problems)
	case ModelRoute:
		r.modelProblems(path, &problems)
	}
	return problems
}

func (r Route) serviceProblems(path string, problems *strict.Problems) {
	if r.Service == "" {
		problems.Add(path+".service", "a service route must name its service")
	}
	if r.PathPrefix != "" && !validPathPrefix(r.PathPrefix) {
		problems.Add(path+".path_prefix", "must start with a slash, without empty segments, '.' or '..', and be at most 1000 bytes")
	}
	if len(r.Adapters) > 0 {
		problems.Add(path+".adapters", "only a model route may name adapters")
	}
}

// validPathPrefix reports whether path starts with a slash, has no empty segment,
// "." or "..", and is at most maxPathBytes long.
func validPathPrefix(path string) bool {
	if !strings.HasPrefix(path, "/") || len(path) > maxPathBytes {
		return false
	}
	segments := strings.Split(strings.Trim(path, "/"), "/")
	return path == "/" || !slices.ContainsFunc(segments, func(s string) bool { return s == "" || s == "." || s == ".." })
}

func (r Route) modelProblems(path string, problems *strict.Problems) {
	serviceOnly := func(set bool, field string) {
		if set {
			problems.Add(path+"."+field, "only a service route may have this")
		}
	}
	serviceOnly(r.Service != "", "service")
	serviceOnly(r.PathPrefix != "", "path_prefix")
	serviceOnly(len(r.Methods) > 0, "methods")
	serviceOnly(len(r.Teams) > 0, "teams")
	serviceOnly(r.TokensPerCall != 0, "tokens_per_call")
}

// duplicates returns a problem for each entry that the note holds twice or both
// sets and withdraws.
func (n Note) duplicates() strict.Problems {
	var problems strict.Problems
	findDuplicates(&problems, "adapters", n.Adapters, Adapter.ID, n.Withdraw.Adapters)
	findDuplicates(&problems, "teams", n.Teams, func(t Team) string { return t.Name }, n.Withdraw.Teams)
	findDuplicates(&problems, "keys", n.Keys, func(k Key) string { return k.ID }, n.Withdraw.Keys)
	findDuplicates(&problems, "routes", n.Routes, func(r Route) string { return r.Name }, n.Withdraw.Routes)
	findDuplicates(&problems, "targets", n.Targets, func(t Target) string { return t.ID }, n.Withdraw.Targets)
	return problems
}

// findDuplicates adds the problems of one kind of entry. The note lists the entries
// in the given field, and id returns what identifies an entry.
func findDuplicates[T any](problems *strict.Problems, field string, set []T, id func(T) string, withdrawn []string) {
	firstPath := map[string]string{}
	record := func(name, path string) {
		if previous, ok := firstPath[name]; ok {
			problems.Add(path, fmt.Sprintf("%q stands at %s already", name, previous))
			return
		}
		firstPath[name] = path
	}
	for i, entry := range set {
		record(id(entry), fmt.Sprintf("%s[%d]", field, i))
	}
	for i, name := range withdrawn {
		record(name, fmt.Sprintf("withdraw.%s[%d]", field, i))
	}
}
