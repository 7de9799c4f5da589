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

// otherInstance answers exchanges by hand and keeps what it was asked last.
type otherInstance struct {
	heatherrelayv1connect.UnimplementedFleetServiceHandler
	address string

	mu          sync.Mutex
	incarnation string
	sequence    uint64
	asked       *v1.ExchangeRequest
}

func newOtherInstance(t *testing.T) *otherInstance {
	t.Helper()
	o := &otherInstance{incarnation: "first"}
	_, handler := heatherrelayv1connect.NewFleetServiceHandler(o)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	o.address = strings.TrimPrefix(server.URL, "http://")
	return o
}

// state returns what the instance tells of itself.
func (o *otherInstance) state() *v1.InstanceState {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sequence++
	return &v1.InstanceState{
		Member:      &v1.Member{InstanceId: "other", Zone: "zone-0", Address: o.address},
		Incarnation: o.incarnation,
		Sequence:    o.sequence,
	}
}

// Exchange answers with a high number of changes in the first incarnation.
func (o *otherInstance) Exchange(_ context.Context, request *v1.ExchangeRequest) (*v1.ExchangeResponse, error) {
	response := &v1.ExchangeResponse{Responder: o.state()}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked = request
	if o.incarnation == "first" {
		response.EnginesChange, response.SpendingsChange = 500, 700
	}
	return response, nil
}

func (o *otherInstance) lastAsked() *v1.ExchangeRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.asked
}

// TestChangesOfARestartedInstanceCountAnew checks that an instance that was told
// of another one's changes by number asks for all of them when the other one has
// started again, also when it hears of the restart before it asks.
func TestChangesOfARestartedInstanceCountAnew(t *testing.T) {
	t.Parallel()
	p, other := newTestPeer(t), newOtherInstance(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	p.tell(t, other.state())
	go p.Run(ctx)
	await(t, "changes are counted", func() bool { return other.lastAsked().GetSpendingsAfter() == 700 })
	other.mu.Lock()
	other.incarnation, other.sequence = "second", 0
	other.mu.Unlock()
	p.tell(t, other.state())
	await(t, "the restart is known", func() bool { return other.lastAsked().GetChangesSource() == "second" })
	asked := other.lastAsked()
	if asked.GetSpendingsAfter() != 0 || asked.GetEnginesAfter() != 0 {
		t.Errorf("changes after %d and %d are asked for, the restarted instance has none", asked.GetSpendingsAfter(), asked.GetEnginesAfter())
	}
}
