package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"fireflypier.example/fireflypier/internal/faultproxy"
)

const (
	// linksNetwork is the network 127.0.x.0/24 of the first of these specs.
	linksNetwork = 184
	// returningPerNode is the number of callers of these specs for each node, maxReturning that
	// of all. Each keeps keptConns connections: files of the test process are limited.
	returningPerNode = 16
	maxReturning     = 320
	keptConns        = 4
	// linksTime is the time for which links are disturbed, without SOAK_SECONDS.
	linksTime = 4 * time.Second
	// minLinkFault and maxLinkFault bound the time of one fault of a link. The longest ones
	// outlast the deadlines of plain requests.
	minLinkFault = 30 * time.Millisecond
	maxLinkFault = 3 * time.Second
	// linkFaultPause is the longest pause between the beginnings of two faults, for each
	// three nodes.
	linkFaultPause = 400 * time.Millisecond
	// maxLinkDelay is the longest delay of each piece of data.
	maxLinkDelay = 250 * time.Millisecond
	// maxCutBytes is the largest number of bytes after which answers are cut.
	maxCutBytes = 400
	// maxReturns is the number of times that a caller sends a request again, with a new ID
	// and over a new connection.
	maxReturns = 2
	// lateFailureShare is the share of requests that targets run and fail.
	lateFailureShare = 0.15
	// refusalShare is the share of requests that targets refuse in the first part of each
	// refusalPeriod.
	refusalShare  = 0.7
	refusalPeriod = 3 * time.Second
	// shortDelay and longDelay are the longest times by which targets delay requests.
	shortDelay = 50 * time.Millisecond
	longDelay  = 600 * time.Millisecond
	// minTroubleTime and maxTroubleTime bound the time for which targets misbehave in one way.
	minTroubleTime = 200 * time.Millisecond
	maxTroubleTime = 1200 * time.Millisecond
	// maxRestartPause is the longest pause between the restarts of two nodes.
	maxRestartPause = 2 * time.Second
	// minFreeze and maxFreeze bound the time for which a node is frozen. Nodes that freeze
	// together do so within freezeSpread, and others follow within freezePause.
	minFreeze    = 50 * time.Millisecond
	maxFreeze    = 2500 * time.Millisecond
	freezeSpread = 600 * time.Millisecond
	freezePause  = 1200 * time.Millisecond
)

// linkSeeds and freezeSeeds are the seeds that run by default.
var (
	linkSeeds   = []uint64{1}
	freezeSeeds = []uint64{1}
)

// seedsOr returns the seeds and the time to run, from SOAK_SEEDS and SOAK_SECONDS, or those
// that run by default.
func seedsOr(seeds []uint64, length time.Duration) ([]uint64, time.Duration) {
	given, givenLength := schedule()
	if os.Getenv("SOAK_SEEDS") != "" {
		seeds = given
	}
	if os.Getenv("SOAK_SECONDS") != "" {
		length = givenLength
	}
	return seeds, length
}

// Guards against refusals of requests that have run, and against requests that run twice
// (REFUSED, TWICE), while the links between callers and VMs are cut one way, silent, reset
// or slow, and VMs restart.
var _ = Describe("a site whose callers have disturbed links", func() {
	seeds, length := seedsOr(linkSeeds, linksTime)
	for _, seed := range seeds {
		It(fmt.Sprintf("keeps its promises with seed %d", seed), func() {
			s := startTestSite(fmt.Sprintf("links-%d-", seed), linksNetwork, nodes(troubleNodes))
			for _, n := range s.nodes {
				var err error
				n.link, err = faultproxy.Start(n.front())
				Expect(err).NotTo(HaveOccurred())
			}
			s.runBeside(seed, length, func(until time.Time) {
				var wg conc.WaitGroup
				defer wg.Wait()
				wg.Go(func() { s.troubleAll(rand.New(rand.NewPCG(seed, troubleStream)), until, allTroubles()) })
				wg.Go(func() { s.restartNodes(rand.New(rand.NewPCG(seed, restartStream)), until) })
				s.disturbLinks(rand.New(rand.NewPCG(seed, faultStream)), until)
			})
		})
	}
})

