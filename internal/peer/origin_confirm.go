package peer

import (
	"context"
	"time"

	v1 "heatherrelay/internal/gen/heatherrelay/v1"
)

// confirmTimeout bounds the calls with which an instance has others confirm the versions of
// a service.
const confirmTimeout = 500 * time.Millisecond

// VersionSource is what confirmed that a service has and had one software version only.
type VersionSource string

// The sources of confirmations. VersionsUnconfirmed means that there is none.
const (
	VersionsByStore     VersionSource = "store"
	VersionsByPeer      VersionSource = "peer"
	VersionsByFleet     VersionSource = "fleet"
	VersionsUnconfirmed VersionSource = "none"
)

// confirmVersions has what this instance knows of a service's versions hold for a time. An
// instance that was suspended, or is cut off, does not know that targets of another version
// have begun streams meanwhile, so what it believes is not enough: the store has to say so,
// to this instance or to a peer. While the store answers nobody, nobody learns of a version
// that no instance knows, so the word of all instances is enough. It returns what is known
// then, and the source of the confirmation.
func (n *Network) confirmVersions(ctx context.Context, service string, at time.Time, known versionKnowledge) (versionKnowledge, VersionSource) {
	if n.confirmOwnVersions(ctx, at) {
		return known.merge(n.ownKnowledge(service)), VersionsByStore
	}
	holders := n.rankedPeers(n.Self.ID, originHolders)
	answers := n.askVersions(ctx, holders, service, true)
	for _, a := range answers {
		if a.GetVersionsConfirmed() {
			return known.merge(knowledgeOf(a)), VersionsByPeer
		}
	}
	if n.agreeOnOne(ctx, service, answers) {
		return known, VersionsByFleet
	}
	return known, VersionsUnconfirmed
}

// confirmOwnVersions reports whether Versions holds for a time, as the store confirms.
func (n *Network) confirmOwnVersions(ctx context.Context, at time.Time) bool {
	return n.ConfirmVersions == nil || n.ConfirmVersions(ctx, at)
}

// ownKnowledge returns what this instance knows of a service's versions.
func (n *Network) ownKnowledge(service string) versionKnowledge {
	return versionKnowledge{several: n.Versions.Several(service), complete: n.Versions.Complete()}
}

func knowledgeOf(response *v1.LookupOriginResponse) versionKnowledge {
	return versionKnowledge{several: response.GetSeveralVersions(), complete: response.GetVersionsComplete()}
}

// agreeOnOne reports whether all known instances, also silent ones, say now that a service
// has and had one version only. answers are what some of them have said already. It asks no
// more than maxOriginQueries others: a larger fleet agrees on nothing, nor does an instance
// alone, since there may be others that it has not heard of.
func (n *Network) agreeOnOne(ctx context.Context, service string, answers []*v1.LookupOriginResponse) bool {
	others := n.MemberCount() - 1
	if others == 0 || others > originHolders+maxOriginQueries {
		return false
	}
	for _, a := range answers {
		if knowledgeOf(a).several {
			return false
		}
	}
	peers := n.rankedPeers(n.Self.ID, others)
	answers = n.askVersions(ctx, peers, service, false)
	for _, a := range answers {
		if !knowledgeOf(a).onlyOne() {
			return false
		}
	}
	return len(answers) == others
}

// askVersions asks instances, all at once, which versions a service has and had, and to
// confirm that if confirm is set. It returns the answers that arrive in time.
func (n *Network) askVersions(ctx context.Context, peers []remote, service string, confirm bool) []*v1.LookupOriginResponse {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	request := &v1.LookupOriginRequest{Service: service, ConfirmVersions: confirm}
	return n.lookupAtAll(ctx, peers, request, func(*v1.LookupOriginResponse) bool { return false })
}
