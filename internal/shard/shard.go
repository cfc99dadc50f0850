// Package shard partitions the engines and models of pools into shards, each planned
// by one planner.
package shard

import (
	"fmt"
	"maps"
	"slices"

	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/rendezvous"
)

// maxEngines is the maximum number of engines per shard of a pool, on average.
const maxEngines = 64

// Shard is the part of a pool that one planner manages.
type Shard struct {
	// Key identifies the shard in the fleet: "pool/index".
	Key string
	// Pool is the name of the pool and PoolShards the number of its shards.
	Pool       string
	PoolShards int
	// Targets and Models are the sorted names of the targets and models in the
	// shard.
	Targets []string
	Models  []string
}

// Partition returns the shards of all engine pools, ordered by pool and index. A pool
// of at most maxEngines engines forms one shard. The engines and models of a larger
// pool are assigned to shards by rendezvous hashing, so that few of them move when
// the number of shards changes.
func Partition(objects *object.Set) []Shard {
	var shards []Shard
	for _, pool := range slices.Sorted(maps.Keys(objects.Pools)) {
		if objects.Pools[pool].Kind == object.PoolEngines {
			shards = append(shards, partitionPool(objects, pool)...)
		}
	}
	return shards
}

func partitionPool(objects *object.Set, pool string) []Shard {
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
