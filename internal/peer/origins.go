package peer

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/gen/heatherrelay/v1/heatherrelayv1connect"
	"heatherrelay/internal/origin"
	"heatherrelay/internal/wait"
)

const (
	// originHolders is how many other instances hold the record of a stream. With one
	// in each zone, records outlast the loss of a zone and of several instances.
	originHolders = 3
	// maxOriginQueries bounds the other instances that are asked when no holder has the
	// record.
	maxOriginQueries = 16
	// originBatchDelay is how long a record waits for others to the same holders. An
	// instance that is killed within it takes the record along.
	originBatchDelay = 10 * time.Millisecond
	// maxOriginBatch bounds the records in one message.
	maxOriginBatch = 2000
	// recordTimeout bounds a call that records origins, which is made up to
	// recordAttempts times: a holder that is busy takes the records late.
	recordTimeout  = time.Second
	recordAttempts = 3
	// lookupTimeout bounds the calls of the first round of a look-up. If the service
	// has several versions and nobody has the record, which may be on its way, further
	// rounds follow after lookupPause, up to lookupRounds, each with lookupTimeoutStep
	// more.
	lookupTimeout     = 250 * time.Millisecond
	lookupTimeoutStep = 150 * time.Millisecond
	lookupPause       = 100 * time.Millisecond
	lookupRounds      = 3
)

// RecordOrigin records which software version began a stream. If the service has
// several, other instances hold the record too, for clients that resume the stream
// there. It does not block.
func (n *Network) RecordOrigin(r origin.Record) {
	n.Origins.Put(r)
	if !n.Versions.Several(r.Service) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pendingOrigins = append(n.pendingOrigins, r)
	if len(n.pendingOrigins) == 1 {
		time.AfterFunc(originBatchDelay, n.sendPendingOrigins)
	}
}

// ReplicateOrigins has other instances hold the records of all streams of the services
// that satisfy match, and waits until they have answered or ctx ends. An instance calls
// it when a service gets a second version, and before it ends.
func (n *Network) ReplicateOrigins(ctx context.Context, match func(service string) bool) {
	n.sendOrigins(ctx, n.Origins.All(match))
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

// LookupOrigin returns the record of the stream that a request began. It asks the
// holders, also if this instance knows of one version only: it may learn of a second
// one later than they do. Without a record it reports whether the service has or
// recently had several versions, as far as this instance and those that answered know.
func (n *Network) LookupOrigin(ctx context.Context, requestID, service string) (r origin.Record, known, several bool) {
	several = n.Versions.Several(service)
	for round := range lookupRounds {
		if r, known = n.Origins.Get(requestID); known {
			return r, true, several
		}
		var found *v1.StreamOrigin
		if found, several = n.queryPeers(ctx, requestID, service, several, lookupTimeout+time.Duration(round)*lookupTimeoutStep); found != nil {
			return originFrom(found, n.Now()), true, several
		}
		if !several || round+1 == lookupRounds || wait.Sleep(ctx, lookupPause) != nil {
			break
		}
	}
	return origin.Record{}, false, several
}

// queryPeers asks the holders of a record and then further instances, unless it is
// certain that the service has one version only. several is what this instance knows;
// the result adds what the others do.
func (n *Network) queryPeers(ctx context.Context, requestID, service string, several bool, timeout time.Duration) (*v1.StreamOrigin, bool) {
	peers := n.rankedPeers(requestID, originHolders+maxOriginQueries)
	holders := min(originHolders, len(peers))
	for _, group := range [][]remote{peers[:holders], peers[holders:]} {
		found, severalThere := n.queryOrigin(ctx, group, requestID, service, timeout)
		if found != nil {
			return found, several
		}
		if several = several || severalThere; !several && n.Versions.Complete() {
			break
		}
	}
	return nil, several
}

// queryOrigin asks instances for the record of a stream, all at once. It returns the
// first record that arrives, or nil once all have answered or failed.
func (n *Network) queryOrigin(ctx context.Context, peers []remote, requestID, service string, timeout time.Duration) (found *v1.StreamOrigin, several bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	responses := make(chan *v1.LookupOriginResponse, len(peers))
	for _, p := range peers {
		go func() {
			response, err := p.client.LookupOrigin(ctx, &v1.LookupOriginRequest{RequestId: requestID, Service: service})
			if err != nil && ctx.Err() == nil {
				n.Log.Debug("origin of a stream not looked up", zap.String("peer", p.ID), zap.Error(err))
			}
			responses <- response
		}()
	}
	for range peers {
		response := <-responses
		several = several || response.GetSeveralVersions()
		if o := response.GetOrigin(); o != nil {
			return o, several
		}
	}
	return nil, several
}

// rankedPeers returns the instances that are alive in the order in which they hold the
// record of a stream, at most count. The first of each zone come first.
func (n *Network) rankedPeers(requestID string, count int) []remote {
	type ranked struct {
		remote
		weight uint64
	}
	n.mu.RLock()
	now := n.Now()
	var candidates []ranked
	for _, r := range n.remotes {
		if r.alive(now) && !r.status.leaving {
			candidates = append(candidates, ranked{remote: *r, weight: xxhash.Sum64String(requestID + "\x00" + r.ID)})
		}
	}
	n.mu.RUnlock()
	slices.SortFunc(candidates, func(a, b ranked) int {
		if a.weight > b.weight {
			return -1
		}
		return 1
	})
	zones := map[string]bool{}
	var first, rest []remote
	for _, c := range candidates {
		if zones[c.Zone] {
			rest = append(rest, c.remote)
			continue
		}
		zones[c.Zone] = true
		first = append(first, c.remote)
	}
	peers := append(first, rest...)
	return peers[:min(count, len(peers))]
}

func originMessage(r origin.Record, now time.Time) *v1.StreamOrigin {
	return &v1.StreamOrigin{RequestId: r.RequestID, Service: r.Service, Version: r.Version, AgeMs: max(now.Sub(r.At).Milliseconds(), 0)}
}

func originFrom(m *v1.StreamOrigin, now time.Time) origin.Record {
	at := now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
	return origin.Record{RequestID: m.GetRequestId(), Service: m.GetService(), Version: m.GetVersion(), At: at}
}

// RecordOrigins holds the records of another instance.
func (s *server) RecordOrigins(_ context.Context, request *v1.RecordOriginsRequest) (*v1.RecordOriginsResponse, error) {
	now := s.network.Now()
	for _, o := range request.GetOrigins() {
		s.network.Origins.Put(originFrom(o, now))
	}
	return &v1.RecordOriginsResponse{}, nil
}

// LookupOrigin returns the record of a stream if this instance has it.
func (s *server) LookupOrigin(_ context.Context, request *v1.LookupOriginRequest) (*v1.LookupOriginResponse, error) {
	n := s.network
	response := &v1.LookupOriginResponse{SeveralVersions: n.Versions.Several(request.GetService())}
	if r, ok := n.Origins.Get(request.GetRequestId()); ok {
		response.Origin = originMessage(r, n.Now())
	}
	return response, nil
}
