// Package shard divides a pool's engines and models among planners.
package shard

import (
	"fmt"
	"maps"
	"slices"

	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/rendezvous"
)

// maxEngines bounds the engines of one shard.
const maxEngines = 64

// Shard is a part of a pool that one planner plans.
type Shard struct {
	// Key names the shard in the fleet.
	Key string
	// Pool names the pool, PoolShards is the number of its shards.
	Pool       string
	PoolShards int
	// Targets and Models belong to the shard, sorted.
	Targets []string
	Models  []string
}

// Partition returns the shards of all engine pools, sorted by key. A pool whose
// engines fit in one shard has one; else engines and models are spread by
// rendezvous hashing, so that few move when the number changes.
func Partition(objects *object.Set) []Shard {
	var shards []Shard
	for _, pool := range slices.Sorted(maps.Keys(objects.Pools)) {
		if objects.Pools[pool].Kind == object.PoolEngines {
			shards = append(shards, dividePool(objects, pool)...)
		}
	}
	return shards
}

func dividePool(objects *object.Set, pool string) []Shard {
	targets := objects.PoolTargets(pool)
	n := max(1, (len(targets)+maxEngines-1)/maxEngines)
	index := make(map[string]*Shard, n)
	keys := make([]string, 0, n)
	for i := range n {
		key := fmt.Sprintf("%s/%d", pool, i)
		keys = append(keys, key)
		index[key] = &Shard{Key: key, Pool: pool, PoolShards: n}
	}
	for _, name := range targets {
		s := index[rendezvous.First("target/"+name, keys)]
		s.Targets = append(s.Targets, name)
	}
	for _, name := range slices.Sorted(maps.Keys(objects.Models)) {
		if objects.Models[name].Pool != pool {
			continue
		}
		s := index[rendezvous.First("model/"+name, keys)]
		s.Models = append(s.Models, name)
	}
	shards := make([]Shard, 0, n)
	for _, key := range keys {
		shards = append(shards, *index[key])
	}
	return shards
}
