package ratelimit

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/logline"
	"github.com/bellgap/bellgap/internal/recent"
	"github.com/bellgap/bellgap/internal/turn"
)

const (
	// liftedFor is how long a box remembers that an endpoint no longer names a rate, so that it can tell boxes that still go by one.
	liftedFor = 30 * time.Second
	// maxWords bounds the endpoints that a Book remembers, at some 200 bytes each; beyond it the one heard of longest ago is dropped.
	maxWords = 4096
	// toldEvery is the least time between two lines on a rate that moves, for each endpoint.
	toldEvery = 5 * time.Second
	// maxWait is for how far ahead refused requests are told when to come back in turn: callers wait 10 to 25 s for an answer.
	maxWait = 15 * time.Second
	// ignoredEvery is the least time between two lines on rates of an endpoint that cannot be understood.
	ignoredEvery = 10 * time.Second
	// mostLines is how many lines a second tell of rates: all endpoints of a large fleet may name one at once.
	mostLines = 20
	// sumEvery is how often the rates of a service's endpoints are summed up: there may be thousands, and as many refused requests a second.
	sumEvery = time.Second
	// maxServices bounds the services whose refused requests are told apart.
	maxServices = 1024
)

// heard is a word with when it was said, by this box's clock.
type heard struct {
	Word
	at time.Time
}

// newer reports whether a word goes before another one: that of a later life, else the one said later.
func (h heard) newer(than heard) bool {
	if h.Started != than.Started {
		return h.Started > than.Started
	}
	return h.at.After(than.at)
}

// told returns the word for another box.
func (h heard) told(now time.Time) Word {
	w := h.Word
	w.Age = max(0, now.Sub(h.at))
	return w
}

// BookConfig configures a Book.
type BookConfig struct {
	// Boxes returns how many boxes there are.
	Boxes func() int
	Scope tally.Scope
}

// Book is what one box knows of the rates that endpoints name. A nil Book knows nothing.
type Book struct {
	cfg BookConfig
	// ignored are the endpoints that lately named rates which cannot be understood.
	ignored *recent.Set[string]
	// count is how many words there are: with none, as on most days, a look costs no lock.
	count atomic.Int64

	mu    sync.Mutex
	words map[string]*entry
	// forgot is when words that are over were last dropped.
	forgot time.Time
	// lines tells what has changed.
	lines logline.Limit
	// returns tell those who were refused when to come back, by service.
	returns map[string]*returns
}

// returns spreads the refused requests of a service over what its endpoints take.
type returns struct {
	turns turn.Turns
	// sum is the requests a second that the endpoints took when that was summed up.
	sum    float64
	summed time.Time
}

// entry is what is known of one endpoint.
type entry struct {
	heard
	// since is when it first named a rate, logged when another one was last logged.
	since, logged time.Time
	// lone is this box's own share of the rate, for when nobody can be asked.
	lone Limiter
}

// NewBook returns an empty Book.
func NewBook(cfg BookConfig) *Book {
	return &Book{cfg: cfg, ignored: recent.New[string](ignoredEvery), words: map[string]*entry{}, returns: map[string]*returns{}, lines: logline.Limit{Most: mostLines}}
}

// Any reports whether anything is known of any endpoint.
func (b *Book) Any() bool { return b != nil && b.count.Load() > 0 }

// Heard takes in what an endpoint, or another box, said of it. It reports whether the box that counts the endpoint's requests has to know: that is so
// for rates, and while a box may still go by one that is over.
func (b *Book) Heard(now time.Time, endpoint string, w Word) bool {
	if b == nil || (!w.Limited && !b.Any()) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.words[endpoint]
	if e == nil && !w.Limited {
		return false
	}
	h := w.heard(now)
	if e == nil {
		e = b.add(endpoint)
	} else if !h.newer(e.heard) {
		return true
	}
	b.tell(now, endpoint, e, h)
	e.heard = h
	if now.Sub(b.forgot) >= time.Second {
		b.forget(now)
	}
	return true
}

// Ignored takes in that an endpoint named a rate that cannot be understood. What was known of it stands.
func (b *Book) Ignored(now time.Time, endpoint string, err error) {
	if b == nil {
		return
	}
	b.cfg.Scope.Counter("rates_ignored").Inc(1)
	if b.ignored.Has(endpoint, now) {
		return
	}
	b.ignored.Add(endpoint, now)
	klog.ErrorS(err, "rate of an endpoint ignored", "endpoint", endpoint)
}

