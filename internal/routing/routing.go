// Package routing scores engines for a request by the expected time to the first
// token.
package routing

import "time"

// Costs holds the parameters of the scoring model.
type Costs struct {
	// DecodeStep is the duration of one decoding step. Prefill is the time to
	// process one prompt token that is not in the prefix cache of the engine.
	DecodeStep time.Duration
	Prefill    time.Duration
	// RemotePenalty is added to the score of an engine in another data centre.
	RemotePenalty time.Duration
	// UnconfirmedShare is the fraction of Candidate.UnconfirmedTokens that
	// counts as cached.
	UnconfirmedShare float64
}

// DefaultCosts returns the parameters that gateways use.
func DefaultCosts() Costs {
	return Costs{DecodeStep: 15 * time.Millisecond, Prefill: 200 * time.Microsecond, RemotePenalty: 1500 * time.Microsecond, UnconfirmedShare: 0.7}
}

// Candidate is an engine that can serve a request.
type Candidate struct {
	// Ahead is the estimated number of unfinished tokens at the engine.
	// Concurrency is the number of sequences that it decodes in parallel.
	Ahead       float64
	Concurrency int
	// PromptTokens is the length of the prompt. ConfirmedTokens is the length of
	// the prefix that the engine reported as cached, UnconfirmedTokens that
	// of the prefix that may be cached in addition.
	PromptTokens, ConfirmedTokens, UnconfirmedTokens float64
	// Remote is true when the engine is in another data centre.
	Remote bool
}

// Score returns the expected time to the first token on e; lower is better.
func (c *Costs) Score(e *Candidate) time.Duration {
	waiting := e.Ahead / float64(max(1, e.Concurrency)) * float64(c.DecodeStep)
	missing := max(0, e.PromptTokens-e.ConfirmedTokens-c.UnconfirmedShare*e.UnconfirmedTokens)
	score := time.Duration(waiting + missing*float64(c.Prefill))
	if e.Remote {
		score += c.RemotePenalty
	}
	return score
}
