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
	f := &fakeInstance{incarnation: "first"}
	_, handler := heatherrelayv1connect.NewFleetServiceHandler(f)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	f.address = strings.TrimPrefix(server.URL, "http://")
	return f
}

// state returns the state that the instance publishes, under the next sequence
// number.
func (f *fakeInstance) state() *v1.InstanceState {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sequence++
	return &v1.InstanceState{
		Member:      &v1.Member{InstanceId: "other", Zone: "zone-0", Address: f.address},
		Incarnation: f.incarnation,
		Sequence:    f.sequence,
	}
}

// Exchange answers with high change numbers in the first incarnation, and with
// none in a later one.
func (f *fakeInstance) Exchange(_ context.Context, request *v1.ExchangeRequest) (*v1.ExchangeResponse, error) {
	response := &v1.ExchangeResponse{Responder: f.state()}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.request = request
	if f.incarnation == "first" {
		response.EnginesChange, response.SpendingsChange = 500, 700
	}
	return response, nil
}

func (f *fakeInstance) lastRequest() *v1.ExchangeRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.request
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
