package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"fireflypier.example/fireflypier/internal/serving/fakestore"
	"fireflypier.example/fireflypier/internal/serving/rowstore"
)

const (
	// refusalNetwork is the network 127.0.x.0/24 of the first of these specs; the others use
	// those that follow.
	refusalNetwork = 220
	refusalSeed    = 41
	// refusalTime is the time for which callers send requests.
	refusalTime = 2 * time.Second
	// successionPause is twice the mean time between two changes of a target's ID, and
	// misdirectDelay the longest time that a target takes to notice that another is meant.
	successionPause = 300 * time.Millisecond
	misdirectDelay  = 20 * time.Millisecond
	// faultPause is the longest time between two faults of nodes or of the store, and
	// faultTime that for which one lasts.
	faultPause = 400 * time.Millisecond
	faultTime  = 700 * time.Millisecond
	// endSettling is the time in which nothing may run after the last answer.
	endSettling = 300 * time.Millisecond
)

// delivery is the way in which copies of a refusal are written.
type delivery int

const (
	// soon writes copies within maxExtraDelay.
	soon delivery = iota
	// atOnce writes them right after the refusal.
	atOnce
	// inPieces writes each of them within maxExtraDelay, in several segments.
	inPieces
	// beforeNext and afterNext write them in one segment with the next answer.
	beforeNext
	afterNext
)

// copyPieces is the number of segments of a copy that is written in pieces.
const copyPieces = 3

// refusals has targets refuse a share of their requests, and repeat the refusals.
type refusals struct {
	share    float64
	statuses []int
	// copies is the number of copies of each refusal; several copies are written one after
	// the other.
	copies   int
	delivery delivery
	// runs has targets run the requests, and not state that they have not.
	runs bool
}

// refuser draws the requests that are refused.
type refuser struct {
	refusals

	mu   sync.Mutex
	rand *rand.Rand
}

// draw returns the status with which the next request is refused; zero if it is not.
func (f *refuser) draw() (status int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rand.Float64() >= f.share {
		return 0
	}
	return f.statuses[f.rand.IntN(len(f.statuses))]
}

// delay returns a random time below limit.
func (f *refuser) delay(limit time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.rand.Int64N(int64(limit)))
}

// withRefusals has all targets refuse requests.
func withRefusals(f *refuser) siteOption { return func(s *testSite) { s.refuser = f } }

// current returns the target that serves at the target's address now.
func (t *target) current() *target {
	for {
		next := t.successor.Load()
		if next == nil {
			return t
		}
		t = next
	}
}

// refuseOften refuses a request by the target's refusals. It returns false if the request
// is not refused.
func (t *target) refuseOften(w http.ResponseWriter, r *http.Request, id string) bool {
	f := t.site.refuser
	if f == nil {
		return false
	}
	status := f.draw()
	if status == 0 {
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler) // the request is not complete
	}
	if f.runs {
		defer t.site.recordRun(id, t.id)()
		w.Header().Set("Fireflypier-Request-Id", id)
		w.WriteHeader(status)
		return true
	}
	if status == http.StatusMisdirectedRequest && t.pool == "engines" {
		status = http.StatusServiceUnavailable // 421 would say that the weights are missing
	}
	f.refuse(w, r, status, id)
	return true
}

