package fleetview

import "fireflypier.example/fireflypier/internal/serving/policy"

// WorkTokens returns the work of a number of a model's tokens in an engine pool, as tokens
// of an engine with a pace of one. If the models of the pool have one size, it is the number
// itself.
func (v *View) WorkTokens(pool *policy.Pool, model string, tokens int) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.modelSizes(pool) == nil {
		return tokens
	}
	p := v.modelPace(pool, model)
	return p.scale(tokens)
}
