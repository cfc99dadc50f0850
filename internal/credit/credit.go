// Package credit divides the capacity of an engine among gateways, so that
// all of them together do not overload it.
package credit

// Allocator divides a capacity in tokens.
type Allocator struct {
	// Capacity is what the engine takes in all.
	Capacity int64
	// MinShare is what a gateway without demand may still send, so that its
	// next request need not wait for the next division.
	MinShare int64
}

// Allocate writes the share of each gateway into shares, which is as long as
// demands. Demands are met in max-min fairness; what is left is divided
// equally. The shares sum to the capacity, unless the floors alone exceed it.
func (d Allocator) Allocate(demands, shares []int64) {
	n := int64(len(demands))
	if n == 0 {
		return
	}
	left := max(0, d.Capacity-d.MinShare*n)
	for i := range shares {
		shares[i] = d.MinShare
	}
	left = d.satisfy(demands, shares, left)
	for i := range shares {
		shares[i] += left / n
	}
}

// satisfy raises the shares towards the demands, equally for all that are
// not met, and returns what is left.
func (d Allocator) satisfy(demands, shares []int64, left int64) int64 {
	for left > 0 {
		unmet := int64(0)
		for i := range demands {
			if demands[i] > shares[i] {
				unmet++
			}
		}
		if unmet == 0 || left < unmet {
			return left
		}
		step := left / unmet
		for i := range demands {
			if more := min(step, demands[i]-shares[i]); more > 0 {
				shares[i] += more
				left -= more
			}
		}
	}
	return left
}
