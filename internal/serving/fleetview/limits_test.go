package fleetview_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/serving/fleetview"
	"fireflypier.example/fireflypier/internal/serving/policy"
	"fireflypier.example/fireflypier/internal/serving/target"
)

func limitOf(perSecond float64) target.Limit {
	return target.Limit{Named: true, PerSecond: perSecond}
}

// TestLimitOutlivesOlderAnswers guards against a limit that ends with the answer to a
// request that was sent before it was named (LIMIT).
func TestLimitOutlivesOlderAnswers(t *testing.T) {
	g := NewWithT(t)
	v := fleetview.New("a")
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	v.Set(&target.Target{ID: "t", Born: 2, Pool: "p"})
	g.Expect(v.SetLimit("t", 2, target.Limit{}, at(0), at(1))).To(BeFalse())
	g.Expect(v.SetLimit("t", 2, limitOf(3), at(10), at(20))).To(BeTrue())
	g.Expect(v.SetLimit("t", 2, target.Limit{}, at(15), at(30))).To(BeFalse(), "sent before the limit was learned")
	g.Expect(v.SetLimit("t", 1, target.Limit{}, at(40), at(50))).To(BeFalse(), "another incarnation")
	g.Expect(v.Limit("t", 2)).To(Equal(limitOf(3)))
	g.Expect(v.Limit("t", 1)).To(Equal(target.Limit{}))
	g.Expect(v.SetLimit("t", 2, target.Limit{}, at(40), at(50))).To(BeTrue())
	g.Expect(v.Limit("t", 2)).To(Equal(target.Limit{}))
}

// TestLimitsReachPeers passes limits on through a VM that has no target row, and keeps what
// the target has said last.
func TestLimitsReachPeers(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	a, b, c := fleetview.New("a"), fleetview.New("b"), fleetview.New("c")
	a.SetLimit("t", 1, limitOf(3), at(0), at(10))
	limits, upto := a.LimitsAfter(0, at(100))
	g.Expect(limits).To(HaveLen(1))
	b.MergeLimits(limits, at(105))
	limits, _ = b.LimitsAfter(0, at(200))
	c.MergeLimits(limits, at(205))
	g.Expect(c.Limit("t", 1)).To(Equal(limitOf(3)))
	limits, _ = a.LimitsAfter(upto, at(300))
	g.Expect(limits).To(BeEmpty())

	c.SetLimit("t", 1, target.Limit{}, at(1500), at(1510))
	limits, _ = b.LimitsAfter(0, at(1600))
	c.MergeLimits(limits, at(1605))
	g.Expect(c.Limit("t", 1)).To(Equal(target.Limit{}), "the target itself has said later that it has none")
	limits, _ = c.LimitsAfter(0, at(1700))
	a.MergeLimits(limits, at(1705))
	g.Expect(a.Limit("t", 1)).To(Equal(target.Limit{}))
}

// TestChooseAvoidsLongCallWaits has a limited target that is chosen only if the request may
// wait for it, and tells when it takes requests again.
func TestChooseAvoidsLongCallWaits(t *testing.T) {
	g := NewWithT(t)
	v := fleetview.New("a")
	now := time.Unix(1000, 0)
	v.Set(&target.Target{ID: "t", Born: 1, Pool: "p", Slots: 6})
	v.SetLimit("t", 1, limitOf(2), now, now)
	v.SetNextCall("t", 1, now.Add(300*time.Millisecond))
	r := &fleetview.Requirements{Pool: &policy.Pool{Name: "p"}, MaxCallWait: 200 * time.Millisecond}
	c := v.Choose(r, now)
	g.Expect(c.Target).To(BeNil())
	g.Expect(c.Returns).To(Equal(now.Add(100 * time.Millisecond)))
	c = v.Choose(r, now.Add(150*time.Millisecond))
	g.Expect(c.Target).NotTo(BeNil())
	g.Expect(c.CallWait).To(Equal(150 * time.Millisecond))
	g.Expect(c.Limit).To(Equal(limitOf(2)))
	v.Set(&target.Target{ID: "free", Born: 1, Pool: "p", Slots: 6})
	for range 20 {
		g.Expect(v.Choose(r, now.Add(150*time.Millisecond)).Target.ID).To(Equal("free"))
	}
}
