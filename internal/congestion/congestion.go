// Package congestion bounds the prompt tokens that a gateway lets an engine
// read at once, by the delay until first tokens. Gateways that share an
// engine need not know of each other: all see the same delay.
package congestion

import "time"

const (
	// targetDelay is the delay of a first token at an engine above which
	// requests had better wait at the gateway, in order.
	targetDelay = 400 * time.Millisecond
	// minTokens and maxTokens bound the window.
	minTokens = 128
	maxTokens = 32 << 10
	// growthShare is the part of an answered prompt that the window grows by.
	growthShare = 0.25
	// cutFactor shrinks the window, at most once for each delay.
	cutFactor = 0.7
)

// Window is the window of one engine. It is not safe for concurrent use.
type Window struct {
	size   float64
	unread float64
	cut    time.Time
}

// New returns the widest window.
func New() *Window { return &Window{size: maxTokens} }

// Open reports whether another prompt may be sent. One always may when none
// is being read.
func (w *Window) Open() bool { return w.unread == 0 || w.unread < w.size }

// Send counts the tokens of a prompt that the engine has to read.
func (w *Window) Send(tokens float64) { w.unread += tokens }

// Abandon takes back a prompt whose first token never came.
func (w *Window) Abandon(tokens float64) { w.unread = max(0, w.unread-tokens) }

// FirstToken counts a prompt whose first token came after a delay.
func (w *Window) FirstToken(now time.Time, tokens float64, delay time.Duration) {
	if delay <= targetDelay {
		w.size = min(maxTokens, w.size+growthShare*tokens)
	} else if now.Sub(w.cut) >= delay {
		w.size = max(minTokens, cutFactor*min(w.size, w.unread))
		w.cut = now
	}
	w.Abandon(tokens)
}
