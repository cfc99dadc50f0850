package admission

import "math"

const (
	// correctionStep is the change of the logarithm of a Correction with a request that
	// was on time; one that was late changes it by lateSteps times as much in the other
	// direction. So about four in five requests near the bound are on time: a late one has
	// taken the time of another that could have been on time.
	correctionStep = 0.05
	lateSteps      = 4
	// maxCorrection bounds a correction: expected times are wrong by a factor of two.
	maxCorrection = 2.0
	// nearBound is the part of the bound from which on an expected time says something
	// of the bound: shorter ones are on time with any correction.
	nearBound = 0.5
)

// Correction corrects the bound on expected times for requests that count as on time, by
// whether requests near the bound were on time. Expected times are estimates: if they are
// too long, requests that could be on time would be put back, and if they are too short,
// all would be late. The zero value makes no correction.
type Correction struct{ logarithm float64 }

// Factor returns the factor for the objective.
func (c *Correction) Factor() float64 { return math.Exp(c.logarithm) }

// Observe records whether a request was on time whose expected time was a part of its
// objective.
func (c *Correction) Observe(part float64, onTime bool) {
	if part < nearBound*c.Factor() {
		return
	}
	step := correctionStep
	if !onTime {
		step *= -lateSteps
	}
	limit := math.Log(maxCorrection)
	c.logarithm = min(max(c.logarithm+step, -limit), limit)
}
