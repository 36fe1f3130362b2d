package share

import (
	"fmt"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/demand"
)

const (
	// minRoom and maxRoom bound the time after which a share is expected to have room.
	minRoom = 500 * time.Millisecond
	maxRoom = 3 * time.Second
	// calmAfter is how long a service must not be short until it is logged as such. Around the threshold it would otherwise be logged again and again.
	calmAfter = 2 * time.Second
)

// Reason is why a request is restricted.
type Reason string

// The reasons of restrictions.
const (
	ReasonUrgency  Reason = "urgency"
	ReasonCustomer Reason = "customer"
)

// Outcome returns how a request that was refused for the reason is counted.
func (r Reason) Outcome() demand.Outcome {
	if r == ReasonCustomer {
		return demand.OverCustomer
	}
	return demand.OverUrgency
}

// GateConfig holds the settings and dependencies of a Gate.
type GateConfig struct {
	// View returns the shares in force.
	View func(now time.Time) demand.View
	// ByUrgency and ByCustomer switch the two rules on.
	ByUrgency  bool
	ByCustomer bool
	// Random returns a number from 0 up to 1. It must be safe for concurrent use.
	Random func() float64
	Scope  tally.Scope
}

// Gate decides which requests are restricted. It is safe for concurrent use.
type Gate struct {
	cfg GateConfig

	mu sync.Mutex
	// shortages holds the services that are short, logged until they have not been short for calmAfter. viewAt is the time of the shares from which it was
	// last updated.
	shortages map[string]*shortage
	viewAt    time.Time
}

// shortage is the time in which a service is short.
type shortage struct {
	since, last time.Time
}

// NewGate returns a Gate.
func NewGate(cfg GateConfig) *Gate { return &Gate{cfg: cfg, shortages: map[string]*shortage{}} }

// Restriction tells why a request is restricted, and when it may come again if no engine takes it.
type Restriction struct {
	Reason     Reason
	Ratio      float64
	RetryAfter time.Duration
	// FromFleet is set if the ratio follows from the demand on all boxes, unset if it follows from that on this box alone.
	FromFleet bool
}

// String returns the restriction for log lines and callers.
func (r *Restriction) String() string {
	scope := "all boxes"
	if !r.FromFleet {
		scope = "this box"
	}
	return fmt.Sprintf("over the share by %s, of which %.3f is unrestricted, by the demand on %s", r.Reason, r.Ratio, scope)
}

// Check returns nil if a request may take any room, else why it may only take room that no other request needs. A customer that asks no more than its level is not limited by urgency either: what is missing is then missing
// because of others.
func (g *Gate) Check(now time.Time, service string, urgency int, customer string) *Restriction {
	v := g.cfg.View(now)
	g.logChanges(now, v)
	class, byUrgency := v.Class(service, urgency)
	limited, byCustomer := v.Customer(service, customer)
	isBelowLevel := g.cfg.ByCustomer && customer != "" && !byCustomer
	switch {
	case g.cfg.ByCustomer && byCustomer && g.cfg.Random() >= limited.Admit:
		return g.newRestriction(v, ReasonCustomer, limited.Admit, service, urgency)
	case g.cfg.ByUrgency && byUrgency && !isBelowLevel && g.cfg.Random() >= class.Admit:
		return g.newRestriction(v, ReasonUrgency, class.Admit, service, urgency)
	default:
		return nil
	}
}

func (g *Gate) newRestriction(v demand.View, reason Reason, ratio float64, service string, urgency int) *Restriction {
	g.cfg.Scope.Tagged(map[string]string{"reason": string(reason)}).Counter("share_restricted").Inc(1)
	room := Room(ratio, lessUrgentPart(v, service, urgency))
	return &Restriction{Reason: reason, Ratio: ratio, RetryAfter: room + time.Duration(g.cfg.Random()*float64(room)), FromFleet: v.FromFleet}
}

// Room returns the time after which a share with an admission ratio is expected to have room: the lower the ratio, the longer. lessUrgent is 0 for the most
// urgent class and 1 for the least urgent one, which waits twice as long.
func Room(ratio, lessUrgent float64) time.Duration {
	missing := 1 - min(max(ratio, 0), 1)
	room := time.Duration((minRoom + time.Duration(missing*float64(maxRoom-minRoom))).Seconds() * (1 + lessUrgent) / 2 * float64(time.Second))
	return min(max(room, minRoom), maxRoom)
}

// lessUrgentPart returns the part of the other classes of a service that are more urgent.
func lessUrgentPart(v demand.View, service string, urgency int) float64 {
	more, all := 0, 0
	for _, s := range v.All() {
		if s.Service != service || s.Customer != "" || s.Urgency == urgency {
			continue
		}
		all++
		if s.Urgency > urgency {
			more++
		}
	}
	if all == 0 {
		return 0
	}
	return float64(more) / float64(all)
}

// Shortage describes the shares of a service that is short.
type Shortage struct {
	Service string `json:"service"`
	// For is how long the service has been short. FromFleet is set if this follows from the demand on all boxes.
	For       time.Duration  `json:"for"`
	FromFleet bool           `json:"fleet"`
	Shares    []demand.Share `json:"shares"`
}

// Shortages returns the services that are short, with their shares.
func (g *Gate) Shortages(now time.Time) []Shortage {
	v := g.cfg.View(now)
	g.logChanges(now, v)
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []Shortage
	for _, service := range shortServices(v) {
		if s := g.shortages[service]; s != nil {
			all = append(all, Shortage{service, now.Sub(s.since), v.FromFleet, sharesOf(v, service)})
		}
	}
	return all
}

// logChanges logs which services became short, and which no longer are, since the last shares.
func (g *Gate) logChanges(now time.Time, v demand.View) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.viewAt.Equal(v.At()) {
		return
	}
	g.viewAt = v.At()
	for _, service := range shortServices(v) {
		if g.shortages[service] == nil {
			g.shortages[service] = &shortage{since: now}
			g.cfg.Scope.Counter("shortages").Inc(1)
			klog.InfoS("service is short", "service", service, "fleet", v.FromFleet, "shares", sharesOf(v, service))
		}
		g.shortages[service].last = now
	}
	for service, s := range g.shortages {
		if now.Sub(s.last) > calmAfter {
			delete(g.shortages, service)
			klog.InfoS("service is no longer short", "service", service, "lasted", s.last.Sub(s.since), "shares", sharesOf(v, service))
		}
	}
}

// shortServices returns the services of which engines take less than calmShare.
func shortServices(v demand.View) []string {
	asked, served := map[string]float64{}, map[string]float64{}
	var services, short []string
	for _, s := range v.All() {
		if s.Customer != "" {
			continue
		}
		if _, ok := asked[s.Service]; !ok {
			services = append(services, s.Service)
		}
		asked[s.Service] += s.Asked
		served[s.Service] += s.Asked * s.Served
	}
	for _, service := range services {
		if asked[service]*demand.Window.Seconds() >= minAsked && served[service] < calmShare*asked[service] {
			short = append(short, service)
		}
	}
	return short
}

func sharesOf(v demand.View, service string) []demand.Share {
	var shares []demand.Share
	for _, s := range v.All() {
		if s.Service == service {
			shares = append(shares, s)
		}
	}
	return shares
}
