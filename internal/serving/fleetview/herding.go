package fleetview

import (
	"math"
	"math/rand/v2"
	"time"
)

// Many VMs that know each other's loads only after some time choose the same engine
// until they see its load. Each VM therefore adds a random part to the cost of each
// engine, in proportion to the work that the others may have sent meanwhile: it
// estimates that from what it sends itself.
const (
	// sendRateTimeConstant is the time constant of the rate at which this VM sends
	// prompt tokens.
	sendRateTimeConstant = 4 * time.Second
	// spreadFactor times the unseen work of one engine is the scale of the random
	// part. minSpread and maxSpread bound it: a small fleet has hardly any unseen
	// work, and a larger scale costs more time than a herd does.
	spreadFactor = 1.0
	minSpread    = time.Millisecond
	maxSpread    = 150 * time.Millisecond
)

// herding estimates the work that other VMs have sent and this one does not know of.
type herding struct {
	random *rand.Rand
	// byTarget draws from generator, which is seeded for each choice and target: the
	// order in which the targets are considered has no effect.
	byTarget  *rand.Rand
	generator *rand.PCG

	choosers int
	age      time.Duration
	// rate is the rate of prompt tokens that this VM sends, as of updated.
	rate    float64
	updated time.Time
}

func newHerding(random *rand.Rand) herding {
	g := &rand.PCG{}
	return herding{random: random, byTarget: rand.New(g), generator: g}
}

// record counts prompt tokens that this VM sends and that must be prefilled.
func (h *herding) record(tokens int, now time.Time) {
	h.decay(now)
	h.rate += float64(tokens) / sendRateTimeConstant.Seconds()
}

func (h *herding) decay(now time.Time) {
	h.rate *= math.Exp(-max(0, now.Sub(h.updated).Seconds()) / sendRateTimeConstant.Seconds())
	h.updated = now
}

// spread returns the scale of the random part of the costs of a number of engines, for a
// request with a number of prompt tokens, which counts as sent.
func (h *herding) spread(tokens, engines int, now time.Time) time.Duration {
	h.decay(now)
	rate := h.rate + float64(tokens)/sendRateTimeConstant.Seconds()
	unseen := float64(max(0, h.choosers-1)) * rate * h.age.Seconds() / float64(max(1, engines))
	work := unseen / prefillTokensPerMillisecond * float64(time.Millisecond)
	return time.Duration(min(float64(maxSpread), max(float64(minSpread), spreadFactor*work)))
}

// mayProbe reports whether this VM may probe a target now: on average, one of all VMs may.
func (h *herding) mayProbe() bool { return h.random.IntN(max(1, h.choosers)) == 0 }

// disperse returns a random cost with a Gumbel distribution of the given scale. The
// engine with the lowest sum of cost and random cost is then chosen with a probability
// that falls exponentially with its cost.
func (h *herding) disperse(scale time.Duration) time.Duration {
	return time.Duration(float64(scale) * math.Log(h.byTarget.ExpFloat64()))
}