// Guards against the same while VMs freeze in overlapping order and end in the middle of
// their exchanges, so that others work with what they heard last.
var _ = Describe("a site whose VMs lose each other", func() {
	seeds, length := seedsOr(freezeSeeds, linksTime)
	for _, seed := range seeds {
		It(fmt.Sprintf("keeps its promises with seed %d", seed), func() {
			s := startTestSite(fmt.Sprintf("freezes-%d-", seed), linksNetwork+1, nodes(defaultNodes))
			s.runBeside(seed, length, func(until time.Time) {
				var wg conc.WaitGroup
				defer wg.Wait()
				wg.Go(func() { s.troubleAll(rand.New(rand.NewPCG(seed, troubleStream)), until, allTroubles()) })
				s.freezeNodes(rand.New(rand.NewPCG(seed, faultStream)), until)
			})
		})
	}
})

// Streams of random numbers of a seed, see also soak_test.go.
const (
	restartStream = 1001
	returnStream  = 2000
)

// runBeside has callers send requests while disturb runs, and checks all answers.
func (s *testSite) runBeside(seed uint64, length time.Duration, disturb func(until time.Time)) {
	var late lateTrouble
	arrived := func(w http.ResponseWriter, r *http.Request, id string) bool {
		time.Sleep(drawDelay())
		return late.serve(s, w, r, id)
	}
	s.arrived.Store(&arrived)
	ctx, stop := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	for c := range s.returning() {
		wg.Go(func() { s.runReturningCaller(ctx, c, rand.New(rand.NewPCG(seed, uint64(returnStream+c)))) })
	}
	disturb(time.Now().Add(length))
	stop()
	wg.Wait()
	s.checkLater()
	for id, a := range s.allAnswers() {
		s.checkRefusal(id, a)
	}
	s.checkOverlaps()
	s.mu.Lock()
	defer s.mu.Unlock()
	AddReportEntry("answers by status", s.answersByStatus())
	AddReportEntry("requests that ran twice", s.repeatedRuns())
	AddReportEntry("violations", s.violationsByKind)
	Expect(s.violations).To(BeEmpty(), "logs are kept in "+s.dir)
	Expect(s.answersByStatus()[http.StatusOK]).To(BeNumerically(">", len(s.answers)/4), "logs are kept in "+s.dir)
}

// checkRefusal reports a request that ran although its answer promises, by one of the
// statuses that checkAnswer leaves out, that it has not run.
func (s *testSite) checkRefusal(id string, a answer) {
	if (a.status == http.StatusRequestTimeout || a.status == http.StatusMisdirectedRequest) && s.runCount(id) > 0 {
		s.reportViolation("request %s (%s) was answered %d although a target ran it", id, a.kind, a.status)
	}
}

// returning returns the number of callers.
func (s *testSite) returning() int { return min(returningPerNode*len(s.nodes), maxReturning) }

// lateTrouble has targets fail requests late, so that links, VMs and configurations change
// meanwhile.
type lateTrouble struct {
	began time.Time
	once  sync.Once
}

// refuses reports whether a target is to refuse a request: most of them in a part of the
// time, else few.
func (l *lateTrouble) refuses() bool {
	l.once.Do(func() { l.began = time.Now() })
	if time.Since(l.began)%refusalPeriod < refusalPeriod/4 {
		return rand.Float64() < refusalShare
	}
	return rand.Float64() < troubleShare/2
}

