package peer

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/origin"
)

const (
	// storeBatchDelay is how long a record waits for others to the same writer.
	storeBatchDelay = 40 * time.Millisecond
	// instancesPerShard and maxShards set the number of shards, and so of instances that
	// write origins at the same time.
	instancesPerShard = 32
	maxShards         = 8
)

// storeUnstoredOrigins has the records that wait for it written to the store.
func (n *Network) storeUnstoredOrigins() {
	n.mu.Lock()
	records := n.unstoredOrigins
	n.unstoredOrigins = nil
	n.mu.Unlock()
	n.storeOrigins(context.Background(), records)
}

// storeOrigins has records written to the store by the first writer of this instance's
// shard that takes them.
func (n *Network) storeOrigins(ctx context.Context, records []origin.Record) {
	if n.Archive == nil || len(records) == 0 {
		return
	}
	shard := n.originShard()
	for batch := range slices.Chunk(records, maxOriginBatch) {
		n.storeAtWriter(ctx, shard, batch)
	}
}

// storeAtWriter hands records to the first writer that takes them. If none of those that
// it asks does, this instance writes them.
func (n *Network) storeAtWriter(ctx context.Context, shard int, records []origin.Record) {
	now := n.Now()
	request := &v1.RecordOriginsRequest{StoreShard: uint32(shard)}
	for _, r := range records {
		request.Origins = append(request.Origins, originMessage(r, now))
	}
	for _, w := range n.rankedWriters("origins-"+strconv.Itoa(shard), storeWriters) {
		if w.ID == n.Self.ID {
			if n.store(shard, records) {
				return
			}
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, recordTimeout)
		response, err := w.client.RecordOrigins(callCtx, request)
		cancel()
		if err == nil && response.GetStored() {
			return
		}
		if err == nil {
			n.passOver(w.ID)
		}
		n.Log.Debug("origins of streams not handed to a writer", zap.String("peer", w.ID), zap.Int("records", len(records)), zap.Error(err))
	}
	if !n.store(shard, records) {
		n.Log.Warn("origins of streams not stored, no writer reaches the store", zap.Int("records", len(records)))
	}
}

// errStoreUnreachable is the error of an instance that keeps records for the store but
// cannot write them at present.
var errStoreUnreachable = errors.New("the store cannot be written")

// store has records written to the store by this instance. It reports whether that is to
// be expected soon; if not, others write them as well.
func (n *Network) store(shard int, records []origin.Record) bool {
	n.Archive.Add(shard, records...)
	return n.Archive.Available()
}

// originShard returns the shard of this instance's records: a number from 1.
func (n *Network) originShard() int {
	return int(xxhash.Sum64String(n.Self.ID)%uint64(n.originShards())) + 1
}

// originShards returns the number of shards, which is also that of the shares of ids for
// which an instance reads the store.
func (n *Network) originShards() int {
	return min((n.MemberCount()-1)/instancesPerShard+1, maxShards)
}
