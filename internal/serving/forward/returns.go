package forward

import (
	"sync"
	"time"

	"fireflypier.example/fireflypier/internal/serving/admission"
)

// returns spread the returns of refused requests, by pool.
type returns struct {
	mu     sync.Mutex
	byPool map[string]*admission.Returns
}

func newReturns() *returns { return &returns{byPool: make(map[string]*admission.Returns)} }

// of returns those of a pool. The caller holds r.mu.
func (r *returns) of(pool string) *admission.Returns {
	p := r.byPool[pool]
	if p == nil {
		p = &admission.Returns{}
		r.byPool[pool] = p
	}
	return p
}

// recordAdmitted records that the request was admitted while the requests for its pool
// differ in urgency or customer.
func (j *job) recordAdmitted(now time.Time) {
	r := j.f.returns
	r.mu.Lock()
	defer r.mu.Unlock()
	r.of(j.pool.Name).Admit(j.work(), now)
}

// returnAfter returns the time after which the caller of a refused request should return,
// not before earliest.
func (j *job) returnAfter(earliest time.Duration, now time.Time) time.Duration {
	if !j.divided() {
		return earliest
	}
	r := j.f.returns
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.of(j.pool.Name).Refuse(j.want.Rank, j.work(), earliest, j.deadline.Sub(now), now)
}

// previewReturn returns what returnAfter would return, without recording a refusal.
func (j *job) previewReturn(earliest time.Duration, now time.Time) time.Duration {
	if !j.divided() {
		return earliest
	}
	r := j.f.returns
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.byPool[j.pool.Name]
	if known == nil {
		return earliest
	}
	copied := *known
	return copied.Refuse(j.want.Rank, j.work(), earliest, j.deadline.Sub(now), now)
}

// work returns the work that the first event of the request takes, in prompt tokens.
func (j *job) work() float64 { return float64(max(1, j.r.PromptTokens)) }
