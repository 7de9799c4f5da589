// Package team enforces each team's rate and burst across all instances.
package team

// Reservation holds tokens that were reserved for a request before it runs.
type Reservation struct {
	// Settle returns unused tokens, or deducts what was used beyond the
	// reservation. Only the first call has an effect.
	Settle func(used float64)
}
