package forwarding_test

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"heatherrelay/internal/forwarding"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/upstream"
)

// linkServer is the peer's end of the links of a client, written by hand.
type linkServer struct {
	listener net.Listener
	// closes is set to close each connection after an answer.
	closes bool
	// arrived counts the attempts that were read.
	arrived atomic.Int32
}

// newLinkServer starts a server that answers each attempt with the bytes that reply returns
// for its number, counted from 0. Without bytes it closes the connection.
func newLinkServer(t *testing.T, reply func(n int) string) *linkServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &linkServer{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, reply)
		}
	}()
	return s
}

func (s *linkServer) serve(conn net.Conn, reply func(n int) string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		text := reply(int(s.arrived.Add(1)) - 1)
		if _, err := io.WriteString(conn, text); err != nil || text == "" || s.closes {
			return
		}
	}
}

// client returns a client that asks the server and, if given, further peers.
func (s *linkServer) client(others ...*testPeer) *forwarding.Client {
	known := []forwarding.Peer{{ID: "by-hand", Address: s.listener.Addr().(*net.TCPAddr).AddrPort(), SameZone: true}}
	for n, p := range others {
		known = append(known, forwarding.Peer{ID: fmt.Sprint("instance-", n), Address: addressOf(p.http)})
	}
	return &forwarding.Client{Peers: func(string) []forwarding.Peer { return known }, Upstream: &upstream.Client{}, Now: time.Now, Log: zap.NewNop()}
}

// streamReply returns an HTTP response that streams messages and then the end of the stream.
func streamReply(t *testing.T, endStream string, messages ...*v1.ForwardResponse) string {
	t.Helper()
	var body []byte
	add := func(flags byte, content []byte) {
		body = append(body, flags)
		body = binary.BigEndian.AppendUint32(body, uint32(len(content)))
		body = append(body, content...)
	}
	for _, m := range messages {
		content, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		add(0, content)
	}
	const endStreamFlag = 2
	add(endStreamFlag, []byte(endStream))
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/connect+proto\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func headEvent() *v1.ForwardResponse {
	return &v1.ForwardResponse{Event: &v1.ForwardResponse_Head{Head: &v1.ForwardedHead{Status: http.StatusOK, RequestId: "r1", Signed: true, Length: -1}}}
}

func endEvent(result v1.ForwardEnd_Result) *v1.ForwardResponse {
	return &v1.ForwardResponse{Event: &v1.ForwardResponse_End{End: &v1.ForwardEnd{Result: result, Reason: "by hand"}}}
}

// TestAttemptIsSentToAPeerOnce guards against a request that runs twice because the link to
// the peer is closed, at once or on a link that was used before, and the HTTP library or
// the client sends the attempt once more, there or to the next peer.
func TestAttemptIsSentToAPeerOnce(t *testing.T) {
	complete := streamReply(t, "{}", headEvent(), endEvent(v1.ForwardEnd_RESULT_COMPLETE))
	for name, uses := range map[string]int{"new link": 0, "used link": 1, "link used often": 5} {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			t.Run(name+" "+method, func(t *testing.T) {
				s := newLinkServer(t, func(n int) string {
					if n < uses {
						return complete
					}
					return ""
				})
				var elsewhere atomic.Int32
				other := newPeer(t, addressOf(newTarget(t, func(w http.ResponseWriter, r *http.Request) { elsewhere.Add(1); answer(w, r) })))
				c := s.client(other)
				for range uses {
					r, a := request()
					response, err := c.Do(context.Background(), target, r, a)
					if err != nil {
						t.Fatal(err)
					}
					if _, err := response.ReadAll(); err != nil {
						t.Fatal(err)
					}
				}
				r, a := request()
				r.Method = method
				if _, err := c.Do(context.Background(), target, r, a); !upstream.ErrIncompleteResponse.Has(err) || !forwarding.ErrPeer.Has(err) {
					t.Errorf("error %v", err)
				}
				if n := s.arrived.Load(); int(n) != uses+1 || elsewhere.Load() != 0 {
					t.Errorf("%d attempts arrived, %d elsewhere, want %d and 0", n, elsewhere.Load(), uses+1)
				}
			})
		}
	}
}

// TestPeerThatAnswersOtherwiseMayHaveSent guards against "not run" for a request that a peer
// may have sent before it failed: just a peer that lacks the protocol, or says that it did
// not send, has not sent it.
func TestPeerThatAnswersOtherwiseMayHaveSent(t *testing.T) {
	status := func(code int, contentType, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", code, contentType, len(body), body)
	}
	cases := map[string]struct {
		reply   string
		notSent bool
	}{
		"no such path":                   {status(http.StatusNotFound, "text/plain", "404 page not found"), true},
		"declined":                       {streamReply(t, "{}", endEvent(v1.ForwardEnd_RESULT_DECLINED)), true},
		"not sent":                       {streamReply(t, "{}", endEvent(v1.ForwardEnd_RESULT_NOT_SENT)), true},
		"refused":                        {streamReply(t, "{}", endEvent(v1.ForwardEnd_RESULT_REFUSED)), true},
		"incomplete":                     {streamReply(t, "{}", endEvent(v1.ForwardEnd_RESULT_INCOMPLETE)), false},
		"ended by target":                {streamReply(t, "{}", endEvent(v1.ForwardEnd_RESULT_ENDED_BY_TARGET)), false},
		"unknown result of a newer peer": {streamReply(t, "{}", endEvent(99)), false},
		"no messages":                    {streamReply(t, "{}"), false},
		"unavailable at the end":         {streamReply(t, `{"error":{"code":"unavailable"}}`), false},
		"unknown error at the end":       {streamReply(t, `{"error":{"code":"unknown"}}`), false},
		"unimplemented at the end":       {streamReply(t, `{"error":{"code":"unimplemented"}}`), true},
	}
	for _, code := range []int{400, 401, 403, 405, 408, 413, 415, 421, 429, 500, 502, 503, 504} {
		cases[fmt.Sprint("status ", code)] = struct {
			reply   string
			notSent bool
		}{status(code, "text/plain", "no"), false}
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newLinkServer(t, func(int) string { return c.reply })
			r, a := request()
			_, err := s.client().Do(context.Background(), target, r, a)
			if upstream.ErrNotSent.Has(err) != c.notSent || upstream.ErrIncompleteResponse.Has(err) == c.notSent {
				t.Errorf("error %v, not sent %t", err, c.notSent)
			}
		})
	}
}

// TestErrorOfPeerAfterTheHeadLeavesTheOutcomeOpen guards against "not run" for a request
// whose answer had begun when the peer failed or said that it had not sent it.
func TestErrorOfPeerAfterTheHeadLeavesTheOutcomeOpen(t *testing.T) {
	for name, reply := range map[string]string{
		"unimplemented": streamReply(t, `{"error":{"code":"unimplemented"}}`, headEvent()),
		"declined":      streamReply(t, "{}", headEvent(), endEvent(v1.ForwardEnd_RESULT_DECLINED)),
		"not sent":      streamReply(t, "{}", headEvent(), endEvent(v1.ForwardEnd_RESULT_NOT_SENT)),
		"refused":       streamReply(t, "{}", headEvent(), endEvent(v1.ForwardEnd_RESULT_REFUSED)),
	} {
		t.Run(name, func(t *testing.T) {
			s := newLinkServer(t, func(int) string { return reply })
			r, a := request()
			response, err := s.client().Do(context.Background(), target, r, a)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := response.ReadAll(); !upstream.ErrIncompleteResponse.Has(err) || upstream.ErrNotSent.Has(err) {
				t.Errorf("error %v", err)
			}
		})
	}
}
