package share

import "time"

const (
	// sampleInterval is the length of one sample of the demand.
	sampleInterval = 250 * time.Millisecond
	// sampleWeight is the weight of a new sample.
	sampleWeight = 0.15
	// peerDemandLifetime is how long a peer's demand counts after it was told.
	peerDemandLifetime = 2 * time.Second
)

// demandEstimate estimates the tokens a second that requests ask for.
type demandEstimate struct {
	rate  float64
	sampleTokens float64
	sampleStart time.Time
}

func (d *demandEstimate) add(tokens float64, now time.Time) {
	d.closeSample(now)
	d.sampleTokens += tokens
}

// closeSample closes the sample once its interval has passed.
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

// maxSamples bounds the work for a long pause; the old rate is gone by then.
const maxSamples = 64

func pow(base, exponent float64) float64 {
	result := 1.0
	for range int(min(exponent, maxSamples)) {
		result *= base
	}
	return result
}

// peerDemand is the demand of a peer.
type peerDemand struct {
	holder Holder
	demand float64
	reportedAt   time.Time
}
