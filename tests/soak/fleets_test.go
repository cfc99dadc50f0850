package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
)

const (
	// fleetNetwork is the network 127.0.x.0/24 of both fleets.
	fleetNetwork = 198
	// formerNodes is the number of nodes of the former fleet, laterNodes that of the later
	// one, which has the first addresses of the former.
	formerNodes = 6
	laterNodes  = 3
	// meetingTime is the time for which callers send requests to the later fleet.
	meetingTime = 6 * time.Second
)

// Guards against VMs that take tables from VMs of another fleet, which ran at their addresses
// before and has not ended everywhere.
var _ = Describe("a fleet at addresses of another one that still runs in part", func() {
	It("serves its callers, and keeps its promises", func() {
		former := startTestSite("former-", fleetNetwork, formerNodes)
		// More versions in the store of the former fleet make its tables look newer.
		for version := range 300 {
			former.publish(version+2, "key-former")
		}
		time.Sleep(time.Second)
		for _, n := range former.nodes[:laterNodes] {
			former.end(n)
		}
		later := startTestSite("later-", fleetNetwork, laterNodes)
		ctx, stop := context.WithTimeout(context.Background(), meetingTime)
		defer stop()
		var wg conc.WaitGroup
		for c := range callers {
			wg.Go(func() { later.runCaller(ctx, c, rand.New(rand.NewPCG(fleetNetwork, uint64(c)))) })
		}
		wg.Wait()
		later.checkLater()
		later.checkOverlaps()
		later.mu.Lock()
		defer later.mu.Unlock()
		AddReportEntry("answers by status", later.answersByStatus())
		AddReportEntry("violations", later.violationsByKind)
		Expect(later.violations).To(BeEmpty(), "logs are kept in "+later.dir)
		Expect(later.answersByStatus()[http.StatusOK]).To(BeNumerically(">", len(later.answers)*9/10))
	})
})
