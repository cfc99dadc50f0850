package assigner

import (
	"cmp"
	"slices"
	"time"

	"fireflypier.example/fireflypier/internal/queue"
)

// State is what a dump shows of an Assignment.
type State struct {
	// Waiting counts the jobs that wait.
	Waiting int `json:"waiting"`
	// Customers are sorted by name, Engines by target.
	Customers []queue.CustomerState `json:"customers"`
	Engines   []EngineState         `json:"engines"`
}

// EngineState is what this gateway has at one engine.
type EngineState struct {
	// Target is the engine's name.
	Target string `json:"target"`
	// Requests and OwnTokens are this gateway's unfinished work, AheadTokens
	// the estimate of all work.
	Requests    int     `json:"requests"`
	OwnTokens   float64 `json:"own_tokens"`
	AheadTokens float64 `json:"ahead_tokens"`
	// CreditTokens bounds OwnTokens; zero means no bound.
	CreditTokens int64 `json:"credit_tokens"`
	// CachedBlocks counts the blocks believed to be in the prefix cache.
	CachedBlocks int `json:"cached_blocks"`
}

// State returns the state at a time.
func (a *Assigner) State(now time.Time) State {
	s := State{Waiting: a.queue.Len(), Customers: a.queue.Customers()}
	for name, e := range a.engines {
		if len(e.models) == 0 && e.requests == 0 {
			continue
		}
		s.Engines = append(s.Engines, EngineState{
			Target: name, Requests: e.requests, OwnTokens: e.backlog.Outstanding(),
			AheadTokens: e.backlog.Ahead(now), CreditTokens: e.view.CreditTokens, CachedBlocks: e.cache.Len(),
		})
	}
	slices.SortFunc(s.Engines, func(x, y EngineState) int { return cmp.Compare(x.Target, y.Target) })
	return s
}
