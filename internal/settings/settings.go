// Package settings reads and checks the TOML settings of a box.
package settings

import (
	"fmt"
	"io"
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

// Settings are all settings of a box; docs/SETTINGS.md lists the keys.
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
	Policy   Policy   `toml:"policy"`

	Customers  Customers  `toml:"customers"`
	Quarantine Quarantine `toml:"quarantine"`
}

// Box says which box this is.
type Box struct {
	Name string `toml:"name"`
	Zone string `toml:"zone"`
	// Cell names the boxes and engines that are coordinated together.
	Cell string `toml:"cell"`
	// Region groups the cells that share a weight store.
	Region string `toml:"region"`
	// LinkMbps is what the link of this box carries, in millions of bits a second.
	LinkMbps float64 `toml:"link_mbps"`
}

// Listen holds the addresses of the three listeners.
type Listen struct {
	Caller   netip.AddrPort `toml:"caller"`
	Peer     netip.AddrPort `toml:"peer"`
	Operator netip.AddrPort `toml:"operator"`
	// PeerAdvertised is where other boxes reach the peer listener, if that is not Peer: behind a forwarded port, say.
	PeerAdvertised netip.AddrPort `toml:"peer_advertised"`
	// Ready and Directory are used on platforms that check boxes and whose callers ask for addresses there.
	Ready     netip.AddrPort `toml:"ready"`
	Directory netip.AddrPort `toml:"directory"`
}

// Platform says where the object API is.
type Platform struct {
	Address netip.AddrPort `toml:"address"`
	// Form says how the platform is spoken to: FormObjects or FormBellgap.
	Form string `toml:"form"`
	// LapseGrace is how long after an outage of the platform's store endpoints missing there are kept.
	LapseGrace time.Duration `toml:"lapse_grace"`
}

// The forms of a platform.
const (
	// FormBellgap is bellgap's own object API with declared engines.
	FormBellgap = "bellgap"
	// FormObjects is a store of objects by kind in which the operator's routes and the endpoints stand.
	FormObjects = "objects"
)

// Routes configures requests on routes.
type Routes struct {
	// RetryRatio is the part of a repeat that each request allows, RetryAllowance what all boxes may use beside that in ten seconds.
	RetryRatio     float64 `toml:"retry_ratio"`
	RetryAllowance float64 `toml:"retry_allowance"`
	// PrefillRate is how many prompt tokens an engine reads in a second.
	PrefillRate float64 `toml:"prefill_rate"`
}

// Request bounds requests.
type Request struct {
	BodyBytes   int64         `toml:"body_bytes"`
	BodyTime    time.Duration `toml:"body_time"`
	DefaultWait time.Duration `toml:"default_wait"`
	Longest     time.Duration `toml:"longest"`
	LocateKeep  time.Duration `toml:"locate_keep"`
}

// Loads is this box's share of the weight store's budget.
type Loads struct {
	PerSecond float64 `toml:"per_second"`
	AtOnce    int     `toml:"at_once"`
	// Limit says what the budget limits: LimitAdapters or LimitBaseModels.
	Limit string `toml:"limit"`
}

// What the weight store's budget limits.
const (
	LimitAdapters   = "adapters"
	LimitBaseModels = "base_models"
)

// Timing holds the periods of membership.
type Timing struct {
	Beat     time.Duration `toml:"beat"`
	LeaseTTL time.Duration `toml:"lease_ttl"`
	Term     time.Duration `toml:"term"`
	Drain    time.Duration `toml:"drain"`
	Leave    time.Duration `toml:"leave"`
	// Linger is how long a leaving box serves callers that do not know yet, LastStream until when it takes new streams.
	Linger     time.Duration `toml:"linger"`
	LastStream time.Duration `toml:"last_stream"`
	// OrderGap is the least time between the orders of two owners of an engine.
	OrderGap time.Duration `toml:"order_gap"`
	// Reclaim says that the platform ends a box's process before it starts the next one.
	Reclaim bool `toml:"reclaim"`
}

// Customers bounds how old what a box knows of customers may be.
type Customers struct {
	// RevokedWithin is how long after its acknowledgement a key that was taken away may still let requests run, on any box; zero does not bound it.
	RevokedWithin time.Duration `toml:"revoked_within"`
	// InForceWithin is how soon after its acknowledgement a configuration is to be in force: a box whose word is older than that tells nobody that
	// a route or key is unknown. Zero does not bound it.
	InForceWithin time.Duration `toml:"in_force_within"`
	// QuotaWindow is the time over which quotas are judged, QuotaExcess the part and QuotaTolerance the units by which they may be exceeded in it.
	QuotaWindow    time.Duration `toml:"quota_window"`
	QuotaExcess    float64       `toml:"quota_excess"`
	QuotaTolerance float64       `toml:"quota_tolerance"`
}

