package relay

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/origin"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
	"github.com/bellgap/bellgap/internal/softwareversion"
)

// Origins records and finds the software versions at which resumable streams began. It is an interface because its calls cross the
// network.
type Origins interface {
	// Record keeps the version of the endpoint that a stream is sent to. A later endpoint may replace it until the stream begins.
	Record(r origin.Record)
	// Begin records that a stream has begun. Its version does not change any more.
	Begin(r origin.Record)
	Find(ctx context.Context, attempt string) (origin.Record, bool)
}

// VersionHistory tells which software versions have served a service lately, and to which services routes have led. It is an interface
// because Read crosses the network.
type VersionHistory interface {
	// Known returns the histories that this box knows of.
	Known() softwareversion.Histories
	// Read returns the histories as they are stored now. A resumable stream begins only at a version and at a service of its route that have
	// been stored.
	Read(ctx context.Context) (softwareversion.Histories, error)
}

// versionBinding restricts a request to endpoints of one software version. The zero value allows all.
type versionBinding struct {
	bound   bool
	version string
}

// allows reports whether a request may go to an endpoint of a software version.
func (b versionBinding) allows(version string) bool { return !b.bound || b.version == version }

// bindTo restricts the rest of a request to a software version.
func (q *request) bindTo(version string) { q.binding = versionBinding{bound: true, version: version} }

// Connections tells what the connections to endpoints show. It separates this package from the transport.
type Connections interface {
	// Contact returns when the oldest open connection to an address was established, and when the endpoint there last ended or refused
	// one. The times are zero if there is none.
	Contact(address netip.AddrPort) (connectedSince, endedAt time.Time)
}

// entryLag is the longest time until this box knows the entry of an endpoint that has started. The users promise to write it at once.
const entryLag = 2 * time.Second

// versionTrust tells how sure it is that the process at an endpoint's address is the one whose software version its entry names.
type versionTrust int

const (
	// versionDoubted: the endpoint may have restarted since its entry was written.
	versionDoubted versionTrust = iota
	// versionAssumed: nothing speaks against the entry.
	versionAssumed
	// versionProven: the process has been connected to for longer than a newer entry would take to arrive.
	versionProven
)

// trustVersion returns how sure the software version of the endpoint at an address is.
func (r *Relay) trustVersion(now time.Time, address netip.AddrPort) versionTrust {
	if r.cfg.Connections == nil {
		return versionAssumed
	}
	connectedSince, endedAt := r.cfg.Connections.Contact(address)
	switch {
	case !connectedSince.IsZero() && now.Sub(connectedSince) >= entryLag:
		return versionProven
	case !endedAt.IsZero() && now.Sub(endedAt) < entryLag:
		return versionDoubted
	default:
		return versionAssumed
	}
}

// entryReadTimeout limits the read of an endpoint's entry.
const entryReadTimeout = 150 * time.Millisecond

// confirmVersion reports whether a request may go to an endpoint as far as its software version is concerned. If the request continues a
// stream and nothing proves the version in this box's copy of the entry, the entry is read again.
func (r *Relay) confirmVersion(ctx context.Context, q *request, e catalog.EndpointView) bool {
	if !q.binding.bound || r.cfg.ReadEndpoint == nil || r.trustVersion(clock.Now(), e.Spec.Address) == versionProven {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, entryReadTimeout)
	defer cancel()
	current, err := r.cfg.ReadEndpoint(ctx, e.Name)
	if errors.Is(err, objects.ErrNotFound) {
		return false
	}
	if err != nil {
		r.cfg.Scope.Counter("stream_version_reads_failed").Inc(1)
		klog.V(1).InfoS("entry of an endpoint not read before a stream continues there", "request", q.head.ID, "endpoint", e.Name, "err", err)
		return true
	}
	if current.Started == e.Spec.Started && current.SoftwareVersion == e.Spec.SoftwareVersion {
		return true
	}
	r.cfg.Scope.Counter("stream_version_mismatches").Inc(1)
	klog.InfoS("endpoint not used, it has restarted with another software version", "request", q.head.ID, "endpoint", e.Name, "version", current.SoftwareVersion, "stream_version", q.binding.version)
	return false
}

