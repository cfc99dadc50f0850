package forward_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"fireflypier.example/fireflypier/internal/serving/target"
	"fireflypier.example/fireflypier/internal/transport"
)

var _ = Describe("an attempt", func() {
	It("is logged with its connection", func() {
		x := newFixture()
		answers := make(chan func(w http.ResponseWriter), 2)
		answers <- func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }
		answers <- func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
		clients := make(chan string, 2)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			clients <- r.RemoteAddr
			(<-answers)(w)
		}))
		DeferCleanup(server.Close)
		for _, id := range []string{"p1", "p2", "p3"} {
			x.view.Set(&target.Target{ID: id, Pool: "plain", Slots: 6, Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))})
		}
		out := gbytes.NewBuffer()
		x.f.Logger = hclog.New(&hclog.LoggerOptions{Output: out})
		x.f.Sender = socketSender{transport.New()}
		_, _, err := x.serve("/buy/1")
		Expect(err).To(HaveOccurred())
		Expect(out).To(gbytes.Say(`attempt ended without an answer: .*connection=%s reused=false`, <-clients))
		_, _, err = x.serve("/buy/1")
		Expect(err).To(HaveOccurred())
		Expect(out).To(gbytes.Say(`attempt failed: .*connection=%s reused=true`, <-clients))
	})
})
