package timeline_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/serving/timeline"
)

func TestTimeline(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "timeline")
}

var _ = Describe("a timeline", func() {
	It("orders the lines of one request from several logs by time", func() {
		s := timeline.New("r1")
		Expect(s.Read(strings.NewReader(`0.2 vm-a {"@level":"warn","@message":"request failed","@module":"vm-a","@timestamp":"2026-06-22T03:56:48.500Z","request":"r1","outcome":"no_replica"}
not json r1
{"@level":"info","@message":"request sent","@module":"vm-a","@timestamp":"2026-06-22T03:56:48.400Z","request":"r2"}
{"@level":"info","@message":"other","@module":"vm-a","@timestamp":"2026-06-22T03:56:48.400Z","note":"r1"}`))).To(Succeed())
		Expect(s.Read(strings.NewReader(`{"@level":"info","@message":"request sent","@module":"vm-b","@timestamp":"2026-06-22T03:56:48.450Z","request":"r1","target":"i-1"}`))).To(Succeed())
		var out bytes.Buffer
		Expect(s.Print(&out)).To(Succeed())
		Expect(out.String()).To(Equal("03:56:48.450 +0ms vm-b: request sent target=\"i-1\"\n" +
			"03:56:48.500 +50ms vm-a: request failed outcome=\"no_replica\"\n"))
	})
})
