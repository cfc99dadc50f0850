package tests

import (
	"os"
	"os/exec"
	"path/filepath"

	"github.com/go-json-experiment/json"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const smokeWorkload = `{
  "name": "smoke", "seed": 1, "duration": "3s", "accelerators": 2,
  "customers": {
    "circle": {"key": "key-of-the-circle", "tokens_per_second": 100000, "burst_tokens": 100000},
    "dealer": {"key": "key-of-the-dealer", "tokens_per_second": 1000000, "burst_tokens": 1000000},
  },
  "streams": [
    {"name": "chat", "customer": "circle", "requests_per_second": 15, "model": "chat-small", "max_tokens": 20,
     "answer_tokens": {"mean": 10, "max": 20}, "prompt_tokens": {"mean": 50, "max": 200}},
    {"name": "print", "customer": "dealer", "requests_per_second": 10, "path": "/print/order", "body_bytes": 100, "cost_tokens": 1, "not_repeatable": 1},
  ],
}`

var _ = Describe("the load tool", func() {
	It("measures a run and compares answers with the requests that targets ran", func() {
		ctx := testContext()
		f := startSmallFleet(ctx, 2, 1)
		dir := GinkgoT().TempDir()
		work := filepath.Join(dir, "workload.jsonc")
		result := filepath.Join(dir, "result.json")
		plot := filepath.Join(dir, "plot.svg")
		Expect(os.WriteFile(work, []byte(smokeWorkload), 0o600)).To(Succeed())
		run := func(args ...string) string {
			output, err := exec.CommandContext(ctx, programs.Fireflypier, append([]string{"load"}, args...)...).CombinedOutput()
			Expect(err).NotTo(HaveOccurred(), string(output))
			return string(output)
		}
		run("--workload", work, "--gateway", f.gateways[1].Addr.String(), "--ran", f.plainService.Addr.String(), "--result", result, "--plot", plot)

		data, err := os.ReadFile(result)
		Expect(err).NotTo(HaveOccurred())
		var got struct {
			Sent, Whole, Refused, Broken int
			Ran                          struct {
				NotRunButRan  int `json:"not_run_but_ran"`
				Doubled, Lost int
			}
		}
		Expect(json.Unmarshal(data, &got, json.MatchCaseInsensitiveNames(true))).To(Succeed())
		Expect(got.Sent).To(BeNumerically(">", 30))
		Expect(got.Whole).To(Equal(got.Sent), string(data))
		Expect(got.Ran).To(BeZero())
		Expect(os.ReadFile(plot)).To(ContainSubstring("<svg"))
		Expect(run("--compare", result, "--compare", result)).To(ContainSubstring("worst-served customer"))

		By("reporting a request that ran twice")
		a := send(ctx, "POST", f.plainService.Addr, "/print/order", "", "print-1-000000", nil)
		Expect(a.status).To(Equal(200), a.body)
		again := run("--workload", work, "--gateway", f.gateways[0].Addr.String(), "--ran", f.plainService.Addr.String(), "--output", "json")
		Expect(again).To(ContainSubstring(`"doubled"`))
		Expect(again).NotTo(MatchRegexp(`"doubled": 0\b`))
	})
})
