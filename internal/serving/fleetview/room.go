package fleetview

// hasRoom reports whether a target with a load could run a request at once: it has a free
// slot and memory for it, and no prompt waits there.
func (s *state) hasRoom(total *load, r *Requirements) bool {
	if total.requests.total() >= s.target.Slots {
		return false
	}
	if r.Pool.Engine == nil {
		return true
	}
	return total.prompt.total() == 0 && total.kv.total()+r.PromptTokens+r.AnswerTokens <= r.Pool.Engine.KVTokens
}
