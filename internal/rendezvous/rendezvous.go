// Package rendezvous assigns keys to members by rendezvous hashing: when a member
// joins or leaves, only the keys assigned to it move.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// First returns the member with the highest score for key, or "" when members is
// empty.
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

// Order returns a copy of members sorted by descending score for key, and by
// name where scores are equal.
func Order(key string, members []string) []string {
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(cmp.Compare(scoreOf(key, b), scoreOf(key, a)), cmp.Compare(a, b))
	})
	return ordered
}

func scoreOf(key, member string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(member)
	return digest.Sum64()
}
