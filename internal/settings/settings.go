// Package settings reads and validates the TOML settings of a box.
package settings

import (
	"fmt"
	"io"
	"math"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/rotisserie/eris"

	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/resource"
)

// Settings holds all settings of a box. docs/SETTINGS.md lists the keys.
type Settings struct {
	Box      Box      `toml:"box"`
	Listen   Listen   `toml:"listen"`
	Platform Platform `toml:"platform"`
	Request  Request  `toml:"request"`
	Routes   Routes   `toml:"routes"`
	Loads    Loads    `toml:"loads"`
	Timing   Timing   `toml:"timing"`
	Log      Log      `toml:"log"`
	Process  Process  `toml:"process"`
	Callers  Callers  `toml:"callers"`
	Policy   Policy   `toml:"policy"`

	Customers  Customers  `toml:"customers"`
	Quarantine Quarantine `toml:"quarantine"`
	Capacity   Capacity   `toml:"capacity"`
	Detours    Detours    `toml:"detours"`
	Streams    Streams    `toml:"streams"`
	Endpoints  Endpoints  `toml:"endpoints"`
}

// Box identifies the box and its place in the fleet.
type Box struct {
	Name string `toml:"name"`
	Zone string `toml:"zone"`
	// Cell is the name of the group of boxes and engines that are coordinated together.
	Cell string `toml:"cell"`
	// Region is the name of the group of cells that share a weight store.
	Region string `toml:"region"`
	// LinkMbps is the bandwidth of the box's network link, in Mbit/s.
	LinkMbps float64 `toml:"link_mbps"`
}

// Listen holds the addresses that the box listens on.
type Listen struct {
	Caller   netip.AddrPort `toml:"caller"`
	Peer     netip.AddrPort `toml:"peer"`
	Operator netip.AddrPort `toml:"operator"`
	// PeerAdvertised is the address under which other boxes reach the peer listener. It is set only if it differs from Peer, for
	// example behind a forwarded port.
	PeerAdvertised netip.AddrPort `toml:"peer_advertised"`
	// Ready serves the platform's readiness checks, Directory serves callers that look up addresses. Both are used only with FormObjects.
	Ready     netip.AddrPort `toml:"ready"`
	Directory netip.AddrPort `toml:"directory"`
}

// Platform configures the access to the platform's object API.
type Platform struct {
	Address netip.AddrPort `toml:"address"`
	// Form selects the platform's API: FormObjects or FormBellgap.
	Form string `toml:"form"`
	// MissingEndpointGrace is how long endpoints that are missing from the platform's store are kept after an outage of the store.
	MissingEndpointGrace time.Duration `toml:"lapse_grace"`
}

// Values of Platform.Form.
const (
	// FormBellgap is bellgap's own object API, in which operators declare the engines.
	FormBellgap = "bellgap"
	// FormObjects is an object store, organized by kind, that contains the operator's routes and the endpoints.
	FormObjects = "objects"
)

// Routes configures the handling of requests on routes.
type Routes struct {
	// RetryRatio is the fraction of a retry that each request adds to the retry budget. RetryAllowance is the number of
	// additional retries that all boxes together may send to a service in ten seconds.
	RetryRatio     float64 `toml:"retry_ratio"`
	RetryAllowance float64 `toml:"retry_allowance"`
	// PrefillRate is the number of prompt tokens that an engine processes per second.
	PrefillRate float64 `toml:"prefill_rate"`
}

// Request holds the size and time limits of requests.
type Request struct {
	BodyBytes int64         `toml:"body_bytes"`
	BodyTime  time.Duration `toml:"body_time"`
	// DefaultWait is the longest wait for the start of a request if neither the request nor its priority sets a limit.
	DefaultWait time.Duration `toml:"default_wait"`
	// MaxDuration is the maximum duration of a whole request.
	MaxDuration time.Duration `toml:"longest"`
	// LocateKeep is how long callers may cache the answer to a locate request.
	LocateKeep time.Duration `toml:"locate_keep"`
}

