package share

import "time"

const (
	// demandInterval is the length of one sample of the demand.
	demandInterval = 250 * time.Millisecond
	// demandWeight is the weight of a new sample.
	demandWeight = 0.15
	// wantLifetime is how long a peer's demand counts after it was told.
	wantLifetime = 2 * time.Second
)

// demand estimates the tokens a second that requests ask for.
type demand struct {
	rate  float64
	asked float64
	since time.Time
}

func (d *demand) add(tokens float64, now time.Time) {
	d.roll(now)
	d.asked += tokens
}

// roll closes the sample once its interval has passed.
func (d *demand) roll(now time.Time) {
	if d.since.IsZero() {
		d.since = now
		return
	}
	elapsed := now.Sub(d.since)
	if elapsed < demandInterval {
		return
	}
	samples := float64(elapsed / demandInterval)
	sample := d.asked / elapsed.Seconds()
	weight := 1 - pow(1-demandWeight, samples)
	d.rate += (sample - d.rate) * weight
	d.asked = 0
	d.since = now
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

// want is the demand of a peer.
type want struct {
	holder Holder
	demand float64
	told   time.Time
}
