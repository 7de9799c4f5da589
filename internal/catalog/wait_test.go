package catalog_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/catalog"
	"heatherrelay/internal/deployment"
	"heatherrelay/internal/platformstore"
)

// storeCallTime is how much longer than its wait a watch of unchangingStore takes.
const storeCallTime = 10 * time.Millisecond

// unchangingStore returns a store in which nothing changes: each watch waits for as
// long as it may.
func unchangingStore() platformstore.Store {
	return platformstore.Store{
		List: func(context.Context, platformstore.Kind, bool) (platformstore.Page, error) {
			return platformstore.Page{Revision: 1, Objects: []platformstore.Object{{Name: "main", Revision: 1, Value: json.RawMessage(`{}`)}}}, nil
		},
		Watch: func(_ context.Context, _ platformstore.Kind, _ uint64, maxWait time.Duration) (platformstore.Page, error) {
			time.Sleep(maxWait + storeCallTime)
			return platformstore.Page{Revision: 1}, nil
		},
	}
}

// TestReaderConfirmsOftenEnoughForPeers checks that, while nothing changes, an
// instance that reads the store on behalf of its peers confirms its replica so often
// that the peers, which receive a confirmation a little later, never read the store
// themselves. It runs in virtual time, so that the age is the one that the waits of the
// reader give, whatever the load of the machine.
func TestReaderConfirmsOftenEnoughForPeers(t *testing.T) {
	const (
		limit = 2 * time.Second
		// exchangeDelay is how much later a peer receives a confirmation.
		exchangeDelay = 300 * time.Millisecond
		sampleEvery   = 10 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		c := readingCatalog(limit)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); c.Run(ctx) }()
		var oldest time.Duration
		for end := time.Now().Add(2 * limit); time.Now().Before(end); time.Sleep(sampleEvery) {
			if age, ok := c.ConfigurationAge(); ok {
				oldest = max(oldest, age)
			}
		}
		cancel()
		<-done
		if oldest == 0 || oldest+sampleEvery+exchangeDelay > limit*65/100 {
			t.Errorf("a confirmation gets %s old, peers read the store from an age of %s on", oldest+sampleEvery, limit*65/100)
		}
	})
}

// TestInstanceReadsTheStoreInTimeForALargeConfiguration guards against a change of a large
// configuration that is late (CONFIG) at an instance which leaves reading to another one: once
// that one ends or is cut off from the store, the read of its own has to begin while enough of the
// limit is left to carry and decode 0.4 MB on a link of 10 Mbit/s with a seventh of a core.
func TestInstanceReadsTheStoreInTimeForALargeConfiguration(t *testing.T) {
	const (
		limit = 3 * time.Second
		// largeRead is the time that such a read takes, less what it may wait for others.
		largeRead = 800 * time.Millisecond
	)
	for name, c := range map[string]struct {
		hears  bool
		within time.Duration
	}{
		"the reader is cut off": {true, limit - largeRead},
		"the reader has ended":  {false, limit / 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			catalog, startedAt := readingCatalog(limit), time.Now()
			catalog.ReadsForPeers, catalog.HearsReader = func() bool { return false }, func() bool { return c.hears }
			firstRead := make(chan time.Duration, 1)
			list := catalog.Store.List
			catalog.Store.List = func(ctx context.Context, kind platformstore.Kind, stale bool) (platformstore.Page, error) {
				if kind == catalog.Kinds.Configuration {
					select {
					case firstRead <- time.Since(startedAt):
					default:
					}
				}
				return list(ctx, kind, stale)
			}
			catalog.Followers()[catalog.Kinds.Configuration].Merge(confirmedConfiguration(startedAt))
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { defer close(done); catalog.Run(ctx) }()
			if after := <-firstRead; after > c.within {
				t.Errorf("%s: the store is read after %s, want %s at most", name, after, c.within)
			}
			cancel()
			<-done
		})
	}
}

// confirmedConfiguration returns the replica of a peer that was confirmed at a time.
func confirmedConfiguration(at time.Time) (catalog.State, bool, []platformstore.Object) {
	return catalog.State{Revision: 1, ConfirmedAt: at}, true, []platformstore.Object{{Name: "main", Revision: 1, Value: json.RawMessage(`{}`)}}
}

// readingCatalog returns a catalog that reads an unchanging store; limit is its limit
// for the configuration and for the targets.
func readingCatalog(limit time.Duration) *catalog.Catalog {
	return &catalog.Catalog{
		Kinds:               catalog.Kinds{Configuration: "config", Targets: "targets", Versions: "versions", ConfigurationName: "main"},
		Store:               unchangingStore(),
		DecodeConfiguration: func(json.RawMessage) (*deployment.Configuration, error) { return &deployment.Configuration{}, nil },
		DecodeTarget: func(string, json.RawMessage) (deployment.Target, error) {
			return deployment.Target{}, platformstore.ErrMalformed.New("none")
		},
		DecodeVersion: func(string, json.RawMessage) (deployment.AdapterVersion, error) {
			return deployment.AdapterVersion{}, platformstore.ErrMalformed.New("none")
		},
		ConfigurationLimit: limit,
		TargetsLimit:       limit,
		Now:                time.Now,
		Log:                zap.NewNop(),
	}
}

// TestLostResponsesKeepKeysConfirmed guards against a reader without peers that refuses all
// requests with keys because a few responses of the store in a row were lost or late: the
// configuration must stay confirmed within key_limit, less the margin of the gateway.
func TestLostResponsesKeepKeysConfirmed(t *testing.T) {
	const (
		limit     = 2 * time.Second
		maxAge    = 4500 * time.Millisecond
		maxLost   = 3
		callLimit = 800 * time.Millisecond
	)
	for lost := 1; lost <= maxLost; lost++ {
		synctest.Test(t, func(t *testing.T) {
			c, calls := readingCatalog(limit), 0
			watch := c.Store.Watch
			c.Store.Watch = func(ctx context.Context, kind platformstore.Kind, after uint64, maxWait time.Duration) (platformstore.Page, error) {
				if kind != c.Kinds.Configuration {
					return watch(ctx, kind, after, maxWait)
				}
				calls++
				if calls == 1 || calls > 1+lost {
					return watch(ctx, kind, after, maxWait)
				}
				time.Sleep(maxWait + callLimit)
				return platformstore.Page{}, platformstore.ErrUnavailable.New("lost")
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { defer close(done); c.Run(ctx) }()
			var oldest time.Duration
			for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if age, ok := c.ConfigurationAge(); ok {
					oldest = max(oldest, age)
				}
			}
			cancel()
			<-done
			t.Logf("%d lost in a row: a confirmation gets %s old", lost, oldest)
			if oldest == 0 || oldest >= maxAge {
				t.Errorf("%d lost in a row: a confirmation gets %s old, keys need one within %s", lost, oldest, maxAge)
			}
		})
	}
}
