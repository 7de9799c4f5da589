// Package team keeps each team to its rate and burst over all instances.
package team

// Reservation is tokens that were taken for a request before it runs.
type Reservation struct {
	// Settle gives back what was not used, or takes what was used beyond the
	// reservation. The first call counts, later ones do nothing.
	Settle func(used float64)
}
