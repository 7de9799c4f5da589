package peer

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/origin"
	"heatherrelay/internal/wait"
)

const (
	// maxOriginQueries bounds the other instances that are asked when no holder has the
	// record.
	maxOriginQueries = 16
	// lookupTimeout bounds the calls of the first round of a look-up. If the service
	// has several versions and nobody has the record, which may be on its way, further
	// rounds follow after lookupPause, up to lookupRounds, each with lookupTimeoutStep
	// more.
	lookupTimeout     = 250 * time.Millisecond
	lookupTimeoutStep = 150 * time.Millisecond
	lookupPause       = 100 * time.Millisecond
	lookupRounds      = 3
)

// OriginSource is where the record of a stream was found.
type OriginSource string

// The sources of records. OriginUnknown means that there is no record.
const (
	OriginInMemory OriginSource = "memory"
	OriginAtPeer   OriginSource = "peer"
	OriginInStore  OriginSource = "store"
	OriginUnknown  OriginSource = "none"
)

// OriginLookup is the result of a look-up of a stream's record.
type OriginLookup struct {
	origin.Record
	Source OriginSource
	// Several is set if the service has or recently had several versions, or if nobody
	// can say that it had not at the time of the look-up.
	Several bool
	// ConfirmedBy is what said that it had not; empty unless that mattered.
	ConfirmedBy VersionSource
}

// OriginCounters counts look-ups by their result.
type OriginCounters struct {
	InMemory, AtPeer, InStore, Unknown atomic.Uint64
}

// versionKnowledge is what is known of the number of versions of a service.
type versionKnowledge struct {
	// several is set if it has or recently had several, complete if somebody knows of
	// all that it had.
	several, complete bool
}

func (k versionKnowledge) merge(other versionKnowledge) versionKnowledge {
	return versionKnowledge{several: k.several || other.several, complete: k.complete || other.complete}
}

// onlyOne reports whether the service certainly has and had one version.
func (k versionKnowledge) onlyOne() bool { return !k.several && k.complete }

// LookupOrigin returns the record of the stream that a request began. It asks the
// holders, also if this instance knows of one version only, since it may learn of a
// second one later than they do, and reads the store if these have no record.
func (n *Network) LookupOrigin(ctx context.Context, requestID, service string) OriginLookup {
	found := n.lookupOrigin(ctx, requestID, service)
	switch found.Source {
	case OriginInMemory:
		n.OriginLookups.InMemory.Add(1)
	case OriginAtPeer:
		n.OriginLookups.AtPeer.Add(1)
	case OriginInStore:
		n.OriginLookups.InStore.Add(1)
	default:
		n.OriginLookups.Unknown.Add(1)
	}
	return found
}

func (n *Network) lookupOrigin(ctx context.Context, requestID, service string) OriginLookup {
	askedAt, known, confirmedBy := n.Now(), n.ownKnowledge(service), VersionSource("")
	for round := range lookupRounds {
		if r, ok := n.Origins.Get(requestID); ok {
			return OriginLookup{Record: r, Source: OriginInMemory, Several: known.several}
		}
		var atPeer *v1.StreamOrigin
		if atPeer, known = n.queryPeers(ctx, requestID, service, known, lookupTimeout+time.Duration(round)*lookupTimeoutStep); atPeer != nil {
			return OriginLookup{Record: originFrom(atPeer, n.Now()), Source: OriginAtPeer, Several: known.several}
		}
		if known.onlyOne() {
			if known, confirmedBy = n.confirmVersions(ctx, service, askedAt, known); known.onlyOne() && confirmedBy != VersionsUnconfirmed {
				return OriginLookup{Source: OriginUnknown, ConfirmedBy: confirmedBy}
			}
		}
		last := !known.several || round+1 == lookupRounds
		if r, ok := n.findStored(ctx, requestID, last); ok {
			return OriginLookup{Record: r, Source: OriginInStore, Several: true}
		}
		if last || wait.Sleep(ctx, lookupPause) != nil {
			break
		}
	}
	return OriginLookup{Source: OriginUnknown, Several: true, ConfirmedBy: confirmedBy}
}

// queryPeers asks the holders of a record and then further instances, unless it is
// certain that the service has one version only. known is what this instance knows; the
// result adds what the others do.
func (n *Network) queryPeers(ctx context.Context, requestID, service string, known versionKnowledge, timeout time.Duration) (*v1.StreamOrigin, versionKnowledge) {
	peers := n.rankedPeers(requestID, originHolders+maxOriginQueries)
	holders := min(originHolders, len(peers))
	for _, group := range [][]remote{peers[:holders], peers[holders:]} {
		found, there := n.queryOrigin(ctx, group, requestID, service, timeout)
		if known = known.merge(there); found != nil || !known.several && n.Versions.Complete() {
			return found, known
		}
	}
	return nil, known
}

// queryOrigin asks instances for the record of a stream, all at once. It returns the
// first record that arrives, or nil once all have answered or failed.
func (n *Network) queryOrigin(ctx context.Context, peers []remote, requestID, service string, timeout time.Duration) (found *v1.StreamOrigin, known versionKnowledge) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := &v1.LookupOriginRequest{RequestId: requestID, Service: service}
	hasOrigin := func(response *v1.LookupOriginResponse) bool { return response.GetOrigin() != nil }
	for _, response := range n.lookupAtAll(ctx, peers, request, hasOrigin) {
		known, found = known.merge(knowledgeOf(response)), response.GetOrigin()
	}
	return found, known
}

// lookupAtAll sends a request to instances, all at once. It returns the answers of those that
// do not fail, up to the first one that is enough.
func (n *Network) lookupAtAll(ctx context.Context, peers []remote, request *v1.LookupOriginRequest, enough func(*v1.LookupOriginResponse) bool) []*v1.LookupOriginResponse {
	responses := make(chan *v1.LookupOriginResponse, len(peers))
	for _, p := range peers {
		go func() {
			response, err := p.client.LookupOrigin(ctx, request)
			if err != nil && ctx.Err() == nil {
				n.Log.Debug("origin of a stream not looked up", zap.String("peer", p.ID), zap.Error(err))
			}
			responses <- response
		}()
	}
	var answers []*v1.LookupOriginResponse
	for range peers {
		response := <-responses
		if response == nil {
			continue
		}
		if answers = append(answers, response); enough(response) {
			break
		}
	}
	return answers
}

// LookupOrigin returns the record of a stream if this instance has it, or finds it in the
// store if it is asked to.
func (s *server) LookupOrigin(ctx context.Context, request *v1.LookupOriginRequest) (*v1.LookupOriginResponse, error) {
	n := s.network
	confirmed := request.GetConfirmVersions() && n.confirmOwnVersions(ctx, n.Now())
	known := n.ownKnowledge(request.GetService())
	response := &v1.LookupOriginResponse{SeveralVersions: known.several, VersionsComplete: known.complete, VersionsConfirmed: confirmed}
	if r, ok := n.Origins.Get(request.GetRequestId()); ok {
		response.Origin = originMessage(r, n.Now())
		return response, nil
	}
	if !request.GetFromStore() || n.Archive == nil {
		return response, nil
	}
	if err := n.addStored(ctx, request, response); err != nil {
		return nil, err
	}
	return response, nil
}
