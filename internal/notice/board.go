package notice

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/logline"
	"github.com/bellgap/bellgap/internal/recent"
)

const (
	// maxEndpoints bounds the endpoints of each kind that a Board remembers, at some 150 bytes each; beyond it what was heard first is dropped.
	maxEndpoints = 2048
	// mostLines is how many lines a second tell of what endpoints say: all of a large fleet may say something at once.
	mostLines = 20
	// ignoredEvery is the least time between two lines on words of an endpoint that cannot be understood.
	ignoredEvery = 10 * time.Second
	// keepLeft is how long it is remembered that an endpoint leaves: they end within a minute, but their entries may outlast them while the store is away.
	keepLeft = time.Hour
	// trialTime is how long a request to an endpoint whose rest is over may be without an answer before another one is sent: requests by the dozen have
	// waited for that moment, and the first tells whether it takes more.
	trialTime = time.Second
	// keepTrial is how long after its rest an endpoint gets one request at a time, if none goes there: it says nothing while it gets nothing.
	keepTrial = 30 * time.Second
	// keepReused is how long it is where the next life cannot be told from this one: then one request finds out.
	keepReused = 30 * time.Second
)

// Endpoint is one life of an endpoint.
type Endpoint struct {
	Name string
	// Started is the Unix millisecond of its start, zero if it does not say: then a later life has another name, unless Reused is set.
	Started int64
	// Reused says that nothing tells its lives apart.
	Reused bool
}

// Left is that an endpoint said it leaves, as boxes tell each other.
type Left struct {
	Endpoint string `json:"endpoint"`
	Started  int64  `json:"started,omitempty"`
	Reused   bool   `json:"reused,omitempty"`
	// Age is how long ago it was first heard.
	Age time.Duration `json:"age"`
}

// BoardConfig configures a Board.
type BoardConfig struct {
	Scope tally.Scope
	// Leaves, if set, is called once it is known of a life of an endpoint that it leaves. Heard says that the endpoint told this box itself.
	Leaves func(e Endpoint, heard bool)
}

// Board is what one box knows endpoints to have said of themselves. A nil Board knows nothing.
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

// leaving is that an endpoint leaves. It is final: nothing that discovery or a later answer says takes it back, only another life is not bound by it.
type leaving struct {
	started int64
	reused  bool
	at      time.Time
}

// over reports whether this is to be forgotten.
func (l leaving) over(now time.Time) bool {
	keep := keepLeft
	if l.reused {
		keep = keepReused
	}
	return now.Sub(l.at) >= keep
}

// resting is that an endpoint wants nothing from this box for a time. After that it is on trial: it gets one request at a time until one is answered.
type resting struct {
	started int64
	until   time.Time
	// trial is until when a request that was sent after the rest is waited for.
	trial time.Time
}

// wait returns how long nothing more is to be sent.
func (r resting) wait(now time.Time) time.Duration {
	if now.Before(r.until) {
		return r.until.Sub(now)
	}
	return max(0, r.trial.Sub(now))
}

// over reports whether this is to be forgotten.
func (r resting) over(now time.Time) bool { return now.Sub(r.until) >= keepTrial }

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
	if w.Leaving && b.hearLeaving(e, leaving{e.Started, e.Reused, now}, now) {
		b.leaves(e, true)
	}
	switch {
	case w.Rest > 0:
		b.hearRest(now, e, w.Rest)
	case b.Any():
		b.hearAnswer(now, e)
	}
}

// hearAnswer takes in that an endpoint has answered without asking for rest: if its rest is over, so is its trial.
func (b *Board) hearAnswer(now time.Time, e Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r, ok := b.rests[e.Name]; ok && !now.Before(r.until) && r.started <= e.Started {
		delete(b.rests, e.Name)
		b.counted()
	}
}

// Told takes in what another box knows.
func (b *Board) Told(now time.Time, all []Left) {
	if b == nil {
		return
	}
	for _, l := range all {
		e := Endpoint{l.Endpoint, l.Started, l.Reused}
		if b.hearLeaving(e, leaving{l.Started, l.Reused, now.Add(-max(0, l.Age))}, now) {
			b.leaves(e, false)
		}
	}
}

