package release

import (
	"cmp"
	"slices"
	"strings"
)

// defaultModelRoute applies to adapters that no route covers.
var defaultModelRoute = Route{Kind: ModelRoute, Class: Interactive, Repeatable: true}

// routeIndex finds the route of a call. It is rebuilt when a note changes a
// route.
type routeIndex struct {
	byAdapter map[string]Route
	// fallback applies to adapters that byAdapter does not hold.
	fallback Route
	// byService holds the routes of each service: longest path prefix first, then
	// those that name methods, then by name.
	byService map[string][]Route
}

// newRouteIndex returns an index of routes, which must be sorted by name.
func newRouteIndex(routes []Route) *routeIndex {
	x := &routeIndex{
		byAdapter: map[string]Route{},
		fallback:  defaultModelRoute,
		byService: map[string][]Route{},
	}
	// Among routes for the same adapters the first by name applies: in reverse
	// order it is written last and replaces the others.
	for _, r := range slices.Backward(routes) {
		r.Class = cmp.Or(r.Class, Interactive)
		switch r.Kind {
		case ModelRoute:
			x.addModelRoute(r)
		case ServiceRoute:
			x.byService[r.Service] = append(x.byService[r.Service], r)
		}
	}
	for _, routes := range x.byService {
		slices.SortFunc(routes, func(a, b Route) int {
			return cmp.Or(
				cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)),
				cmp.Compare(min(len(b.Methods), 1), min(len(a.Methods), 1)),
				strings.Compare(a.Name, b.Name))
		})
	}
	return x
}

func (x *routeIndex) addModelRoute(r Route) {
	r.Repeatable = true
	if len(r.Adapters) == 0 {
		x.fallback = r
	}
	for _, name := range r.Adapters {
		x.byAdapter[name] = r
	}
}

func (x *routeIndex) modelRoute(adapterName string) Route {
	if r, ok := x.byAdapter[adapterName]; ok {
		return r
	}
	return x.fallback
}

func (x *routeIndex) serviceRoute(service, method, path string) (Route, bool) {
	for _, r := range x.byService[service] {
		if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
			continue
		}
		if prefixMatches(r.PathPrefix, path) {
			return r, true
		}
	}
	return Route{}, false
}

// prefixMatches reports whether path lies below prefix, compared by whole
// segments.
func prefixMatches(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}
