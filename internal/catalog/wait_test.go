package catalog_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/catalog"
	"heatherrelay/internal/deployment"
	"heatherrelay/internal/object"
)

// calmStore is a store in which nothing changes: it holds watches back for as
// long as they allow.
func calmStore() object.Store {
	return object.Store{
		List: func(context.Context, object.Kind, bool) (object.Page, error) {
			return object.Page{Revision: 1, Objects: []object.Object{{Name: "main", Revision: 1, Value: json.RawMessage(`{}`)}}}, nil
		},
		Watch: func(_ context.Context, _ object.Kind, _ uint64, longest time.Duration) (object.Page, error) {
			time.Sleep(longest)
			return object.Page{Revision: 1}, nil
		},
	}
}

// TestConfirmationsOfAReaderAreYoung answers the pattern of a calm day, on which
// an instance that reads the store for others confirms what it holds so often
// that the others need not read it themselves.
func TestConfirmationsOfAReaderAreYoung(t *testing.T) {
	const (
		limit = 2 * time.Second
		// exchange is how much later the others know of a confirmation.
		exchange = 300 * time.Millisecond
	)
	c := &catalog.Catalog{
		Kinds:               catalog.Kinds{Configuration: "config", Targets: "targets", Versions: "versions", ConfigurationName: "main"},
		Store:               calmStore(),
		DecodeConfiguration: func(json.RawMessage) (*deployment.Configuration, error) { return &deployment.Configuration{}, nil },
		DecodeTarget: func(string, json.RawMessage) (deployment.Target, error) {
			return deployment.Target{}, object.ErrMalformed.New("none")
		},
		DecodeVersion: func(string, json.RawMessage) (deployment.AdapterVersion, error) {
			return deployment.AdapterVersion{}, object.ErrMalformed.New("none")
		},
		ConfigurationLimit: limit,
		TargetsLimit:       limit,
		Now:                time.Now,
		Log:                zap.NewNop(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	var oldest time.Duration
	for end := time.Now().Add(2 * limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if age, ok := c.ConfigurationAge(); ok {
			oldest = max(oldest, age)
		}
	}
	if oldest == 0 || oldest+exchange > limit*8/10 {
		t.Errorf("a confirmation gets %s old, others read the store from %s on", oldest, limit*8/10)
	}
}
