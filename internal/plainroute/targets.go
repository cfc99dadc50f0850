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

// targets chooses among the targets of a pool by this gateway's outstanding
// requests.
type targets struct {
	ejection *ejection.Ejection
	leaving  func(target string) bool

	mu          sync.Mutex
	outstanding map[string]int
}

func newTargets(e *ejection.Ejection, leaving func(target string) bool) *targets {
	return &targets{ejection: e, leaving: leaving, outstanding: map[string]int{}}
}

// choice is a chosen target. Release it when the request has ended.
type choice struct {
	object.Target
	name    string
	targets *targets
}

// choose takes the less loaded of two targets that are neither tried nor
// ejected. Where all are, one is tried nevertheless, but never one that is
// leaving.
func (t *targets) choose(c *catalog.Catalog, pool string, tried []string) (*choice, error) {
	objects := &c.Snapshot().Objects
	names := remove(objects.PoolTargets(pool), t.leaving)
	if len(names) == 0 {
		return nil, failure.New(failure.NoReplica, "pool %s has no target that takes work", pool)
	}
	fresh := remove(names, func(name string) bool { return slices.Contains(tried, name) })
	if len(fresh) == 0 {
		fresh = names
	}
	usable := remove(fresh, t.ejection.Ejected)
	if len(usable) == 0 {
		usable = fresh
	}
	name := t.lessLoaded(usable)
	t.ejection.Begin(name)
	return &choice{Target: objects.Targets[name], name: name, targets: t}, nil
}

func remove(names []string, unwanted func(string) bool) []string {
	return slices.DeleteFunc(slices.Clone(names), unwanted)
}

// lessLoaded takes a place at the better of two random targets.
func (t *targets) lessLoaded(names []string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := names[rand.IntN(len(names))]
	second := names[rand.IntN(len(names))]
	if t.outstanding[second] < t.outstanding[first] {
		first = second
	}
	t.outstanding[first]++
	return first
}

func (c *choice) release() {
	c.targets.mu.Lock()
	defer c.targets.mu.Unlock()
	c.targets.outstanding[c.name]--
	if c.targets.outstanding[c.name] <= 0 {
		delete(c.targets.outstanding, c.name)
	}
}
