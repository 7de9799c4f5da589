package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"heatherrelay/internal/deployment"
)

// Compare returns what differs by meaning from the configuration in force, whatever the order
// of the entries, and a finding if the version does not rise.
func (d *Draft) Compare(inForce *Draft) ([]Change, []Finding) {
	var findings []Finding
	if d.Version <= inForce.Version {
		findings = append(findings, Finding{Severity: SeverityError, Code: "version", Path: "version", Message: fmt.Sprintf("is %d, version %d is in force", d.Version, inForce.Version)})
	}
	c := &comparison{}
	c.entries(inForce.values(), d.values())
	return c.changes, findings
}

// limit is a value of which a smaller one allows less; 0 allows all.
type limit float64

// String returns the number without an exponent.
func (l limit) String() string {
	if l == 0 {
		return "unlimited"
	}
	return strconv.FormatFloat(float64(l), 'f', -1, 64)
}

// fields are the values of an entry, by name.
type fields map[string]any

// values returns the entries that take effect, by name.
func (d *Draft) values() map[string]fields {
	entries := map[string]fields{"limits": {"largest body": limit(d.MaxBodyBytes)}}
	for _, r := range slices.Backward(d.Routes) {
		entries[fmt.Sprintf("route %s%s", strings.ToLower(r.Host), r.PathPrefix)] = routeFields(&r)
	}
	for _, s := range d.Services {
		maps.Copy(entries, serviceEntries(&s))
	}
	for _, t := range d.Teams {
		entries["team "+t.Name] = teamFields(&t)
	}
	return entries
}

func routeFields(r *Route) fields {
	f := fields{
		"name": r.Name, "kind": r.Kind, "timeout": r.Timeout, "objective": r.LatencyObjective, "longest pause": r.GapObjective,
		"priority": r.Priority, "attempts": limit(max(r.StatedAttempts, 1)), "anonymous": r.Anonymous, "resumable": r.Resumable,
	}
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	for _, b := range r.Backends {
		f["share of "+b.Service] = fmt.Sprintf("%.4g%%", 100*b.Weight/total)
	}
	return f
}

// serviceEntries returns the entries of a service and of its engines and models.
func serviceEntries(s *Service) map[string]fields {
	name := "service " + s.Name
	entries := map[string]fields{name: {"connections": limit(s.MaxConnections), "engines": s.Engine != nil}}
	if e := s.Engine; e != nil {
		maps.Copy(entries[name], fields{
			"requests at once": limit(e.Slots), "tokens in memory": limit(e.KVCacheTokens), "MB of weights": limit(e.MaxWeightsMB),
			"adapters": limit(e.AdapterSlots), "model loads a second": limit(e.ModelLoadsPerSecond),
		})
		for _, m := range e.Models {
			entries[name+" model "+m.Name] = fields{"MB": m.WeightsMB, "load time": m.LoadTime, "MB of an adapter": m.AdapterWeightMB}
		}
	}
	return entries
}

func teamFields(t *Team) fields {
	f := fields{
		"priority": "that of the route", "counts tokens": t.CountsTokens, "tokens without counts": t.DefaultTokens,
		"rate": limit(t.RatePerSecond), "burst": limit(t.Burst),
	}
	if t.Priority != nil {
		f["priority"] = *t.Priority
	}
	for _, key := range t.Keys {
		f["key "+keyName(key)] = "valid"
	}
	return f
}

// keyName names a key without showing it: by the first bytes of its hash.
func keyName(key deployment.KeyHash) string { return fmt.Sprintf("sha256:%x", key[:4]) }

// comparison collects changes.
type comparison struct{ changes []Change }

// entries compares entries by name.
func (c *comparison) entries(from, to map[string]fields) {
	for _, name := range sortedNames(from, to) {
		before, existed := from[name]
		after, exists := to[name]
		switch {
		case !existed:
			c.changes = append(c.changes, Change{Entry: name, To: "(new)"})
		case !exists:
			c.changes = append(c.changes, Change{Entry: name, From: "(all of it)"})
		default:
			c.fields(name, before, after)
		}
	}
}

// fields compares the fields of an entry.
func (c *comparison) fields(entry string, from, to fields) {
	for _, name := range sortedNames(from, to) {
		before, existed := from[name]
		after, exists := to[name]
		if existed == exists && before == after {
			continue
		}
		change := Change{Entry: entry, Field: name, Lower: lower(before, after)}
		if existed {
			change.From = fmt.Sprint(before)
		}
		if exists {
			change.To = fmt.Sprint(after)
		}
		c.changes = append(c.changes, change)
	}
}

// lower reports whether a limit allows less after a change.
func lower(before, after any) bool {
	from, ok := before.(limit)
	to, ok2 := after.(limit)
	return ok && ok2 && to > 0 && (from == 0 || to < from)
}

// sortedNames returns the names in either map, in order.
func sortedNames[V any](a, b map[string]V) []string {
	names := slices.Collect(maps.Keys(a))
	for name := range b {
		if _, ok := a[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
