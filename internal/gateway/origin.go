package gateway

import (
	"slices"

	"go.uber.org/zap"

	"heatherrelay/internal/crash"
	"heatherrelay/internal/deployment"
	"heatherrelay/internal/origin"
	"heatherrelay/internal/peer"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/upstream"
)

// softwareVersion is the version of targets to which a stream is bound. The zero value
// binds it to none.
type softwareVersion struct {
	bound   bool
	version string
	// source is where the version of a stream that the client resumes was found.
	source peer.OriginSource
	// confirmedBy is what said that the service has and had one version only.
	confirmedBy peer.VersionSource
}

// admits reports whether the exchange's stream may go on at a target, as far as is known
// before the target is asked which of its processes it is.
func (e *exchange) admits(t deployment.Target) bool {
	if !e.software.bound {
		return true
	}
	if id, generation, ok := origin.ParseProcessVersion(e.software.version); ok {
		return t.ID == id && t.Generation <= generation && !e.server.Processes.Replaced(deployment.Target{ID: id, Generation: generation})
	}
	switch {
	case t.SoftwareVersion != e.software.version:
		return false
	case e.anyProcess:
		return !e.mayBeReplaced(t)
	}
	return !e.server.Processes.Replaced(t)
}

// mayBeReplaced reports whether the process that a target's entry names is known to have
// ended, so that another one may answer at its address.
func (e *exchange) mayBeReplaced(t deployment.Target) bool {
	if e.server.Processes.Replaced(t) {
		return true
	}
	_, crashed := e.server.Crashes.LearnedAt(crash.Process{Target: t.ID, Generation: t.Generation})
	return crashed
}

// resolveVersion replaces what stands for the version of the process that began the stream
// by its software version, once an entry has named the process.
func (e *exchange) resolveVersion() {
	id, generation, ok := origin.ParseProcessVersion(e.software.version)
	if !ok {
		return
	}
	if version, listed := e.server.Processes.Version(id, generation); listed {
		e.software.version = version
	}
}

// bindToOrigin binds a stream that the client resumes to the software version that
// began it. It refuses the request if that version is unknown and the service has or
// may have had several.
func (e *exchange) bindToOrigin() *refusal.Error {
	if !e.resumesStream() {
		return nil
	}
	s := e.server
	found := s.Network.LookupOrigin(e.ctx, e.request.ResumedID, e.service)
	e.software.source, e.software.confirmedBy = found.Source, found.ConfirmedBy
	if r := found.Record; found.Source != peer.OriginUnknown && (r.Service == e.service || e.routeHas(r.Service)) {
		e.service, e.software = r.Service, softwareVersion{bound: true, version: r.Version, source: found.Source}
		r.At = s.Now()
		s.Network.RecordOrigin(r)
		return nil
	}
	if found.Several {
		return refusal.NotRun(refusal.CodeNoTarget, "unknown which software version of %s began the stream", e.service).WithRetryAfter(retrySoon)
	}
	version, known := s.Network.Versions.Only(e.service)
	if !known || s.Network.Versions.Several(e.service) {
		return refusal.NotRun(refusal.CodeNoTarget, "the targets of %s have changed", e.service).WithRetryAfter(retrySoon)
	}
	e.software.version, e.software.bound = version, true
	return nil
}

// resumesStream reports whether the client asks for the rest of a stream.
func (e *exchange) resumesStream() bool {
	return e.route.Kind == deployment.Streaming && e.request.LastEventID != ""
}

// routeHas reports whether a service is one of the route's backends.
func (e *exchange) routeHas(service string) bool {
	return slices.ContainsFunc(e.route.Backends, func(b deployment.Backend) bool { return b.Service == service })
}

// bindToTarget binds a stream, once it has an event of its target, to the target's
// software version, and records that for clients that resume the stream.
func (e *exchange) bindToTarget() {
	if e.software.bound {
		return
	}
	version := e.answeringVersion()
	e.software.bound, e.software.version = true, version
	if e.request.LastEventID != "" {
		return
	}
	if !origin.IsSoftwareVersion(version) {
		e.server.Network.Versions.RecordUnknown(e.service)
	}
	e.server.Network.RecordOrigin(origin.Record{RequestID: e.request.ID, Service: e.service, Version: version, At: e.server.Now()})
}

// answeringVersion returns the software version of the process that answers, or what stands
// for it. Where the process is not known, the version of the target's entry is taken unless
// the process of the entry is known to have ended.
func (e *exchange) answeringVersion() string {
	s, head, t := e.server, &e.response.ResponseHead, e.target
	switch {
	case !e.processMatters(t), head.Identified && (head.Generation == 0 || head.Generation == t.Generation):
		return t.SoftwareVersion
	case head.Identified:
		if version, listed := s.Processes.Version(t.ID, head.Generation); listed {
			return version
		}
		return origin.ProcessVersion(t.ID, head.Generation)
	case e.mayBeReplaced(t):
		return origin.UnknownVersion
	}
	return t.SoftwareVersion
}

// processMatters reports whether it matters which process of a target gets the request: it
// is for a stream that may be resumed, and the target can be asked.
func (e *exchange) processMatters(t deployment.Target) bool {
	if e.route.Kind != deployment.Streaming || !e.route.Repeatable() || t.Generation == 0 {
		return false
	}
	service := e.configuration.Services[t.Service]
	return service != nil && service.Engine != nil
}

// identify has an attempt be sent only to a process of its target that is known, and, if
// the stream is bound to a software version, has that version.
func (e *exchange) identify(attempt *upstream.Attempt, t deployment.Target) {
	if !e.processMatters(t) {
		return
	}
	attempt.Identify = !e.anyProcess || e.software.bound && !slices.Contains(e.unidentified, t.ID)
	if !e.software.bound {
		return
	}
	attempt.Generation = t.Generation
	if _, generation, ok := origin.ParseProcessVersion(e.software.version); ok {
		attempt.Generation = generation
	}
}

// maxUnidentified is how many targets may fail to say in time which of their processes they
// are before a stream is sent to one of which that is not known.
const maxUnidentified = 2

// recordNotIdentified records an attempt that was not sent since its target was not known to
// be the process that may get the request.
func (e *exchange) recordNotIdentified(err error) {
	e.recordStep("send", e.target.ID, "not_identified: "+err.Error())
	if upstream.ErrUnidentified.Has(err) {
		e.unidentified = append(e.unidentified, e.target.ID)
		e.recordTargetFailure(err)
	}
}

// acceptAnyProcess has the stream be sent to targets that fail to say in time which of their
// processes they are, also to those that were excluded for it, unless it is bound to a version
// that no entry names. It reports whether that changes anything.
func (e *exchange) acceptAnyProcess() bool {
	if e.software.bound && !origin.IsSoftwareVersion(e.software.version) || e.anyProcess || len(e.unidentified) == 0 {
		return false
	}
	e.anyProcess = true
	for _, id := range e.unidentified {
		delete(e.excluded, id)
	}
	return true
}

// versionField returns the log field of the software version that a stream is bound to.
func (e *exchange) versionField() zap.Field {
	return zap.String("software_version", e.software.version)
}