// Loads is the load budget of the weight store. All boxes of the region share it.
type Loads struct {
	PerSecond     float64 `toml:"per_second"`
	MaxConcurrent int     `toml:"at_once"`
	// Limit selects the loads that the budget limits: LimitAdapters or LimitBaseModels.
	Limit string `toml:"limit"`
}

// Values of Loads.Limit.
const (
	LimitAdapters   = "adapters"
	LimitBaseModels = "base_models"
)

// Timing holds the intervals and timeouts of cell membership and of a planned stop.
type Timing struct {
	Beat     time.Duration `toml:"beat"`
	LeaseTTL time.Duration `toml:"lease_ttl"`
	// Term is how long a box may send orders to its engines after its last acknowledged heartbeat.
	Term time.Duration `toml:"term"`
	// Drain is how long a box that sends no heartbeats may still have requests in flight.
	Drain time.Duration `toml:"drain"`
	// Leave is the maximum duration of a planned stop.
	Leave time.Duration `toml:"leave"`
	// Linger is how long a leaving box still serves callers that do not know yet that it is leaving. LastStream is how long it
	// accepts new streams on routes at most; zero sets no such limit.
	Linger     time.Duration `toml:"linger"`
	LastStream time.Duration `toml:"last_stream"`
	// OrderGap is the minimum time between the last order of an engine's previous owner and the first order of the next owner.
	OrderGap time.Duration `toml:"order_gap"`
	// Reclaim is set if the platform ends a box's process before it starts the next one. The box then keeps its engines.
	Reclaim bool `toml:"reclaim"`
}

// Customers limits how old a box's customer configuration may be, and how far customers may exceed their quotas.
type Customers struct {
	// RevokedWithin is how long any box may still accept a revoked key after the revocation was acknowledged. Zero sets no limit.
	RevokedWithin time.Duration `toml:"revoked_within"`
	// InForceWithin is the time after its acknowledgement by which every box must use a configuration. A box whose configuration was
	// last confirmed longer ago does not reject a route or key as unknown. Zero sets no limit.
	InForceWithin time.Duration `toml:"in_force_within"`
	// QuotaWindow is the time over which quotas are enforced. A customer may exceed its quota in the window by the fraction QuotaExcess
	// plus QuotaTolerance units.
	QuotaWindow    time.Duration `toml:"quota_window"`
	QuotaExcess    float64       `toml:"quota_excess"`
	QuotaTolerance float64       `toml:"quota_tolerance"`
}

// Streams limits the records of the software versions at which resumable streams began.
type Streams struct {
	// Origins is the maximum number of records on this box. OriginTTL is how long a record is kept.
	Origins   int           `toml:"origins"`
	OriginTTL time.Duration `toml:"origin_ttl"`
	// ArchiveInterval is the shortest time between two writes of an object of the stream archive that is not full.
	ArchiveInterval time.Duration `toml:"archive_interval"`
}

// Detours limits the connections to endpoints through other boxes.
type Detours struct {
	// MaxConns is the maximum number of connections that the box carries for other boxes. With zero, it carries none and uses none.
	MaxConns int `toml:"max_connections"`
}

// Quarantine limits how many endpoints a request may crash.
type Quarantine struct {
	// Endpoints is the number of crashes after which a request is held. Hold is how long it is held.
	Endpoints int           `toml:"endpoints"`
	Hold      time.Duration `toml:"hold"`
}

// Capacity selects the engines that are scheduled as scarce.
type Capacity struct {
	// ScarceSlots is the largest number of adapter slots with which the engines of a service count as scarce. Zero: none do.
	ScarceSlots int `toml:"scarce_slots"`
}

// Policy selects the decision mechanisms that are active.
type Policy struct {
	// Off lists the mechanisms that are disabled, in order to measure their benefit.
	Off []policy.Mechanism `toml:"off"`
}

