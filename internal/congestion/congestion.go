// Package congestion limits the prompt tokens that a gateway has in flight at an
// engine with a congestion window driven by the time to first token. Gateways
// that share an engine need no coordination: all of them observe the same delay.
package congestion

import "time"

const (
	// targetDelay is the time to first token above which further requests
	// wait at the gateway, which keeps them in order, and not at the engine.
	targetDelay = 400 * time.Millisecond
	// minTokens and maxTokens bound the window size.
	minTokens = 128
	maxTokens = 32 << 10
	// growthShare is the fraction of a prompt by which the window grows when
	// its first token arrives in time.
	growthShare = 0.25
	// cutFactor is the factor by which the window shrinks when a first token is
	// late, at most once within the time of the observed delay.
	cutFactor = 0.7
)

// Window is the congestion window of one engine, in prompt tokens. It is not
// safe for concurrent use.
type Window struct {
	size     float64
	inFlight float64
	lastCut  time.Time
}

// New returns a window of the maximum size.
func New() *Window { return &Window{size: maxTokens} }

// Open reports whether another prompt may be sent. This is always the case when
// no prompt is in flight.
func (w *Window) Open() bool { return w.inFlight == 0 || w.inFlight < w.size }

// Send adds the tokens of a prompt that is sent to the engine.
func (w *Window) Send(tokens float64) { w.inFlight += tokens }

// Abandon removes a prompt that ended without a first token.
func (w *Window) Abandon(tokens float64) { w.inFlight = max(0, w.inFlight-tokens) }

// FirstToken removes a prompt whose first token arrived after delay, and adjusts
// the window size.
func (w *Window) FirstToken(now time.Time, tokens float64, delay time.Duration) {
	if delay <= targetDelay {
		w.size = min(maxTokens, w.size+growthShare*tokens)
	} else if now.Sub(w.lastCut) >= delay {
		w.size = max(minTokens, cutFactor*min(w.size, w.inFlight))
		w.lastCut = now
	}
	w.Abandon(tokens)
}