// Quarantine bounds what a request that ends endpoints may do.
type Quarantine struct {
	// Endpoints is how many endpoints end under a request before it is held, Hold how long it is held.
	Endpoints int           `toml:"endpoints"`
	Hold      time.Duration `toml:"hold"`
}

// Policy chooses among the mechanisms of the decisions.
type Policy struct {
	// Off lists the mechanisms that are switched off, to measure what they are worth.
	Off []policy.Mechanism `toml:"off"`
}

// Chosen returns the policy that the settings choose; they have been checked.
func (p Policy) Chosen() policy.Policy {
	chosen, err := policy.New(p.Off)
	if err != nil {
		return policy.Policy{}
	}
	return chosen
}

// Log sets the log.
type Log struct {
	// Level is the klog verbosity.
	Level int `toml:"level"`
}

// Process sets the process itself.
type Process struct {
	// GCPercent is how much the heap may grow between two garbage collections, in percent: less saves memory and costs processor time.
	GCPercent int `toml:"gc_percent"`
}

// Default returns the settings that hold where the file says nothing.
func Default() Settings {
	return Settings{
		Box: Box{Cell: resource.DefaultCell, Region: "default", LinkMbps: 10},
		Request: Request{
			BodyBytes: 4 << 20, BodyTime: 10 * time.Second, DefaultWait: 30 * time.Second,
			Longest: 10 * time.Minute, LocateKeep: 10 * time.Second,
		},
		Platform: Platform{Form: FormBellgap, LapseGrace: 2300 * time.Millisecond},
		Routes:   Routes{RetryRatio: 0.1, RetryAllowance: 10, PrefillRate: 19000},
		Loads:    Loads{PerSecond: 3, AtOnce: 2, Limit: LimitAdapters},
		Timing:   Timing{Beat: time.Second, LeaseTTL: 3 * time.Second, Term: 4 * time.Second, Drain: 10 * time.Minute, Leave: 10 * time.Minute},
		Log:      Log{Level: 1},
		Process:  Process{GCPercent: 100},

		Quarantine: Quarantine{Endpoints: 3, Hold: 10 * time.Minute},
	}
}

// Equal reports whether two boxes would run alike.
func (s Settings) Equal(other Settings) bool {
	return reflect.DeepEqual(s, other)
}

// Load reads the settings file at path.
func Load(path string) (Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "settings")
	}
	// A file that was only read has nothing to lose at its closing.
	defer func() { _ = f.Close() }()
	return Read(f, path)
}

// Read reads settings from r; name stands for the file in errors.
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

// Key describes one setting.
type Key struct {
	Name string
	// Text is one sentence for docs/SETTINGS.md.
	Text string
	// Default is the value where the file says nothing; "required" if it has to.
	Default string
	// check returns what is wrong, or nothing.
	check func(*Settings) string
}

const required = "required"