// misdirect answers a request for another target, or for weights that the target does not
// hold.
func (t *target) misdirect(w http.ResponseWriter, r *http.Request, id string) {
	if id == "" { // an order
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	f := t.site.refuser
	if f == nil {
		f = &refuser{}
	} else {
		time.Sleep(f.delay(misdirectDelay))
	}
	f.refuse(w, r, http.StatusMisdirectedRequest, id)
}

// refuse refuses a request that has not run, and writes the copies of the refusal.
func (f *refuser) refuse(w http.ResponseWriter, r *http.Request, status int, id string) {
	w.Header().Set("Fireflypier-Request-Id", id)
	w.Header().Set("Fireflypier-Not-Executed", "1")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	_ = http.NewResponseController(w).Flush()
	c, ok := r.Context().Value(connKey{}).(*limitedConn)
	if f.copies == 0 || !ok {
		return
	}
	head := []string{fmt.Sprintf("HTTP/1.1 %d %s", status, http.StatusText(status)), "Fireflypier-Not-Executed: 1", "Fireflypier-Request-Id: " + id}
	data := strings.Repeat(rawAnswer(head, ""), f.copies)
	switch f.delivery {
	case soon:
		time.AfterFunc(f.delay(maxExtraDelay), func() { c.writePieces(data, f.copies, 0) })
	case atOnce:
		c.writePieces(data, f.copies, 0)
	case inPieces:
		time.AfterFunc(f.delay(maxExtraDelay), func() { c.writePieces(data, copyPieces*f.copies, time.Millisecond) })
	case beforeNext, afterNext:
		c.hold(data, f.delivery == afterNext)
	}
}

// succeed gives the target at an address a new ID. Its connections stay open.
func (s *testSite) succeed(t *target) {
	models := t.held()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targetsStarted++
	next := &target{
		site: s, id: fmt.Sprintf("i-%d", s.targetsStarted), pool: t.pool, models: models, born: time.Now().UnixMilli(),
		server: t.server, proxy: t.proxy, place: make(chan struct{}, 1),
	}
	delete(s.targets, t.id)
	s.targets[next.id] = next
	t.successor.Store(next)
	_, err := s.rows.Write(context.Background(),
		rowstore.Write{Table: rowstore.Targets, Key: next.id, Expect: rowstore.AnyVersion, Value: next.row()},
		rowstore.Write{Table: rowstore.Targets, Key: t.id, Expect: rowstore.AnyVersion, Delete: true})
	if err != nil {
		s.violations = append(s.violations, "the store did not take a row: "+err.Error())
	}
}

// changeIDs changes the IDs of targets until ctx ends.
func (s *testSite) changeIDs(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		targets := s.allTargets()
		time.Sleep(time.Duration(r.Int64N(int64(successionPause) / int64(len(targets)))))
		s.succeed(targets[r.IntN(len(targets))])
	}
}

// disturbAll injects faults of nodes, of the store and of targets until ctx ends, and returns
// when they have ended.
func (s *testSite) disturbAll(ctx context.Context, r *rand.Rand) {
	var wg conc.WaitGroup
	defer wg.Wait()
	nodeFaults := []int{0, 2, 3, 8} // kill, terminate, freeze, a store that fails
	troubles := []trouble{limitsConns, fillsUp, breaksOff, closesIdle, failsAfterRun, repeatsAnswers, refusesEarly}
	for ctx.Err() == nil {
		duration := time.Duration(r.Int64N(int64(faultTime)))
		kind, n := nodeFaults[r.IntN(len(nodeFaults))], s.nodes[r.IntN(len(s.nodes))]
		s.logEvent("fault %d at %s for %s", kind, n.name, duration)
		wg.Go(func() { s.injectFault(kind, n, duration) })
		for _, t := range s.allTargets() {
			t.setTrouble(troubles[r.IntN(len(troubles))])
		}
		time.Sleep(time.Duration(r.Int64N(int64(faultPause))))
	}
	s.rows.Fail(fakestore.None)
}

// promiseCounts counts the requests of callers, those that were refused although they ran,
// and those that may run once and ran more often.
func (s *testSite) promiseCounts() string {
	refused, twice := 0, 0
	answers := s.allAnswers()
	for id, a := range answers {
		runs := s.runCount(id)
		if isPromise(a.status) && runs > 0 {
			refused++
		}
		if runsOnce(a.kind) && runs > 1 {
			twice++
		}
	}
	return fmt.Sprintf("%d requests, %d refused although they ran, %d ran twice", len(answers), refused, twice)
}

// refusalSpec is a way in which targets refuse requests.
type refusalSpec struct {
	text    string
	targets int
	refusals
	// changesIDs has the IDs of targets change; disturbs adds other faults.
	changesIDs, disturbs bool
}

var stated = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest}

