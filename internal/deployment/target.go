package deployment

import (
	"net/netip"
	"time"
)

// TargetID names one start of a target, or several starts that Born tells apart.
type TargetID string

// Target is a registered back end.
type Target struct {
	ID      TargetID
	Service string
	Address netip.AddrPort
	Zone    string
	Slots   int
	// Draining targets take no new requests.
	Draining bool
	// Remaining is how long a target that is taken away at short notice has left;
	// zero when it is not known.
	Remaining time.Duration
	// Born tells restarts under one id apart.
	Born int64
	// Models lists the base models that the target says it holds.
	Models []ResidentModel
}

// ResidentModel is a base model on an engine, and its adapters.
type ResidentModel struct {
	Name     string
	Adapters []Adapter
}

// Adapter is an adapter at a version; version 0 is not known.
type Adapter struct {
	Name    string
	Version uint64
}

// AdapterName names an adapter of a base model.
type AdapterName struct {
	Model   string
	Adapter string
}

// AdapterVersion announces the newest version of an adapter.
type AdapterVersion struct {
	AdapterName
	Version uint64
}
