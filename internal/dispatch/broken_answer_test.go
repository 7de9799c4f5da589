package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"heatherrelay/internal/loopback/loopbacktest"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/responsehead/headtest"
)

// TestBrokenReplyIsNone guards against a reply that a caller gets though its head is none: a
// call that may be repeated goes to the next target, another one may have run.
func TestBrokenReplyIsNone(t *testing.T) {
	for name, text := range headtest.Broken("broken") {
		for _, repeatable := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", repeatable ", repeatable), func(t *testing.T) {
				var calls atomic.Int64
				s := startRawService(t, func(conn net.Conn) {
					if calls.Add(1) > 1 {
						text = headtest.Sound("sound")
					}
					_, _ = io.WriteString(conn, text)
				})
				c := newPut("r1")
				c.Repeatable = repeatable
				reply, err := s.Send(context.Background(), c)
				if repeatable && (err != nil || string(reply.Body) != "sound" || reply.Status != http.StatusOK) {
					t.Errorf("reply %d %q, error %v", reply.Status, reply.Body, err)
				}
				if !repeatable && (err == nil || refusal.From(err).Code != refusal.CodeMayHaveRun || calls.Load() != 1) {
					t.Errorf("reply %d %q, error %v, %d calls", reply.Status, reply.Body, err, calls.Load())
				}
			})
		}
	}
}

// TestUnusualReplyIsDelivered guards against a sound reply that is lost since its head is
// unusual.
func TestUnusualReplyIsDelivered(t *testing.T) {
	for name, text := range headtest.Unusual("sound") {
		t.Run(name, func(t *testing.T) {
			s := startRawService(t, func(conn net.Conn) {
				_, _ = io.WriteString(conn, text)
				_ = conn.Close()
			})
			if reply, err := s.Send(context.Background(), newPut("r1")); err != nil || reply.Status != http.StatusOK || string(reply.Body) != "sound" {
				t.Errorf("reply %d %q, error %v", reply.Status, reply.Body, err)
			}
		})
	}
}

// TestResetReplyIsNone guards against a part of a reply that a caller gets as a whole one,
// since the service reset the connection: also while a large call was being written.
func TestResetReplyIsNone(t *testing.T) {
	for name, size := range map[string]int{"small call": 10, "large call": 16 << 20} {
		t.Run(name, func(t *testing.T) {
			s, c := newSender(loopbacktest.Serve(t, headtest.WriteAndReset)), newPut("r1")
			c.Body, c.Deadline = make([]byte, size), time.Now().Add(2*time.Second)
			if reply, err := s.Send(context.Background(), c); err == nil || refusal.From(err).Code != refusal.CodeMayHaveRun {
				t.Errorf("reply %d %q, error %v", reply.Status, reply.Body, err)
			}
		})
	}
}
