package upstream_test

import (
	"testing"

	"heatherrelay/internal/upstream"
)

// TestTrailerIsPartOfTheAnswer guards against an answer in chunks that counts as whole although
// bytes follow its last chunk that are no trailer.
func TestTrailerIsPartOfTheAnswer(t *testing.T) {
	for trailer, whole := range map[string]bool{
		"\r\n":                        true,
		"X-Note: a\r\n\r\n":           true,
		"X-Note:\r\nX-B: b\r\n\r\n":   true,
		"X Note: a\r\n\r\n":           false,
		"X-Note : a\r\n\r\n":          false,
		"X-\x01Note: a\r\n\r\n":       false,
		"X-Note: \x01\r\n\r\n":        false,
		"X-Note: a\r\n b\r\n\r\n":     false,
		"X-Note\r\n\r\n":              false,
		": a\r\n\r\n":                 false,
		"X-Note: a\n\r\n":             false,
		"\n":                          false,
		"HTTP/1.1 500 Broken\r\n\r\n": false,
	} {
		t.Run(trailer, func(t *testing.T) {
			address := serve(t, func(_, _ int, id string) string {
				return "HTTP/1.1 200 OK\r\n" + idField + ": " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + trailer
			})
			body, err := do(newClient(), address, "1")
			if whole && (err != nil || body != "body") || !whole && !upstream.ErrIncompleteResponse.Has(err) {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}