// serve refuses a request, or has a target run it and fail. It returns false for others.
func (l *lateTrouble) serve(s *testSite, w http.ResponseWriter, r *http.Request, id string) bool {
	if l.refuses() {
		refuse(w, id)
		return true
	}
	if rand.Float64() >= lateFailureShare {
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	defer s.recordRun(id, r.Header.Get("Fireflypier-Expect-Instance"))()
	time.Sleep(drawDelay())
	status := lateFailures[rand.IntN(len(lateFailures))]
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Fireflypier-Request-Id", id)
	w.Header().Set("Fireflypier-Server-Seal", "seal")
	w.WriteHeader(status)
	return true
}

// lateFailures are the answers to requests that have run, zero for a closed connection.
var lateFailures = []int{0, 0, 0, http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}

// drawDelay returns the time after which a target serves a request: that of some is long
// enough for faults to begin and end meanwhile.
func drawDelay() time.Duration {
	switch rand.IntN(4) {
	case 0:
		return rand.N(longDelay)
	case 1:
		return rand.N(shortDelay)
	}
	return 0
}

// allTroubles returns the kinds of trouble.
func allTroubles() []trouble {
	var all []trouble
	for kind := noTrouble; kind < troubles; kind++ {
		all = append(all, kind)
	}
	return all
}

// troubleAll has each target misbehave in one way after another until the given time.
func (s *testSite) troubleAll(r *rand.Rand, until time.Time, kinds []trouble) {
	for time.Now().Before(until) {
		for _, t := range s.allTargets() {
			t.setTrouble(kinds[r.IntN(len(kinds))])
		}
		time.Sleep(minTroubleTime + time.Duration(r.Int64N(int64(maxTroubleTime-minTroubleTime))))
	}
}

// repeatedRuns returns the number of requests that ran more than once. The caller holds the
// site's mutex.
func (s *testSite) repeatedRuns() int {
	count := 0
	for _, runs := range s.runs {
		if len(runs) > 1 {
			count++
		}
	}
	return count
}

// runReturningCaller sends requests until ctx ends, over connections that it keeps until
// they end. It sends those without an answer, and those that were refused, again at once,
// with a new ID and over a new connection.
func (s *testSite) runReturningCaller(ctx context.Context, caller int, r *rand.Rand) {
	kept := &http.Transport{MaxIdleConns: keptConns, MaxIdleConnsPerHost: keptConns}
	fresh := &http.Transport{DisableKeepAlives: true}
	if caller%2 == 1 {
		kept.DialContext, fresh.DialContext = resetsConns, resetsConns
	}
	defer kept.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		kind := kinds[r.IntN(len(kinds))]
		model := fmt.Sprintf("m%d", 1+r.IntN(3))
		client := &http.Client{Transport: kept}
		for returns := range maxReturns + 1 {
			id := fmt.Sprintf("c%d-%d-%d", caller, i, returns)
			n := s.nodes[r.IntN(len(s.nodes))]
			stay, leave := context.WithCancel(context.WithoutCancel(ctx))
			if r.Float64() < leaveShare {
				time.AfterFunc(time.Duration(r.Int64N(int64(maxStay))), leave)
			}
			a := s.sendRequest(stay, client, n, kind, id, s.randomKey(r), model)
			leave()
			s.recordAnswer(id, a)
			s.checkAnswer(id, a)
			s.checkRefusal(id, a)
			if a.status != 0 && a.status != http.StatusTooManyRequests && a.status != http.StatusServiceUnavailable {
				break
			}
			client = &http.Client{Transport: fresh}
		}
		time.Sleep(time.Duration(r.IntN(40)) * time.Millisecond)
	}
}

// linkFault is a fault of the link between callers and a node.
type linkFault struct {
	fault faultproxy.Fault
	// resets is set if the open connections are reset when the fault ends, before it is
	// removed; else they go on.
	resets bool
	// instant is set for a fault that ends at once.
	instant bool
}

