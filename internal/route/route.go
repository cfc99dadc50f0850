// Package route scores engines for a request. A score is the expected time
// until the first token.
package route

import "time"

// Costs are the times by which work is weighed.
type Costs struct {
	// Step is the time of one decoding step, Prefill that of one prompt
	// token which is not in the engine's cache.
	Step    time.Duration
	Prefill time.Duration
	// Distance is added for an engine in another data centre.
	Distance time.Duration
	// GuessShare is the part of a guessed prefix that counts as cached.
	GuessShare float64
}

// DefaultCosts returns the costs that gateways use.
func DefaultCosts() Costs {
	return Costs{Step: 15 * time.Millisecond, Prefill: 200 * time.Microsecond, Distance: 1500 * time.Microsecond, GuessShare: 0.7}
}

// Candidate is an engine that can serve a request.
type Candidate struct {
	// Ahead is the work ahead there in tokens, Concurrency the number of
	// sequences that share it.
	Ahead       float64
	Concurrency int
	// PromptTokens, CertainTokens and GuessedTokens are the length of the
	// prompt and the parts of it that are or may be cached.
	PromptTokens, CertainTokens, GuessedTokens float64
	// Remote is true for another data centre.
	Remote bool
}

// Score returns the expected time until the first token; lower is better.
func (c *Costs) Score(e *Candidate) time.Duration {
	waiting := e.Ahead / float64(max(1, e.Concurrency)) * float64(c.Step)
	missing := max(0, e.PromptTokens-e.CertainTokens-c.GuessShare*e.GuessedTokens)
	score := time.Duration(waiting + missing*float64(c.Prefill))
	if e.Remote {
		score += c.Distance
	}
	return score
}