// Build returns the policy with the mechanisms in Off disabled. Off must have been validated; an invalid list yields the zero policy,
// which disables nothing.
func (p Policy) Build() policy.Policy {
	chosen, err := policy.New(p.Off)
	if err != nil {
		return policy.Policy{}
	}
	return chosen
}

// Log configures logging.
type Log struct {
	// Level is the klog verbosity.
	Level int `toml:"level"`
}

// Callers bounds how long callers may leave their answers unread.
type Callers struct {
	// StallTimeout is the time without progress after which an answer that the caller does not read, or a request body that an endpoint
	// does not read, is ended.
	StallTimeout time.Duration `toml:"stall_timeout"`
}

// Endpoints bounds what endpoints may send.
type Endpoints struct {
	// MaxSurplusKB limits the answers to other requests that an endpoint may send before an answer that is due, in KB. Above it, the box
	// closes the connection.
	MaxSurplusKB int64 `toml:"max_surplus_kb"`
	// MaxRequests is the maximum number of requests that one connection to an endpoint carries. The box keeps their ids as long as the connection
	// lives.
	MaxRequests int `toml:"max_requests"`
}

// MaxSurplusBytes returns MaxSurplusKB in bytes.
func (e Endpoints) MaxSurplusBytes() int64 { return e.MaxSurplusKB << 10 }

// Process configures the Go runtime and the memory of the process.
type Process struct {
	// GCPercent is the heap growth, in percent, after which the next garbage collection starts. A lower value saves memory and
	// costs CPU time.
	GCPercent int `toml:"gc_percent"`
	// MemoryMB is the memory that the platform allows the process, zero if unknown. HoldMB bounds the bytes held for slow callers and
	// endpoints; zero derives it from MemoryMB.
	MemoryMB float64 `toml:"memory_mb"`
	HoldMB   float64 `toml:"hold_mb"`
	// IntakeMB bounds the bytes that requests hold while they arrive and run; zero derives it from MemoryMB.
	IntakeMB float64 `toml:"intake_mb"`
	// MaxDescriptors is the number of descriptors that the platform allows the process, zero takes the limit of the process.
	MaxDescriptors int `toml:"max_descriptors"`
}

const (
	// holdMemoryShare is the fraction of the process memory that may be held for slow callers and endpoints if hold_mb is not set.
	holdMemoryShare = 1.0 / 16
	// defaultHoldMB applies if neither hold_mb nor memory_mb is set.
	defaultHoldMB = 16
	bytesPerMB    = 1 << 20
	// intakeMemoryShare is the fraction of the process memory that requests may hold if intake_mb is not set, defaultIntakeMB applies if memory_mb
	// is not set either.
	intakeMemoryShare = 1.0 / 8
	defaultIntakeMB   = 64
	// runtimeMemoryShare is the fraction of the process memory from which on the runtime collects garbage more often. minRuntimeMB keeps it from
	// collecting all the time where the memory is small.
	runtimeMemoryShare = 2.0 / 5
	minRuntimeMB       = 32
)

// HoldBytes returns the maximum number of bytes to hold for slow callers and endpoints.
func (p Process) HoldBytes() int64 {
	hold := p.HoldMB
	if hold == 0 {
		hold = defaultHoldMB
		if p.MemoryMB > 0 {
			hold = p.MemoryMB * holdMemoryShare
		}
	}
	return int64(hold * bytesPerMB)
}

// IntakeBytes returns the maximum number of bytes that requests may hold.
func (p Process) IntakeBytes() int64 {
	intake := p.IntakeMB
	if intake == 0 {
		intake = defaultIntakeMB
		if p.MemoryMB > 0 {
			intake = p.MemoryMB * intakeMemoryShare
		}
	}
	return int64(intake * bytesPerMB)
}

// RuntimeBytes returns the memory limit of the Go runtime in bytes, zero if the memory of the process is not known.
func (p Process) RuntimeBytes() int64 {
	if p.MemoryMB == 0 {
		return 0
	}
	return int64(max(minRuntimeMB, p.MemoryMB*runtimeMemoryShare) * bytesPerMB)
}

