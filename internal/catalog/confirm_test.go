package catalog_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/catalog"
	"heatherrelay/internal/clock"
	"heatherrelay/internal/platformstore"
)

// confirmStore counts the calls to a store whose answers a test chooses.
type confirmStore struct {
	calls    atomic.Int64
	revision atomic.Uint64
	failing  atomic.Bool
}

func (s *confirmStore) page() (platformstore.Page, error) {
	s.calls.Add(1)
	if s.failing.Load() {
		return platformstore.Page{}, platformstore.ErrUnavailable.New("cut off")
	}
	return platformstore.Page{Objects: []platformstore.Object{{Name: "a", Revision: s.revision.Load(), Value: []byte("1")}}, Revision: s.revision.Load(), Generation: 1}, nil
}

func (s *confirmStore) follower() *catalog.Follower {
	return &catalog.Follower{
		Store: platformstore.Store{
			List: func(context.Context, platformstore.Kind, bool) (platformstore.Page, error) { return s.page() },
			Watch: func(context.Context, platformstore.Kind, uint64, time.Duration) (platformstore.Page, error) {
				return s.page()
			},
		},
		OnChange: func([]platformstore.Object) {}, Now: clock.Now, Log: zap.NewNop(),
	}
}

// TestConfirmationsShareReads guards against a call to the store for each caller.
func TestConfirmationsShareReads(t *testing.T) {
	t.Parallel()
	s := &confirmStore{}
	s.revision.Store(5)
	f := s.follower()
	var group sync.WaitGroup
	for range 100 {
		group.Go(func() {
			since := clock.Now()
			if !f.Confirm(context.Background(), since) || f.State().ConfirmedAt.Before(since) {
				t.Error("not confirmed")
			}
		})
	}
	group.Wait()
	const allowed = 3
	if calls := s.calls.Load(); calls > allowed {
		t.Errorf("%d calls for 100 callers, allowed are %d", calls, allowed)
	}
}

// TestNothingIsConfirmedWithoutTheStore guards against a stale replica that counts as
// confirmed: since the store fails, or answers with an earlier state.
func TestNothingIsConfirmedWithoutTheStore(t *testing.T) {
	t.Parallel()
	s := &confirmStore{}
	s.revision.Store(5)
	f := s.follower()
	if !f.Confirm(context.Background(), clock.Now()) {
		t.Fatal("not confirmed by a store that answers")
	}
	s.failing.Store(true)
	if f.Confirm(context.Background(), clock.Now()) {
		t.Error("confirmed by a store that fails")
	}
	s.failing.Store(false)
	s.revision.Store(4)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if f.Confirm(ctx, clock.Now()) {
		t.Error("confirmed by an earlier state of the store")
	}
}