func (b *Board) leaves(e Endpoint, heard bool) {
	if b.cfg.Leaves != nil {
		b.cfg.Leaves(e, heard)
	}
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

// hearLeaving takes in that an endpoint leaves. It reports whether that is news.
func (b *Board) hearLeaving(e Endpoint, l leaving, now time.Time) bool {
	if l.over(now) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	had, ok := b.left[e.Name]
	// Where lives are not told apart, each word may be that of another one: it is counted from anew now and then.
	again := l.reused && l.at.Sub(had.at) > keepReused/2
	if ok && !had.over(now) && had.started >= l.started && !again {
		return false
	}
	if !ok {
		makeRoom(b.left, func(l leaving) time.Time { return l.at })
	}
	b.left[e.Name] = l
	b.counted()
	b.cfg.Scope.Counter("endpoints_leaving").Inc(1)
	b.lines.Info(now, "endpoint says that it leaves", "endpoint", e.Name, "started", e.Started, "age", now.Sub(l.at))
	return true
}

func (b *Board) hearRest(now time.Time, e Endpoint, rest time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	had, ok := b.rests[e.Name]
	until := now.Add(rest)
	if ok && (had.started > e.Started || (had.started == e.Started && !until.After(had.until))) {
		return
	}
	if !ok {
		makeRoom(b.rests, func(r resting) time.Time { return r.until })
	}
	b.rests[e.Name] = resting{started: e.Started, until: until}
	b.counted()
	b.cfg.Scope.Counter("rests_asked").Inc(1)
	b.lines.Info(now, "endpoint asks for rest", "endpoint", e.Name, "rest", rest)
}

func (b *Board) counted() { b.count.Store(int64(len(b.left) + len(b.rests))) }

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

// Any reports whether anything is known of any endpoint. Who looks at many asks this first, as reading the clock for each costs more.
func (b *Board) Any() bool { return b != nil && b.count.Load() > 0 }

// Leaves reports whether an endpoint has said in its present life that it leaves.
func (b *Board) Leaves(now time.Time, e Endpoint) bool {
	if !b.Any() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.left[e.Name]
	return ok && l.started >= e.Started && !l.over(now)
}

// Rest returns for how long an endpoint is to get nothing more from this box: the rest that it has asked for, then what an answer is waited for.
func (b *Board) Rest(now time.Time, e Endpoint) time.Duration {
	if !b.Any() {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.rests[e.Name]
	if !ok || r.started < e.Started {
		return 0
	}
	return r.wait(now)
}

// Enter asks whether a request may be sent to an endpoint now, and counts it as sent if so; else the wait is as Rest tells it.
func (b *Board) Enter(now time.Time, e Endpoint) (wait time.Duration, ok bool) {
	if !b.Any() {
		return 0, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r, rests := b.rests[e.Name]
	if !rests || r.started < e.Started {
		return 0, true
	}
	if wait = r.wait(now); wait > 0 {
		return wait, false
	}
	r.trial = now.Add(trialTime)
	b.rests[e.Name] = r
	return 0, true
}

// Resting is an endpoint that wants nothing from this box, for a time.
type Resting struct {
	Endpoint string `json:"endpoint"`
	// Left is how much of that time is left; none is left of one that is on trial.
	Left time.Duration `json:"left"`
}

// Rests returns the endpoints that have asked this box for rest, by name.
func (b *Board) Rests(now time.Time) []Resting {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(now)
	var all []Resting
	for name, r := range b.rests {
		all = append(all, Resting{name, max(0, r.until.Sub(now))})
	}
	slices.SortFunc(all, func(x, y Resting) int { return strings.Compare(x.Endpoint, y.Endpoint) })
	return all
}

// Left returns the endpoints that leave, by name.
func (b *Board) Left(now time.Time) []Left {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(now)
	var all []Left
	for name, l := range b.left {
		all = append(all, Left{name, l.started, l.reused, now.Sub(l.at)})
	}
	slices.SortFunc(all, func(x, y Left) int { return strings.Compare(x.Endpoint, y.Endpoint) })
	return all
}

// forget drops what is over.
func (b *Board) forget(now time.Time) {
	for name, l := range b.left {
		if l.over(now) {
			delete(b.left, name)
		}
	}
	for name, r := range b.rests {
		if r.over(now) {
			delete(b.rests, name)
		}
	}
	b.counted()
}
