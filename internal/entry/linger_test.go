package entry_test

import (
	"net/http"
	"strings"
	"testing"
)

func TestACallerWithATooLargeBodyReadsTheRefusal(t *testing.T) {
	b := start(t, nil)
	body := strings.Repeat("x", 8<<20)
	for range 20 {
		got := b.post(t, "/v1/completions", body)
		if got.status != http.StatusRequestEntityTooLarge || !strings.Contains(got.body, `"code":"body_too_large"`) {
			t.Fatalf("answer = %d %s", got.status, got.body)
		}
	}
}
