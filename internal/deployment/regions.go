package deployment

import "slices"

// Regions are the regions in which a request may run and be held; nil are all regions.
type Regions []string

// Allows reports whether a region is among them. One that is not known is not, unless all are.
func (r Regions) Allows(region string) bool {
	return r == nil || region != "" && slices.Contains(r, region)
}

// And returns the regions that both allow.
func (r Regions) And(other Regions) Regions {
	switch {
	case r == nil:
		return other
	case other == nil:
		return r
	}
	both := Regions{}
	for _, region := range r {
		if other.Allows(region) {
			both = append(both, region)
		}
	}
	return both
}