// refusalSpecs are the specs. Each has a network of its own, by its place.
var refusalSpecs = []refusalSpec{
	{text: "one target of a pool refuses half, and repeats refusals soon", targets: 1, refusals: refusals{share: 0.5, statuses: stated, copies: 1}},
	{text: "two targets of a pool refuse most, and repeat refusals soon", targets: 2, refusals: refusals{share: 0.7, statuses: stated, copies: 1}},
	{text: "three targets of a pool refuse nearly all, and repeat refusals soon", targets: 3, refusals: refusals{share: 0.9, statuses: stated, copies: 1}},
	{text: "two targets of a pool repeat refusals several times", targets: 2, refusals: refusals{share: 0.6, statuses: stated, copies: 4}},
	{text: "two targets of a pool repeat refusals at once", targets: 2, refusals: refusals{share: 0.6, statuses: stated, copies: 2, delivery: atOnce}},
	{text: "two targets of a pool repeat refusals in pieces", targets: 2, refusals: refusals{share: 0.6, statuses: stated, copies: 1, delivery: inPieces}},
	{text: "one target of a pool repeats refusals before its next answer", targets: 1, refusals: refusals{share: 0.6, statuses: stated, copies: 1, delivery: beforeNext}},
	{text: "two targets of a pool repeat refusals before their next answers", targets: 2, refusals: refusals{share: 0.6, statuses: stated, copies: 1, delivery: beforeNext}},
	{text: "three targets of a pool repeat refusals before their next answers", targets: 3, refusals: refusals{share: 0.9, statuses: stated, copies: 2, delivery: beforeNext}},
	{text: "two targets of a pool repeat refusals after their next answers", targets: 2, refusals: refusals{share: 0.6, statuses: stated, copies: 1, delivery: afterNext}},
	{text: "one target of a pool changes its ID, and repeats refusals for the former one", targets: 1, changesIDs: true, refusals: refusals{copies: 1, delivery: beforeNext}},
	{text: "three targets of a pool change their IDs, refuse half, and repeat refusals before their next answers", targets: 3, changesIDs: true, refusals: refusals{share: 0.5, statuses: stated, copies: 1, delivery: beforeNext}},
	{text: "two targets of a pool repeat refusals among other faults", targets: 2, disturbs: true, refusals: refusals{share: 0.6, statuses: stated, copies: 1, delivery: beforeNext}},
	{text: "three targets of a pool repeat refusals among other faults", targets: 3, disturbs: true, refusals: refusals{share: 0.6, statuses: stated, copies: 2}},
	{text: "targets answer 408 after runs", targets: 1, refusals: refusals{share: 0.5, statuses: []int{http.StatusRequestTimeout}, runs: true}},
	{text: "targets answer 421 after runs", targets: 1, refusals: refusals{share: 0.5, statuses: []int{http.StatusMisdirectedRequest}, runs: true}},
}

// refusalSchedule returns the seeds, the time of each, and the number of callers of a node,
// from SOAK_SEEDS, SOAK_SECONDS and SOAK_CALLERS.
func refusalSchedule() (seeds []uint64, length time.Duration, perNode int) {
	seeds, length, perNode = []uint64{refusalSeed}, refusalTime, callersPerNode
	if os.Getenv("SOAK_SEEDS") != "" {
		seeds, _ = schedule()
	}
	if os.Getenv("SOAK_SECONDS") != "" {
		_, length = schedule()
	}
	if n, err := strconv.Atoi(os.Getenv("SOAK_CALLERS")); err == nil {
		perNode = n
	}
	return seeds, length, perNode
}

// Guards against copies of refusals that count for a later send of the same request, which
// then runs although it was refused, or runs twice (REFUSED, TWICE).
var _ = Describe("a site before few targets that refuse", func() {
	seeds, length, perNode := refusalSchedule()
	for i, spec := range refusalSpecs {
		for _, seed := range seeds {
			It(fmt.Sprintf("keeps its promises while %s, seed %d", spec.text, seed), func() {
				f := &refuser{refusals: spec.refusals, rand: rand.New(rand.NewPCG(seed, troubleStream))}
				s := startTestSite("refusals-", refusalNetwork+byte(i), nodes(troubleNodes), withTargets(spec.targets), withRetries(), withRefusals(f))
				ctx, stop := context.WithTimeout(context.Background(), length)
				defer stop()
				var wg conc.WaitGroup
				if spec.changesIDs {
					wg.Go(func() { s.changeIDs(ctx, rand.New(rand.NewPCG(seed, faultStream))) })
				}
				if spec.disturbs {
					wg.Go(func() { s.disturbAll(ctx, rand.New(rand.NewPCG(seed, faultStream))) })
				}
				for c := range perNode * len(s.nodes) {
					wg.Go(func() { s.runCaller(ctx, c, rand.New(rand.NewPCG(seed, uint64(callerStream+c)))) })
				}
				wg.Wait()
				time.Sleep(endSettling)
				s.checkLater()
				s.checkOverlaps()
				counts := s.promiseCounts()
				s.mu.Lock()
				defer s.mu.Unlock()
				AddReportEntry("answers by status", s.answersByStatus())
				AddReportEntry("promises", counts)
				AddReportEntry("violations", s.violationsByKind)
				Expect(s.violations).To(BeEmpty(), "logs are kept in "+s.dir)
			})
		}
	}
})
