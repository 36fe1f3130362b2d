// Package operator serves operators on an address of its own: resources, status, metrics, health and profiles.
package operator

import (
	"context"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/follow"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/member"
	"github.com/bellgap/bellgap/internal/notice"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/quarantine"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/record"
	"github.com/bellgap/bellgap/internal/result"
)

// Config configures an Operator.
type Config struct {
	Box     string
	API     objects.API
	Catalog *catalog.Catalog
	Metrics http.Handler
	// Ready reports whether this box can serve callers.
	Ready func() bool
	// Membership, Engines and InFlight are shown in the status.
	Membership func() member.Status
	Engines    func() []owner.Status
	InFlight   func() int
	// Record answers why recent requests went as they did.
	Record *record.Log
	// Quarantine knows the requests under which endpoints have ended.
	Quarantine Quarantine
	// Limits returns the endpoints that name how many requests a second they take.
	Limits func(now time.Time) []ratelimit.Limit
	// Notices is what else endpoints have said of themselves.
	Notices *notice.Board
	// Restored returns what is known of the store's last restore; nil on boxes that follow no kinds of their own.
	Restored func() follow.Restored
	Scope    tally.Scope
}

// Quarantine is what operators see of requests that end endpoints, and let pass again.
type Quarantine interface {
	// Cases returns the requests under which endpoints have ended, those under which most did first.
	Cases() []quarantine.Case
	// Release lets a request pass on all boxes. It reports whether the request was known.
	Release(ctx context.Context, f quarantine.Fingerprint) bool
}

// Operator is the operators' part of a box.
type Operator struct {
	cfg Config
}

// New returns an Operator.
func New(cfg Config) *Operator { return &Operator{cfg: cfg} }

// Status is what GET /status answers.
type Status struct {
	Box      string           `json:"box"`
	Ready    bool             `json:"ready"`
	Revision objects.Position `json:"revision"`
	InFlight int              `json:"in_flight"`
	Member   member.Status    `json:"member"`
	Engines  []owner.Status   `json:"engines"`
	// Skipped counts objects that this box could not read.
	Skipped int `json:"skipped"`
	// Limits lists the endpoints that name how many requests a second they take, as this box knows.
	Limits []ratelimit.Limit `json:"limits,omitempty"`
	// Left lists the endpoints that have said they leave, Rests those that have asked this box for rest.
	Left  []notice.Left    `json:"left,omitempty"`
	Rests []notice.Resting `json:"rests,omitempty"`
	// Restored tells of the last time that the store came back from an older copy, if it has.
	Restored *follow.Restored `json:"restored,omitempty"`
}

// Handler serves operators.
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
	if !o.cfg.Ready() {
		result.New(result.NotReady, "%s", o.cfg.Box).Write(w, "")
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (o *Operator) handleStatus(w http.ResponseWriter, _ *http.Request) {
	httpx.WriteJSON(w, http.StatusOK, Status{
		Box: o.cfg.Box, Ready: o.cfg.Ready(), Revision: o.cfg.Catalog.Revision(), InFlight: o.cfg.InFlight(),
		Member: o.cfg.Membership(), Engines: o.cfg.Engines(), Skipped: o.cfg.Catalog.Skipped(),
		Limits: o.cfg.Limits(clock.Now()), Left: o.cfg.Notices.Left(clock.Now()), Rests: o.cfg.Notices.Rests(clock.Now()), Restored: o.restored(),
	})
}

func (o *Operator) restored() *follow.Restored {
	if o.cfg.Restored == nil {
		return nil
	}
	if r := o.cfg.Restored(); r.Era > 0 {
		return &r
	}
	return nil
}

// handleBoxes shows the zone maps as this box knows them.
func (o *Operator) handleBoxes(w http.ResponseWriter, _ *http.Request) {
	httpx.WriteJSON(w, http.StatusOK, o.cfg.Catalog.Topology())
}
