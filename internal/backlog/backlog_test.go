package backlog_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fireflypier.example/fireflypier/internal/backlog"
)

func init() { _ = flag.Set("rapid.seed", "5") }

func TestBacklog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "backlog")
}

var _ = Describe("the backlog", func() {
	It("adds the work of others from a delayed report to the current own work", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var b backlog.Backlog
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			others := float64(rapid.IntRange(0, 5000).Draw(t, "others"))
			own := 0.0
			type state struct {
				at  time.Time
				own float64
			}
			history := []state{{now, 0}}
			for range rapid.IntRange(1, 40).Draw(t, "changes") {
				now = now.Add(time.Duration(rapid.IntRange(50, 100).Draw(t, "ms")) * time.Millisecond)
				if tokens := float64(rapid.IntRange(1, 500).Draw(t, "tokens")); own > tokens && rapid.Bool().Draw(t, "finish") {
					b.Finish(now, tokens)
					own -= tokens
				} else {
					b.Add(now, tokens)
					own += tokens
				}
				history = append(history, state{now, own})
			}
			reported := rapid.SampledFrom(history[max(0, len(history)-20):]).Draw(t, "report")
			b.Report(reported.at, others+reported.own)
			if b.Ahead(reported.at) != others+own || b.Outstanding() != own {
				t.Fatalf("ahead %.0f own %.0f, want %.0f and %.0f", b.Ahead(reported.at), b.Outstanding(), others+own, own)
			}
		})
	})
})
