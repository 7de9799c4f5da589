package peer

import (
	"context"
	"slices"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/origin"
)

const (
	// readerTimeout bounds a call to an instance that reads the store.
	readerTimeout = 1500 * time.Millisecond
	// readerSilence is how long after it was last seen an instance may still be the one that
	// reads the store. It is longer than aliveTimeout, since what instances know of each
	// other's silence differs while exchanges are late.
	readerSilence = 3 * time.Second
	// probeTimeout bounds a probe of an instance that is not seen to be alive, probeValidity
	// is how long one that did not answer is left out.
	probeTimeout  = time.Second
	probeValidity = 2 * time.Second
	// storedTimeout bounds a look-up in the store.
	storedTimeout = 2500 * time.Millisecond
	// ownReadInterval is the least time between two readings of an instance that reaches
	// no reader, for each member: together they read no more often than that.
	ownReadInterval = 100 * time.Millisecond
)

// findStored returns the record of a stream that the store holds. Few instances read the
// store, each for a share of the ids, however many ask. If wait is set, it includes
// records that are stored at the time of the call, else those of the last reading.
func (n *Network) findStored(ctx context.Context, requestID string, wait bool) (origin.Record, bool) {
	if n.Archive == nil {
		return origin.Record{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, storedTimeout)
	defer cancel()
	share := int(xxhash.Sum64String(requestID) % uint64(n.originShards()))
	for _, r := range n.originReaders(ctx, "origin-readers-"+strconv.Itoa(share)) {
		var found origin.Found
		if r.ID == n.Self.ID {
			found = n.readStored(ctx, requestID, wait)
		} else {
			found = n.findAtReader(ctx, r, requestID, wait)
		}
		if found.Read || ctx.Err() != nil {
			return found.Record, found.OK
		}
	}
	found := n.Archive.FindRarely(ctx, requestID, time.Duration(n.MemberCount())*ownReadInterval)
	return found.Record, found.OK
}

// originReaders returns the instances to ask for what the store holds, the first one first.
// The first is the same for all instances while what they know of its silence differs: if
// it does not seem alive here, it is asked whether it is.
func (n *Network) originReaders(ctx context.Context, key string) []remote {
	readers := n.rankedWriters(key, storeWriters)
	silent := slices.DeleteFunc(n.silentRemotes(), func(r remote) bool { return !n.writes(r) })
	first := byWeight(key, append(silent, readers[:min(1, len(readers))]...))
	if len(first) == 0 || len(readers) > 0 && first[0].ID == readers[0].ID || !n.probe(ctx, first[0]) {
		return readers
	}
	return append(first[:1:1], readers...)
}

// silentRemotes returns the other instances that are not alive but were not silent for
// longer than readerSilence, except those that did not answer a probe lately.
func (n *Network) silentRemotes() []remote {
	n.mu.RLock()
	defer n.mu.RUnlock()
	now := n.Now()
	var silent []remote
	for _, r := range n.remotes {
		recent := !r.alive(now) && now.Sub(r.lastSeenAt) <= readerSilence
		if recent && !r.status.leaving && now.Sub(r.unansweredAt) > probeValidity {
			silent = append(silent, *r)
		}
	}
	return silent
}

// probe reports whether an instance answers a call now.
func (n *Network) probe(ctx context.Context, r remote) bool {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := r.client.LookupOrigin(probeCtx, &v1.LookupOriginRequest{})
	if err == nil || ctx.Err() != nil {
		return err == nil
	}
	n.Log.Debug("silent peer does not answer", zap.String("peer", r.ID), zap.Error(err))
	n.mu.Lock()
	defer n.mu.Unlock()
	if known, ok := n.remotes[r.ID]; ok {
		known.unansweredAt = n.Now()
	}
	return false
}

func (n *Network) readStored(ctx context.Context, requestID string, wait bool) origin.Found {
	if wait {
		return n.Archive.FindAtNextReading(ctx, requestID)
	}
	return n.Archive.Find(ctx, requestID)
}

// findAtReader asks an instance to look into the store.
func (n *Network) findAtReader(ctx context.Context, r remote, requestID string, wait bool) origin.Found {
	ctx, cancel := context.WithTimeout(ctx, readerTimeout)
	defer cancel()
	response, err := r.client.LookupOrigin(ctx, &v1.LookupOriginRequest{RequestId: requestID, FromStore: true, AwaitReading: wait})
	if err != nil {
		n.Log.Debug("origin of a stream not looked up in the store", zap.String("peer", r.ID), zap.Error(err))
		return origin.Found{}
	}
	o := response.GetOrigin()
	if !response.GetStoreRead() && o == nil {
		n.passOver(r.ID)
		return origin.Found{}
	}
	if o == nil {
		return origin.Found{Read: true}
	}
	return origin.Found{Record: originFrom(o, n.Now()), OK: true, Read: true}
}

// addStored adds to a response what the store holds of a stream. It fails if the store
// cannot be read.
func (n *Network) addStored(ctx context.Context, request *v1.LookupOriginRequest, response *v1.LookupOriginResponse) error {
	found := n.readStored(ctx, request.GetRequestId(), request.GetAwaitReading())
	if !found.Read {
		return connect.NewError(connect.CodeUnavailable, errStoreUnreachable)
	}
	response.StoreRead = true
	if found.OK {
		response.Origin = originMessage(found.Record, n.Now())
	}
	return nil
}
