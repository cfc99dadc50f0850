package fleetview

import (
	"math"
	"time"

	"fireflypier.example/fireflypier/internal/serving/policy"
)

// chunkTokens is the number of prompt tokens that an engine prefills in one step. Its
// running streams get one event a step.
const chunkTokens = 1024

// disturbance returns the cost of the pauses of streams at a target, in the time of the
// caller. Prompts are prefilled in chunks, and each chunk is a pause for every running
// stream. A request disturbs the streams that run by its own prompt; its own events are
// disturbed by the prompts ahead of it.
//
// A stream with a pause above MaxGap is late, which costs as much as a first event that
// takes the whole objective. The streams that run are assumed to have the objective and
// the longest pause of the request.
func (v *View) disturbance(s *state, total *load, r *Requirements, pace *modelPace, cached int, now time.Time) time.Duration {
	if r.MaxGap <= 0 || r.Objective <= 0 || r.Pool.Engine == nil {
		return 0
	}
	slowdown := s.currentSlowdown(now)
	uncached := max(0, r.PromptTokens-cached)
	late := float64(total.requests.total()) * lateShare(uncached, pace.own*slowdown, math.MaxInt, r.MaxGap)
	if ahead := total.prompt.total(); ahead > 0 {
		slowest := v.slowestPace(s, r.Pool, now)
		tokens := int(float64(ahead) * pace.ahead / slowest)
		late += lateShare(tokens, slowest*slowdown, r.AnswerTokens, r.MaxGap)
	}
	return time.Duration(min(1, late) * float64(r.Objective))
}

// lateShare returns the share of streams with a pause above maxGap while prompt tokens are
// prefilled at a pace, and each stream gets at most the given number of events. Pauses are
// assumed to have an exponential distribution around the time of a chunk, since engines
// stall and change their speed.
func lateShare(tokens int, pace float64, events int, maxGap time.Duration) float64 {
	if tokens <= 0 {
		return 0
	}
	chunk := float64(prefillTime(min(tokens, chunkTokens))) * pace
	late := math.Exp(-float64(maxGap) / chunk)
	pauses := min(math.Ceil(float64(tokens)/chunkTokens), float64(events))
	return 1 - math.Pow(1-late, pauses)
}

// slowestPace returns the pace of the slowest model that a target holds: the prompts ahead
// may be for any of them.
func (v *View) slowestPace(s *state, pool *policy.Pool, now time.Time) float64 {
	if v.modelSizes(pool) == nil {
		p, _, _ := v.knownPace(pool, "")
		return p.own
	}
	slowest := 0.0
	for _, h := range s.held(now) {
		p, _, _ := v.knownPace(pool, h.Model)
		slowest = max(slowest, p.own)
	}
	if slowest <= 0 {
		return 1
	}
	return slowest
}
