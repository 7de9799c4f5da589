package gatewayinstance_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// orderEvents is the number of events of the streams of TestNoPieceIsLostOrDoubled.
const orderEvents = 6

// pieces returns the events from one id to another.
func pieces(from, to int) string {
	text := ""
	for i := from; i <= to; i++ {
		text += fmt.Sprintf("id: %d\ndata: piece %[1]d\n\n", i)
	}
	return text
}

// The framings of a response.
const (
	byChunks     = "chunks"
	byLength     = "length"
	byConnection = "connection"
)

// writeRaw answers on the connection itself with a body that is framed as given and ends
// with its last chunk or its length, unless it is cut.
func writeRaw(w http.ResponseWriter, r *http.Request, framing, body string, cut bool) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	id := r.Header.Get("Request-Id")
	// Without the announcement another request may be sent on the connection as it closes.
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/event-stream\r\nRequest-Id: " + id + "\r\nResponse-Seal: seal-" + id + "\r\n"
	switch framing {
	case byChunks:
		body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		if !cut {
			body += "0\r\n\r\n"
		}
		head += "Transfer-Encoding: chunked\r\n"
	case byLength:
		length := len(body)
		if cut {
			length++
		}
		head += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	_, _ = io.WriteString(conn, head+"\r\n"+body)
}

// TestNoPieceIsLostOrDoubled guards against streams that look complete at the client and
// lack a piece, hold one twice or out of order, or end inside an event, since their target
// ends or goes on in an odd way.
func TestNoPieceIsLostOrDoubled(t *testing.T) {
	t.Parallel()
	whole, half := pieces(1, orderEvents), "id: 4\ndata: pie"
	cases := map[string]struct {
		// first and second are what the first and the second target send.
		first, second string
		cut           bool
		// want is what the client receives of a stream that may be resumed; empty if the
		// stream must be broken off.
		want string
		// broken is set if a stream that may not be resumed must be broken off.
		broken bool
	}{
		"whole":                           {first: whole, want: whole},
		"ends inside an event":            {first: pieces(1, 3) + half, second: pieces(4, 6), want: whole, broken: true},
		"ends before the empty line":      {first: pieces(1, 3) + "id: 4\ndata: piece 4\n", second: pieces(4, 6), want: whole, broken: true},
		"ends inside the first event":     {first: "id: 1\nda", second: whole, want: whole, broken: true},
		"cut after an event":              {first: pieces(1, 3), second: pieces(4, 6), cut: true, want: whole, broken: true},
		"an id comes twice":               {first: pieces(1, 3) + pieces(3, 6), second: pieces(4, 6), want: whole, broken: true},
		"an id goes back":                 {first: pieces(1, 3) + pieces(2, 6), second: pieces(4, 6), want: whole, broken: true},
		"an id is no number":              {first: pieces(1, 3) + "id: x\ndata: y\n\n" + pieces(1, 6), second: pieces(4, 6), want: whole, broken: true},
		"an id is too large":              {first: pieces(1, 3) + "id: 99999999999999999999\ndata: y\n\n" + pieces(1, 6), second: pieces(4, 6), want: whole, broken: true},
		"an id is negative":               {first: pieces(1, 3) + "id: -1\ndata: y\n\n" + pieces(4, 6), second: pieces(4, 6), want: whole, broken: true},
		"an id is empty":                  {first: pieces(1, 3) + "id:\ndata: y\n\n" + pieces(4, 6), second: pieces(4, 6), want: whole, broken: true},
		"goes on from the start":          {first: pieces(1, 3) + half, second: whole, broken: true},
		"goes on at the last event":       {first: pieces(1, 3) + half, second: pieces(3, 6), broken: true},
		"carriage returns and line feeds": {first: strings.ReplaceAll(whole, "\n", "\r\n"), want: strings.ReplaceAll(whole, "\n", "\r\n")},
		"carriage returns":                {first: strings.ReplaceAll(whole, "\n", "\r"), want: strings.ReplaceAll(whole, "\n", "\r")},
		"carriage returns, inside an event": {first: strings.ReplaceAll(pieces(1, 3)+half, "\n", "\r"), second: pieces(4, 6),
			want: strings.ReplaceAll(pieces(1, 3), "\n", "\r") + pieces(4, 6), broken: true},
		"nothing more, says one target": {first: whole, second: "", cut: true, broken: true},
	}
	c, a := newScriptedCluster(t, 2, 2, func(attempt int, w http.ResponseWriter, r *http.Request) {
		parts := strings.Split(r.Header.Get("Request-Id"), "/")
		if len(parts) != 3 {
			return
		}
		k := cases[parts[0]]
		if attempt == 1 {
			writeRaw(w, r, parts[1], k.first, k.cut)
			return
		}
		writeRaw(w, r, parts[1], k.second, false)
	})
	for name, k := range cases {
		for _, framing := range []string{byChunks, byLength, byConnection} {
			if framing == byConnection && k.cut {
				continue
			}
			for _, path := range []string{"/stream/", "/draft/"} {
				t.Run(name+", "+framing+path, func(t *testing.T) {
					t.Parallel()
					id := name + "/" + framing + "/" + path[1:2]
					got := c.sendTimed(http.MethodPost, path, id, streamDeadline)
					complete := got.err == nil && got.status == http.StatusOK
					broken := k.broken
					if path == "/stream/" {
						broken = k.want == ""
					}
					switch {
					case broken && complete:
						t.Errorf("complete with %q at %v", got.body, a.of(id))
					case !broken && (!complete || got.body != k.want):
						t.Errorf("status %d, error %v, body %q, want %q; at %v; logged: %s", got.status, got.err, got.body, k.want, a.of(id), c.logged(id))
					}
				})
			}
		}
	}
}
