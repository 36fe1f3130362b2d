// Package operator serves the HTTP API for operators, on its own listen address: resources, status, metrics, health checks and profiles.
package operator

import (
	"context"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/detour"
	"github.com/bellgap/bellgap/internal/engineload"
	"github.com/bellgap/bellgap/internal/follow"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/intake"
	"github.com/bellgap/bellgap/internal/member"
	"github.com/bellgap/bellgap/internal/notice"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/pairing"
	"github.com/bellgap/bellgap/internal/quarantine"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/reach"
	"github.com/bellgap/bellgap/internal/record"
	"github.com/bellgap/bellgap/internal/relay"
	"github.com/bellgap/bellgap/internal/result"
	"github.com/bellgap/bellgap/internal/share"
	"github.com/bellgap/bellgap/internal/slowpeer"
	"github.com/bellgap/bellgap/internal/softwareversion"
)

// Config configures an Operator.
type Config struct {
	Box     string
	API     objects.API
	Catalog *catalog.Catalog
	Metrics http.Handler
	// IsReady reports whether this box is ready to serve callers.
	IsReady func() bool
	// Membership, Engines and InFlight return values for the status response.
	Membership func() member.Status
	Engines    func() []owner.Status
	InFlight   func() int
	// Leaving describes a box that is leaving, nil if it is not. If Leaving is nil, nothing is known.
	Leaving func() *Leave
	// RecentRequests holds the recent requests, which GET /explain returns.
	RecentRequests *record.Log
	// Quarantine holds the requests that have crashed endpoints.
	Quarantine Quarantine
	// RateLimits returns the rate limits that endpoints have reported, in requests per second.
	RateLimits func(now time.Time) []ratelimit.Limit
	// BrittleEndpoints returns the endpoints that have reported that they are brittle.
	BrittleEndpoints func(now time.Time) []ratelimit.BrittleEndpoint
	// Notices holds the other notices of endpoints: that they are leaving, or that they request a pause.
	Notices *notice.Board
	// Shortages returns the services that are short, with their shares. It is nil on boxes without scarce services.
	Shortages func(now time.Time) []share.Shortage
	// LastRestore returns details of the store's last restore from an older copy. It is nil on boxes that do not use package follow.
	LastRestore func() follow.RestoreStatus
	// EngineLoads returns the known loads of scarce engines, those with the highest prefill rates first. It is nil on boxes without them.
	EngineLoads func(now time.Time) []engineload.Sent
	Scope       tally.Scope
	// SlowPeers returns the bytes held for callers and endpoints, and those of them that stall.
	SlowPeers func(now time.Time) slowpeer.Status
	// Reach returns which endpoints the box can connect to. It is nil on boxes that do not track it.
	Reach func() reach.Status
	// Detours returns the open connections to endpoints through other boxes. It is nil on boxes that use none.
	Detours func() detour.Status
	// StreamOrigins returns how many records of the software versions at which streams began the box keeps. It is nil on boxes that keep
	// none.
	StreamOrigins func() int
	// WaitingOrigins returns how many of these records wait to be written to the stream archive. It is nil on boxes without an archive.
	WaitingOrigins func() int
	// Intake describes what requests that arrive hold. It is nil where it is not counted.
	Intake func() intake.Status
	// SurplusAnswers lists the endpoints that recently sent answers that belong to no request. It is nil on boxes that do not count them.
	SurplusAnswers func(now time.Time) []pairing.Endpoint
	// Promises returns the numbers of answers that promise callers that their requests did not run. It is nil on boxes that do not count them.
	Promises func() relay.Promises
}

// Quarantine lists the requests that have crashed endpoints and allows an operator to release them.
type Quarantine interface {
	// Cases returns the requests that have crashed endpoints, sorted by the number of crashes in descending order.
	Cases() []quarantine.Case
	// Release allows the requests with a fingerprint again on all boxes. It reports whether the fingerprint was known.
	Release(ctx context.Context, f quarantine.Fingerprint) bool
}

// Operator serves the operator API of a box.
type Operator struct {
	cfg Config
}

// New returns an Operator.
func New(cfg Config) *Operator { return &Operator{cfg: cfg} }

