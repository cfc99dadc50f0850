package policy_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/serving/policy"
)

func TestPolicy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "policy")
}

var _ = Describe("a policy", func() {
	p := (&policy.Policy{
		Routes: []policy.Route{
			{Name: "short", Host: "a", Prefix: "/x/"},
			{Name: "long", Host: "a", Prefix: "/x/y/"},
			{Name: "other", Host: "b", Prefix: "/"},
		},
		Customers: []policy.Customer{{Name: "c", Keys: []string{"k1", "k2"}}},
		Pools:     []policy.Pool{{Name: "p"}},
	}).Index()

	It("finds the route with the longest prefix of the host", func() {
		r, ok := p.Route("a", "/x/y/z")
		Expect(ok).To(BeTrue())
		Expect(r.Name).To(Equal("long"))
		r, ok = p.Route("a", "/x/z")
		Expect(ok).To(BeTrue())
		Expect(r.Name).To(Equal("short"))
		_, ok = p.Route("a", "/x")
		Expect(ok).To(BeFalse())
		_, ok = p.Route("c", "/x/")
		Expect(ok).To(BeFalse())
	})

	It("finds customers by any of their keys", func() {
		c, ok := p.Customer("k2")
		Expect(ok).To(BeTrue())
		Expect(c.Name).To(Equal("c"))
		_, ok = p.Customer("")
		Expect(ok).To(BeFalse())
		Expect(p.RequiresKey()).To(BeTrue())
	})

	It("orders requests by the rank of their customer, then of their route", func() {
		route := func(rank int) *policy.Route { return &policy.Route{Rank: rank} }
		customer := func(rank int) *policy.Customer { return &policy.Customer{Rank: rank, Ranked: true} }
		ranks := []int{
			route(0).RankFor(customer(0)),
			route(2).RankFor(customer(0)),
			route(0).RankFor(customer(1)),
			route(1).RankFor(customer(1)),
			route(0).RankFor(customer(2)),
			route(7).RankFor(customer(9)),
		}
		for i := range ranks[1:] {
			Expect(ranks[i]).To(BeNumerically("<", ranks[i+1]))
		}
		Expect(ranks[5]).To(Equal(policy.MaxRank))
		Expect(route(4).RankFor(nil)).To(Equal(4))
		Expect(route(4).RankFor(&policy.Customer{})).To(Equal(4))
	})

	It("decides what may be repeated and how long callers wait", func() {
		stream := policy.Route{Kind: policy.Stream, Objective: 800 * time.Millisecond, MaxGap: 300 * time.Millisecond}
		Expect(stream.Repeatable()).To(BeFalse())
		Expect(stream.CallerTimeout()).To(Equal(3200 * time.Millisecond))
		stream.Resumable = true
		Expect(stream.Repeatable()).To(BeTrue())
		Expect((&policy.Route{Kind: policy.AtMostOnce}).Repeatable()).To(BeFalse())
		Expect((&policy.Route{Kind: policy.Idempotent}).Repeatable()).To(BeTrue())
		Expect((&policy.Route{Kind: policy.Idempotent}).CallerTimeout()).To(BeZero())
	})
})