// Keys returns all settings.
func Keys() []Key {
	d := Default()
	return []Key{
		{"box.name", "Name of this box, unique in the fleet.", required, func(s *Settings) string { return needText(s.Box.Name) }},
		{"box.zone", "Availability zone of this box.", required, func(s *Settings) string { return needText(s.Box.Zone) }},
		{"box.cell", "Cell of this box: the boxes and engines that are coordinated together. One cell does for up to about 16 boxes.", d.Box.Cell, func(s *Settings) string { return needText(s.Box.Cell) }},
		{"box.region", "Region of this box; the cells of a region share a weight store.", d.Box.Region, func(s *Settings) string { return needText(s.Box.Region) }},
		{
			"box.link_mbps", "What the link of this box carries, in Mbit/s: a tenth of it may pass large changes on to other boxes.", fmt.Sprint(d.Box.LinkMbps),
			func(s *Settings) string { return needBetween(s.Box.LinkMbps, 0.1, 1e6) },
		},
		{"listen.caller", "Address for callers.", required, func(s *Settings) string { return needAddress(s.Listen.Caller) }},
		{"listen.peer", "Address for other boxes.", required, func(s *Settings) string { return needAddress(s.Listen.Peer) }},
		{"listen.operator", "Address for operators and metrics.", required, func(s *Settings) string { return needAddress(s.Listen.Operator) }},
		{"platform.address", "Address of the platform's object API.", required, func(s *Settings) string { return needAddress(s.Platform.Address) }},
		{
			"platform.form", "How the platform is spoken to: `bellgap`, or `objects` for a store with the operator's routes and the endpoints.", d.Platform.Form,
			func(s *Settings) string { return needForm(s) },
		},
		{
			"platform.lapse_grace", "How long after an outage of the store endpoints missing there are kept.", d.Platform.LapseGrace.String(),
			func(s *Settings) string { return needBetween(s.Platform.LapseGrace, 0, time.Minute) },
		},
		{
			"listen.peer_advertised", "Address under which other boxes reach this one, where that is not `listen.peer`.", "unused", func(*Settings) string { return "" },
		},
		{"listen.ready", "Address of the platform's readiness checks; with `objects` only.", "unused", func(*Settings) string { return "" }},
		{"listen.directory", "Address where callers ask for addresses; with `objects` only.", "unused", func(*Settings) string { return "" }},
		{
			"routes.retry_ratio", "Part of a repeat that each request on a route allows.", fmt.Sprint(d.Routes.RetryRatio),
			func(s *Settings) string { return needBetween(s.Routes.RetryRatio, 0, 1) },
		},
		{
			"routes.retry_allowance", "Repeats that all boxes together may send to a service beside that, in ten seconds.", fmt.Sprint(d.Routes.RetryAllowance),
			func(s *Settings) string { return needBetween(s.Routes.RetryAllowance, 0, 100000) },
		},
		{
			"routes.prefill_rate", "Prompt tokens that an engine reads in a second.", fmt.Sprint(d.Routes.PrefillRate),
			func(s *Settings) string { return needBetween(s.Routes.PrefillRate, 1, 1e9) },
		},
		{
			"request.body_bytes", "Largest request body, in bytes.", fmt.Sprint(d.Request.BodyBytes),
			func(s *Settings) string { return needBetween(s.Request.BodyBytes, 1, 64<<20) },
		},
		{
			"request.body_time", "Longest time for a request body to arrive.", d.Request.BodyTime.String(),
			func(s *Settings) string { return needBetween(s.Request.BodyTime, time.Millisecond, time.Hour) },
		},
		{
			"request.default_wait", "Longest wait for a start where neither request nor priority names one.", d.Request.DefaultWait.String(),
			func(s *Settings) string { return needBetween(s.Request.DefaultWait, time.Millisecond, time.Hour) },
		},
		{
			"request.longest", "Longest time for a whole request.", d.Request.Longest.String(),
			func(s *Settings) string { return needBetween(s.Request.Longest, time.Second, 24*time.Hour) },
		},
		{
			"request.locate_keep", "How long callers may keep a locate answer.", d.Request.LocateKeep.String(),
			func(s *Settings) string { return needBetween(s.Request.LocateKeep, time.Second, time.Hour) },
		},
		{
			"loads.per_second", "Loads a second from the weight store, for the whole site.", fmt.Sprint(d.Loads.PerSecond),
			func(s *Settings) string { return needBetween(s.Loads.PerSecond, 0.001, 10000) },
		},
		{
			"loads.at_once", "Loads at once from the weight store, for the whole site.", fmt.Sprint(d.Loads.AtOnce),
			func(s *Settings) string { return needBetween(s.Loads.AtOnce, 1, 10000) },
		},
		{
			"loads.limit", "What the weight store's budget limits: `adapters` or `base_models`.", d.Loads.Limit,
			func(s *Settings) string { return needOneOf(s.Loads.Limit, LimitAdapters, LimitBaseModels) },
		},
		{
			"customers.revoked_within", "How long after its acknowledgement a key that was taken away may still let requests run: a box whose word on the configuration is older refuses them. Zero does not bound it.", d.Customers.RevokedWithin.String(),
			func(s *Settings) string { return needBetween(s.Customers.RevokedWithin, 0, time.Hour) },
		},
		{
			"customers.in_force_within", "How soon after its acknowledgement a configuration is to be in force: a box whose word is older refuses what it does not know with code 3010, in place of 3009 or 2008. Zero always gives those.", d.Customers.InForceWithin.String(),
			func(s *Settings) string { return needBetween(s.Customers.InForceWithin, 0, time.Hour) },
		},
		{
			"customers.quota_window", "Time over which quotas are judged: a customer may use its rate for that time and its burst. Zero keeps to rate and burst at any time.", d.Customers.QuotaWindow.String(),
			func(s *Settings) string { return needBetween(s.Customers.QuotaWindow, 0, time.Hour) },
		},
		{
			"customers.quota_excess", "Part of its quota by which a customer may exceed it in the window.", fmt.Sprint(d.Customers.QuotaExcess),
			func(s *Settings) string { return needBetween(s.Customers.QuotaExcess, 0, 10) },
		},
		{
			"customers.quota_tolerance", "Units by which a customer may exceed its quota in the window beside that, whatever the quota.", fmt.Sprint(d.Customers.QuotaTolerance),
			func(s *Settings) string { return needBetween(s.Customers.QuotaTolerance, 0, 1e9) },
		},
		{
			"quarantine.endpoints", "How many endpoints end under a request, over all boxes, before it reaches no more of them.", fmt.Sprint(d.Quarantine.Endpoints),
			func(s *Settings) string { return needBetween(s.Quarantine.Endpoints, 1, 16) },
		},
		{
			"quarantine.hold", "How long such a request is held, and how long an endpoint that ended counts.", d.Quarantine.Hold.String(),
			func(s *Settings) string { return needBetween(s.Quarantine.Hold, time.Second, 24*time.Hour) },
		},
		{
			"timing.linger", "How long a leaving box serves callers that do not know yet.", d.Timing.Linger.String(),
			func(s *Settings) string { return needBetween(s.Timing.Linger, 0, s.Timing.Leave) },
		},
		{
			"timing.last_stream", "Until when a leaving box takes new streams on routes; zero: until it is gone.", d.Timing.LastStream.String(),
			func(s *Settings) string { return needBetween(s.Timing.LastStream, 0, s.Timing.Leave) },
		},
		{
			"timing.order_gap", "Least time between the orders of two owners of an engine, for engines that check no epochs.", d.Timing.OrderGap.String(),
			func(s *Settings) string { return needBetween(s.Timing.OrderGap, 0, time.Minute) },
		},
		{
			"timing.reclaim", "Whether the platform ends a box's process before it starts the next one; it then keeps its engines.", fmt.Sprint(d.Timing.Reclaim),
			func(*Settings) string { return "" },
		},
		{
			"timing.beat", "Time between heartbeats.", d.Timing.Beat.String(),
			func(s *Settings) string { return needBetween(s.Timing.Beat, 10*time.Millisecond, time.Minute) },
		},
		{
			"timing.lease_ttl", "How long the coordinator's lease holds after a renewal; at least three heartbeats.", d.Timing.LeaseTTL.String(),
			func(s *Settings) string { return needBetween(s.Timing.LeaseTTL, 3*s.Timing.Beat, 10*time.Minute) },
		},
		{
			"timing.term", "How long a box may give orders after its last answered heartbeat; at least lease_ttl.", d.Timing.Term.String(),
			func(s *Settings) string { return needBetween(s.Timing.Term, s.Timing.LeaseTTL, time.Hour) },
		},
		{
			"timing.drain", "How long a silent box may still have requests in flight; at least request.longest.", d.Timing.Drain.String(),
			func(s *Settings) string { return needBetween(s.Timing.Drain, s.Request.Longest, 48*time.Hour) },
		},
		{
			"timing.leave", "Longest time for a planned stop.", d.Timing.Leave.String(),
			func(s *Settings) string { return needBetween(s.Timing.Leave, 0, 24*time.Hour) },
		},
		{
			"log.level", "Verbosity of the log, 0 to 4; 2 logs each request.", fmt.Sprint(d.Log.Level),
			func(s *Settings) string { return needBetween(s.Log.Level, 0, 4) },
		},
		{
			"policy.off", "Mechanisms of the decisions that are switched off, to measure their worth: " + policy.Names() + ".", "none", needMechanisms,
		},
		{
			"process.gc_percent", "Growth of the heap between two garbage collections, in percent; less saves memory and costs processor time.", fmt.Sprint(d.Process.GCPercent),
			func(s *Settings) string { return needBetween(s.Process.GCPercent, 5, 1000) },
		},
	}
}

func needMechanisms(s *Settings) string {
	if _, err := policy.New(s.Policy.Off); err != nil {
		return err.Error()
	}
	return ""
}

func needForm(s *Settings) string {
	if reason := needOneOf(s.Platform.Form, FormBellgap, FormObjects); reason != "" || s.Platform.Form == FormBellgap {
		return reason
	}
	if !s.Listen.Ready.IsValid() || !s.Listen.Directory.IsValid() {
		return "is objects; listen.ready and listen.directory must be set then"
	}
	return ""
}

func needOneOf(v string, words ...string) string {
	if !slices.Contains(words, v) {
		return fmt.Sprintf("is %q; it must be one of %v", v, words)
	}
	return ""
}

func needText(v string) string {
	if v == "" {
		return "must be set"
	}
	return ""
}

func needAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return "must be an IP address with a port"
	}
	return ""
}

func needBetween[T int | int64 | float64 | time.Duration](v, low, high T) string {
	if v < low || v > high {
		return fmt.Sprintf("is %v; it must lie in %v..%v", v, low, high)
	}
	return ""
}
