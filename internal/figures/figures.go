// Package figures exchanges with heartbeats what boxes know of engine loads and of demand. Upload is the part that a box sends, Digest the
// part that it receives.
package figures

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bellgap/bellgap/internal/demand"
	"github.com/bellgap/bellgap/internal/engineload"
)

const (
	// maxDigestLoads and maxShares limit the entries that are accepted from one message. Honest boxes send at most 32 loads, and shares of
	// a few classes of each service and of customers.
	maxDigestLoads = 64
	maxShares      = 1024
	// maxNamedRows is the maximum number of rows in a heartbeat, apart from the sums of the further rows by service and urgency. maxRows
	// limits all of them.
	maxNamedRows = 64
	maxRows      = 96
	// maxRowAge is the time for which rows wait for an answered heartbeat. The coordinator adds up the rows of the last two seconds. Older
	// ones, which it would count as new, would overstate the demand at this box.
	maxRowAge = 2 * time.Second
)

// Upload is what a box tells with a heartbeat.
type Upload struct {
	EngineLoads []engineload.Sent
	Demand      []demand.Row
}

// Digest is what the sender of a heartbeat receives in the reply.
type Digest struct {
	EngineLoads []engineload.Sent
	Shares      []demand.Share
}

// Demand counts what a box is asked for and computes shares from the counts of all boxes.
type Demand interface {
	// Collect returns the rows since the last call and resets the counts.
	Collect(now time.Time) []demand.Row
	// Merge records the rows of a box. It is called on the coordinator only.
	Merge(now time.Time, box string, rows []demand.Row)
	// Shares returns the shares to send to other boxes: those computed here on the coordinator, those last applied on other boxes.
	Shares(now time.Time) []demand.Share
	// Apply records the shares in a reply to a heartbeat that was sent at sentAt.
	Apply(now, sentAt time.Time, shares []demand.Share)
}

// Config configures an Exchange.
type Config struct {
	// Box is the name of this box.
	Box string
	// OwnLoads returns the reports of the engines that this box owns.
	OwnLoads func(now time.Time) []engineload.Sent
	Loads    *engineload.Table
	// Demand may be nil.
	Demand Demand
	Scope  tally.Scope
}

// Exchange joins the engine loads and the demand of a box. It implements member.Figures.
type Exchange struct {
	cfg Config
	// mu guards the fields below.
	mu     sync.Mutex
	upload *engineload.Upload
	// pending holds the rows that no answered heartbeat has contained yet, oldest first.
	pending []collected
}

// New returns an Exchange.
func New(cfg Config) *Exchange { return &Exchange{cfg: cfg, upload: engineload.NewUpload()} }

// Collect returns what this box tells with its next heartbeat. The rows of a heartbeat without an answer are not lost: Collect returns
// them again, added to the newer ones, until Confirm is called after an answered heartbeat, for at most maxRowAge. If only the answer
// was lost, the coordinator counts the rows twice. That error is bounded by the rows of maxRowAge, while lost rows would hide demand
// whenever the network is overloaded.
func (e *Exchange) Collect(now time.Time) Upload {
	own := e.cfg.OwnLoads(now)
	for _, s := range own {
		e.cfg.Loads.Record(now, s.Report, s.Age)
	}
	e.cfg.Loads.UpdateGauge(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	u := Upload{EngineLoads: e.upload.Select(now, own)}
	if e.cfg.Demand == nil {
		return u
	}
	e.pending = slices.DeleteFunc(e.pending, func(c collected) bool { return now.Sub(c.at) > maxRowAge })
	e.pending = append(e.pending, collected{now, e.cfg.Demand.Collect(now)})
	var rows []demand.Row
	for _, c := range e.pending {
		rows = append(rows, c.rows...)
	}
	u.Demand = sumRows(rows)
	return u
}

// Merge records what a box has told. It is called on the coordinator only.
func (e *Exchange) Merge(now time.Time, box string, u Upload) {
	if box != e.cfg.Box {
		e.recordLoads(now, limit(e, u.EngineLoads, engineload.MaxUpload))
	}
	if e.cfg.Demand != nil {
		e.cfg.Demand.Merge(now, box, limit(e, u.Demand, maxRows))
	}
}

// Digest returns what a box lacks, for a reply that answers a number of heartbeats. That number is above one for an aggregator.
func (e *Exchange) Digest(now time.Time, box string, heartbeats int) Digest {
	var d Digest
	if box != e.cfg.Box {
		d.EngineLoads = e.cfg.Loads.Select(now, box, heartbeats)
	}
	if e.cfg.Demand != nil {
		d.Shares = e.cfg.Demand.Shares(now)
	}
	return d
}

// Confirm records that the coordinator has answered the heartbeat with the result of the last Collect.
func (e *Exchange) Confirm() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pending = nil
	e.upload.Confirm()
}

// Apply records a reply to a message that was sent at sentAt.
func (e *Exchange) Apply(now, sentAt time.Time, d Digest) {
	e.recordLoads(now, limit(e, d.EngineLoads, maxDigestLoads))
	if e.cfg.Demand != nil {
		e.cfg.Demand.Apply(now, sentAt, limit(e, d.Shares, maxShares))
	}
}

func (e *Exchange) recordLoads(now time.Time, loads []engineload.Sent) {
	e.cfg.Scope.Counter("engine_loads_received").Inc(int64(len(loads)))
	for _, s := range loads {
		e.cfg.Loads.Record(now, s.Report, s.Age)
	}
}

// limit returns the first entries of a received list, and counts the others.
func limit[T any](e *Exchange, received []T, most int) []T {
	if len(received) <= most {
		return received
	}
	e.cfg.Scope.Counter("figures_truncated").Inc(int64(len(received) - most))
	return received[:most]
}

// collected holds the rows of one call of Collect.
type collected struct {
	at   time.Time
	rows []demand.Row
}

// rowKey identifies the requests that a row counts.
type rowKey struct {
	service  string
	urgency  int
	customer string
}

// sumRows adds up the rows of the same requests. It returns the largest ones first, followed by the sums of the others without
// customers.
func sumRows(rows []demand.Row) []demand.Row {
	sums := addUp(rows)
	if len(sums) <= maxNamedRows {
		return sums
	}
	slices.SortFunc(sums, func(a, b demand.Row) int {
		return cmp.Or(cmp.Compare(b.AskedTokens, a.AskedTokens), cmp.Compare(b.Asked, a.Asked))
	})
	others := sums[maxNamedRows:]
	for i := range others {
		others[i].Customer = ""
	}
	out := addUp(append(slices.Clone(sums[:maxNamedRows]), others...))
	return out[:min(len(out), maxRows)]
}

// addUp adds up the rows with the same key, in the order in which the keys appear first.
func addUp(rows []demand.Row) []demand.Row {
	index := map[rowKey]int{}
	var out []demand.Row
	for _, r := range rows {
		key := rowKey{r.Service, r.Urgency, r.Customer}
		i, ok := index[key]
		if !ok {
			index[key] = len(out)
			out = append(out, r)
			continue
		}
		out[i].Asked += r.Asked
		out[i].Served += r.Served
		out[i].AskedTokens += r.AskedTokens
		out[i].ServedTokens += r.ServedTokens
	}
	return out
}
