package owner

import (
	"slices"
	"time"

	"github.com/bellgap/bellgap/internal/policy"
)

const (
	// readSmoothing is the weight of the newest prompt in the mean time that a token takes to read.
	readSmoothing = 0.1
	// maxRise bounds how much longer than expected a token is taken to have taken: prompts are held up by work that the owner does
	// not know of, such as that which an owner before it left, and by more urgent ones.
	maxRise = 2
	// minSample is how many tokens have to be read for their time to tell of the engine rather than of messages and steps.
	minSample = 1000
)

// reading is what an owner knows of the prompts that its engine has been given and not read yet. Engines read one after the other,
// the more urgent first, and make a request's first token once its prompt is read.
type reading struct {
	policy policy.Policy
	// perToken is the time that an engine takes for a token, as observed over samples prompts.
	perToken time.Duration
	samples  int
	unread   []unread
	// since is when the engine began with the first of them.
	since time.Time
	// cache holds the parts of prompts that the engine has read.
	cache *prefixes
}

// unread is a prompt that the engine has been given.
type unread struct {
	id      uint64
	urgency int
	// tokens are those that the engine does not have from earlier prompts, before counts those that it reads first.
	tokens int
	before int
	at     time.Time
}

func newReading(perSecond float64, kvTokens int, p policy.Policy) *reading {
	r := &reading{policy: p, cache: newPrefixes(kvTokens)}
	if perSecond > 0 {
		r.perToken = time.Duration(float64(time.Second) / perSecond)
	}
	return r
}

// time returns how long reading tokens takes.
func (r *reading) time(tokens int) time.Duration { return time.Duration(tokens) * r.perToken }

// tokens returns how many tokens of a ticket's prompt the engine has to read.
func (r *reading) tokens(t Ticket) int {
	if !r.policy.On(policy.Prefixes) {
		return t.Prompt
	}
	return max(0, t.Prompt-r.cache.cached(t.Ref, t.Parts))
}

// begin notes that the engine has been given a ticket's prompt.
func (r *reading) begin(now time.Time, t Ticket) {
	u := unread{id: t.ID, urgency: t.Urgency, tokens: r.tokens(t), before: r.backlog(now, t.Urgency), at: now}
	if len(r.unread) == 0 {
		r.since = now
	}
	r.unread = append(r.unread, u)
	r.cache.add(t.Ref, t.Parts)
}

// read notes that a prompt has been read: its first token has come.
func (r *reading) read(now time.Time, id uint64) {
	u, ok := r.drop(id)
	if !ok {
		return
	}
	r.since = now
	if total := u.before + u.tokens; total >= minSample && r.policy.On(policy.ReadRate) {
		r.observe(now.Sub(u.at) / time.Duration(total))
	}
}

// observe takes the time that a token took in. The first few prompts count more, unless they took long.
func (r *reading) observe(took time.Duration) {
	r.samples++
	weight := readSmoothing
	if took < r.perToken {
		weight = max(weight, 1/float64(r.samples))
	}
	took = min(took, time.Duration(maxRise*float64(r.perToken)))
	r.perToken += time.Duration(weight * float64(took-r.perToken))
}

// drop forgets a prompt.
func (r *reading) drop(id uint64) (unread, bool) {
	i := slices.IndexFunc(r.unread, func(u unread) bool { return u.id == id })
	if i < 0 {
		return unread{}, false
	}
	u := r.unread[i]
	r.unread = slices.Delete(r.unread, i, i+1)
	return u, true
}

// backlog returns how many tokens the engine reads before a new prompt of an urgency.
func (r *reading) backlog(now time.Time, urgency int) int {
	sum, first := 0, 0
	for _, u := range r.unread {
		if u.urgency < urgency {
			continue
		}
		if sum == 0 {
			first = u.tokens
		}
		sum += u.tokens
	}
	if r.perToken <= 0 {
		return 0
	}
	// A part of the first one has been read already.
	return sum - min(first, int(now.Sub(r.since)/r.perToken))
}

// restarted forgets what an engine that came up empty had.
func (r *reading) restarted() { r.cache.clear() }
