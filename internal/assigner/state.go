package assigner

import (
	"cmp"
	"slices"
	"time"

	"fireflypier.example/fireflypier/internal/queue"
)

// State is the state of an Assigner in a dump.
type State struct {
	// Waiting is the number of queued jobs.
	Waiting int `json:"waiting"`
	// Customers is sorted by name, Engines by target.
	Customers []queue.CustomerState `json:"customers"`
	Engines   []EngineState         `json:"engines"`
}

// EngineState is the load of one engine as seen by this gateway.
type EngineState struct {
	// Target is the name of the engine.
	Target string `json:"target"`
	// Requests and OwnTokens count the unfinished requests and answer tokens of
	// this gateway. AheadTokens is the estimate over all gateways.
	Requests    int     `json:"requests"`
	OwnTokens   float64 `json:"own_tokens"`
	AheadTokens float64 `json:"ahead_tokens"`
	// CreditTokens is the limit of OwnTokens; zero means no limit.
	CreditTokens int64 `json:"credit_tokens"`
	// CachedBlocks is the estimated number of blocks in the prefix cache.
	CachedBlocks int `json:"cached_blocks"`
}

// State returns the state at the time now. Engines without models and without
// requests of this gateway are left out.
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