// isResumable reports whether the request is for a stream that may be resumed.
func (q *request) isResumable() bool {
	return q.route.Kind == resource.RouteStream && q.route.Idempotent()
}

// bindVersion binds a request that resumes a stream to the software version at which the stream began. It refuses the request if that
// version is unknown, while several are in service, or has no endpoint. A request that begins a stream waits until it may.
func (r *Relay) bindVersion(ctx context.Context, q *request) *result.Error {
	if !q.isResumable() {
		return nil
	}
	if q.head.LastEvent == "" {
		return r.waitUntilRouteListed(ctx, q)
	}
	if r.cfg.Origins != nil {
		if found, ok := r.cfg.Origins.Find(ctx, q.head.Resumes); ok {
			if !q.moveTo(found.Service) {
				r.recordResumption(q, "gone")
				return result.New(result.StreamVersionGone, "the route no longer leads to service %q", found.Service)
			}
			q.origin = found
			q.bindTo(found.Version)
			r.recordResumption(q, "recorded")
			return r.refuseIfVersionGone(q)
		}
	}
	return r.bindUnrecorded(ctx, q)
}

// bindUnrecorded binds a request that resumes a stream of which nothing is known to the only software version at which the stream can have
// begun.
func (r *Relay) bindUnrecorded(ctx context.Context, q *request) *result.Error {
	s, err := r.servedLately(ctx, q)
	if err != nil {
		r.recordResumption(q, "unknown")
		rerr := result.New(result.StreamVersionUnknown, "attempt %q; the software versions of %s could not be read: %v", q.head.Resumes, q.service, err)
		rerr.RetryAfter = versionReadRetryDelay
		return rerr
	}
	if len(s.services) != 1 || len(s.versions) > 1 || !s.isComplete {
		r.recordResumption(q, "unknown")
		return result.New(result.StreamVersionUnknown, "attempt %q; the route leads or has led to services %q, %s has versions %q, complete=%t",
			q.head.Resumes, s.services, q.service, s.versions, s.isComplete)
	}
	r.recordResumption(q, "only_version")
	if len(s.versions) == 1 {
		q.bindTo(s.versions[0])
		q.origin = origin.Record{Attempt: q.head.Resumes, Service: q.service, Version: s.versions[0]}
	}
	return nil
}

// versionReadRetryDelay is when a caller should resume its stream again if the store could not be read.
const versionReadRetryDelay = 500 * time.Millisecond

// served tells where the streams of a route can have begun.
type served struct {
	// services lists those to which the route leads or has led lately. It is empty if the stored history does not list the route.
	services []string
	// versions lists those of the request's service.
	versions   []string
	isComplete bool
}

// servedLately returns the services of a request's route and the software versions that have served its service lately. A box that has just
// started, or was cut off from the others, does not know all of them. If it knows of one only, it reads the history from the store.
func (r *Relay) servedLately(ctx context.Context, q *request) (served, error) {
	s := served{versions: r.endpointVersions(q.service), isComplete: true}
	for _, t := range q.route.Targets {
		s.services = union(s.services, []string{t.Service})
	}
	if r.cfg.VersionHistory == nil {
		s.versions = r.serviceVersions.inService(clock.Now(), q.service, s.versions)
		return s, nil
	}
	known := s.with(r.cfg.VersionHistory.Known(), q)
	known.versions = r.serviceVersions.inService(clock.Now(), q.service, known.versions)
	if len(known.services) > 1 || len(known.versions) > 1 {
		return known, nil
	}
	stored, err := r.cfg.VersionHistory.Read(ctx)
	if err != nil {
		r.cfg.Scope.Counter("stream_version_history_reads_failed").Inc(1)
		klog.V(1).InfoS("history of software versions not read", "service", q.service, "err", err)
		return known, err
	}
	if services, _ := stored.RouteServices(q.path()); len(services) == 0 {
		// The coordinator does not know the route yet, nor where its requests went before.
		known.services = nil
	}
	return known.with(stored, q), nil
}

