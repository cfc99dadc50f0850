package plainroute

import (
	"math/rand/v2"
	"slices"
	"sync"

	"fireflypier.example/fireflypier/internal/catalog"
	"fireflypier.example/fireflypier/internal/ejection"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/object"
)

// balancer chooses among the targets of a pool by the number of outstanding
// requests of this gateway.
type balancer struct {
	ejection *ejection.Ejection
	leaving  func(target string) bool

	mu          sync.Mutex
	outstanding map[string]int
}

func newBalancer(e *ejection.Ejection, leaving func(target string) bool) *balancer {
	return &balancer{ejection: e, leaving: leaving, outstanding: map[string]int{}}
}

// choice is a chosen target. It must be released when the request has ended.
type choice struct {
	object.Target
	name     string
	balancer *balancer
}

// choose returns the less loaded of two random targets that are neither in tried
// nor ejected. If all targets are in tried, it considers them again; if all that
// remain are ejected, it considers these. It never returns a target that is
// leaving.
func (b *balancer) choose(c *catalog.Catalog, pool string, tried []string) (*choice, error) {
	objects := &c.Snapshot().Objects
	names := remove(objects.PoolTargets(pool), b.leaving)
	if len(names) == 0 {
		return nil, failure.New(failure.NoReplica, "pool %s has no target that accepts requests", pool)
	}
	candidates := remove(names, func(name string) bool { return slices.Contains(tried, name) })
	if len(candidates) == 0 {
		candidates = names
	}
	usable := remove(candidates, b.ejection.Ejected)
	if len(usable) == 0 {
		usable = candidates
	}
	name := b.lessLoaded(usable)
	b.ejection.Begin(name)
	return &choice{Target: objects.Targets[name], name: name, balancer: b}, nil
}

func remove(names []string, unwanted func(string) bool) []string {
	return slices.DeleteFunc(slices.Clone(names), unwanted)
}

// lessLoaded returns the target with fewer outstanding requests of two random
// ones, and counts a request to it.
func (b *balancer) lessLoaded(names []string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := names[rand.IntN(len(names))]
	second := names[rand.IntN(len(names))]
	if b.outstanding[second] < b.outstanding[first] {
		first = second
	}
	b.outstanding[first]++
	return first
}

func (c *choice) release() {
	c.balancer.mu.Lock()
	defer c.balancer.mu.Unlock()
	c.balancer.outstanding[c.name]--
	if c.balancer.outstanding[c.name] <= 0 {
		delete(c.balancer.outstanding, c.name)
	}
}
