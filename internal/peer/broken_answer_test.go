package peer_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"heatherrelay/internal/loopback/loopbacktest"
	"heatherrelay/internal/peer"
)

// serveAnswers serves the protocol of an instance over HTTP written by hand: the status line
// and the further lines of each head, and the part of the body that cut leaves.
func serveAnswers(t *testing.T, m *member, statusLine, lines string, cut int) netip.AddrPort {
	t.Helper()
	return loopbacktest.Serve(t, func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		recorder := httptest.NewRecorder()
		m.Handler().ServeHTTP(recorder, request)
		body := recorder.Body.Bytes()
		_, _ = fmt.Fprintf(conn, "%s\r\nContent-Type: %s\r\nConnection: close\r\n", statusLine, recorder.Header().Get("Content-Type"))
		_, _ = fmt.Fprintf(conn, lines+"\r\n", len(body))
		_, _ = conn.Write(body[:max(len(body)-cut, 0)])
	})
}

// TestBrokenAnswerOfAPeerChangesNothing guards against an instance that learns from a peer's
// answer that is none: its status, the name of a field, or an end that is missing.
func TestBrokenAnswerOfAPeerChangesNothing(t *testing.T) {
	const status, length = "HTTP/1.1 200 OK", "Content-Length: %d\r\n"
	for name, c := range map[string]struct {
		statusLine, lines string
		cut               int
		sound             bool
	}{
		"sound":                 {status, length, 0, true},
		"unusual":               {"HTTP/1.1 200", "X-!#$: \r\n" + length, 0, true},
		"000":                   {"HTTP/1.1 000 OK", length, 0, false},
		"099":                   {"HTTP/1.1 099 OK", length, 0, false},
		"blank in a name":       {status, "X Note: a\r\n" + length, 0, false},
		"blank after a name":    {status, "X-Note : a\r\n" + length, 0, false},
		"control byte":          {status, "X\x01Note: a\r\n" + length, 0, false},
		"length after a blank":  {status, "Content-Length : %d\r\n", 0, false},
		"cut":                   {status, length, 1, false},
		"neither length, cut":   {status, "X-Length: %d\r\n", 1, false},
		"neither length, whole": {status, "X-Length: %d\r\n", 0, false},
		"neither length, empty": {status, "X-Length: %d\r\n", 1 << 20, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sender := newMember(peer.Member{ID: "instance-00", Zone: "zone-0"}, netip.AddrPort{})
			sender.Self.Address = serveAnswers(t, sender, c.statusLine, c.lines, c.cut)
			receiver := newMember(peer.Member{ID: "instance-01", Zone: "zone-1", Address: netip.MustParseAddrPort("127.0.0.1:1")}, sender.Self.Address)
			go receiver.Run(t.Context())
			for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline) && receiver.MemberCount() < 2; {
				time.Sleep(20 * time.Millisecond)
			}
			if learned := receiver.MemberCount() == 2; learned != c.sound {
				t.Errorf("learned %t, want %t", learned, c.sound)
			}
		})
	}
}