// with returns s and what a history lists.
func (s served) with(all softwareversion.Histories, q *request) served {
	services, areServicesComplete := all.RouteServices(q.path())
	versions, areVersionsComplete := all.Versions(q.service)
	return served{
		services: union(s.services, services), versions: union(s.versions, versions), isComplete: areServicesComplete && areVersionsComplete,
	}
}

// path returns the host of the request's route, in lower case, and the path of the request.
func (q *request) path() (host, path string) {
	return strings.ToLower(q.route.Host), q.incoming.URL.Path
}

// maxRouteWait is how long a request that begins a stream waits for the cell map to list the service of its route. The coordinator lists it
// at once, and the map reaches all boxes within a heartbeat.
const maxRouteWait = time.Second

// waitUntilRouteListed waits until a stream may begin at the service of its route. If the route has led elsewhere, the stored history must
// list the service: after the loss of all boxes the history tells where the streams can have begun.
func (r *Relay) waitUntilRouteListed(ctx context.Context, q *request) *result.Error {
	if r.cfg.VersionHistory == nil || r.isRouteListed(q) {
		return nil
	}
	r.cfg.Scope.Counter("stream_route_waits").Inc(1)
	wait := time.NewTimer(min(maxRouteWait, q.timeLeft()))
	defer wait.Stop()
	for {
		changed := r.cfg.Catalog.NextChange()
		if r.isRouteListed(q) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return result.New(result.CallerGone, "%v", ctx.Err())
		case <-wait.C:
			r.cfg.Scope.Counter("stream_route_waits_failed").Inc(1)
			rerr := result.New(result.NoEndpoint, "the cell map does not yet list service %q for the route", q.service)
			rerr.RetryAfter = maxRouteWait
			return rerr
		}
	}
}

// isRouteListed reports whether a stream may begin at the service of its route.
func (r *Relay) isRouteListed(q *request) bool {
	services, isComplete := r.cfg.VersionHistory.Known().RouteServices(q.path())
	return !isComplete || len(services) == 0 || slices.Contains(services, q.service)
}

// union returns the texts that are in a or b.
func union(a, b []string) []string {
	all := slices.Clone(a)
	for _, text := range b {
		if !slices.Contains(all, text) {
			all = append(all, text)
		}
	}
	return all
}

// allowsVersion reports whether a request may go to an endpoint of a software version. A resumable stream begins only at a version that
// the stored history lists: after the loss of all boxes the history tells which versions the streams can have begun at.
func (r *Relay) allowsVersion(q *request, version string) bool {
	if q.binding.bound || !q.isResumable() || r.cfg.VersionHistory == nil {
		return q.binding.allows(version)
	}
	listed, isComplete := r.cfg.VersionHistory.Known().Versions(q.service)
	return !isComplete || slices.Contains(listed, version)
}

// moveTo sets the service of the request if it is one of those that the route leads to, and reports whether it is.
func (q *request) moveTo(service string) bool {
	if !slices.ContainsFunc(q.route.Targets, func(t resource.Target) bool { return t.Service == service }) {
		return false
	}
	q.service = service
	return true
}

// refuseIfVersionGone refuses a request that is bound to a software version none of whose endpoints takes new requests.
func (r *Relay) refuseIfVersionGone(q *request) *result.Error {
	for _, e := range r.cfg.Catalog.Topology().Endpoints[q.service] {
		if q.binding.allows(e.Spec.SoftwareVersion) && !e.Spec.Leaving {
			return nil
		}
	}
	r.recordResumption(q, "gone")
	return result.New(result.StreamVersionGone, "version %q of %s", q.binding.version, q.service)
}