// Default returns the settings that apply to keys missing from the file.
func Default() Settings {
	return Settings{
		Box: Box{Cell: resource.DefaultCell, Region: "default", LinkMbps: 10},
		Request: Request{
			BodyBytes: 4 << 20, BodyTime: 10 * time.Second, DefaultWait: 30 * time.Second,
			MaxDuration: 10 * time.Minute, LocateKeep: 10 * time.Second,
		},
		Platform: Platform{Form: FormBellgap, MissingEndpointGrace: 2300 * time.Millisecond},
		Routes:   Routes{RetryRatio: 0.1, RetryAllowance: 10, PrefillRate: 19000},
		Loads:    Loads{PerSecond: 3, MaxConcurrent: 2, Limit: LimitAdapters},
		Timing:   Timing{Beat: time.Second, LeaseTTL: 3 * time.Second, Term: 4 * time.Second, Drain: 10 * time.Minute, Leave: 10 * time.Minute},
		Log:      Log{Level: 1},
		Process:  Process{GCPercent: 100},
		Callers:  Callers{StallTimeout: 5 * time.Second},

		Quarantine: Quarantine{Endpoints: 3, Hold: 10 * time.Minute},
		Detours:    Detours{MaxConns: 256},
		Streams:    Streams{Origins: 16384, OriginTTL: time.Minute, ArchiveInterval: 25 * time.Millisecond},
		Endpoints:  Endpoints{MaxSurplusKB: 1024, MaxRequests: 1024},
	}
}

// Equal reports whether s and other hold the same values.
func (s Settings) Equal(other Settings) bool {
	return reflect.DeepEqual(s, other)
}

// Load reads the settings file at path.
func Load(path string) (Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "settings")
	}
	// Closing a file that was only read loses no data, so the error is ignored.
	defer func() { _ = f.Close() }()
	return Read(f, path)
}

