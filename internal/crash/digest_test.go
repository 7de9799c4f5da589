package crash_test

import (
	"fmt"
	"testing"

	"heatherrelay/internal/crash"
)

// ExampleRequestDigest shows that a repeat of a request has its digest, and that a
// request of another team, with another path or another body has not.
func ExampleRequestDigest() {
	request := crash.RequestDigest("roads", "depot.example", "/rounds/7?day=2", []byte("mow"))
	fmt.Println(request == crash.RequestDigest("roads", "DEPOT.example:8080", "/rounds/7?day=2", []byte("mow")))
	fmt.Println(request == crash.RequestDigest("parks", "depot.example", "/rounds/7?day=2", []byte("mow")))
	fmt.Println(request == crash.RequestDigest("roads", "depot.example", "/rounds/7?day=3", []byte("mow")))
	fmt.Println(request == crash.RequestDigest("roads", "depot.example", "/rounds/7?day=2", []byte("sow")))
	// Output:
	// true
	// false
	// false
	// false
}

// TestDigestSeparatesItsFields guards against taking two requests for one whose fields
// have the same bytes in a row.
func TestDigestSeparatesItsFields(t *testing.T) {
	if crash.RequestDigest("ab", "c", "/d", nil) == crash.RequestDigest("a", "bc", "/d", nil) || crash.RequestDigest("a", "h", "/d", []byte("e")) == crash.RequestDigest("a", "h", "/de", nil) {
		t.Error("two requests have one digest")
	}
}