// Status is the response body of GET /status.
type Status struct {
	Box      string           `json:"box"`
	Ready    bool             `json:"ready"`
	Revision objects.Position `json:"revision"`
	InFlight int              `json:"in_flight"`
	// Leaving is set while the box is leaving.
	Leaving *Leave         `json:"leaving,omitempty"`
	Member  member.Status  `json:"member"`
	Engines []owner.Status `json:"engines"`
	// SkippedObjects is the number of stored objects that this box could not decode.
	SkippedObjects int `json:"skipped"`
	// RateLimits lists the endpoints that report a rate limit, as far as this box has received the reports.
	RateLimits []ratelimit.Limit `json:"limits,omitempty"`
	// BrittleEndpoints lists the endpoints that are brittle, as far as this box has received the reports.
	BrittleEndpoints []ratelimit.BrittleEndpoint `json:"brittle,omitempty"`
	// LeavingEndpoints lists the endpoints that reported that they are leaving. PausedEndpoints lists those that requested a pause from this box.
	LeavingEndpoints []notice.LeavingEndpoint `json:"left,omitempty"`
	PausedEndpoints  []notice.PausedEndpoint  `json:"rests,omitempty"`
	// Shortages lists the scarce services that are asked for more than they serve, with the shares by urgency and of limited customers.
	Shortages []share.Shortage `json:"shortages,omitempty"`
	// LastRestore describes the last restore of the store from an older copy; nil if this box has seen none.
	LastRestore *follow.RestoreStatus `json:"restored,omitempty"`
	// EngineLoads lists the loads of scarce engines, as far as this box knows them.
	EngineLoads []EngineLoad `json:"engine_loads,omitempty"`
	// SlowPeers describes the bytes held for callers and endpoints, and those of them that stall.
	SlowPeers slowpeer.Status `json:"slow_peers"`
	// Reach tells which endpoints the box can connect to.
	Reach reach.Status `json:"reach"`
	// Detours counts the open connections to endpoints through other boxes.
	Detours detour.Status `json:"detours"`
	// StreamOrigins counts the records of the software versions at which streams began.
	StreamOrigins int `json:"stream_origins"`
	// WaitingOrigins counts those that wait to be written to the stream archive.
	WaitingOrigins int `json:"waiting_origins,omitempty"`
	// SoftwareVersions lists, for each cell, the software versions that have served lately. An entry is nil if its map does not list them.
	SoftwareVersions []*softwareversion.History `json:"software_versions,omitempty"`
	// Intake describes what requests that arrive hold.
	Intake intake.Status `json:"intake"`
	// SurplusAnswers lists the endpoints that recently sent answers that belong to no request.
	SurplusAnswers []pairing.Endpoint `json:"surplus_answers,omitempty"`
	// Promises counts the answers that promise callers that their requests did not run.
	Promises relay.Promises `json:"promises"`
}

// EngineLoad is the known load of a scarce engine.
type EngineLoad struct {
	engineload.Report
	Age time.Duration `json:"age"`
}

// Handler returns the HTTP handler of the operator API.
func (o *Operator) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", o.cfg.Metrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", o.handleReady)
	mux.HandleFunc("GET /status", o.handleStatus)
	mux.HandleFunc("GET /boxes", o.handleBoxes)
	mux.HandleFunc("GET /explain", o.handleExplain)
	mux.HandleFunc("GET /quarantine", o.handleQuarantine)
	mux.HandleFunc("DELETE /quarantine/{fingerprint}", o.handleRelease)
	mux.HandleFunc("GET /resources/{kind}", o.handleList)
	mux.HandleFunc("GET /resources/{kind}/{name}", o.handleGet)
	mux.HandleFunc("PUT /resources/{kind}/{name}", o.handlePut)
	mux.HandleFunc("DELETE /resources/{kind}/{name}", o.handleDelete)
	mux.HandleFunc("GET /watch", o.handleWatch)
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return mux
}

