package forwarding_test

import (
	"context"
	"net/http"
	"testing"

	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/upstream"
)

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
