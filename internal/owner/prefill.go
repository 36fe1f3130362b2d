package owner

import (
	"slices"
	"time"

	"github.com/bellgap/bellgap/internal/policy"
)

const (
	// prefillSmoothing is the weight of the newest prompt in the mean prefill time per token.
	prefillSmoothing = 0.1
	// maxSampleFactor limits a sample to this multiple of the expected time per token. Prompts may be delayed by more urgent prompts
	// and by work unknown to this owner, such as requests of a previous owner.
	maxSampleFactor = 2
	// minSampleTokens is the smallest number of tokens whose prefill time is used as a sample. With fewer tokens, message latency
	// and engine steps dominate the time.
	minSampleTokens = 1000
)

// prefillTracker tracks the prompts that were sent to the engine and are not processed yet. An engine processes prompts one after
// the other, the more urgent ones first, and generates the first token of a request as soon as its prompt is processed.
type prefillTracker struct {
	policy policy.Policy
	// timePerToken is the mean prefill time per token, observed over samples prompts.
	timePerToken time.Duration
	samples      int
	// speed tracks the rate without the influence of other work.
	speed   speedTracker
	pending []pendingPrompt
	// headStarted is the time when the engine started to process the first pending prompt.
	headStarted time.Time
	// cache holds the prompt parts that the engine has processed.
	cache *prefixCache
}

// pendingPrompt is a prompt that was sent to the engine and is not processed yet.
type pendingPrompt struct {
	id      uint64
	urgency int
	// tokens is the number of prompt tokens that are not in the engine's cache.
	tokens int
	// tokensAhead is the number of tokens of other prompts that the engine processes first.
	tokensAhead int
	sentAt      time.Time
}

func newPrefillTracker(perSecond float64, kvTokens int, p policy.Policy) *prefillTracker {
	r := &prefillTracker{policy: p, cache: newPrefixCache(kvTokens)}
	if perSecond > 0 {
		r.timePerToken = time.Duration(float64(time.Second) / perSecond)
	}
	return r
}

// prefillTime returns the expected time in which the engine processes a number of prompt tokens.
func (r *prefillTracker) prefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * r.timePerToken
}

// uncachedTokens returns the number of prompt tokens that the engine has to process for a ticket.
func (r *prefillTracker) uncachedTokens(t Ticket) int {
	if !r.policy.IsEnabled(policy.PrefixReuse) {
		return t.Prompt
	}
	return max(0, t.Prompt-r.cache.cachedTokens(t.Ref, t.Parts))
}

// add records that a ticket's prompt was sent to the engine.
func (r *prefillTracker) add(now time.Time, t Ticket) {
	u := pendingPrompt{id: t.ID, urgency: t.Urgency, tokens: r.uncachedTokens(t), tokensAhead: r.backlog(now, t.Urgency), sentAt: now}
	if len(r.pending) == 0 {
		r.headStarted = now
	}
	r.pending = append(r.pending, u)
	r.cache.add(t.Ref, t.Parts)
}

// finish records that the engine has processed a prompt, because the first token has arrived.
func (r *prefillTracker) finish(now time.Time, id uint64) {
	u, ok := r.remove(id)
	if !ok {
		return
	}
	r.headStarted = now
	if total := u.tokensAhead + u.tokens; total >= minSampleTokens && r.policy.IsEnabled(policy.ReadRate) {
		perToken := now.Sub(u.sentAt) / time.Duration(total)
		r.observe(perToken)
		r.speed.observe(perToken)
	}
}

// observe updates the mean prefill time per token with a sample. The first few samples have a higher weight unless they are
// slower than the mean.
func (r *prefillTracker) observe(took time.Duration) {
	r.samples++
	weight := prefillSmoothing
	if took < r.timePerToken {
		weight = max(weight, 1/float64(r.samples))
	}
	took = min(took, time.Duration(maxSampleFactor*float64(r.timePerToken)))
	r.timePerToken += time.Duration(weight * float64(took-r.timePerToken))
}

// remove removes a prompt from the pending prompts. It returns false if the prompt is not pending.
func (r *prefillTracker) remove(id uint64) (pendingPrompt, bool) {
	i := slices.IndexFunc(r.pending, func(u pendingPrompt) bool { return u.id == id })
	if i < 0 {
		return pendingPrompt{}, false
	}
	u := r.pending[i]
	r.pending = slices.Delete(r.pending, i, i+1)
	return u, true
}

// backlog returns the number of tokens that the engine processes before a new prompt of the given urgency.
func (r *prefillTracker) backlog(now time.Time, urgency int) int {
	sum, headTokens := 0, 0
	for _, u := range r.pending {
		if u.urgency < urgency {
			continue
		}
		if sum == 0 {
			headTokens = u.tokens
		}
		sum += u.tokens
	}
	if r.timePerToken <= 0 {
		return 0
	}
	// Part of the first prompt has been processed already.
	return sum - min(headTokens, int(now.Sub(r.headStarted)/r.timePerToken))
}

// clearCache removes all parts from the cache, because a restarted engine has an empty cache.
func (r *prefillTracker) clearCache() { r.cache.clear() }