func (o *Operator) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !o.cfg.IsReady() {
		result.New(result.NotReady, "%s", o.cfg.Box).Write(w, "")
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Leave describes a box that is leaving.
type Leave struct {
	// AnswersEndIn is the time until the box ends the requests that are still in flight.
	AnswersEndIn time.Duration `json:"answers_end_in"`
	// Refused is the number of requests that were refused since they could not end in time, Unfinished the number of those that may have run and were
	// ended without the answer of their endpoint.
	Refused    int64 `json:"refused"`
	Unfinished int64 `json:"unfinished"`
}

func (o *Operator) leaving() *Leave {
	if o.cfg.Leaving == nil {
		return nil
	}
	return o.cfg.Leaving()
}

func (o *Operator) handleStatus(w http.ResponseWriter, _ *http.Request) {
	httpx.WriteJSON(w, http.StatusOK, Status{
		Box: o.cfg.Box, Ready: o.cfg.IsReady(), Revision: o.cfg.Catalog.Revision(), InFlight: o.cfg.InFlight(), Leaving: o.leaving(),
		Member: o.cfg.Membership(), Engines: o.cfg.Engines(), SkippedObjects: o.cfg.Catalog.UnreadableObjects(),
		RateLimits: o.cfg.RateLimits(clock.Now()), BrittleEndpoints: o.cfg.BrittleEndpoints(clock.Now()), LeavingEndpoints: o.cfg.Notices.LeavingEndpoints(clock.Now()), PausedEndpoints: o.cfg.Notices.PausedEndpoints(clock.Now()), LastRestore: o.lastRestore(),
		EngineLoads: o.engineLoads(), Shortages: o.shortages(),
		SlowPeers: o.cfg.SlowPeers(clock.Now()), Reach: o.reach(), Detours: o.detours(), StreamOrigins: o.streamOrigins(), WaitingOrigins: o.waitingOrigins(), SoftwareVersions: o.cfg.Catalog.Topology().SoftwareVersions, SurplusAnswers: o.surplusAnswers(), Intake: o.intake(),
		Promises: o.promises(),
	})
}

func (o *Operator) reach() reach.Status {
	if o.cfg.Reach == nil {
		return reach.Status{}
	}
	return o.cfg.Reach()
}

func (o *Operator) intake() intake.Status {
	if o.cfg.Intake == nil {
		return intake.Status{}
	}
	return o.cfg.Intake()
}

func (o *Operator) surplusAnswers() []pairing.Endpoint {
	if o.cfg.SurplusAnswers == nil {
		return nil
	}
	return o.cfg.SurplusAnswers(clock.Now())
}

func (o *Operator) promises() relay.Promises {
	if o.cfg.Promises == nil {
		return relay.Promises{}
	}
	return o.cfg.Promises()
}

func (o *Operator) detours() detour.Status {
	if o.cfg.Detours == nil {
		return detour.Status{}
	}
	return o.cfg.Detours()
}

func (o *Operator) streamOrigins() int {
	if o.cfg.StreamOrigins == nil {
		return 0
	}
	return o.cfg.StreamOrigins()
}

func (o *Operator) waitingOrigins() int {
	if o.cfg.WaitingOrigins == nil {
		return 0
	}
	return o.cfg.WaitingOrigins()
}

func (o *Operator) shortages() []share.Shortage {
	if o.cfg.Shortages == nil {
		return nil
	}
	return o.cfg.Shortages(clock.Now())
}

func (o *Operator) engineLoads() []EngineLoad {
	if o.cfg.EngineLoads == nil {
		return nil
	}
	var all []EngineLoad
	for _, s := range o.cfg.EngineLoads(clock.Now()) {
		all = append(all, EngineLoad{s.Report, s.Age})
	}
	return all
}

func (o *Operator) lastRestore() *follow.RestoreStatus {
	if o.cfg.LastRestore == nil {
		return nil
	}
	if r := o.cfg.LastRestore(); r.Era > 0 {
		return &r
	}
	return nil
}

// handleBoxes serves GET /boxes: the boxes, engines and endpoints as this box currently sees them.
func (o *Operator) handleBoxes(w http.ResponseWriter, _ *http.Request) {
	httpx.WriteJSON(w, http.StatusOK, o.cfg.Catalog.Topology())
}
