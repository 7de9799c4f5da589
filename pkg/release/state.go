package release

import (
	"slices"
)

// State is the result of applying all notes up to a number. It is immutable;
// lookups take no lock and allocate nothing. A state that derives from another
// shares with it everything that the note did not change. Lookups return values
// whose slices must not be modified. The zero value is the empty state.
type State struct {
	// Number is the number of the last note applied; zero is the empty state.
	Number   uint64
	adapters orderedMap[Adapter]
	teams    orderedMap[Team]
	keys     orderedMap[Key]
	routes   orderedMap[Route]
	targets  orderedMap[Target]
	index    *routeIndex
}

// Apply returns the state after the next note. It fails only with ErrOrder, when
// number is not s.Number+1: withdrawing an entry that does not exist has no
// effect.
func (s *State) Apply(number uint64, note Note) (*State, error) {
	b := s.Builder()
	if err := b.Apply(number, note); err != nil {
		return nil, err
	}
	return b.State(), nil
}

// Adapter returns the adapter version with an id of the form name@version.
func (s *State) Adapter(id string) (Adapter, bool) { return s.adapters.get(id) }

// AdapterCount returns the number of adapter versions.
func (s *State) AdapterCount() int { return s.adapters.count }

// Team returns the team with that name.
func (s *State) Team(name string) (Team, bool) { return s.teams.get(name) }

// Teams returns all teams sorted by name.
func (s *State) Teams() []Team { return s.teams.all() }

// Key returns the key with that id. A key whose team does not exist grants no
// access.
func (s *State) Key(id string) (Key, bool) { return s.keys.get(id) }

// Target returns how the target with that id treats orders; a target that no note
// names does not check fencing numbers.
func (s *State) Target(id string) Target {
	target, ok := s.targets.get(id)
	if !ok {
		return Target{ID: id}
	}
	return target
}

// ModelRoute returns the route of requests for an adapter, given without its
// version. A route that lists the adapter takes precedence over one for all
// adapters; among several, the first by name applies. Without any route, requests
// are interactive and need a key.
func (s *State) ModelRoute(adapterName string) Route {
	if s.index == nil {
		return defaultModelRoute
	}
	return s.index.modelRoute(adapterName)
}

// ServiceRoute returns the route of a call to a plain service, or false if there
// is none. Among the routes for its method, the one with the longest path prefix
// applies, then one that names the method, then the first by name. A prefix
// matches whole path segments only.
func (s *State) ServiceRoute(service, method, path string) (Route, bool) {
	if s.index == nil {
		return Route{}, false
	}
	return s.index.serviceRoute(service, method, path)
}

// Routes returns all routes sorted by name.
func (s *State) Routes() []Route { return s.routes.all() }

// MayUse reports whether a team may use an adapter.
func (s *State) MayUse(team string, a Adapter) bool {
	return len(a.Teams) == 0 || slices.Contains(a.Teams, team)
}

// AdaptersAfter returns up to limit adapter versions that team may use, sorted by
// id, starting with the first one after cursor. An empty cursor starts at the
// beginning, and a page with fewer than limit entries is the last.
func (s *State) AdaptersAfter(cursor string, limit int, team string) []Adapter {
	var page []Adapter
	for _, a := range s.adapters.after(cursor) {
		if len(page) >= limit {
			break
		}
		if s.MayUse(team, a) {
			page = append(page, a)
		}
	}
	return page
}
