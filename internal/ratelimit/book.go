package ratelimit

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"
)

const (
	// liftedFor is how long a box remembers that an endpoint no longer names a rate, so that it can tell boxes that still go by one.
	liftedFor = 30 * time.Second
	// maxWords bounds the endpoints that a Book remembers, at some 200 bytes each; beyond it the one heard of longest ago is dropped.
	maxWords = 4096
	// toldEvery is the least time between two lines on a rate that moves, for each endpoint.
	toldEvery = 5 * time.Second
)

// heard is a word with when it was said, by this box's clock.
type heard struct {
	Word
	at time.Time
}

// newer reports whether a word goes before another one: that of a later life, else the one said later.
func (h heard) newer(than heard) bool {
	if h.Started != than.Started && h.Started != 0 && than.Started != 0 {
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
	Scope tally.Scope
}

// Book is what one box knows of the rates that endpoints name.
type Book struct {
	cfg BookConfig
	// count is how many words there are: with none, as on most days, a look costs no lock.
	count atomic.Int64

	mu    sync.Mutex
	words map[string]*entry
}

// entry is what is known of one endpoint.
type entry struct {
	heard
	// since is when it first named a rate, logged when that was last logged.
	since, logged time.Time
}

// NewBook returns an empty Book.
func NewBook(cfg BookConfig) *Book { return &Book{cfg: cfg, words: map[string]*entry{}} }

// Heard takes in what an endpoint, or another box, said of it. It reports whether the box that counts the endpoint's requests has to know: that is so
// for rates, and while a box may still go by one that is over.
func (b *Book) Heard(now time.Time, endpoint string, w Word) bool {
	if !w.Limited && b.count.Load() == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.words[endpoint]
	if e == nil && !w.Limited {
		return false
	}
	h := heard{Word: w, at: now.Add(-w.Age)}
	h.Age = 0
	if e == nil {
		e = b.add(endpoint)
	} else if !h.newer(e.heard) {
		return true
	}
	b.tell(now, endpoint, e, h)
	e.heard = h
	b.forget(now)
	return true
}

// tell logs what has changed.
func (b *Book) tell(now time.Time, endpoint string, e *entry, h heard) {
	switch {
	case h.Limited && (!e.Limited || h.Started > e.Started):
		e.since, e.logged = h.at, now
		b.cfg.Scope.Counter("rates_named").Inc(1)
		klog.InfoS("endpoint names a rate", "endpoint", endpoint, "rate", h.Rate, "age", now.Sub(h.at))
	case !h.Limited && e.Limited:
		b.cfg.Scope.Counter("rates_lifted").Inc(1)
		klog.InfoS("endpoint names no rate any more", "endpoint", endpoint, "rate", e.Rate, "for", now.Sub(e.since), "age", now.Sub(h.at))
	case h.Limited && h.Rate != e.Rate && now.Sub(e.logged) >= toldEvery:
		e.logged = now
		klog.InfoS("endpoint names another rate", "endpoint", endpoint, "rate", h.Rate, "before", e.Rate, "age", now.Sub(h.at))
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
	for name, e := range b.words {
		if !e.Limited && now.Sub(e.at) >= liftedFor {
			delete(b.words, name)
		}
	}
	b.count.Store(int64(len(b.words)))
}

// Word returns what is known of an endpoint's present life, nil if that is nothing. A start of zero stands for any.
func (b *Book) Word(now time.Time, endpoint string, started int64) *Word {
	if b.count.Load() == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.words[endpoint]
	if e == nil || (e.Started != 0 && e.Started < started) {
		return nil
	}
	w := e.told(now)
	return &w
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
