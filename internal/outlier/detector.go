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
	firstEjection   = 800 * time.Millisecond
	lastEjection    = 6 * time.Second
	// trialTime is how long one trial request keeps others away from a target
	// that comes back from an ejection.
	trialTime = 500 * time.Millisecond
	// errorWeight is the weight of the newest answer in the share of errors.
	errorWeight = 0.12
)

// Health says how a target should be used.
type Health int

// The states of a target.
const (
	// Sound targets take all requests.
	Sound Health = iota
	// OnTrial targets come back from an ejection and take one request at a time.
	OnTrial
	// Ejected targets are passed over.
	Ejected
)

type record struct {
	failures int
	ejection time.Duration
	until    time.Time
	trial    time.Time
	errors   float64
}

// Detector tracks failures by target. It is safe for concurrent use. The zero
// value with Now set is ready for use.
type Detector struct {
	Now func() time.Time

	mu      sync.Mutex
	records map[deployment.TargetID]*record
}

func (d *Detector) record(id deployment.TargetID) *record {
	if d.records == nil {
		d.records = map[deployment.TargetID]*record{}
	}
	r, ok := d.records[id]
	if !ok {
		r = &record{}
		d.records[id] = r
	}
	return r
}

// Succeeded notes an answer of a target; failed says that it was an error of
// the target's own.
func (d *Detector) Succeeded(id deployment.TargetID, failed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.record(id)
	r.failures, r.ejection, r.until = 0, 0, time.Time{}
	d.noteError(r, failed)
}

func (d *Detector) noteError(r *record, failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	r.errors += errorWeight * (value - r.errors)
}

// Failed notes that a target gave no whole answer, or could not be reached. It
// reports whether the target is ejected by it.
func (d *Detector) Failed(id deployment.TargetID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.record(id)
	r.failures++
	d.noteError(r, true)
	now := d.Now()
	if r.failures < failuresToEject || now.Before(r.until) {
		return false
	}
	r.ejection = min(max(2*r.ejection, firstEjection), lastEjection)
	r.until = now.Add(r.ejection)
	r.trial = time.Time{}
	return true
}

// Health returns the state of a target.
func (d *Detector) Health(id deployment.TargetID) Health {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.records[id]
	now := d.Now()
	switch {
	case !ok || r.until.IsZero():
		return Sound
	case now.Before(r.until), now.Before(r.trial):
		return Ejected
	}
	return OnTrial
}

// Try notes that a trial request is sent to a target.
func (d *Detector) Try(id deployment.TargetID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r, ok := d.records[id]; ok && !r.until.IsZero() {
		r.trial = d.Now().Add(trialTime)
	}
}

// ErrorShare returns the share of a target's latest answers that were errors.
func (d *Detector) ErrorShare(id deployment.TargetID) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r, ok := d.records[id]; ok {
		return r.errors
	}
	return 0
}

// Keep forgets all targets but those listed.
func (d *Detector) Keep(listed map[deployment.TargetID]deployment.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.records {
		if _, ok := listed[id]; !ok {
			delete(d.records, id)
		}
	}
}
