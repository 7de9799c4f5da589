package forwarding_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/upstream"
)

// TestBrokenAnswerOfAPeerIsNone guards against an attempt that counts as answered though the
// peer's own answer is none: its status, the name of a field or its framing.
func TestBrokenAnswerOfAPeerIsNone(t *testing.T) {
	sound := streamReply(t, "{}", headEvent(), endEvent(v1.ForwardEnd_RESULT_COMPLETE))
	const status, framing = "HTTP/1.1 200 OK", "Content-Length: "
	_, body, _ := strings.Cut(sound, "\r\n\r\n")
	// The last bytes are the end of the stream, after the message that ends the attempt.
	const cut = 10
	replies := map[string]string{
		"000":                    strings.Replace(sound, status, "HTTP/1.1 000 OK", 1),
		"099":                    strings.Replace(sound, status, "HTTP/1.1 099 OK", 1),
		"600":                    strings.Replace(sound, status, "HTTP/1.1 600 OK", 1),
		"000 after 100":          "HTTP/1.1 100 Continue\r\n\r\n" + strings.Replace(sound, status, "HTTP/1.1 000 OK", 1),
		"blank in a name":        strings.Replace(sound, framing, "X Note: a\r\n"+framing, 1),
		"blank after a name":     strings.Replace(sound, framing, "X-Note : a\r\n"+framing, 1),
		"blank before a name":    strings.Replace(sound, framing, " X-Note: a\r\n"+framing, 1),
		"control byte":           strings.Replace(sound, framing, "X\x01Note: a\r\n"+framing, 1),
		"length after a blank":   strings.Replace(sound, framing, "Content-Length : 1\r\n"+framing, 1),
		"length with a blank":    strings.Replace(sound, framing, "Content-Length : ", 1),
		"neither, cut":           fmt.Sprintf("%s\r\nContent-Type: application/connect+proto\r\nConnection: close\r\n\r\n%s", status, body[:len(body)-cut]),
		"length, cut":            sound[:len(sound)-cut],
		"another type of answer": strings.Replace(sound, "application/connect+proto", "text/event-stream", 1),
	}
	for name, reply := range replies {
		t.Run(name, func(t *testing.T) {
			s := newLinkServer(t, func(n int) string {
				if n > 0 {
					return ""
				}
				return reply
			})
			s.closes = true
			r, a := request()
			response, err := s.client().Do(context.Background(), target, r, a)
			if err == nil {
				_, err = response.ReadAll()
			}
			if !upstream.ErrIncompleteResponse.Has(err) || upstream.ErrNotSent.Has(err) {
				t.Errorf("error %v", err)
			}
		})
	}
}

// TestBrokenHeadInAMessageIsNone guards against the head of a target's answer that is none,
// and that a peer which does not check heads passes on.
func TestBrokenHeadInAMessageIsNone(t *testing.T) {
	for name, change := range map[string]func(*v1.ForwardedHead){
		"status 0":           func(h *v1.ForwardedHead) { h.Status = 0 },
		"status 99":          func(h *v1.ForwardedHead) { h.Status = 99 },
		"status 100":         func(h *v1.ForwardedHead) { h.Status = http.StatusContinue },
		"status 600":         func(h *v1.ForwardedHead) { h.Status = 600 },
		"length -3":          func(h *v1.ForwardedHead) { h.Length = -3 },
		"blank in a name":    func(h *v1.ForwardedHead) { h.Headers = []*v1.Header{{Name: "X Note", Value: "a"}} },
		"blank after a name": func(h *v1.ForwardedHead) { h.Headers = []*v1.Header{{Name: "X-Note ", Value: "a"}} },
		"no name":            func(h *v1.ForwardedHead) { h.Headers = []*v1.Header{{Value: "a"}} },
		"control byte":       func(h *v1.ForwardedHead) { h.Headers = []*v1.Header{{Name: "X\x01Note", Value: "a"}} },
		"line in a value":    func(h *v1.ForwardedHead) { h.Headers = []*v1.Header{{Name: "X-Note", Value: "a\r\nX-Other: b"}} },
		"line in raw bytes": func(h *v1.ForwardedHead) {
			h.Headers = []*v1.Header{{Name: "X-Note", RawValue: []byte("\xe9\r\nX-Other: b")}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			head := headEvent()
			change(head.GetHead())
			s := newLinkServer(t, func(int) string { return streamReply(t, "{}", head, endEvent(v1.ForwardEnd_RESULT_COMPLETE)) })
			r, a := request()
			response, err := s.client().Do(context.Background(), target, r, a)
			if !upstream.ErrIncompleteResponse.Has(err) || upstream.ErrNotSent.Has(err) {
				t.Errorf("response %+v, error %v", response, err)
			}
		})
	}
}
