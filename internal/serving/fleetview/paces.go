package fleetview

import "math"

// Pace is how many times slower the models of a pool whose weights have one size are than
// assumed.
type Pace struct {
	Pool      string
	WeightsMB float64
	Factor    float64
}

// Paces returns the paces by size that this VM has observed, in no order.
func (v *View) Paces() []Pace {
	v.mu.Lock()
	defer v.mu.Unlock()
	var all []Pace
	for k, s := range v.sizes {
		if s.weight > 0 {
			all = append(all, Pace{Pool: k.pool, WeightsMB: k.weightsMB, Factor: math.Exp(s.logarithm)})
		}
	}
	return all
}
