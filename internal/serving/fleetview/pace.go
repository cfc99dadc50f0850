package fleetview

import "math"

const (
	// paceWeight is the least weight of one observation in the pace of a pool. The
	// first ones weigh more.
	paceWeight = 0.05
	// minPace and maxPace bound the observations.
	minPace, maxPace = 0.02, 50.0
)

// pace is how many times slower the engines of a pool are than assumed, learned from
// the times to first events at all of them. Slowdowns of single engines are relative
// to it.
type pace struct {
	logarithm    float64
	observations int
}

// factor returns the ratio of actual to assumed time.
func (p *pace) factor() float64 {
	return math.Exp(p.logarithm)
}

// observe corrects the pace by the ratio of actual to assumed time of a request. The
// mean of logarithms is used, so that half the time weighs as much as twice the time.
func (p *pace) observe(ratio float64) {
	ratio = min(max(ratio, minPace), maxPace)
	p.observations++
	weight := max(paceWeight, 1/float64(p.observations+1))
	p.logarithm += weight * (math.Log(ratio) - p.logarithm)
}
