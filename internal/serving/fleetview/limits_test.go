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
	limits, upto := a.MarksAfter(0, at(100))
	g.Expect(limits).To(HaveLen(1))
	b.MergeMarks(limits, at(105))
	limits, _ = b.MarksAfter(0, at(200))
	c.MergeMarks(limits, at(205))
	g.Expect(c.Limit("t", 1)).To(Equal(limitOf(3)))
	limits, _ = a.MarksAfter(upto, at(300))
	g.Expect(limits).To(BeEmpty())

	c.SetLimit("t", 1, target.Limit{}, at(1500), at(1510))
	limits, _ = b.MarksAfter(0, at(1600))
	c.MergeMarks(limits, at(1605))
	g.Expect(c.Limit("t", 1)).To(Equal(target.Limit{}), "the target itself has said later that it has none")
	limits, _ = c.MarksAfter(0, at(1700))
	a.MergeMarks(limits, at(1705))
	g.Expect(a.Limit("t", 1)).To(Equal(target.Limit{}))
}

// TestDeparturesReachPeers guards against VMs that send requests to a target that has told
// only others that it leaves (DRAIN), also if the target's row arrives later.
func TestDeparturesReachPeers(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	a, b, c := fleetview.New("a"), fleetview.New("b"), fleetview.New("c")
	row := &target.Target{ID: "t", Born: 1, Pool: "p", Slots: 6}
	a.Set(row)
	a.SetLeaving("t", 1, now)
	a.SetDistance("near", 1, time.Minute, now)
	marks, upto := a.MarksAfter(0, now)
	g.Expect(b.MergeMarks(marks, now)).To(HaveLen(1))
	g.Expect(b.MergeMarks(marks, now)).To(BeEmpty(), "is known already")
	marks, _ = b.MarksAfter(0, now)
	g.Expect(marks).To(HaveLen(1), "how long a target keeps one VM away is not for others")
	c.MergeMarks(marks, now)
	c.Set(row)
	r := &fleetview.Requirements{Pool: &policy.Pool{Name: "p"}}
	g.Expect(c.Choose(r, now).Target).To(BeNil())
	g.Expect(c.Limit("t", 1)).To(Equal(target.Limit{}))
	marks, _ = a.MarksAfter(upto, now)
	g.Expect(marks).To(BeEmpty())

	c.Set(&target.Target{ID: "t", Born: 2, Pool: "p", Slots: 6})
	g.Expect(c.Choose(r, now).Target).NotTo(BeNil(), "the next incarnation")
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
