package gatewayinstance_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"heatherrelay/internal/loopback/loopbacktest"
)

// unusualFields are lines of heads that are valid, by the name of their case.
func unusualFields() map[string]string {
	return map[string]string{
		"each character of a name": "X!#$%&'*+-.^_`|~09AZaz: all\r\n",
		"empty value":              "X-Empty:\r\nX-Blank: \t\r\n",
		"no blank":                 "X-Close:a:b\r\n",
		"high bytes":               "X-High: caf\xe9 \xff\r\n",
		"UTF-8":                    "X-Text: café\r\n",
		"many fields":              strings.Repeat("X-Many: value\r\n", 60),
		"one twice":                "X-Twice: a\r\nX-Twice: b\r\n",
		"names in any case":        "x-lower: a\r\nX-UPPER: b\r\n",
		"long value":               "X-Long: " + strings.Repeat("x", 3000) + "\r\n",
	}
}

// TestUnusualHeadsAreDelivered guards against a whole answer of a sound target that is lost, or
// changed, since its head is unusual.
func TestUnusualHeadsAreDelivered(t *testing.T) {
	t.Parallel()
	fields := unusualFields()
	statusLines := map[string]string{
		"reason": "HTTP/1.1 200 OK", "empty reason": "HTTP/1.1 200 ", "no reason": "HTTP/1.1 200", "odd reason": "HTTP/1.1 200 \t: \xe9",
		"1.0": "HTTP/1.0 200 OK", "after 100 and 103": "HTTP/1.1 100 \r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK",
	}
	body := pieces(1, 3)
	c, a := newScriptedCluster(t, scriptedTargets, 2, func(_ int, w http.ResponseWriter, r *http.Request) {
		parts := strings.Split(strings.ReplaceAll(r.Header.Get("Request-Id"), "_", " "), "/")
		statusLine, ok := statusLines[parts[0]]
		if !ok {
			writeEvents(w, 1, 3)
			return
		}
		lines := strings.ReplaceAll(brokenFields, "ID", r.Header.Get("Request-Id")) + fields[parts[1]]
		loopbacktest.Answer(w, r, fmt.Sprintf("%s\r\n%sContent-Length: %d\r\n\r\n%s", statusLine, lines, len(body), body))
	})
	for way, b := range c.brokenRoutes() {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			for statusName := range statusLines {
				for name, lines := range fields {
					for _, path := range allPaths {
						id := strings.ReplaceAll(fmt.Sprintf("%s/%s/%s%s", statusName, name, way, path), " ", "_")
						got := c.sendThrough(b.through, http.MethodPost, path, func(h http.Header) { h.Set("Request-Id", id) })
						if got.err != nil || got.status != http.StatusOK || got.body != body || len(a.of(id)) != 1 {
							t.Errorf("%s: status %d, error %v, body %q; at %v; logged: %s", id, got.status, got.err, got.body, a.of(id), c.logged(id))
						}
						checkFields(t, id, got.header, lines)
					}
				}
			}
		})
	}
}

// checkFields checks that a client received the fields of the given lines.
func checkFields(t *testing.T, id string, received http.Header, lines string) {
	t.Helper()
	want := http.Header{}
	for line := range strings.SplitSeq(strings.TrimSuffix(lines, "\r\n"), "\r\n") {
		name, value, _ := strings.Cut(line, ":")
		want.Add(name, strings.Trim(value, " \t"))
	}
	for name, values := range want {
		if got := received.Values(name); !slices.Equal(got, values) {
			t.Errorf("%s: %s is %q, want %q", id, name, got, values)
		}
	}
}
