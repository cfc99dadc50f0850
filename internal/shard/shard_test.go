package shard

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/object"
)

func TestShard(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "shard")
}

func setOf(engines, models int) *object.Set {
	s := (&object.Set{Pools: map[string]object.Pool{"p": {Kind: object.PoolEngines}, "desk": {Kind: object.PoolService}}}).Clone()
	for i := range engines {
		s.Targets[fmt.Sprintf("engine-%d", i)] = object.Target{Pool: "p"}
	}
	for i := range models {
		s.Models[fmt.Sprintf("model-%d", i)] = object.Model{Pool: "p"}
	}
	return s
}

var _ = Describe("Partition", func() {
	It("returns one shard for a small pool", func() {
		shards := Partition(setOf(12, 15))
		Expect(shards).To(HaveLen(1))
		Expect(shards[0].Targets).To(HaveLen(12))
		Expect(shards[0].Models).To(HaveLen(15))
	})

	It("assigns each engine and model of a large pool to exactly one shard", func() {
		shards := Partition(setOf(1100, 280))
		Expect(shards).To(HaveLen(18))
		engines, models := 0, 0
		for _, s := range shards {
			Expect(s.Models).NotTo(BeEmpty())
			engines += len(s.Targets)
			models += len(s.Models)
		}
		Expect(engines).To(Equal(1100))
		Expect(models).To(Equal(280))
	})
})
