package upstream_test

import (
	"sync/atomic"
	"testing"

	"heatherrelay/internal/responsehead/headtest"
	"heatherrelay/internal/upstream"
)

// TestBrokenAnswerIdentifiesNoProcess guards against a request that is sent since a target
// named the process that may get it in an answer whose head is none.
func TestBrokenAnswerIdentifiesNoProcess(t *testing.T) {
	for name, text := range headtest.Broken("7") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var requests atomic.Int64
			address := serve(t, func(_, _ int, id string) string {
				if id == "" {
					return text
				}
				requests.Add(1)
				return okResponse(id, "answer")
			})
			_, err := sendIdentified(newIdentifyingClient(), address, "1", 7)
			if !upstream.ErrNotSent.Has(err) || requests.Load() != 0 {
				t.Errorf("error %v, %d requests sent", err, requests.Load())
			}
		})
	}
	unusual := headtest.Unusual("7")
	// The connection ends with the answer and can carry no request.
	delete(unusual, "1.0, no length")
	for name, text := range unusual {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := serve(t, func(_, _ int, id string) string {
				if id == "" {
					return text
				}
				return okResponse(id, "answer")
			})
			if response, err := sendIdentified(newIdentifyingClient(), address, "1", 7); err != nil || response.Generation != 7 {
				t.Errorf("response %+v, error %v", response, err)
			}
		})
	}
}
