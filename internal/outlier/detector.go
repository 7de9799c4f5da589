// Package outlier passes over targets that fail requests although they are
// listed, and tries them again later.
package outlier

import (
	"sync"
	"time"

	"heatherrelay/internal/deployment"
)

// The pace of ejections.
const (
	// failuresToEject in a row eject a target.
	failuresToEject = 2
	minEjection     = 800 * time.Millisecond
	maxEjection     = 6 * time.Second
	// probeInterval is how long one trial request keeps others away from a target
	// that comes back from an ejection.
	probeInterval = 500 * time.Millisecond
	// errorSampleWeight is the weight of the newest answer in the share of errors.
	errorSampleWeight = 0.12
)

// Health says how a target should be used.
type Health int

// The states of a target.
const (
	// Sound targets take all requests.
	Sound Health = iota
	// Probing targets come back from an ejection and take one request at a time.
	Probing
	// Ejected targets are passed over.
	Ejected
)

type targetRecord struct {
	failures     int
	ejectionTime time.Duration
	ejectedUntil time.Time
	probingUntil time.Time
	errorShare   float64
}

// Detector tracks failures by target. It is safe for concurrent use. The zero
// value with Now set is ready for use.
type Detector struct {
	Now func() time.Time

	mu      sync.Mutex
	records map[deployment.TargetID]*targetRecord
}

func (d *Detector) record(id deployment.TargetID) *targetRecord {
	if d.records == nil {
		d.records = map[deployment.TargetID]*targetRecord{}
	}
	r, ok := d.records[id]
	if !ok {
		r = &targetRecord{}
		d.records[id] = r
	}
	return r
}

// Succeeded notes an answer of a target; failed says that it was an error of
// the target's own.
func (d *Detector) Succeeded(id deployment.TargetID, isError bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.record(id)
	r.failures, r.ejectionTime, r.ejectedUntil = 0, 0, time.Time{}
	d.updateErrorShare(r, isError)
}

func (d *Detector) updateErrorShare(r *targetRecord, isError bool) {
	value := 0.0
	if isError {
		value = 1
	}
	r.errorShare += errorSampleWeight * (value - r.errorShare)
}

// Failed notes that a target gave no whole answer, or could not be reached. It
// reports whether the target is ejected by it.
func (d *Detector) Failed(id deployment.TargetID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.record(id)
	r.failures++
	d.updateErrorShare(r, true)
	now := d.Now()
	if r.failures < failuresToEject || now.Before(r.ejectedUntil) {
		return false
	}
	r.ejectionTime = min(max(2*r.ejectionTime, minEjection), maxEjection)
	r.ejectedUntil = now.Add(r.ejectionTime)
	r.probingUntil = time.Time{}
	return true
}

// Health returns the state of a target.
func (d *Detector) Health(id deployment.TargetID) Health {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.records[id]
	now := d.Now()
	switch {
	case !ok || r.ejectedUntil.IsZero():
		return Sound
	case now.Before(r.ejectedUntil), now.Before(r.probingUntil):
		return Ejected
	}
	return Probing
}

// Try notes that a trial request is sent to a target.
func (d *Detector) Try(id deployment.TargetID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r, ok := d.records[id]; ok && !r.ejectedUntil.IsZero() {
		r.probingUntil = d.Now().Add(probeInterval)
	}
}

// ErrorShare returns the share of a target's latest answers that were errors.
func (d *Detector) ErrorShare(id deployment.TargetID) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r, ok := d.records[id]; ok {
		return r.errorShare
	}
	return 0
}

// Keep forgets all targets but those listed.
func (d *Detector) Keep(targets map[deployment.TargetID]deployment.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.records {
		if _, ok := targets[id]; !ok {
			delete(d.records, id)
		}
	}
}
