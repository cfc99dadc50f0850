// Package routing scores engines for a request. A score is the expected time
// until the first token.
package routing

import "time"

// Costs are the times by which work is weighed.
type Costs struct {
	// DecodeStep is the time of one decoding step, Prefill that of one prompt
	// token which is not in the engine's cache.
	DecodeStep time.Duration
	Prefill    time.Duration
	// RemotePenalty is added for an engine in another data centre.
	RemotePenalty time.Duration
	// GuessShare is the part of a guessed prefix that counts as cached.
	GuessShare float64
}

// DefaultCosts returns the costs that gateways use.
func DefaultCosts() Costs {
	return Costs{DecodeStep: 15 * time.Millisecond, Prefill: 200 * time.Microsecond, RemotePenalty: 1500 * time.Microsecond, GuessShare: 0.7}
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
	waiting := e.Ahead / float64(max(1, e.Concurrency)) * float64(c.DecodeStep)
	missing := max(0, e.PromptTokens-e.CertainTokens-c.GuessShare*e.GuessedTokens)
	score := time.Duration(waiting + missing*float64(c.Prefill))
	if e.Remote {
		score += c.RemotePenalty
	}
	return score
}
