package notice

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/logline"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/recent"
)

const (
	// maxEndpoints bounds the endpoints of each kind that a Board remembers, at some 150 bytes each; beyond it what was heard first is dropped.
	maxEndpoints = 4096
	// mostLines is how many lines a second tell of what endpoints say: all of a large fleet may say something at once.
	mostLines = 20
	// ignoredEvery is the least time between two lines on words of an endpoint that cannot be understood.
	ignoredEvery = 10 * time.Second
)

// Endpoint is one life of an endpoint.
type Endpoint struct {
	Name string
	// Started is the Unix millisecond of its start, zero if it does not say.
	Started int64
}

// BoardConfig configures a Board.
type BoardConfig struct {
	// Rates keeps what endpoints say of how many requests a second they take.
	Rates *ratelimit.Book
	Scope tally.Scope
}

// Board is what one box has heard endpoints say of themselves. A nil Board knows nothing.
type Board struct {
	cfg BoardConfig
	// ignored are the endpoints that lately said what cannot be understood.
	ignored *recent.Set[string]
	// count is how many endpoints are remembered: with none, as on most days, a look costs no lock.
	count atomic.Int64

	mu    sync.Mutex
	lines logline.Limit
	// left are the endpoints that said they leave, rests those that asked for rest.
	left  map[string]leaving
	rests map[string]resting
}

// leaving is that an endpoint leaves.
type leaving struct {
	started int64
	at      time.Time
}

// resting is that an endpoint wants nothing for a time.
type resting struct {
	started int64
	at      time.Time
	until   time.Time
}

// NewBoard returns an empty Board.
func NewBoard(cfg BoardConfig) *Board {
	return &Board{
		cfg: cfg, ignored: recent.New[string](ignoredEvery), lines: logline.Limit{Most: mostLines}, left: map[string]leaving{}, rests: map[string]resting{},
	}
}

// Heard takes in what an endpoint said with an answer of its own.
func (b *Board) Heard(now time.Time, e Endpoint, w Word) {
	if b == nil {
		return
	}
	b.ignore(now, e, w.LeavingErr)
	b.ignore(now, e, w.RestErr)
	if w.Closing {
		b.cfg.Scope.Counter("answers_closing").Inc(1)
	}
	if !w.Leaving && w.Rest == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.Leaving {
		b.hearLeaving(now, e)
	}
	if w.Rest > 0 {
		b.hearRest(now, e, w.Rest)
	}
	b.count.Store(int64(len(b.left) + len(b.rests)))
}

// ignore tells of what cannot be understood. What was known of the endpoint stands.
func (b *Board) ignore(now time.Time, e Endpoint, err error) {
	if err == nil {
		return
	}
	b.cfg.Scope.Counter("notices_ignored").Inc(1)
	if b.ignored.Has(e.Name, now) {
		return
	}
	b.ignored.Add(e.Name, now)
	klog.ErrorS(err, "word of an endpoint ignored", "endpoint", e.Name)
}

func (b *Board) hearLeaving(now time.Time, e Endpoint) {
	if had, ok := b.left[e.Name]; ok && had.started >= e.Started {
		return
	}
	makeRoom(b.left, func(l leaving) time.Time { return l.at })
	b.left[e.Name] = leaving{e.Started, now}
	b.cfg.Scope.Counter("endpoints_leaving").Inc(1)
	b.lines.Info(now, "endpoint says that it leaves", "endpoint", e.Name, "started", e.Started)
}

func (b *Board) hearRest(now time.Time, e Endpoint, rest time.Duration) {
	had, ok := b.rests[e.Name]
	until := now.Add(rest)
	if ok && (had.started > e.Started || (had.started == e.Started && !until.After(had.until))) {
		return
	}
	if !ok {
		makeRoom(b.rests, func(r resting) time.Time { return r.until })
	}
	b.rests[e.Name] = resting{e.Started, now, until}
	b.cfg.Scope.Counter("rests_asked").Inc(1)
	b.lines.Info(now, "endpoint asks for rest", "endpoint", e.Name, "rest", rest)
}

// makeRoom drops the oldest entry of a full map.
func makeRoom[T any](all map[string]T, at func(T) time.Time) {
	if len(all) < maxEndpoints {
		return
	}
	oldest := ""
	for name, t := range all {
		if oldest == "" || at(t).Before(at(all[oldest])) {
			oldest = name
		}
	}
	delete(all, oldest)
}

// Said returns how long ago an endpoint said that it leaves, and for how long it still wants nothing; zero if it said no such thing.
func (b *Board) Said(now time.Time, e Endpoint) (left, rest time.Duration) {
	if b == nil || b.count.Load() == 0 {
		return 0, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if l, ok := b.left[e.Name]; ok && l.started >= e.Started {
		left = max(1, now.Sub(l.at))
	}
	if r, ok := b.rests[e.Name]; ok && r.started >= e.Started {
		rest = max(0, r.until.Sub(now))
	}
	return left, rest
}
