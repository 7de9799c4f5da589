package callerapi_test

import (
	"net/http"
	"strings"
	"testing"
)

// TestCallerWithTooLargeBodyReceivesTheRefusal guards against a connection reset
// that destroys the refusal: the kernel resets a connection that is closed while
// bytes of the body are unread.
func TestCallerWithTooLargeBodyReceivesTheRefusal(t *testing.T) {
	ts := start(t, nil)
	body := strings.Repeat("x", 8<<20)
	for range 20 {
		got := ts.post(t, "/v1/completions", body)
		if got.status != http.StatusRequestEntityTooLarge || !strings.Contains(got.body, `"code":"body_too_large"`) {
			t.Fatalf("answer = %d %s", got.status, got.body)
		}
	}
}
