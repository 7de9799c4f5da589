// Package fleet contains end-to-end tests that run the programs as separate
// processes: a platform, engines, services and instances in several zones. The
// tests kill and freeze processes and cut network connections.
package fleet
