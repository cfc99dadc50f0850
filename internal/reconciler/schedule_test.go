package reconciler

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestScheduleFollowsChanges guards against a list that stays unsettled after a change: an
// edit then depends on every gateway of a list of two.
func TestScheduleFollowsChanges(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var s schedule
	g.Expect(s.due(1, now)).To(BeTrue())
	attempts := 0
	for range 100 {
		now = now.Add(minInterval)
		if s.due(1, now) {
			attempts++
		}
	}
	g.Expect(attempts).To(BeNumerically("<=", 4+100*int(minInterval)/int(maxInterval)), "a list that does not settle")
	g.Expect(s.due(2, now.Add(minInterval))).To(BeTrue(), "a changed list")
	g.Expect(s.due(3, now.Add(3*minInterval/2))).To(BeFalse(), "changes that follow each other closely")
	g.Expect(s.due(3, now.Add(2*minInterval))).To(BeTrue())
}
