// Package spillover decides whether a request leaves its data centre. It responds to the
// load of the targets at home relative to that of the targets elsewhere, as this VM sees
// it: views of other VMs' loads are old, so that the share of the requests that may leave
// moves in steps of at most maxStep per age of the view.
package spillover

import "time"

const (
	// priceShare is the price of priceBytes between data centres, as a fraction of the
	// objective: no caller notices a difference of 2 in 100 of it. maxPriceShare bounds
	// the price of large bodies.
	priceShare    = 0.02
	maxPriceShare = 0.05
	// priceBytes is the size of a typical request with its answer.
	priceBytes = 8 << 10
	// bytesPerMicrosecond is the assumed rate of a transfer between data centres, which
	// small windows limit to about 100 MB/s.
	bytesPerMicrosecond = 100
	// defaultObjective applies to requests without objective and deadline.
	defaultObjective = time.Second

	// neutralShare is the share that may leave with no difference between home and away:
	// leaving must begin within the first age of the view. neutralPerSecond is added per
	// second of its age: an older view tells less of where the load is.
	neutralShare     = 0.25
	neutralPerSecond = 0.25
	// shareGain is the change of that share per mean gain of one objective: at a gain of a
	// quarter of the objective, all may leave.
	shareGain = 3
	// followAge is the age at which a step would cover the whole way. On a view of n times
	// that age it covers 1/n: the difference may be over when the step takes effect.
	followAge = 100 * time.Millisecond
	// maxStep bounds a step, and minShare the share, so that home_too_slow takes effect
	// at once.
	maxStep  = 0.25
	minShare = 0.05
	// minAge and maxAge bound the interval between steps: views are 0.2 to 3 s old.
	minAge, maxAge = 200 * time.Millisecond, 3 * time.Second
	// silence is the time without requests, in intervals, after which the share is forgotten.
	silence = 10
)

// Reason states why a request leaves or stays.
type Reason uint8

// The reasons for Leave (the first six) and for Stay.
const (
	HomeHasNone Reason = iota
	HomeTooSlow
	Gain
	Cached
	OldView
	HomeCold
	AwayHasNone
	NoGain
	ShareUsed
)

// String returns the reason as written to logs and metrics.
func (r Reason) String() string {
	return [...]string{"home_has_none", "home_too_slow", "gain", "cached", "old_view", "home_cold", "away_has_none", "no_gain", "share_used"}[r]
}

// Decision is Stay or Leave.
type Decision interface {
	// Reason returns why.
	Reason() Reason
	// Leaves reports whether the request leaves the data centre.
	Leaves() bool
	decision()
}

// Stay is the decision that a request stays in its data centre. Like Leave, it is not
// allocated as a Decision: the value fits into a byte.
type Stay Reason

// Leave is the decision that a request leaves its data centre.
type Leave Reason

// Reason returns why the request stays.
func (s Stay) Reason() Reason { return Reason(s) }

// Leaves returns false.
func (Stay) Leaves() bool { return false }

func (Stay) decision() {}

// Reason returns why the request leaves.
func (l Leave) Reason() Reason { return Reason(l) }

// Leaves returns true.
func (Leave) Leaves() bool { return true }

func (Leave) decision() {}

// Candidate is the best target at home or away.
type Candidate struct {
	// Exists is false if there is no target.
	Exists bool
	// Expected is the time until the first event or the answer, with waits and penalties,
	// and for a target away the distance.
	Expected time.Duration
	// Cost is Expected with the random part by which VMs with old views spread their
	// requests. The decision on one request uses it, so that requests spread between
	// home and away as they do among targets.
	Cost time.Duration
	// Saved is how much of the request's work the target's cache saves.
	Saved time.Duration
	// Cold is set if the target is cold, so that the call must be reserved.
	Cold bool
}

// Request describes a request and where it may go.
type Request struct {
	Pool       string
	Home, Away Candidate
	// Objective is the time that the caller has for the first event or the answer, Left
	// what remains of it.
	Objective, Left time.Duration
	// Bytes is the size of the request with its expected answer.
	Bytes int
	// Age is the age of the view.
	Age time.Duration
	// Draw is a random number in [0, 1).
	Draw float64
}

// Balancer keeps the share of this VM's requests that may leave, by pool. It is not safe
// for concurrent use.
type Balancer struct {
	pools map[string]flow
}

