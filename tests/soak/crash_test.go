package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"fireflypier.example/fireflypier/internal/serving/rowstore"
)

const (
	// deadlyMark begins the bodies of requests that crash the target that runs them.
	deadlyMark = "deadly "
	// crashDelay is the time after which such a request crashes its target, backTime that until
	// the target is back.
	crashDelay = 30 * time.Millisecond
	backTime   = 2 * time.Second
	// knownTime is the time after the third crash of a request in which all VMs must know of
	// it (stability_ms), maxLateSends the number of times that it may be sent later.
	knownTime    = 3 * time.Second
	maxLateSends = 3
	// crashNetwork is the network 127.0.x.0/24 of the first of these specs.
	crashNetwork = 190
	// crashTime is the time for which deadly requests come, and deadlyPause the one between two
	// arrivals of one of them.
	crashTime   = 16 * time.Second
	deadlyPause = 400 * time.Millisecond
	// maxCallers keeps the number of open files of a run with many nodes below the usual limit.
	maxCallers = 128
)

// deadlyRequest is what happened to a request that crashes targets.
type deadlyRequest struct {
	arrivals, crashes []time.Time
}

// lateSends returns the number of times that the request reached targets although all VMs had
// time to know of its third crash.
func (d *deadlyRequest) lateSends() (n int) {
	for _, at := range d.arrivals {
		if len(d.crashes) >= 3 && at.Sub(d.crashes[2]) > knownTime {
			n++
		}
	}
	return n
}

// crash ends the target under a deadly request with the given body. Another one with the same
// models comes after backTime.
func (t *target) crash(body string) {
	s := t.site
	s.mu.Lock()
	d := s.deadly[body]
	if d == nil {
		d = &deadlyRequest{}
		s.deadly[body] = d
	}
	d.arrivals = append(d.arrivals, time.Now())
	s.mu.Unlock()
	time.Sleep(crashDelay)
	s.mu.Lock()
	d.crashes = append(d.crashes, time.Now())
	_, runs := s.targets[t.id]
	delete(s.targets, t.id)
	s.mu.Unlock()
	if runs {
		s.logEvent("%s crashes under %q", t.id, body)
		t.proxy.Close()
		go t.server.CloseClientConnections()
		models := t.held()
		time.AfterFunc(1500*time.Millisecond, func() { s.rows.Delete(rowstore.Targets, t.id) })
		time.AfterFunc(backTime, func() { s.startTarget(t.pool, models...) })
	}
	panic(http.ErrAbortHandler)
}

// sendDeadly sends a deadly request of a kind by way of a random node, again and again until
// ctx ends. Its path, key and body are the same each time.
func (s *testSite) sendDeadly(ctx context.Context, kind string, r *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("deadly-%s-%d", kind, i)
		n := s.nodes[r.IntN(len(s.nodes))]
		a := s.sendBody(context.WithoutCancel(ctx), client, n, kind, id, "key-1", "m1", strings.NewReader(deadlyMark+kind))
		s.recordAnswer(id, a)
		s.checkAnswer(id, a)
		time.Sleep(deadlyPause/2 + rand.N(deadlyPause))
	}
}

// Guards against requests that crash one target after the other, at any VM (BUDGET), and against
// refusals of sound requests beside them (LOST).
var _ = Describe("a site before requests that crash targets", func() {
	for i, deadly := range [][]string{{"look"}, {"buy"}, {"resume"}, {"look", "buy", "draft", "resume"}} {
		It("sends each a few times only, of kinds "+strings.Join(deadly, ", "), func() {
			s := startTestSite("crash-", crashNetwork+byte(i), nodes(troubleNodes))
			ctx, stop := context.WithTimeout(context.Background(), crashTime)
			defer stop()
			var wg conc.WaitGroup
			for _, kind := range deadly {
				wg.Go(func() { s.sendDeadly(ctx, kind, rand.New(rand.NewPCG(uint64(i), 0))) })
			}
			for c := range min(callersPerNode*len(s.nodes), maxCallers) {
				wg.Go(func() { s.runCaller(ctx, c, rand.New(rand.NewPCG(uint64(i), uint64(callerStream+c)))) })
			}
			wg.Wait()
			served, sent := s.checkRecovered()
			s.checkLater()
			s.mu.Lock()
			defer s.mu.Unlock()
			for body, d := range s.deadly {
				AddReportEntry(body, fmt.Sprintf("%d sends, %d crashes, %d late", len(d.arrivals), len(d.crashes), d.lateSends()))
				Expect(d.lateSends()).To(BeNumerically("<=", maxLateSends), "%s: logs are kept in %s", body, s.dir)
			}
			AddReportEntry("answers by status", s.answersByStatus())
			Expect(s.violations).To(BeEmpty(), "logs are kept in "+s.dir)
			Expect(float64(served)).To(BeNumerically(">=", minServedRatio*float64(sent)), "logs are kept in "+s.dir)
		})
	}
})
