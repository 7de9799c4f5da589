package peer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/gen/heatherrelay/v1/heatherrelayv1connect"
	"heatherrelay/internal/origin"
)

const (
	// originHolders is how many other instances hold the record of a stream. With one
	// in each zone, records outlast the loss of a zone and of several instances.
	originHolders = 3
	// originBatchDelay is how long a record waits for others to the same holders. An
	// instance that is killed within it takes the record along.
	originBatchDelay = 10 * time.Millisecond
	// maxOriginBatch bounds the records in one message.
	maxOriginBatch = 2000
	// recordTimeout bounds a call that records origins, which is made up to
	// recordAttempts times: a holder that is busy takes the records late.
	recordTimeout  = time.Second
	recordAttempts = 3
)

// RecordOrigin records which software version began a stream. If the service has
// several, other instances and the store hold the record too, for clients that resume
// the stream elsewhere; if this instance cannot know whether it has, other instances do.
// It does not block.
func (n *Network) RecordOrigin(r origin.Record) {
	n.Origins.Put(r)
	several := n.Versions.NeedsRecords(r.Service)
	if !several && n.Versions.Complete() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pendingOrigins = append(n.pendingOrigins, r)
	if len(n.pendingOrigins) == 1 {
		time.AfterFunc(originBatchDelay, n.sendPendingOrigins)
	}
	if !several {
		return
	}
	n.unstoredOrigins = append(n.unstoredOrigins, r)
	if len(n.unstoredOrigins) == 1 {
		time.AfterFunc(storeBatchDelay, n.storeUnstoredOrigins)
	}
}

// ReplicateOrigins has other instances hold the records of all streams of the services
// that satisfy match, and waits until they have answered or ctx ends. An instance calls
// it before it ends.
func (n *Network) ReplicateOrigins(ctx context.Context, match func(service string) bool) {
	n.sendOrigins(ctx, n.Origins.All(match))
}

// PublishOrigins has other instances and the store hold the records of all streams of
// the services that satisfy match. An instance calls it when a service gets a second
// version.
func (n *Network) PublishOrigins(ctx context.Context, match func(service string) bool) {
	records := n.Origins.All(match)
	n.storeOrigins(ctx, records)
	n.sendOrigins(ctx, records)
}

func (n *Network) sendPendingOrigins() {
	n.mu.Lock()
	pending := n.pendingOrigins
	n.pendingOrigins = nil
	n.mu.Unlock()
	n.sendOrigins(context.Background(), pending)
}

// sendOrigins sends each record to its holders, and again to a holder that did not
// answer.
func (n *Network) sendOrigins(ctx context.Context, records []origin.Record) {
	type batch struct {
		client  heatherrelayv1connect.FleetServiceClient
		origins []*v1.StreamOrigin
	}
	batches := map[string]*batch{}
	now := n.Now()
	for _, r := range records {
		for _, h := range n.rankedPeers(r.RequestID, originHolders) {
			b, ok := batches[h.ID]
			if !ok {
				b = &batch{client: h.client}
				batches[h.ID] = b
			}
			b.origins = append(b.origins, originMessage(r, now))
		}
	}
	var group conc.WaitGroup
	for id, b := range batches {
		for origins := range slices.Chunk(b.origins, maxOriginBatch) {
			group.Go(func() {
				if err := recordAt(ctx, b.client, origins); err != nil {
					n.Log.Debug("origins of streams not recorded", zap.String("peer", id), zap.Int("records", len(origins)), zap.Error(err))
				}
			})
		}
	}
	group.Wait()
}

// recordAt has an instance hold records. It returns the error of the last attempt.
func recordAt(ctx context.Context, client heatherrelayv1connect.FleetServiceClient, origins []*v1.StreamOrigin) error {
	var err error
	for range recordAttempts {
		callCtx, cancel := context.WithTimeout(ctx, recordTimeout)
		_, err = client.RecordOrigins(callCtx, &v1.RecordOriginsRequest{Origins: origins})
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// rankedPeers returns the instances that are alive in the order in which they hold the
// record of a stream, at most count. The first of each zone come first.
func (n *Network) rankedPeers(requestID string, count int) []remote {
	candidates := byWeight(requestID, n.aliveRemotes())
	zones := map[string]bool{}
	var first, rest []remote
	for _, c := range candidates {
		if zones[c.Zone] {
			rest = append(rest, c)
			continue
		}
		zones[c.Zone] = true
		first = append(first, c)
	}
	peers := append(first, rest...)
	return peers[:min(count, len(peers))]
}

// aliveRemotes returns the other instances that are alive and do not shut down.
func (n *Network) aliveRemotes() []remote {
	n.mu.RLock()
	defer n.mu.RUnlock()
	now := n.Now()
	var alive []remote
	for _, r := range n.remotes {
		if r.alive(now) && !r.status.leaving {
			alive = append(alive, *r)
		}
	}
	return alive
}

// byWeight returns instances in the order of their weights for a key, which all
// instances compute alike.
func byWeight(key string, instances []remote) []remote {
	weights := make(map[string]uint64, len(instances))
	for _, r := range instances {
		weights[r.ID] = xxhash.Sum64String(key + "\x00" + r.ID)
	}
	slices.SortFunc(instances, func(a, b remote) int { return cmp.Compare(weights[b.ID], weights[a.ID]) })
	return instances
}

func originMessage(r origin.Record, now time.Time) *v1.StreamOrigin {
	return &v1.StreamOrigin{RequestId: r.RequestID, Service: r.Service, Version: r.Version, AgeMs: max(now.Sub(r.At).Milliseconds(), 0)}
}

func originFrom(m *v1.StreamOrigin, now time.Time) origin.Record {
	at := now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
	return origin.Record{RequestID: m.GetRequestId(), Service: m.GetService(), Version: m.GetVersion(), At: at}
}

// RecordOrigins holds the records of another instance, and writes them to the store if
// it is asked to.
func (s *server) RecordOrigins(_ context.Context, request *v1.RecordOriginsRequest) (*v1.RecordOriginsResponse, error) {
	n := s.network
	now := n.Now()
	var records []origin.Record
	for _, o := range request.GetOrigins() {
		records = append(records, originFrom(o, now))
		n.Origins.Put(originFrom(o, now))
	}
	shard := request.GetStoreShard()
	if n.Archive == nil || shard == 0 || shard > maxShards {
		return &v1.RecordOriginsResponse{}, nil
	}
	if !n.store(int(shard), records) {
		return nil, connect.NewError(connect.CodeUnavailable, errStoreUnreachable)
	}
	return &v1.RecordOriginsResponse{Stored: true}, nil
}
