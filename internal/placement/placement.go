// Package placement decides which engine should load which model.
package placement

import (
	"maps"
	"slices"

	"fireflypier.example/fireflypier/internal/ledger"
	"fireflypier.example/fireflypier/internal/object"
)

// Load is a load that placement asks for.
type Load struct {
	// Target names the engine.
	Target string
	// Model names the model, Version and MemoryBytes its weights.
	Model       string
	Version     string
	MemoryBytes int64
}

// defaultReplicas is wanted for models that name no number.
const defaultReplicas = 2

// Placement decides for one pool. It has no input or output.
type Placement struct {
	objects *object.Set
	pool    string
}

// New returns a placement for the models of a pool.
func New(objects *object.Set, pool string) *Placement {
	return &Placement{objects: objects, pool: pool}
}

// Next returns the loads to begin now, at most limit: first models without a
// replica, then those with too few.
func (p *Placement) Next(ledgers map[string]*ledger.Ledger, limit int) []Load {
	var loads []Load
	free := map[string]int64{}
	for name, l := range ledgers {
		free[name] = l.Free()
	}
	for wanted := 1; wanted <= defaultReplicas; wanted++ {
		for _, name := range slices.Sorted(maps.Keys(p.objects.Models)) {
			m := p.objects.Models[name]
			if m.Pool != p.pool || wanted > max(m.Replicas, 1) && m.Replicas != 0 {
				continue
			}
			holders := p.holders(ledgers, name, &m)
			if len(holders) >= wanted || len(loads) >= limit {
				continue
			}
			if target, ok := p.choose(free, holders, &m); ok {
				free[target] -= m.MemoryBytes
				loads = append(loads, Load{Target: target, Model: name, Version: m.Version, MemoryBytes: m.MemoryBytes})
			}
		}
		if len(loads) > 0 {
			return loads
		}
	}
	return loads
}

func (p *Placement) holders(ledgers map[string]*ledger.Ledger, name string, m *object.Model) []string {
	var holders []string
	for target, l := range ledgers {
		if l.Find(object.KindModel, name, m.Version) >= 0 {
			holders = append(holders, target)
		}
	}
	return holders
}

// choose returns the engine with the most free memory on a VM that does not
// hold the model.
func (p *Placement) choose(free map[string]int64, holders []string, m *object.Model) (string, bool) {
	used := map[string]bool{}
	for _, holder := range holders {
		used[p.objects.Targets[holder].VM] = true
	}
	best := ""
	for _, target := range slices.Sorted(maps.Keys(free)) {
		if used[p.objects.Targets[target].VM] || free[target] < m.MemoryBytes {
			continue
		}
		if best == "" || free[target] > free[best] {
			best = target
		}
	}
	return best, best != ""
}
