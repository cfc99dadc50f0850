// Package credit divides the capacity of an engine among the gateways that send
// to it, so that together they do not overload it.
package credit

// Allocator divides a capacity, in tokens, into one share for each gateway.
type Allocator struct {
	// Capacity is the number of unfinished tokens that the engine accepts from
	// all gateways together.
	Capacity int64
	// MinShare is the share of a gateway without demand, which lets it send a
	// request before the next allocation.
	MinShare int64
}

// Allocate writes the share of each gateway to shares, which must be as long as
// demands. Each gateway gets MinShare, the demands above that are met with
// max-min fairness, and the remainder is divided equally. Up to rounding, the
// shares sum to Capacity, or to more if the minimum shares alone exceed it.
func (a Allocator) Allocate(demands, shares []int64) {
	n := int64(len(demands))
	if n == 0 {
		return
	}
	remaining := max(0, a.Capacity-a.MinShare*n)
	for i := range shares {
		shares[i] = a.MinShare
	}
	remaining = a.raiseToDemands(demands, shares, remaining)
	for i := range shares {
		shares[i] += remaining / n
	}
}

// raiseToDemands raises the shares towards the demands by max-min fairness, using
// up to remaining tokens, and returns the tokens that were not used.
func (a Allocator) raiseToDemands(demands, shares []int64, remaining int64) int64 {
	for remaining > 0 {
		unmet := int64(0)
		for i := range demands {
			if demands[i] > shares[i] {
				unmet++
			}
		}
		if unmet == 0 || remaining < unmet {
			return remaining
		}
		step := remaining / unmet
		for i := range demands {
			if increase := min(step, demands[i]-shares[i]); increase > 0 {
				shares[i] += increase
				remaining -= increase
			}
		}
	}
	return remaining
}
