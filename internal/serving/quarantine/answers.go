package quarantine

import "time"

// answers holds the time of the last answer for each of at least the size most recent
// hashes, and at most twice as many.
type answers struct {
	size          int
	recent, older map[uint64]time.Time
}

func newAnswers(size int) *answers { return &answers{size: size, recent: make(map[uint64]time.Time)} }

func (a *answers) add(hash uint64, now time.Time) {
	if len(a.recent) >= a.size {
		a.recent, a.older = make(map[uint64]time.Time, a.size), a.recent
	}
	a.recent[hash] = now
}

// last returns the time of the last answer; zero if none is known.
func (a *answers) last(hash uint64) time.Time {
	if at, ok := a.recent[hash]; ok {
		return at
	}
	return a.older[hash]
}
