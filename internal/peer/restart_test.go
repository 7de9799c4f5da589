package peer_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/gen/heatherrelay/v1/heatherrelayv1connect"
)

// fakeInstance answers exchanges, and keeps the last request that it received.
type fakeInstance struct {
	heatherrelayv1connect.UnimplementedFleetServiceHandler
	address string

	mu          sync.Mutex
	incarnation string
	sequence    uint64
	request     *v1.ExchangeRequest
}

func newFakeInstance(t *testing.T) *fakeInstance {
	t.Helper()
	o := &fakeInstance{incarnation: "first"}
	_, handler := heatherrelayv1connect.NewFleetServiceHandler(o)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	o.address = strings.TrimPrefix(server.URL, "http://")
	return o
}

// state returns the state that the instance publishes, under the next sequence
// number.
func (o *fakeInstance) state() *v1.InstanceState {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sequence++
	return &v1.InstanceState{
		Member:      &v1.Member{InstanceId: "other", Zone: "zone-0", Address: o.address},
		Incarnation: o.incarnation,
		Sequence:    o.sequence,
	}
}

// Exchange answers with high change numbers in the first incarnation, and with
// none in a later one.
func (o *fakeInstance) Exchange(_ context.Context, request *v1.ExchangeRequest) (*v1.ExchangeResponse, error) {
	response := &v1.ExchangeResponse{Responder: o.state()}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.request = request
	if o.incarnation == "first" {
		response.EnginesChange, response.SpendingsChange = 500, 700
	}
	return response, nil
}

func (o *fakeInstance) lastRequest() *v1.ExchangeRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.request
}

// TestChangeCursorResetsWhenPeerRestarts checks that an instance requests all
// changes of a peer that has restarted, also if it learns of the restart before
// its next request. Change numbers start again with each incarnation, so the
// cursor of the previous one would hide the new changes.
func TestChangeCursorResetsWhenPeerRestarts(t *testing.T) {
	t.Parallel()
	p, other := newTestPeer(t), newFakeInstance(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	p.publish(t, other.state())
	go p.Run(ctx)
	await(t, "the change numbers are kept", func() bool { return other.lastRequest().GetSpendingsAfter() == 700 })
	other.mu.Lock()
	other.incarnation, other.sequence = "second", 0
	other.mu.Unlock()
	p.publish(t, other.state())
	await(t, "the restart is known", func() bool { return other.lastRequest().GetChangesSource() == "second" })
	request := other.lastRequest()
	if request.GetSpendingsAfter() != 0 || request.GetEnginesAfter() != 0 {
		t.Errorf("changes after %d and %d are requested, the restarted instance has none", request.GetSpendingsAfter(), request.GetEnginesAfter())
	}
}
