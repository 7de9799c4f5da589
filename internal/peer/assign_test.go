package peer_test

import (
	"context"
	"testing"

	"connectrpc.com/connect"

	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/placement"
)

// TestOddOffersAreRefused guards against an instance that ends, or assigns an engine that was
// not offered, because of a message whose lists do not fit together.
func TestOddOffersAreRefused(t *testing.T) {
	f := newSimulatedFleet(1, 1)
	f.members[0].Prompts = &placement.PromptPacer{Now: f.members[0].Now}
	service := f.members[0].Service()
	whole := func() *v1.AssignPromptRequest {
		return &v1.AssignPromptRequest{TargetIds: []string{"e1", "e2"}, PrefillUs: []uint32{50_000, 40_000}, ExtraUs: []uint32{0, 0}, RoomUs: []uint32{0, 1 << 31}, Streams: []uint32{1 << 31, 0}}
	}
	for name, change := range map[string]func(*v1.AssignPromptRequest){
		"no engine":  func(m *v1.AssignPromptRequest) { *m = v1.AssignPromptRequest{} },
		"no times":   func(m *v1.AssignPromptRequest) { m.PrefillUs = nil },
		"few times":  func(m *v1.AssignPromptRequest) { m.ExtraUs = m.ExtraUs[:1] },
		"no room":    func(m *v1.AssignPromptRequest) { m.RoomUs = nil },
		"no streams": func(m *v1.AssignPromptRequest) { m.Streams = nil },
	} {
		m := whole()
		change(m)
		if _, err := service.AssignPrompt(context.Background(), m); connect.CodeOf(err) != connect.CodeInvalidArgument {
			t.Errorf("%s: %v", name, err)
		}
	}
	response, err := service.AssignPrompt(context.Background(), whole())
	if err != nil || !response.GetAssigned() || response.GetIndex() != 1 {
		t.Errorf("%v, %v", response, err)
	}
}
