package outlier_test

import (
	"testing"
	"time"

	"heatherrelay/internal/outlier"
)

// TestFailingTargetIsEjectedAndProbed checks the life cycle of a failing target:
// ejected, then probed with one request at a time, then healthy again.
func TestFailingTargetIsEjectedAndProbed(t *testing.T) {
	now := time.Unix(1000, 0)
	d := &outlier.Detector{Now: func() time.Time { return now }}
	if d.RecordFailure("t"); d.Health("t") != outlier.Healthy {
		t.Error("one failure must not eject")
	}
	if !d.RecordFailure("t") || d.Health("t") != outlier.Ejected {
		t.Error("two failures in a row must eject")
	}
	now = now.Add(time.Second)
	if d.Health("t") != outlier.Probing {
		t.Error("not probing after the ejection expired")
	}
	d.RecordProbe("t")
	if d.Health("t") != outlier.Ejected {
		t.Error("a second probe was allowed during the first")
	}
	d.RecordAnswer("t", false)
	if d.Health("t") != outlier.Healthy {
		t.Error("not healthy after a success")
	}
}

// TestErrorsAloneDoNotEject guards against ejecting all targets of a service when
// each of them answers part of its requests with an error: they do answer, and
// ejecting them would leave none.
func TestErrorsAloneDoNotEject(t *testing.T) {
	d := &outlier.Detector{Now: time.Now}
	for range 50 {
		d.RecordAnswer("t", true)
	}
	if d.Health("t") != outlier.Healthy {
		t.Error("ejected although every request was answered")
	}
	if share := d.ErrorShare("t"); share < 0.9 {
		t.Errorf("error share %.2f, want at least 0.9", share)
	}
}

// TestRefusalIsNoError guards against counting a request for a pause as an error, and
// checks that it ends an ejection, since the target does answer.
func TestRefusalIsNoError(t *testing.T) {
	d := &outlier.Detector{Now: time.Now}
	d.RecordFailure("t")
	d.RecordFailure("t")
	share := d.ErrorShare("t")
	for range 10 {
		d.RecordRefusal("t")
	}
	if d.Health("t") != outlier.Healthy || d.ErrorShare("t") != share {
		t.Errorf("health %v, error share %.2f, want %.2f", d.Health("t"), d.ErrorShare("t"), share)
	}
}
