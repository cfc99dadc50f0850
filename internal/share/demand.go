package share

import "time"

const (
	// sampleInterval is the minimum length of one sample of the demand.
	sampleInterval = 250 * time.Millisecond
	// sampleWeight is the weight of a new sample in the moving average.
	sampleWeight = 0.15
	// peerDemandLifetime is how long the demand that a peer reported counts.
	peerDemandLifetime = 2 * time.Second
)

// demandEstimate is an exponential moving average of the tokens per second of
// new requests.
type demandEstimate struct {
	rate         float64
	sampleTokens float64
	sampleStart  time.Time
}

func (d *demandEstimate) add(tokens float64, now time.Time) {
	d.closeSample(now)
	d.sampleTokens += tokens
}

// closeSample adds the sample to the average once sampleInterval has passed.
func (d *demandEstimate) closeSample(now time.Time) {
	if d.sampleStart.IsZero() {
		d.sampleStart = now
		return
	}
	elapsed := now.Sub(d.sampleStart)
	if elapsed < sampleInterval {
		return
	}
	samples := float64(elapsed / sampleInterval)
	sample := d.sampleTokens / elapsed.Seconds()
	weight := 1 - pow(1-sampleWeight, samples)
	d.rate += (sample - d.rate) * weight
	d.sampleTokens = 0
	d.sampleStart = now
}

// maxSamples bounds the iterations after a long pause. By then the weight of
// the old rate is negligible.
const maxSamples = 64

func pow(base, exponent float64) float64 {
	result := 1.0
	for range int(min(exponent, maxSamples)) {
		result *= base
	}
	return result
}

// peerDemand is the demand that a peer reported, in tokens per second.
type peerDemand struct {
	holder     Holder
	demand     float64
	reportedAt time.Time
}
