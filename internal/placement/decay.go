package placement

import "math"

// halfPower returns what is left of 1 after a number of half-lives.
func halfPower(halfLives float64) float64 { return math.Exp2(-halfLives) }
