package fleetview

import (
	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
	"fireflypier.example/fireflypier/internal/serving/policy"
)

// byRank has an amount for each request rank; rank 0 is the most urgent.
type byRank [policy.MaxRank + 1]int

// ahead returns the amount that an engine processes before a new request of a
// rank: engines prefill urgent prompts first, and free memory for urgent
// requests.
func (b *byRank) ahead(rank int) int {
	sum := 0
	for _, n := range b[:rank+1] {
		sum += n
	}
	return sum
}

func (b *byRank) total() int { return b.ahead(policy.MaxRank) }

// add adds sign times other.
func (b *byRank) add(other *byRank, sign int) {
	for rank, n := range other {
		b[rank] += sign * n
	}
}

// wire returns the protocol form, without trailing zeros.
func (b *byRank) wire() []uint32 {
	var w []uint32
	for rank, n := range b {
		if n > 0 {
			w = append(w, make([]uint32, rank+1-len(w))...)
			w[rank] = uint32(n)
		}
	}
	return w
}

// byRankFromWire decodes the protocol form; ranks above policy.MaxRank count as
// policy.MaxRank.
func byRankFromWire(w []uint32) (b byRank) {
	for rank, n := range w {
		b[min(rank, policy.MaxRank)] += int(n)
	}
	return b
}

// load is the outstanding work at a target: the number of requests, the prompt
// tokens that are not prefilled yet, in the unit of modelPace, and the memory that the
// requests may use, in tokens.
type load struct {
	requests, prompt, kv byRank
}

func (l *load) add(o *load) {
	l.requests.add(&o.requests, 1)
	l.prompt.add(&o.prompt, 1)
	l.kv.add(&o.kv, 1)
}

// wire returns the load in the form that is sent to peers.
func (l *load) wire(target string) *meshpb.Load {
	return &meshpb.Load{Target: target, Requests: l.requests.wire(), PromptTokens: l.prompt.wire(), KvTokens: l.kv.wire()}
}

// loadFromWire decodes a load that a peer sent.
func loadFromWire(w *meshpb.Load) load {
	return load{
		requests: byRankFromWire(w.GetRequests()),
		prompt:   byRankFromWire(w.GetPromptTokens()),
		kv:       byRankFromWire(w.GetKvTokens()),
	}
}