// drawLinkFault returns a random fault of a link.
func drawLinkFault(r *rand.Rand) linkFault {
	f := linkFault{resets: r.IntN(2) == 0}
	switch r.IntN(9) {
	case 0:
		f.fault.HoldAnswers = true
	case 1:
		f.fault.HoldRequests = true
	case 2:
		f.fault.Freeze = true
	case 3:
		f.fault.FreezeOpen = true
	case 4:
		f.fault.Delay = time.Duration(r.Int64N(int64(maxLinkDelay)))
	case 5:
		f.fault.Refuse = true
	case 6:
		f.fault.CutAnswersAfter = 1 + r.Int64N(maxCutBytes)
	case 7:
		f.fault.DropAnswers, f.resets = true, true
	case 8:
		f.instant, f.resets = true, true
	}
	return f
}

// disturb injects a fault into the link of a node for a duration.
func (f linkFault) disturb(n *node, duration time.Duration) {
	if !f.instant {
		n.link.SetFault(f.fault)
		time.Sleep(duration)
	}
	if f.resets {
		n.link.ResetAll()
	}
	if !f.instant {
		n.link.SetFault(faultproxy.Fault{})
	}
}

// disturbLinks disturbs the links between callers and nodes until the given time, and returns
// when all faults have ended. A node's link has at most one fault at a time.
func (s *testSite) disturbLinks(r *rand.Rand, until time.Time) {
	var wg conc.WaitGroup
	defer wg.Wait()
	busy := make([]atomic.Bool, len(s.nodes))
	for time.Now().Before(until) {
		i := r.IntN(len(s.nodes))
		f := drawLinkFault(r)
		duration := minLinkFault + time.Duration(r.Int64N(int64(maxLinkFault-minLinkFault)))
		pause := time.Duration(r.Int64N(int64(linkFaultPause))) * troubleNodes / time.Duration(len(s.nodes))
		if busy[i].CompareAndSwap(false, true) {
			s.logEvent("link to %s: %+v for %s", s.nodes[i].name, f, duration)
			wg.Go(func() {
				defer busy[i].Store(false)
				f.disturb(s.nodes[i], duration)
			})
		}
		time.Sleep(pause)
	}
}

// restartNodes ends one node after another until the given time, some by SIGTERM while
// callers hold their connections, and has them reload their settings.
func (s *testSite) restartNodes(r *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(r.Int64N(int64(maxRestartPause))))
		n := s.nodes[r.IntN(len(s.nodes))]
		end := s.disturb(n.name)
		switch r.IntN(4) {
		case 0:
			s.logEvent("kill of %s", n.name)
			n.currentProcess().Kill()
		case 1, 2:
			s.logEvent("shutdown of %s", n.name)
			n.terminate()
		case 3:
			s.logEvent("reload of %s", n.name)
			_ = n.currentProcess().Hangup()
		}
		end()
	}
}

// freezeNodes freezes nodes until the given time, one, several or most at a time, which thaw
// in another order, and kills some of those that run. It returns when all are thawed.
func (s *testSite) freezeNodes(r *rand.Rand, until time.Time) {
	var wg conc.WaitGroup
	defer wg.Wait()
	busy := make([]atomic.Bool, len(s.nodes))
	for time.Now().Before(until) {
		for _, i := range r.Perm(len(s.nodes))[:1+r.IntN(len(s.nodes)*3/4)] {
			after := time.Duration(r.Int64N(int64(freezeSpread)))
			duration := minFreeze + time.Duration(r.Int64N(int64(maxFreeze-minFreeze)))
			kill := r.IntN(5) == 0
			if !busy[i].CompareAndSwap(false, true) {
				continue
			}
			wg.Go(func() {
				defer busy[i].Store(false)
				n := s.nodes[i]
				time.Sleep(after)
				defer s.disturb(n.name)()
				if kill {
					s.logEvent("kill of %s", n.name)
					n.currentProcess().Kill()
					return
				}
				s.logEvent("freeze of %s for %s", n.name, duration)
				s.freeze(n, duration)
			})
		}
		time.Sleep(time.Duration(r.Int64N(int64(freezePause))))
	}
}
