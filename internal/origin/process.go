package origin

import (
	"maps"
	"strconv"
	"strings"
	"sync"
	"time"

	"heatherrelay/internal/deployment"
)

// UnknownVersion stands for a software version of which nothing is known. No target has it.
const UnknownVersion = "\x00unknown"

// processPrefix begins what stands for the software version of a process. No version of a
// target begins with it.
const processPrefix = "\x00process "

// ProcessVersion returns what stands for the software version of a process of a target
// while no entry of the target says which version that process has.
func ProcessVersion(target deployment.TargetID, generation int64) string {
	return processPrefix + strconv.FormatInt(generation, 10) + " " + string(target)
}

// ParseProcessVersion returns the process that a version stands for, and false if it is that
// of a software.
func ParseProcessVersion(version string) (target deployment.TargetID, generation int64, ok bool) {
	text, ok := strings.CutPrefix(version, processPrefix)
	if !ok {
		return "", 0, false
	}
	number, id, _ := strings.Cut(text, " ")
	generation, err := strconv.ParseInt(number, 10, 64)
	return deployment.TargetID(id), generation, err == nil
}

// IsSoftwareVersion reports whether a version is that of a software, and stands for nothing
// else.
func IsSoftwareVersion(version string) bool {
	return version != UnknownVersion && !strings.HasPrefix(version, processPrefix)
}

// process identifies a process of a target.
type process struct {
	target     deployment.TargetID
	generation int64
}

// listedProcess is a process that an entry named, with its software version.
type listedProcess struct {
	version string
	// goneAt is when no entry named it any more; zero while one does.
	goneAt time.Time
}

// Processes knows which processes of targets were met, whose entries may be older, and
// which software version each process has or had within Retention. Set Now before the first
// use. It is safe for concurrent use.
type Processes struct {
	Now func() time.Time

	mu sync.Mutex
	// met holds the generation that each target has said last.
	met    map[deployment.TargetID]int64
	listed map[process]listedProcess
}

// RecordMet records the generation that a target says it is; zero if it does not say.
func (p *Processes) RecordMet(target deployment.TargetID, generation int64) {
	if generation == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.met == nil {
		p.met = map[deployment.TargetID]int64{}
	}
	p.met[target] = generation
}

// Replaced reports whether the process that a target's entry names has been replaced: a
// later one was met.
func (p *Processes) Replaced(target deployment.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.met[target.ID] > target.Generation
}

// Version returns the software version of a process, and false if no entry that counts has
// named the process.
func (p *Processes) Version(target deployment.TargetID, generation int64) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.listed[process{target, generation}]
	return l.version, ok
}

// Observe replaces the listed targets.
func (p *Processes) Observe(targets map[deployment.TargetID]deployment.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	if p.listed == nil {
		p.listed = map[process]listedProcess{}
	}
	for key, l := range p.listed {
		if t, ok := targets[key.target]; l.goneAt.IsZero() && (!ok || t.Generation != key.generation) {
			l.goneAt = now
			p.listed[key] = l
		}
	}
	for id, t := range targets {
		p.listed[process{id, t.Generation}] = listedProcess{version: t.SoftwareVersion}
	}
	maps.DeleteFunc(p.listed, func(_ process, l listedProcess) bool { return !l.goneAt.IsZero() && now.Sub(l.goneAt) > Retention })
	maps.DeleteFunc(p.met, func(id deployment.TargetID, generation int64) bool {
		t, ok := targets[id]
		return !ok || t.Generation >= generation
	})
}
