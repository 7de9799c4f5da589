// Package outlier detects targets that fail requests although they are registered,
// ejects them for a while and probes them before they get full traffic again.
package outlier

import (
	"sync"
	"time"

	"heatherrelay/internal/deployment"
)

// Ejection and probing. Ejection times double from minEjection to maxEjection.
const (
	// failuresToEject is the number of consecutive failures that eject a target.
	failuresToEject = 2
	minEjection     = 800 * time.Millisecond
	maxEjection     = 6 * time.Second
	// probeInterval is how long a probe request keeps other requests away from a
	// target whose ejection has expired.
	probeInterval = 500 * time.Millisecond
	// errorSampleWeight is the weight of the newest answer in the moving average of
	// errors.
	errorSampleWeight = 0.12
)

// Health classifies how a target may be used. Higher values are worse.
type Health int

// The states of a target.
const (
	// Healthy targets receive all requests.
	Healthy Health = iota
	// Probing targets are past their ejection and receive one request at a time.
	Probing
	// Ejected targets receive requests only when no other target is left.
	Ejected
)

// targetRecord holds the failures of one target and its ejection.
type targetRecord struct {
	// failures counts consecutive failures.
	failures     int
	ejectionTime time.Duration
	ejectedUntil time.Time
	probingUntil time.Time
	errorShare   float64
}

// Detector tracks failures by target. Set Now before the first use. It is safe
// for concurrent use.
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

// RecordAnswer records an answer from a target, which ends its ejection.
// isError is set when the answer is an error of the target itself; it counts
// towards the error share only.
func (d *Detector) RecordAnswer(id deployment.TargetID, isError bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.record(id)
	r.clearFailures()
	d.updateErrorShare(r, isError)
}

// RecordRefusal records that a target answered by asking for a pause. That ends its
// ejection, and counts neither as an error nor as a success.
func (d *Detector) RecordRefusal(id deployment.TargetID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record(id).clearFailures()
}

// clearFailures ends the ejection of a target that answered.
func (r *targetRecord) clearFailures() {
	r.failures, r.ejectionTime, r.ejectedUntil = 0, 0, time.Time{}
}

func (d *Detector) updateErrorShare(r *targetRecord, isError bool) {
	value := 0.0
	if isError {
		value = 1
	}
	r.errorShare += errorSampleWeight * (value - r.errorShare)
}

// RecordFailure records that a target was unreachable or gave no complete answer. It
// reports whether this failure ejected the target.
func (d *Detector) RecordFailure(id deployment.TargetID) bool {
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

// Health returns the state of a target. A target without records is healthy.
func (d *Detector) Health(id deployment.TargetID) Health {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.records[id]
	now := d.Now()
	switch {
	case !ok || r.ejectedUntil.IsZero():
		return Healthy
	case now.Before(r.ejectedUntil), now.Before(r.probingUntil):
		return Ejected
	}
	return Probing
}

// RecordProbe records that a probe request is sent to a target.
func (d *Detector) RecordProbe(id deployment.TargetID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r, ok := d.records[id]; ok && !r.ejectedUntil.IsZero() {
		r.probingUntil = d.Now().Add(probeInterval)
	}
}

// ErrorShare returns the moving average of a target's errors, from 0 to 1.
func (d *Detector) ErrorShare(id deployment.TargetID) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r, ok := d.records[id]; ok {
		return r.errorShare
	}
	return 0
}

// Reset forgets the failures and the ejection of a target, which were about the path to it.
func (d *Detector) Reset(id deployment.TargetID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.records, id)
}

// Retain removes the records of all targets except the given ones.
func (d *Detector) Retain(targets map[deployment.TargetID]deployment.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.records {
		if _, ok := targets[id]; !ok {
			delete(d.records, id)
		}
	}
}