// recordResumption counts how the software version of a resumed stream was found, and keeps it for the log line of the request.
func (r *Relay) recordResumption(q *request, outcome string) {
	q.resumption = outcome
	r.cfg.Scope.Tagged(map[string]string{"origin": outcome}).Counter("stream_resumptions").Inc(1)
}

// recordOrigin records the software version of the endpoint that a resumable stream is sent to.
func (r *Relay) recordOrigin(q *request, to destination) {
	if !q.isResumable() || r.cfg.Origins == nil {
		return
	}
	r.serviceVersions.add(clock.Now(), q.service, to.softwareVersion)
	record := q.origin
	if record.Attempt == "" {
		if q.binding.bound {
			// Another endpoint continues the stream, at the version that is already recorded.
			return
		}
		record = origin.Record{Attempt: q.head.ID, Service: q.service, Version: to.softwareVersion, Sequence: q.arrivals + q.connectFailures}
	}
	r.cfg.Origins.Record(record)
}

// recordBegin records the software version of a resumable stream whose first event is forwarded.
func (r *Relay) recordBegin(q *request) {
	if !q.isResumable() || r.cfg.Origins == nil {
		return
	}
	record := q.origin
	if record.Attempt == "" {
		record = origin.Record{Attempt: q.head.ID, Service: q.service, Version: q.sentVersion}
	}
	r.cfg.Origins.Begin(record)
}

// endpointVersions returns the software versions of the endpoints of a service, including those that are leaving.
func (r *Relay) endpointVersions(service string) []string {
	var versions []string
	for _, e := range r.cfg.Catalog.Topology().Endpoints[service] {
		if !slices.Contains(versions, e.Spec.SoftwareVersion) {
			versions = append(versions, e.Spec.SoftwareVersion)
		}
	}
	return versions
}

// logVersionMismatch records that a granted engine was not used because its software version differs from that of the stream.
func (r *Relay) logVersionMismatch(q *request, c *chosenEngine) {
	r.cfg.Scope.Counter("stream_version_mismatches").Inc(1)
	klog.InfoS("engine not used, its software version differs from that of the stream", "request", q.head.ID, "engine", c.name,
		"version", c.softwareVersion, "stream_version", q.binding.version)
}

// maxRememberedVersions limits the software versions that are remembered, over all services.
const maxRememberedVersions = 256

// serviceVersion is a software version of a service.
type serviceVersion struct{ service, version string }

// serviceVersions remembers which software versions served which services.
type serviceVersions struct {
	// memory is how long a version counts as in service after its last endpoint is gone.
	memory time.Duration
	mu     sync.Mutex
	seenAt map[serviceVersion]time.Time
}

func newServiceVersions(memory time.Duration) *serviceVersions {
	return &serviceVersions{memory: memory, seenAt: map[serviceVersion]time.Time{}}
}

// add records that a version serves a service now.
func (s *serviceVersions) add(now time.Time, service, version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addLocked(now, serviceVersion{service, version})
}

func (s *serviceVersions) addLocked(now time.Time, v serviceVersion) {
	s.seenAt[v] = now
	if len(s.seenAt) <= maxRememberedVersions {
		return
	}
	for known, at := range s.seenAt {
		if now.Sub(at) > s.memory {
			delete(s.seenAt, known)
		}
	}
}

// inService returns the given present versions of a service and those that served it within its memory.
func (s *serviceVersions) inService(now time.Time, service string, present []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, version := range present {
		s.addLocked(now, serviceVersion{service, version})
	}
	var versions []string
	for v, at := range s.seenAt {
		if v.service == service && now.Sub(at) <= s.memory {
			versions = append(versions, v.version)
		}
	}
	slices.Sort(versions)
	return versions
}
