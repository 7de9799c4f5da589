package refusal_test

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"heatherrelay/internal/refusal"
)

func TestFromReturnsWrappedRefusal(t *testing.T) {
	inner := refusal.NotRun(refusal.CodeRateLimited, "team %s", "billing")
	got := refusal.From(fmt.Errorf("admission: %w", inner))
	if got != inner {
		t.Fatalf("From() = %v, want the wrapped refusal", got)
	}
	if got.Status() != http.StatusTooManyRequests {
		t.Errorf("Status() = %d", got.Status())
	}
}

func TestFromTreatsOtherErrorsAsPossiblyRun(t *testing.T) {
	got := refusal.From(errors.New("dial failed"))
	if got.NotRun {
		t.Error("NotRun = true for an error that is not a refusal")
	}
	if got.Error() != "internal: internal error" {
		t.Errorf("Error() = %q, want the message without the cause", got.Error())
	}
}
