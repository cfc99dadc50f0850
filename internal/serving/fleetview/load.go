package fleetview

import (
	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
	"fireflypier.example/fireflypier/internal/serving/policy"
)

// load is unfinished work at a target.
type load struct {
	requests, kvTokens int
	// prompt is the part of the prompts that is not read yet, by rank.
	prompt [policy.MaxRank + 1]int
}

func (l *load) add(o *load) {
	l.requests += o.requests
	l.kvTokens += o.kvTokens
	for rank, n := range o.prompt {
		l.prompt[rank] += n
	}
}

// ahead returns the prompt tokens that an engine reads before those of a new
// request: engines read urgent prompts first.
func (l *load) ahead(rank int) int {
	sum := 0
	for _, n := range l.prompt[:rank+1] {
		sum += n
	}
	return sum
}

// wire returns what peers are told.
func (l *load) wire(target string) *meshpb.Load {
	w := &meshpb.Load{Target: target, Requests: uint32(l.requests), KvTokens: uint32(max(0, l.kvTokens))}
	for rank, n := range l.prompt {
		if n > 0 {
			w.PromptTokens = append(w.PromptTokens, make([]uint32, rank+1-len(w.PromptTokens))...)
			w.PromptTokens[rank] = uint32(n)
		}
	}
	return w
}

// loadOf returns what a peer has told.
func loadOf(w *meshpb.Load) load {
	l := load{requests: int(w.GetRequests()), kvTokens: int(w.GetKvTokens())}
	for rank, n := range w.GetPromptTokens() {
		l.prompt[min(rank, policy.MaxRank)] += int(n)
	}
	return l
}
