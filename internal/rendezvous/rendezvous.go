// Package rendezvous chooses among members by rendezvous hashing, so that a
// member that comes or goes moves only its own share of the keys.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// First returns the first choice for key among members, or "" when there are
// none.
func First(key string, members []string) string {
	best := ""
	var bestScore uint64
	for _, m := range members {
		if score := scoreOf(key, m); best == "" || score > bestScore {
			best = m
			bestScore = score
		}
	}
	return best
}

// Order returns the members in the order of choice for key.
func Order(key string, members []string) []string {
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(cmp.Compare(scoreOf(key, b), scoreOf(key, a)), cmp.Compare(a, b))
	})
	return ordered
}

func scoreOf(key, m string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(m)
	return digest.Sum64()
}
