package release

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"

	"heatherrelay/internal/strict"
)

// The bounds of a note's values.
const (
	maxRouteTimeout = time.Hour
	hashHexDigits   = 64
	maxPathBytes    = 1000
)

// Check returns all that is wrong with the note by itself, or nil. Whether it
// makes sense after the notes before it is for Conflicts to say.
func (n Note) Check() error {
	return ErrInvalid.Wrap(n.problems().Err())
}

// Empty reports whether the note changes nothing.
func (n Note) Empty() bool {
	w := n.Withdraw
	return len(n.Adapters)+len(n.Teams)+len(n.Keys)+len(n.Routes)+len(n.Targets) == 0 &&
		len(w.Adapters)+len(w.Teams)+len(w.Keys)+len(w.Routes)+len(w.Targets) == 0
}

func (n Note) problems() strict.Problems {
	problems := strict.Validate(&n)
	if n.Empty() {
		problems.Add("", "the note changes nothing")
	}
	for i, k := range n.Keys {
		if !validHash(k.Hash) {
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
	return append(problems, n.repeats()...)
}

func validHash(hash string) bool {
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
	if r.PathPrefix != "" && !cleanPath(r.PathPrefix) {
		problems.Add(path+".path_prefix", "must start with a slash, without empty segments, '.' or '..', and be at most 1000 bytes")
	}
	if len(r.Adapters) > 0 {
		problems.Add(path+".adapters", "only a model route may name adapters")
	}
}

func cleanPath(path string) bool {
	if !strings.HasPrefix(path, "/") || len(path) > maxPathBytes {
		return false
	}
	segments := strings.Split(strings.Trim(path, "/"), "/")
	return path == "/" || !slices.ContainsFunc(segments, func(s string) bool { return s == "" || s == "." || s == ".." })
}

func (r Route) modelProblems(path string, problems *strict.Problems) {
	wrong := func(set bool, field string) {
		if set {
			problems.Add(path+"."+field, "only a service route may have this")
		}
	}
	wrong(r.Service != "", "service")
	wrong(r.PathPrefix != "", "path_prefix")
	wrong(len(r.Methods) > 0, "methods")
	wrong(len(r.Teams) > 0, "teams")
	wrong(r.TokensPerCall != 0, "tokens_per_call")
}

// repeats finds entries that stand twice, and entries both set and withdrawn.
func (n Note) repeats() strict.Problems {
	var problems strict.Problems
	repeated(&problems, "adapters", n.Adapters, Adapter.ID, n.Withdraw.Adapters)
	repeated(&problems, "teams", n.Teams, func(t Team) string { return t.Name }, n.Withdraw.Teams)
	repeated(&problems, "keys", n.Keys, func(k Key) string { return k.ID }, n.Withdraw.Keys)
	repeated(&problems, "routes", n.Routes, func(r Route) string { return r.Name }, n.Withdraw.Routes)
	repeated(&problems, "targets", n.Targets, func(t Target) string { return t.ID }, n.Withdraw.Targets)
	return problems
}

func repeated[T any](problems *strict.Problems, field string, set []T, id func(T) string, withdrawn []string) {
	first := map[string]string{}
	see := func(name, path string) {
		if earlier, ok := first[name]; ok {
			problems.Add(path, fmt.Sprintf("%q stands at %s already", name, earlier))
			return
		}
		first[name] = path
	}
	for i, entry := range set {
		see(id(entry), fmt.Sprintf("%s[%d]", field, i))
	}
	for i, name := range withdrawn {
		see(name, fmt.Sprintf("withdraw.%s[%d]", field, i))
	}
}