// flow is the state of one pool.
type flow struct {
	share float64
	// gains is the sum of the net gains of observed requests since steppedAt, relative
	// to the objective, or to the expected time where all are late.
	gains     float64
	observed  int
	steppedAt time.Time
}

// New returns a Balancer that has observed nothing.
func New() *Balancer { return &Balancer{pools: make(map[string]flow)} }

// Share returns the share of a pool's requests that may leave.
func (b *Balancer) Share(pool string) float64 {
	if f, ok := b.pools[pool]; ok {
		return f.share
	}
	return neutral(minAge)
}

// Decide decides whether a request leaves. The share limits neither a request that gains
// from a prompt cached away, which others don't follow, nor one on a view older than its
// objective. Such a view does not tell whether home can meet the objective: the lowest cost
// decides, and its random part spreads the requests. Nor does the share keep a request at a
// cold target for which it would wait longer than the best target away takes: the lender of
// calls refuses such waits.
func (b *Balancer) Decide(r *Request, now time.Time) Decision {
	d, f, observed := b.decide(r, now)
	if observed {
		b.pools[r.Pool] = f
	}
	return d
}

// Preview returns what Decide would return, and the share that it would use, without
// counting the request.
func (b *Balancer) Preview(r *Request, now time.Time) (d Decision, share float64) {
	d, f, observed := b.decide(r, now)
	if !observed {
		return d, b.Share(r.Pool)
	}
	return d, f.share
}

// decide returns the decision and the state of the pool after it. observed is false if the
// request does not count for that.
func (b *Balancer) decide(r *Request, now time.Time) (d Decision, f flow, observed bool) {
	switch {
	case !r.Home.Exists:
		return Leave(HomeHasNone), f, false
	case !r.Away.Exists:
		return Stay(AwayHasNone), f, false
	}
	objective := r.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	gain := r.Home.Cost - r.Away.Cost
	if gain > 0 && r.Home.Cold && !r.Away.Cold {
		return Leave(HomeCold), f, false
	}
	if r.Age > objective {
		if gain > 0 {
			return Leave(OldView), f, false
		}
		return Stay(NoGain), f, false
	}
	least, cacheGain := price(r.Bytes, objective), r.Away.Saved-r.Home.Saved
	// Where both sides are late anyway, a difference matters relative to that.
	scale := max(objective, min(r.Home.Expected, r.Away.Expected))
	f = b.observe(r, float64(r.Home.Expected-r.Away.Expected-cacheGain-least)/float64(scale), now)
	reason := Gain
	switch {
	case min(gain, cacheGain) > least:
		return Leave(Cached), f, true
	case gain > 0 && r.Home.Expected > r.Left && r.Away.Expected <= r.Left:
		reason = HomeTooSlow
	case gain <= least:
		return Stay(NoGain), f, true
	}
	if r.Draw >= f.share {
		return Stay(ShareUsed), f, true
	}
	return Leave(reason), f, true
}

// observe returns the state of the request's pool after it counts the relative net gain of
// the request, and takes a step if the last one is as old as the view.
func (b *Balancer) observe(r *Request, gain float64, now time.Time) flow {
	interval := min(max(minAge, r.Age), maxAge)
	f, ok := b.pools[r.Pool]
	if !ok {
		f = flow{share: neutral(interval), steppedAt: now}
	}
	elapsed := now.Sub(f.steppedAt)
	switch {
	case elapsed >= silence*interval:
		f = flow{share: neutral(interval), steppedAt: now}
	case elapsed >= interval && f.observed > 0:
		way := neutral(interval) + shareGain*f.gains/float64(f.observed) - f.share
		way *= min(1, float64(followAge)/float64(interval))
		f.share = min(max(minShare, f.share+min(max(-maxStep, way), maxStep)), 1)
		f.gains, f.observed, f.steppedAt = 0, 0, now
	}
	f.gains += min(max(-1, gain), 1)
	f.observed++
	return f
}

// neutral returns the share that may leave with no difference between home and away.
func neutral(age time.Duration) float64 { return min(1, neutralShare+neutralPerSecond*age.Seconds()) }

// price returns the price of bytes between data centres, as time, with their transfer.
func price(bytes int, objective time.Duration) time.Duration {
	share := min(maxPriceShare, priceShare*float64(bytes)/priceBytes)
	return time.Duration(share*float64(objective)) + time.Duration(bytes/bytesPerMicrosecond)*time.Microsecond
}
