package outlier_test

import (
	"testing"
	"time"

	"heatherrelay/internal/outlier"
)

// TestFailingTargetIsEjectedAndProbed checks the way of a target that fails, is
// passed over, and comes back with one request at a time.
func TestFailingTargetIsEjectedAndProbed(t *testing.T) {
	now := time.Unix(1000, 0)
	d := &outlier.Detector{Now: func() time.Time { return now }}
	if d.Failed("t"); d.Health("t") != outlier.Sound {
		t.Error("one failure must not eject")
	}
	if !d.Failed("t") || d.Health("t") != outlier.Ejected {
		t.Error("two failures in a row must eject")
	}
	now = now.Add(time.Second)
	if d.Health("t") != outlier.Probing {
		t.Error("not tried after its ejection")
	}
	d.Try("t")
	if d.Health("t") != outlier.Ejected {
		t.Error("a second trial beside the first")
	}
	d.Succeeded("t", false)
	if d.Health("t") != outlier.Sound {
		t.Error("not sound after a success")
	}
}

// TestErrorsAloneDoNotEject answers the pattern of a service whose targets all
// fail part of their requests: they answer, so none is given up.
func TestErrorsAloneDoNotEject(t *testing.T) {
	d := &outlier.Detector{Now: time.Now}
	for range 50 {
		d.Succeeded("t", true)
	}
	if d.Health("t") != outlier.Sound {
		t.Error("ejected")
	}
	if share := d.ErrorShare("t"); share < 0.9 {
		t.Errorf("share of errors %.2f", share)
	}
}
