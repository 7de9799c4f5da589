package gatewayinstance_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
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
		writeUnusual(w, r, fmt.Sprintf("%s\r\n%s%sContent-Length: %d\r\n\r\n%s", statusLine, brokenFields, fields[parts[1]], len(body), body))
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

// writeUnusual answers with a head and a body as they are, and keeps the connection as the head
// says: one that ended without a word could meet the next request, which then may have run.
func writeUnusual(w http.ResponseWriter, r *http.Request, text string) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if _, err := io.WriteString(conn, strings.ReplaceAll(text, "ID", r.Header.Get("Request-Id"))); err != nil || strings.HasPrefix(text, "HTTP/1.0") {
		_ = conn.Close()
		return
	}
	// The server goes on with the connection, in a goroutine of its own.
	_ = r.Context().Value(http.ServerContextKey).(*http.Server).Serve(&connListener{conn})
}

// connListener is a listener that accepts one connection, which exists already.
type connListener struct{ conn net.Conn }

// Accept returns the connection once.
func (l *connListener) Accept() (net.Conn, error) {
	if l.conn == nil {
		return nil, net.ErrClosed
	}
	conn := l.conn
	l.conn = nil
	return conn, nil
}

// Close leaves the connection to who accepted it.
func (l *connListener) Close() error { return nil }

// Addr returns no address.
func (l *connListener) Addr() net.Addr { return nil }

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
