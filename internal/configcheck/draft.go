package configcheck

import (
	"fmt"
	"slices"

	"heatherrelay/internal/deployment"
)

// Draft is a configuration as it is written, in the order of the file and with entries that
// hide each other.
type Draft struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	// MaxBodyBytes is the largest request body; zero means no limit.
	MaxBodyBytes int
	// Targets is the number of targets of each service; nil if it is not known.
	Targets map[string]int
}

// Place is where an entry stands.
type Place struct {
	Position
	Path string
}

// Route is a route, as written.
type Route struct {
	deployment.Route
	Place
	// StatedAttempts is the number of attempts that the file states, which may be 0.
	StatedAttempts int
}

// Service is a service, as written.
type Service struct {
	deployment.Service
	Place
}

// Team is a team with its keys, as written.
type Team struct {
	deployment.Team
	Place
	Keys []deployment.KeyHash
}

// Check returns what is wrong with the configuration, in the order of the file.
func (d *Draft) Check() []Finding {
	c := &checker{draft: d}
	if d.Version == 0 {
		c.add(SeverityError, "version", Place{Path: "version"}, "states no version above 0")
	}
	if d.MaxBodyBytes < 0 {
		c.add(SeverityError, "negative_limit", Place{Path: "limits"}, fmt.Sprintf("allows bodies of %d bytes", d.MaxBodyBytes))
	}
	c.checkRoutes()
	c.checkServices()
	c.checkTeams()
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return c.findings
}

// checker collects the findings on a configuration.
type checker struct {
	draft    *Draft
	findings []Finding
}

func (c *checker) add(severity Severity, code string, at Place, message string) {
	c.findings = append(c.findings, Finding{Severity: severity, Code: code, Position: at.Position, Path: at.Path, Message: message})
}

// defines reports whether there is a service with a name.
func (d *Draft) defines(name string) bool {
	return slices.ContainsFunc(d.Services, func(s Service) bool { return s.Name == name })
}
