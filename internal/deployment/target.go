package deployment

import (
	"net/netip"
	"time"
)

// TargetID identifies a registered target. A target that restarts may keep its ID;
// the generation distinguishes the starts.
type TargetID string

// Target is a registered back end: one engine, or one process of a plain service.
type Target struct {
	ID      TargetID
	Service string
	Address netip.AddrPort
	Zone    string
	// SoftwareVersion is the version of the target's software, not of its models. A
	// stream goes on only at the version that began it.
	SoftwareVersion string
	// Slots is how many requests the target runs at the same time; zero is unknown.
	Slots int
	// Draining targets get no new requests.
	Draining bool
	// TimeRemaining is the time until a target that is being preempted stops; zero
	// when it is not known.
	TimeRemaining time.Duration
	// ColdRemaining is how much longer the target stays cold, as it stated in its entry.
	ColdRemaining time.Duration
	// Generation distinguishes restarts under one ID.
	Generation int64
	// Models lists the base models that the target reports to hold.
	Models []ResidentModel
}

// ResidentModel is a base model that an engine holds, with the adapters loaded on
// it.
type ResidentModel struct {
	Name     string
	Adapters []Adapter
}

// Adapter is a LoRA adapter at a version; version 0 means unknown.
type Adapter struct {
	Name    string
	Version uint64
}

// AdapterName identifies an adapter by its base model and its own name. Adapter is
// empty when the base model itself is meant.
type AdapterName struct {
	Model   string
	Adapter string
}

// AdapterVersion is the announcement of a new version of an adapter.
type AdapterVersion struct {
	AdapterName
	Version uint64
}