// tell logs what has changed.
func (b *Book) tell(now time.Time, endpoint string, e *entry, h heard) {
	switch {
	case h.Limited && (!e.Limited || h.Started > e.Started):
		e.since, e.logged = h.at, now
		b.cfg.Scope.Counter("rates_named").Inc(1)
		b.lines.Info(now, "endpoint names a rate", "endpoint", endpoint, "rate", h.Rate, "age", now.Sub(h.at))
	case !h.Limited && e.Limited:
		b.cfg.Scope.Counter("rates_lifted").Inc(1)
		b.lines.Info(now, "endpoint names no rate any more", "endpoint", endpoint, "rate", e.Rate, "for", now.Sub(e.since), "age", now.Sub(h.at))
	case h.Limited && h.Rate != e.Rate && now.Sub(e.logged) >= toldEvery:
		e.logged = now
		b.lines.Info(now, "endpoint names another rate", "endpoint", endpoint, "rate", h.Rate, "before", e.Rate, "age", now.Sub(h.at))
	}
}

// add makes an entry, and room for it.
func (b *Book) add(endpoint string) *entry {
	if len(b.words) >= maxWords {
		oldest := ""
		for name, e := range b.words {
			if oldest == "" || e.at.Before(b.words[oldest].at) {
				oldest = name
			}
		}
		delete(b.words, oldest)
	}
	e := &entry{}
	b.words[endpoint] = e
	b.count.Store(int64(len(b.words)))
	return e
}

// forget drops rates that were lifted some time ago.
func (b *Book) forget(now time.Time) {
	b.forgot = now
	for name, e := range b.words {
		if !e.Limited && now.Sub(e.at) >= liftedFor {
			delete(b.words, name)
		}
	}
	b.count.Store(int64(len(b.words)))
}

// Word returns what is known of an endpoint's present life, nil if that is nothing. What was heard before its start was known is void.
func (b *Book) Word(now time.Time, endpoint string, started int64) *Word {
	if !b.Any() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.words[endpoint]
	if e == nil || e.Started < started {
		return nil
	}
	w := e.told(now)
	return &w
}

// TakeLone takes a request out of this box's own share of an endpoint's rate, while the box that counts cannot be asked. Without a rate there is no
// bound. The wait is when to come back if none is left.
func (b *Book) TakeLone(now time.Time, endpoint string, started int64) (wait time.Duration, ok bool) {
	word := b.Word(now, endpoint, started)
	if word == nil || !word.Limited {
		return 0, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.words[endpoint]
	if e == nil {
		return 0, true
	}
	e.lone.Hear(now, word)
	if wait, ok = e.lone.Check(now, Ask{Lone: loneShare / float64(max(1, b.cfg.Boxes()))}); ok {
		e.lone.Use(now, "")
	}
	b.cfg.Scope.Tagged(map[string]string{"sent": strconv.FormatBool(ok)}).Counter("rate_own_share").Inc(1)
	return wait, ok
}

// ComeBack returns when a request is to come back that none of a service's endpoints may take for their rates, not before soonest. Each box spreads its
// own over its part of what the endpoints take, so that together as many come back as are taken, and no box has to be asked.
func (b *Book) ComeBack(now time.Time, service string, endpoints func() []string, soonest time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.returns[service]
	if r == nil {
		if len(b.returns) >= maxServices {
			clear(b.returns)
		}
		r = &returns{}
		b.returns[service] = r
	}
	if now.Sub(r.summed) >= sumEvery {
		r.sum, r.summed = b.sum(endpoints()), now
	}
	own := maxWait
	if r.sum > 0 {
		own = seconds(float64(max(1, b.cfg.Boxes())) / r.sum)
	}
	if wait := r.turns.Take(now, own, maxWait); wait+own < maxWait {
		return max(min(soonest, maxWait), time.Millisecond) + wait
	}
	// All that can be taken in that time is promised. Of those who come at one moment not all are to return at one.
	return maxWait + rand.N(maxWait)
}

// sum returns what endpoints take together.
func (b *Book) sum(endpoints []string) float64 {
	sum := 0.0
	for _, name := range endpoints {
		if e := b.words[name]; e != nil && e.Limited {
			sum += e.effective()
		}
	}
	return sum
}

// Limit is what operators see of an endpoint that names a rate.
type Limit struct {
	Endpoint string `json:"endpoint"`
	// Rate is in requests a second, over all boxes.
	Rate float64 `json:"rate"`
	// For is how long it has named one, Age how long ago it last did.
	For time.Duration `json:"for"`
	Age time.Duration `json:"age"`
}

// Limits returns the endpoints that name rates, by name.
func (b *Book) Limits(now time.Time) []Limit {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []Limit
	for name, e := range b.words {
		if e.Limited {
			all = append(all, Limit{Endpoint: name, Rate: e.Rate, For: now.Sub(e.since), Age: now.Sub(e.at)})
		}
	}
	slices.SortFunc(all, func(a, b Limit) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return all
}
