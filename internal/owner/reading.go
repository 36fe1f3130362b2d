package owner

import (
	"slices"
	"time"

	"github.com/bellgap/bellgap/internal/policy"
)

const (
	// readSmoothing is the weight of the newest prompt in the mean prefill time per token.
	readSmoothing = 0.1
	// maxRise limits a sample to this multiple of the expected time per token. Prompts may be delayed by more urgent prompts and by work
	// unknown to this owner, such as requests of a previous owner.
	maxRise = 2
	// minSample is the smallest number of tokens whose prefill time is used as a sample. With fewer tokens, message latency and engine
	// steps dominate the time.
	minSample = 1000
)

// reading tracks the prompts that were sent to the engine and are not processed yet. An engine processes prompts one after the other,
// the more urgent ones first, and generates the first token of a request as soon as its prompt is processed.
type reading struct {
	policy policy.Policy
	// perToken is the mean prefill time per token, observed over samples prompts.
	perToken time.Duration
	samples  int
	unread   []unread
	// since is the time when the engine started to process the prompt at its head.
	since time.Time
	// cache holds the prompt parts that the engine has processed.
	cache *prefixes
}

// unread is a prompt that was sent to the engine and is not processed yet.
type unread struct {
	id      uint64
	urgency int
	// tokens is the number of prompt tokens that are not in the engine's cache.
	tokens int
	// before is the number of tokens of other prompts that the engine processes first.
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

// time returns the expected prefill time of a number of tokens.
func (r *reading) time(tokens int) time.Duration { return time.Duration(tokens) * r.perToken }

// tokens returns the number of prompt tokens that the engine has to process for a ticket.
func (r *reading) tokens(t Ticket) int {
	if !r.policy.On(policy.Prefixes) {
		return t.Prompt
	}
	return max(0, t.Prompt-r.cache.cached(t.Ref, t.Parts))
}

// begin records that a ticket's prompt was sent to the engine.
func (r *reading) begin(now time.Time, t Ticket) {
	u := unread{id: t.ID, urgency: t.Urgency, tokens: r.tokens(t), before: r.backlog(now, t.Urgency), at: now}
	if len(r.unread) == 0 {
		r.since = now
	}
	r.unread = append(r.unread, u)
	r.cache.add(t.Ref, t.Parts)
}

// read records that the engine has processed a prompt, because the first token has arrived.
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

// observe updates the mean prefill time per token with a sample. The first few samples have a higher weight unless they are slower
// than the mean.
func (r *reading) observe(took time.Duration) {
	r.samples++
	weight := readSmoothing
	if took < r.perToken {
		weight = max(weight, 1/float64(r.samples))
	}
	took = min(took, time.Duration(maxRise*float64(r.perToken)))
	r.perToken += time.Duration(weight * float64(took-r.perToken))
}

// drop removes a prompt from the unprocessed prompts.
func (r *reading) drop(id uint64) (unread, bool) {
	i := slices.IndexFunc(r.unread, func(u unread) bool { return u.id == id })
	if i < 0 {
		return unread{}, false
	}
	u := r.unread[i]
	r.unread = slices.Delete(r.unread, i, i+1)
	return u, true
}

// backlog returns the number of tokens that the engine processes before a new prompt of the given urgency.
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
	// Part of the first prompt has been processed already.
	return sum - min(first, int(now.Sub(r.since)/r.perToken))
}

// restarted clears the cached parts, because a restarted engine has an empty cache.
func (r *reading) restarted() { r.cache.clear() }
