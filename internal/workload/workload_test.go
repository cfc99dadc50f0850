package workload_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/workload"
)

func TestWorkload(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "workload")
}

func write(text string) string {
	file := filepath.Join(GinkgoT().TempDir(), "workload.jsonc")
	Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	return file
}

var _ = Describe("Workload", func() {
	It("draws the same calls each time, in order of arrival, at the rates of the stream and its rush", func() {
		w, err := workload.Read(write(`{"seed": 3, "duration": "100s", "customers": {"a": {"key": "k"}}, "streams": [
			{"name": "s", "customer": "a", "requests_per_second": 20, "model": "m", "max_tokens": 10,
			 "answer_tokens": {"mean": 50, "max": 80}, "shared_tokens": 100, "shared_prefixes": 2,
			 "rushes": [{"from": "50s", "to": "100s", "factor": 3}]}]}`))
		Expect(err).NotTo(HaveOccurred())
		calls := w.Calls()
		Expect(calls).To(Equal(w.Calls()))
		before, rush := 0, 0
		prefixes := map[string]bool{}
		last := time.Duration(0)
		for _, c := range calls {
			Expect(c.At).To(BeNumerically(">=", last))
			last = c.At
			Expect(c.AnswerTokens).To(And(BeNumerically(">=", 1), BeNumerically("<=", 10)))
			prefixes[c.Prompt[:400]] = true
			if c.At < 50*time.Second {
				before++
			} else {
				rush++
			}
		}
		Expect(before).To(BeNumerically("~", 1000, 120))
		Expect(rush).To(BeNumerically("~", 3000, 220))
		Expect(prefixes).To(HaveLen(2))
	})

	DescribeTable("rejects an invalid file and names the invalid field",
		func(text, message string) {
			_, err := workload.Read(write(text))
			Expect(err).To(MatchError(ContainSubstring(message)))
		},
		Entry("unknown field", `{"duration": "1s", "sead": 3}`, "sead"),
		Entry("no duration", `{}`, "/duration"),
		Entry("unknown customer", `{"duration": "1s", "streams": [{"name": "s", "customer": "x", "requests_per_second": 1, "path": "/p"}]}`, "/streams/0/customer"),
		Entry("model and path", `{"duration": "1s", "streams": [{"name": "s", "requests_per_second": 1, "path": "/p", "model": "m"}]}`, "either model or path"),
	)

	It("reads the example workloads", func() {
		files, err := filepath.Glob("../../examples/workloads/*.jsonc")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).NotTo(BeEmpty())
		for _, file := range files {
			w, err := workload.Read(file)
			Expect(err).NotTo(HaveOccurred(), file)
			Expect(w.Calls()).NotTo(BeEmpty())
		}
	})
})
