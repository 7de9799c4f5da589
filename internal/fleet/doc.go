// Package fleet holds the tests that run the programs as separate processes: a
// platform, engines, services and instances in several zones, with processes
// killed and frozen and connections cut.
package fleet