// Read reads and validates settings from r. Errors refer to the file by name.
func Read(r io.Reader, name string) (Settings, error) {
	s := Default()
	meta, err := toml.NewDecoder(r).Decode(&s)
	if err != nil {
		return s, eris.Errorf("settings: %s: %v", name, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return s, eris.Errorf("settings: %s: %s: unknown key", name, unknown[0])
	}
	for _, k := range Keys() {
		if reason := k.check(&s); reason != "" {
			return s, eris.Errorf("settings: %s: %s: %s", name, k.Name, reason)
		}
	}
	return s, nil
}

// Key describes one settings key.
type Key struct {
	Name string
	// Description explains the key in docs/SETTINGS.md.
	Description string
	// Default is the value that applies if the file lacks the key, or "required" if the file must set the key.
	Default string
	// check returns the reason why the value is invalid, or the empty string if it is valid.
	check func(*Settings) string
}

const required = "required"

// Keys returns all settings keys.
func Keys() []Key {
	d := Default()
	return []Key{
		{"box.name", "Name of this box, unique in the fleet.", required, func(s *Settings) string { return checkNotEmpty(s.Box.Name) }},
		{"box.zone", "Availability zone of this box.", required, func(s *Settings) string { return checkNotEmpty(s.Box.Zone) }},
		{"box.cell", "Cell of this box: the boxes and engines that are coordinated together. One cell does for up to about 16 boxes.", d.Box.Cell, func(s *Settings) string { return checkNotEmpty(s.Box.Cell) }},
		{"box.region", "Region of this box; the cells of a region share a weight store.", d.Box.Region, func(s *Settings) string { return checkNotEmpty(s.Box.Region) }},
		{
			"box.link_mbps", "What the link of this box carries, in Mbit/s: a tenth of it may pass large changes on to other boxes.", fmt.Sprint(d.Box.LinkMbps),
			func(s *Settings) string { return checkRange(s.Box.LinkMbps, 0.1, 1e6) },
		},
		{"listen.caller", "Address for callers.", required, func(s *Settings) string { return checkAddress(s.Listen.Caller) }},
		{"listen.peer", "Address for other boxes.", required, func(s *Settings) string { return checkAddress(s.Listen.Peer) }},
		{"listen.operator", "Address for operators and metrics.", required, func(s *Settings) string { return checkAddress(s.Listen.Operator) }},
		{"platform.address", "Address of the platform's object API.", required, func(s *Settings) string { return checkAddress(s.Platform.Address) }},
		{
			"platform.form", "How the platform is spoken to: `bellgap`, or `objects` for a store with the operator's routes and the endpoints.", d.Platform.Form,
			func(s *Settings) string { return checkPlatformForm(s) },
		},
		{
			"platform.lapse_grace", "How long after an outage of the store endpoints missing there are kept.", d.Platform.MissingEndpointGrace.String(),
			func(s *Settings) string { return checkRange(s.Platform.MissingEndpointGrace, 0, time.Minute) },
		},
		{
			"listen.peer_advertised", "Address under which other boxes reach this one, where that is not `listen.peer`.", "unused", func(*Settings) string { return "" },
		},
		{"listen.ready", "Address of the platform's readiness checks; with `objects` only.", "unused", func(*Settings) string { return "" }},
		{"listen.directory", "Address where callers ask for addresses; with `objects` only.", "unused", func(*Settings) string { return "" }},
		{
			"routes.retry_ratio", "Part of a repeat that each request on a route allows.", fmt.Sprint(d.Routes.RetryRatio),
			func(s *Settings) string { return checkRange(s.Routes.RetryRatio, 0, 1) },
		},
		{
			"routes.retry_allowance", "Repeats that all boxes together may send to a service beside that, in ten seconds.", fmt.Sprint(d.Routes.RetryAllowance),
			func(s *Settings) string { return checkRange(s.Routes.RetryAllowance, 0, 100000) },
		},
		{
			"routes.prefill_rate", "Prompt tokens that an engine reads in a second.", fmt.Sprint(d.Routes.PrefillRate),
			func(s *Settings) string { return checkRange(s.Routes.PrefillRate, 1, 1e9) },
		},
		{
			"request.body_bytes", "Largest request body, in bytes.", fmt.Sprint(d.Request.BodyBytes),
			func(s *Settings) string { return checkRange(s.Request.BodyBytes, 1, 64<<20) },
		},
		{
			"request.body_time", "Longest time for a request body to arrive.", d.Request.BodyTime.String(),
			func(s *Settings) string { return checkRange(s.Request.BodyTime, time.Millisecond, time.Hour) },
		},
		{
			"request.default_wait", "Longest wait for a start where neither request nor priority names one.", d.Request.DefaultWait.String(),
			func(s *Settings) string { return checkRange(s.Request.DefaultWait, time.Millisecond, time.Hour) },
		},
		{
			"request.longest", "Longest time for a whole request.", d.Request.MaxDuration.String(),
			func(s *Settings) string { return checkRange(s.Request.MaxDuration, time.Second, 24*time.Hour) },
		},
		{
			"request.locate_keep", "How long callers may keep a locate answer.", d.Request.LocateKeep.String(),
			func(s *Settings) string { return checkRange(s.Request.LocateKeep, time.Second, time.Hour) },
		},
		{
			"loads.per_second", "Loads a second from the weight store, for the whole site.", fmt.Sprint(d.Loads.PerSecond),
			func(s *Settings) string { return checkRange(s.Loads.PerSecond, 0.001, 10000) },
		},
		{
			"loads.at_once", "Loads at once from the weight store, for the whole site.", fmt.Sprint(d.Loads.MaxConcurrent),
			func(s *Settings) string { return checkRange(s.Loads.MaxConcurrent, 1, 10000) },
		},
		{
			"loads.limit", "What the weight store's budget limits: `adapters` or `base_models`.", d.Loads.Limit,
			func(s *Settings) string { return checkOneOf(s.Loads.Limit, LimitAdapters, LimitBaseModels) },
		},
		{
			"customers.revoked_within", "How long after its acknowledgement a key that was taken away may still let requests run: a box whose word on the configuration is older refuses them. Zero does not bound it.", d.Customers.RevokedWithin.String(),
			func(s *Settings) string { return checkRange(s.Customers.RevokedWithin, 0, time.Hour) },
		},
		{
			"customers.in_force_within", "How soon after its acknowledgement a configuration is to be in force: a box whose word is older refuses what it does not know with code 3010, in place of 3009 or 2008. Zero always gives those.", d.Customers.InForceWithin.String(),
			func(s *Settings) string { return checkRange(s.Customers.InForceWithin, 0, time.Hour) },
		},
		{
			"customers.quota_window", "Time over which quotas are judged: a customer may use its rate for that time and its burst. Zero keeps to rate and burst at any time.", d.Customers.QuotaWindow.String(),
			func(s *Settings) string { return checkRange(s.Customers.QuotaWindow, 0, time.Hour) },
		},
		{
			"customers.quota_excess", "Part of its quota by which a customer may exceed it in the window.", fmt.Sprint(d.Customers.QuotaExcess),
			func(s *Settings) string { return checkRange(s.Customers.QuotaExcess, 0, 10) },
		},
		{
			"customers.quota_tolerance", "Units by which a customer may exceed its quota in the window beside that, whatever the quota.", fmt.Sprint(d.Customers.QuotaTolerance),
			func(s *Settings) string { return checkRange(s.Customers.QuotaTolerance, 0, 1e9) },
		},
		{
			"detours.max_connections", "How many connections to endpoints the box carries for boxes that cannot connect to them; zero: it carries none and uses none.", fmt.Sprint(d.Detours.MaxConns),
			func(s *Settings) string { return checkRange(s.Detours.MaxConns, 0, 4096) },
		},
		{
			"streams.origins", "How many records the box keeps of the software versions at which streams began; zero: none, and it finds those of other boxes only.", fmt.Sprint(d.Streams.Origins),
			func(s *Settings) string { return checkRange(s.Streams.Origins, 0, 1<<20) },
		},
		{
			"streams.origin_ttl", "How long such a record is kept: as long as a stream may last.", d.Streams.OriginTTL.String(),
			func(s *Settings) string { return checkRange(s.Streams.OriginTTL, time.Second, time.Hour) },
		},
		{
			"streams.archive_interval", "How long such records are collected before they are written to the platform's store, while endpoints of several software versions serve or served lately. Streams that began within it are not resumed if all boxes end at once.", d.Streams.ArchiveInterval.String(),
			func(s *Settings) string {
				return checkRange(s.Streams.ArchiveInterval, 10*time.Millisecond, time.Minute)
			},
		},
		{
			"endpoints.max_surplus_kb", "How many KB of answers to other requests an endpoint may send before an answer that is due; above it the box closes the connection.", fmt.Sprint(d.Endpoints.MaxSurplusKB),
			func(s *Settings) string { return checkRange(s.Endpoints.MaxSurplusKB, 1, 1<<20) },
		},
		{
			"endpoints.max_requests", "How many requests one connection to an endpoint carries before the box closes it. The box keeps their ids, some 10 bytes each, as long as the connection lives, and sends none of them over it again.", fmt.Sprint(d.Endpoints.MaxRequests),
			func(s *Settings) string { return checkRange(s.Endpoints.MaxRequests, 1, 1<<20) },
		},
		{
			"quarantine.endpoints", "How many endpoints end under a request, over all boxes, before it reaches no more of them.", fmt.Sprint(d.Quarantine.Endpoints),
			func(s *Settings) string { return checkRange(s.Quarantine.Endpoints, 1, 16) },
		},
		{
			"quarantine.hold", "How long such a request is held, and how long an endpoint that ended counts.", d.Quarantine.Hold.String(),
			func(s *Settings) string { return checkRange(s.Quarantine.Hold, time.Second, 24*time.Hour) },
		},
		{
			"capacity.scarce_slots", "Engines with at most this many adapter slots are scarce: see [scarce capacity](design/scarce-capacity.md). Zero: none are.", fmt.Sprint(d.Capacity.ScarceSlots),
			func(s *Settings) string { return checkRange(s.Capacity.ScarceSlots, 0, resource.MaxSlots) },
		},
		{
			"timing.linger", "How long a leaving box serves callers that do not know yet.", d.Timing.Linger.String(),
			func(s *Settings) string { return checkRange(s.Timing.Linger, 0, s.Timing.Leave) },
		},
		{
			"timing.last_stream", "From when on a leaving box takes no new streams on routes, even if they could end in time; zero: no such limit.", d.Timing.LastStream.String(),
			func(s *Settings) string { return checkRange(s.Timing.LastStream, 0, s.Timing.Leave) },
		},
		{
			"timing.order_gap", "Least time between the orders of two owners of an engine, for engines that check no epochs.", d.Timing.OrderGap.String(),
			func(s *Settings) string { return checkRange(s.Timing.OrderGap, 0, time.Minute) },
		},
		{
			"timing.reclaim", "Whether the platform ends a box's process before it starts the next one; it then keeps its engines.", fmt.Sprint(d.Timing.Reclaim),
			func(*Settings) string { return "" },
		},
		{
			"timing.beat", "Time between heartbeats.", d.Timing.Beat.String(),
			func(s *Settings) string { return checkRange(s.Timing.Beat, 10*time.Millisecond, time.Minute) },
		},
		{
			"timing.lease_ttl", "How long the coordinator's lease holds after a renewal; at least three heartbeats.", d.Timing.LeaseTTL.String(),
			func(s *Settings) string { return checkRange(s.Timing.LeaseTTL, 3*s.Timing.Beat, 10*time.Minute) },
		},
		{
			"timing.term", "How long a box may give orders after its last answered heartbeat; at least lease_ttl.", d.Timing.Term.String(),
			func(s *Settings) string { return checkRange(s.Timing.Term, s.Timing.LeaseTTL, time.Hour) },
		},
		{
			"timing.drain", "How long a silent box may still have requests in flight; at least request.longest.", d.Timing.Drain.String(),
			func(s *Settings) string { return checkRange(s.Timing.Drain, s.Request.MaxDuration, 48*time.Hour) },
		},
		{
			"timing.leave", "Longest time for a planned stop.", d.Timing.Leave.String(),
			func(s *Settings) string { return checkRange(s.Timing.Leave, 0, 24*time.Hour) },
		},
		{
			"log.level", "Verbosity of the log, 0 to 4; 2 logs each request.", fmt.Sprint(d.Log.Level),
			func(s *Settings) string { return checkRange(s.Log.Level, 0, 4) },
		},
		{
			"policy.off", "Mechanisms of the decisions that are switched off, to measure their worth: " + policy.Names() + ".", "none", checkMechanisms,
		},
		{
			"process.gc_percent", "Growth of the heap between two garbage collections, in percent; less saves memory and costs processor time.", fmt.Sprint(d.Process.GCPercent),
			func(s *Settings) string { return checkRange(s.Process.GCPercent, 5, 1000) },
		},
		{
			"process.memory_mb", "Memory that the process may use, in MB; `process.hold_mb` follows from it. Zero: not known.", fmt.Sprint(d.Process.MemoryMB),
			func(s *Settings) string { return checkZeroOrRange(s.Process.MemoryMB, minMemoryMB, maxMemoryMB) },
		},
		{
			"process.hold_mb", "Bytes held for callers and endpoints that do not read, in MB; above it, those that have stalled longest are ended. Zero: a sixteenth of `process.memory_mb` if that is set, else 16.", fmt.Sprint(d.Process.HoldMB),
			checkHold,
		},
		{
			"process.intake_mb", "Bytes that requests hold while they arrive and run, on all listeners, in MB: bodies, and heads as they cost in memory; above it, those that arrive without progress are ended and new ones refused with code 3019. A request that is alone is never refused for it. Zero: an eighth of `process.memory_mb` if that is set, else 64.", fmt.Sprint(d.Process.IntakeMB),
			checkIntake,
		},
		{
			"process.max_descriptors", "Descriptors that the process may have: callers get 5/16 of them, other boxes 3/16, operators, readiness checks and the directory 1/16 each; above it, the connections without a request that have been idle longest are closed. Zero: the limit of the process.", fmt.Sprint(d.Process.MaxDescriptors),
			func(s *Settings) string {
				return checkZeroOrRange(float64(s.Process.MaxDescriptors), minDescriptors, maxDescriptors)
			},
		},
		{
			"callers.stall_timeout", "How long a caller may leave its answer, or an endpoint a request body, without reading any of it before the box ends it.", d.Callers.StallTimeout.String(),
			func(s *Settings) string {
				return checkRange(s.Callers.StallTimeout, 100*time.Millisecond, 10*time.Minute)
			},
		},
	}
}

// Bounds of the memory settings, in MB.
const (
	minMemoryMB = 16
	maxMemoryMB = 1 << 20
	minHoldMB   = 1
)

// Bounds of process.max_descriptors.
const (
	minDescriptors = 64
	maxDescriptors = 1 << 24
)

func checkIntake(s *Settings) string {
	if reason := checkZeroOrRange(s.Process.IntakeMB, minHoldMB, maxMemoryMB); reason != "" {
		return reason
	}
	if s.Process.MemoryMB > 0 && s.Process.IntakeMB > s.Process.MemoryMB/2 {
		return fmt.Sprintf("is %v, must be at most half of process.memory_mb, which is %v", s.Process.IntakeMB, s.Process.MemoryMB)
	}
	return ""
}

func checkHold(s *Settings) string {
	if reason := checkZeroOrRange(s.Process.HoldMB, minHoldMB, maxMemoryMB); reason != "" {
		return reason
	}
	if s.Process.MemoryMB > 0 && s.Process.HoldMB > s.Process.MemoryMB/2 {
		return fmt.Sprintf("is %v, must be at most half of process.memory_mb, which is %v", s.Process.HoldMB, s.Process.MemoryMB)
	}
	return ""
}

func checkZeroOrRange(v, low, high float64) string {
	if v != 0 && (v < low || v > high || math.IsNaN(v)) {
		return fmt.Sprintf("is %v, must be 0 or in %v..%v", v, low, high)
	}
	return ""
}

func checkMechanisms(s *Settings) string {
	if _, err := policy.New(s.Policy.Off); err != nil {
		return err.Error()
	}
	return ""
}

func checkPlatformForm(s *Settings) string {
	if reason := checkOneOf(s.Platform.Form, FormBellgap, FormObjects); reason != "" || s.Platform.Form == FormBellgap {
		return reason
	}
	if !s.Listen.Ready.IsValid() || !s.Listen.Directory.IsValid() {
		return "is objects, which requires listen.ready and listen.directory to be set"
	}
	return ""
}

func checkOneOf(v string, allowed ...string) string {
	if !slices.Contains(allowed, v) {
		return fmt.Sprintf("is %q, must be one of %v", v, allowed)
	}
	return ""
}

func checkNotEmpty(v string) string {
	if v == "" {
		return "must be set"
	}
	return ""
}

func checkAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return "must be an IP address with a port"
	}
	return ""
}

func checkRange[T int | int64 | float64 | time.Duration](v, low, high T) string {
	if v < low || v > high {
		return fmt.Sprintf("is %v, must be in %v..%v", v, low, high)
	}
	return ""
}
